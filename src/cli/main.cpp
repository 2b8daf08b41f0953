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
    Command chosen;
    add_gateway(app, chosen);
    add_node(app, chosen);
    add_check(app, chosen);
    add_routes(app, chosen);
    add_terms(app, chosen);
    add_day(app, chosen);
    add_soak(app, chosen);
    add_audit(app, chosen);
    add_trace(app, chosen);
    add_standin(app, chosen);
    add_callers(app, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& trouble) {
        const int code = app.exit(trouble);
        return code == 0 ? kWell : kBadUse;
    }
    return chosen ? chosen() : kBadUse;
}
