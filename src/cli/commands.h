// The subcommands of the program. Each function adds one to the command line; it sets the command that then
// runs and returns the exit code: 0 success, 1 a broken rule or a failed run, 2 invalid input or usage.
#pragma once

#include <functional>
#include <string>

namespace CLI {
class App;
}

namespace copperfront {

using Command = std::function<int()>;

constexpr int kSuccess = 0, kFailure = 1, kUsageError = 2;

void add_gateway_command(CLI::App& app, Command& command);
void add_node_command(CLI::App& app, Command& command);
void add_fake_platform_command(CLI::App& fake_server_commands, Command& command);
void add_model_server_command(CLI::App& fake_server_commands, Command& command);
void add_hostile_clients_command(CLI::App& fake_server_commands, Command& command);
void add_soak_command(CLI::App& app, Command& command);
void add_check_command(CLI::App& app, Command& command);
void add_routes_command(CLI::App& app, Command& command);
void add_terms_command(CLI::App& app, Command& command);
void add_fake_server_commands(CLI::App& app, Command& command);
void add_scenario_command(CLI::App& app, Command& command);
void add_audit_command(CLI::App& app, Command& command);
void add_trace_command(CLI::App& app, Command& command);
void add_clients_command(CLI::App& app, Command& command);

// Prints one line on standard error, and returns the code.
int print_error(const std::string& what, int code = kUsageError);

}  // namespace copperfront
