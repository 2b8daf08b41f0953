#include <CLI/CLI.hpp>

#include "cli/commands.h"
#include "logging/standard_streams.h"

int main(int argc, char** argv) {
    using namespace copperfront;
    open_missing_standard_streams();
    CLI::App app(
        "copperfront: a router for language-model servers that read and write in two stages.\n"
        "Exit codes: 0 all is well, 1 a rule was broken or a run went wrong, 2 bad input or use.",
        "copperfront");
    app.set_version_flag("--version", "copperfront 0.2.0");
    app.require_subcommand(1);
    Command command;
    add_gateway_command(app, command);
    add_node_command(app, command);
    add_check_command(app, command);
    add_routes_command(app, command);
    add_terms_command(app, command);
    add_scenario_command(app, command);
    add_soak_command(app, command);
    add_audit_command(app, command);
    add_trace_command(app, command);
    add_fake_server_commands(app, command);
    add_clients_command(app, command);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int code = app.exit(error);
        return code == 0 ? kSuccess : kUsageError;
    }
    return command ? command() : kUsageError;
}
