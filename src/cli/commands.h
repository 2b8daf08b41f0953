// The sub-commands. Each adds itself to the command line and returns what the program ends with: 0 all is
// well, 1 a rule was broken or a run went wrong, 2 bad input or use.
#pragma once

#include <functional>
#include <string>

namespace CLI {
class App;
}

namespace copperfront {

using Command = std::function<int()>;

constexpr int kWell = 0, kBroken = 1, kBadUse = 2;

void add_gateway(CLI::App& app, Command& chosen);
void add_node(CLI::App& app, Command& chosen);
void add_platform_standin(CLI::App& standins, Command& chosen);
void add_model_server(CLI::App& standins, Command& chosen);
void add_soak(CLI::App& app, Command& chosen);
void add_check(CLI::App& app, Command& chosen);
void add_routes(CLI::App& app, Command& chosen);
void add_terms(CLI::App& app, Command& chosen);
void add_standin(CLI::App& app, Command& chosen);
void add_day(CLI::App& app, Command& chosen);
void add_audit(CLI::App& app, Command& chosen);
void add_trace(CLI::App& app, Command& chosen);
void add_callers(CLI::App& app, Command& chosen);

// One plain line on standard error.
int complain(const std::string& what, int code = kBadUse);

}  // namespace copperfront
