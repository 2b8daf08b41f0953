#include "cli/commands.h"

#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <memory>
#include <random>

#include "audit/audit.h"
#include "audit/decisions.h"
#include "fakes/fake_model_server.h"
#include "fakes/fake_roster.h"
#include "gateway/gateway.h"
#include "scenario/runner.h"
#include "scenario/scenario_clients.h"
#include "terms/terms_file.h"

namespace copperfront {
namespace {

// Prints the address for the process that started this one and waits for it.
void print_ready(const Address& address) {
    std::printf("ready %s\n", address.text().c_str());
    std::fflush(stdout);
}

std::uint32_t random_seed() { return std::random_device{}(); }

void add_overrides(CLI::App& app, Overrides& o) {
    app.add_option("--name", o.name, "name of this gateway, in place of the file's");
    app.add_option("--zone", o.zone, "zone it runs in");
    app.add_option("--listen", o.listen, "loopback address for callers, such as 127.0.0.1:7400");
    app.add_option("--roster", o.roster, "loopback address of the roster");
    app.add_option("--peer-listen", o.peer_listen,
                   "loopback address on which notes of other gateways are heard");
    app.add_option("--state", o.state_folder, "folder for the last list of servers");
    app.add_option("--trace", o.trace_folder, "folder for trace files");
    app.add_option("--log-level", o.log_level, "trace, debug, info, warn or error")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}));
    app.add_option("--log-form", o.log_form, "json or text")->check(CLI::IsMember({"json", "text"}));
    app.add_option("--log-file", o.log_file, "file for the log; none: standard error");
}

int run_gateway(const std::string& file, const Overrides& overrides, std::uint32_t seed,
                const std::string& shadow_file) {
    // A reload signal during the start would end the process if it were not ignored. The file that is read is
    // the new one anyway.
    ::signal(SIGHUP, SIG_IGN);
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    if (!read_terms_file(file, overrides, terms, diagnostics))
        return print_error(format_diagnostics(file, diagnostics));
    try {
        Log log(terms.logging.level, terms.logging.form, terms.logging.file, terms.logging.file_bytes,
                terms.logging.files);
        Loop loop;
        const std::uint32_t gateway_seed = seed != 0 ? seed : random_seed();
        Gateway gateway(loop, terms, gateway_seed, log);
        if (!shadow_file.empty()) {
            GatewayTerms shadow_terms;
            std::vector<Diagnostic> shadow_diagnostics;
            if (!read_terms_file(shadow_file, overrides, shadow_terms, shadow_diagnostics) ||
                !gateway.start_shadow_evaluation(shadow_terms, shadow_diagnostics, gateway_seed))
                return print_error(format_diagnostics(shadow_file, shadow_diagnostics));
        }
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { gateway.stop(); });
        loop.on_signal(SIGHUP, [&] { gateway.reload_in_background(file, overrides); });
        print_ready(gateway.address());
        loop.run();
    } catch (const std::exception& error) {
        return print_error(error.what(), kFailure);
    }
    return kSuccess;
}

// Options of a fake model server.
struct FakeServerOptions {
    fake_server::ModelServerProfile shape;
    fake_server::FakeModelServerOptions identity;
    double warm_up_ms = 0, overload_window_ms = 0;
    std::string reports = "none";
};

int run_fake_server(const FakeServerOptions& o, Role role) {
    fake_server::ModelServerProfile shape = o.shape;
    shape.role = role;
    shape.warm_up_time = {static_cast<std::int64_t>(o.warm_up_ms * 1000)};
    shape.overload_window = {static_cast<std::int64_t>(o.overload_window_ms * 1000)};
    fake_server::FakeModelServerOptions identity = o.identity;
    identity.reports = o.reports == "inline"     ? fake_server::LoadReportMode::inline_
                       : o.reports == "on-probe" ? fake_server::LoadReportMode::on_probe
                                                 : fake_server::LoadReportMode::none;
    try {
        Loop loop;
        fake_server::FakeModelServer server(loop, shape, identity);
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { server.stop(); });
        std::printf("born %lld\n", static_cast<long long>(server.started_at_ms()));
        print_ready(server.address());
        loop.run();
    } catch (const std::exception& error) {
        return print_error(error.what(), kFailure);
    }
    return kSuccess;
}

}  // namespace

int print_error(const std::string& what, int code) {
    std::cerr << "copperfront: " << what << std::endl;
    return code;
}

void add_gateway_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("gateway", "Run a gateway with the terms in FILE until SIGTERM");
    auto file = std::make_shared<std::string>();
    auto overrides = std::make_shared<Overrides>();
    auto seed = std::make_shared<std::uint32_t>(0);
    auto shadow_file = std::make_shared<std::string>();
    sub->add_option("FILE", *file, "terms file")->required();
    add_overrides(*sub, *overrides);
    sub->add_option("--watch", *shadow_file,
                    "another terms file: count where it would decide otherwise, decide as before");
    sub->add_option("--seed", *seed, "of chance; 0: drawn at the start");
    sub->callback(
        [=, &command] { command = [=] { return run_gateway(*file, *overrides, *seed, *shadow_file); }; });
}

void add_check_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("check", "Check the terms in FILE without starting anything");
    auto file = std::make_shared<std::string>();
    auto overrides = std::make_shared<Overrides>();
    auto effective = std::make_shared<bool>(false);
    sub->add_option("FILE", *file, "terms file")->required();
    sub->add_flag("--effective", *effective,
                  "print each route's limits after inheritance, and where each comes from");
    add_overrides(*sub, *overrides);
    sub->callback([=, &command] {
        command = [=] {
            GatewayTerms terms;
            std::vector<Diagnostic> diagnostics;
            if (!read_terms_file(*file, *overrides, terms, diagnostics))
                return print_error(format_diagnostics(*file, diagnostics));
            if (*effective) std::printf("%s", effective_text(terms).c_str());
            std::printf("%s: well; %zu categories, %zu kinds, %zu zones\n", file->c_str(),
                        terms.categories.size(), terms.kinds.size(), terms.zones.size());
            return kSuccess;
        };
    });
}

void add_routes_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("routes", "Print which route of FILE a query takes, and why");
    auto file = std::make_shared<std::string>();
    auto overrides = std::make_shared<Overrides>();
    auto match = std::make_shared<std::vector<std::string>>();
    sub->add_option("FILE", *file, "terms file")->required();
    sub->add_option("--match", *match,
                    "what is known of the query: category=NAME, client-group=NAME, listener=NAME, "
                    "prompt=TOKENS; anything "
                    "else is an attribute");
    add_overrides(*sub, *overrides);
    sub->callback([=, &command] {
        command = [=] {
            GatewayTerms terms;
            std::vector<Diagnostic> diagnostics;
            if (!read_terms_file(*file, *overrides, terms, diagnostics))
                return print_error(format_diagnostics(*file, diagnostics));
            RouteRequest route_request;
            route_request.listener = 0;
            for (const std::string& m : *match) {
                const std::size_t eq = m.find('=');
                if (eq == std::string::npos) return print_error("--match " + m + ": expected NAME=VALUE");
                const std::string key = m.substr(0, eq), value = m.substr(eq + 1);
                const auto look_up = [&](const NameTable& names, std::uint32_t& index) {
                    const std::uint32_t* known = names.find(value);
                    if (known) index = *known;
                    return known != nullptr;
                };
                bool is_known = true;
                if (key == "category")
                    is_known = look_up(terms.categories, route_request.category);
                else if (key == "client-group")
                    is_known = look_up(terms.client_groups, route_request.client_group);
                else if (key == "listener")
                    is_known = look_up(terms.listeners, route_request.listener);
                else if (key == "prompt")
                    is_known = CLI::detail::lexical_cast(value, route_request.prompt_tokens) &&
                               route_request.prompt_tokens >= 0;
                else if (const std::uint32_t* known = terms.attributes.find(m))
                    route_request.attributes.push_back(*known);
                if (!is_known && key == "prompt")
                    return print_error("--match " + m + ": expected a number of tokens");
                if (!is_known) return print_error("--match " + m + ": no such " + key + " in " + *file);
            }
            std::sort(route_request.attributes.begin(), route_request.attributes.end());
            const std::vector<std::uint32_t> matches = terms.table.all_matches(route_request);
            for (std::size_t n = 0; n < matches.size(); ++n) {
                const RouteTerms& r = terms.routes[matches[n]];
                std::string joined_conditions;
                for (const std::string& a : r.conditions)
                    joined_conditions += (joined_conditions.empty() ? "" : " and ") + a;
                std::printf("%s %s: %d conditions%s%s\n", n == 0 ? "takes" : "fits ", r.name.c_str(),
                            condition_count(r.match), joined_conditions.empty() ? "" : ", ",
                            joined_conditions.c_str());
            }
            std::printf(
                "More conditions go first; then those that name a category, a client group, a listener, more "
                "attributes, a narrower prompt size; then the first in the file.\n");
            return kSuccess;
        };
    });
}

void add_terms_command(CLI::App& app, Command& command) {
    auto* sub =
        app.add_subcommand("terms", "Print every key of a terms file with its unit, default and range");
    sub->callback([&command] {
        command = [] {
            std::printf(
                "# Terms file\n\nMade by `copperfront terms` from the table that the checks use.\n\n%s",
                schema_reference(terms_schema()).c_str());
            return kSuccess;
        };
    });
}

void add_fake_server_commands(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("standin", "Run a stand-in of an engine or of the roster until SIGTERM");
    sub->require_subcommand(1);
    for (const auto& [name, role] :
         {std::pair{"reader", Role::prefill}, {"writer", Role::decode}, {"mixed", Role::mixed}}) {
        auto* server_command = sub->add_subcommand(name, std::string("A stand-in engine: ") + name);
        auto o = std::make_shared<FakeServerOptions>();
        if (role != Role::prefill) o->shape.slots = 48;
        server_command->add_option("--name", o->identity.name, "its name in records")->required();
        server_command->add_option("--zone", o->identity.zone, "the zone it stands in");
        server_command->add_option("--cell", o->identity.cell, "the cell it stands in");
        server_command->add_option("--listen", o->identity.listen, "loopback address")->capture_default_str();
        server_command->add_option("--record", o->identity.record,
                                   "file for the record of its sockets; none: no record");
        server_command->add_option("--seed", o->identity.seed, "of chance")->capture_default_str();
        server_command->add_option("--reports", o->reports, "none, inline or on-probe")
            ->check(CLI::IsMember({"none", "inline", "on-probe"}))
            ->capture_default_str();
        server_command->add_option("--slots", o->shape.slots, "queries at once")->capture_default_str();
        server_command->add_option("--queue", o->shape.queue_capacity, "queries that may wait")
            ->capture_default_str();
        server_command->add_option("--memory", o->shape.memory_tokens, "tokens")->capture_default_str();
        server_command->add_option("--kept", o->shape.cache_capacity_tokens, "tokens of texts kept")
            ->capture_default_str();
        server_command->add_option("--read-rate", o->shape.prefill_tokens_per_s, "prompt tokens a second")
            ->capture_default_str();
        server_command->add_option("--step-ms", o->shape.step_ms, "ms for a token of every stream")
            ->capture_default_str();
        server_command
            ->add_option("--step-ms-per-stream", o->shape.step_ms_per_stream, "ms more for each stream")
            ->capture_default_str();
        server_command
            ->add_option("--fetch-rate", o->identity.transfer_tokens_per_s,
                         "tokens of a state moved a second")
            ->capture_default_str();
        server_command->add_flag("--cold", o->identity.cold, "has just started: slow at first");
        server_command
            ->add_option("--cold-from", o->shape.cold_speed_share, "share of its speed at the start")
            ->capture_default_str();
        server_command->add_option("--warm-ms", o->warm_up_ms, "until it is warm")->capture_default_str();
        server_command
            ->add_option("--tip-multiple", o->shape.overload_multiple,
                         "falls over past this multiple; 0: never")
            ->capture_default_str();
        server_command->add_option("--fall-ms", o->overload_window_ms, "for this long")
            ->capture_default_str();
        server_command->callback(
            [o, r = role, &command] { command = [o, r] { return run_fake_server(*o, r); }; });
    }
    add_fake_platform_command(*sub, command);
    add_model_server_command(*sub, command);
    add_hostile_clients_command(*sub, command);
    auto* roster = sub->add_subcommand("roster", "A stand-in roster; its list is set by the call roster/set");
    auto identity = std::make_shared<fake_server::FakeRosterOptions>();
    auto min_delay_ms = std::make_shared<double>(200), max_delay_ms = std::make_shared<double>(1000);
    roster->add_option("--listen", identity->listen, "loopback address")->capture_default_str();
    roster->add_option("--record", identity->record, "file for the record of its sockets");
    roster->add_option("--seed", identity->seed, "of chance")->capture_default_str();
    roster
        ->add_option("--least-delay-ms", *min_delay_ms, "a gateway hears of a change this late at the least")
        ->capture_default_str();
    roster->add_option("--most-delay-ms", *max_delay_ms, "and this late at the most")->capture_default_str();
    roster->callback([=, &command] {
        command = [=] {
            identity->min_delay = {static_cast<std::int64_t>(*min_delay_ms * 1000)};
            identity->max_delay = {static_cast<std::int64_t>(*max_delay_ms * 1000)};
            try {
                Loop loop;
                fake_server::FakeRoster server(loop, *identity);
                for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { server.stop(); });
                print_ready(server.address());
                loop.run();
            } catch (const std::exception& error) {
                return print_error(error.what(), kFailure);
            }
            return kSuccess;
        };
    });
}

void add_clients_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("callers", "The callers of one zone; started by `day`");
    sub->group("");
    auto script = std::make_shared<std::string>();
    auto options = std::make_shared<scenario::ClientOptions>();
    auto gateways = std::make_shared<std::vector<std::string>>();
    sub->add_option("SCRIPT", *script)->required();
    sub->add_option("--zone", options->zone)->required();
    sub->add_option("--record", options->record);
    sub->add_option("--begins-at", options->begins_at);
    sub->add_option("--gateway", *gateways, "NAME=ADDRESS")->required();
    sub->callback([=, &command] {
        command = [=] {
            scenario::Scenario s;
            GatewayTerms terms;
            std::vector<Diagnostic> diagnostics;
            if (!scenario::read_scenario_file(*script, s, terms, diagnostics))
                return print_error(format_diagnostics(*script, diagnostics));
            for (const std::string& g : *gateways) {
                const std::size_t separator = g.find('=');
                if (separator == std::string::npos)
                    return print_error("--gateway " + g + ": expected NAME=ADDRESS");
                options->gateways.emplace_back(g.substr(0, separator), g.substr(separator + 1));
            }
            try {
                scenario::run_clients(s, terms, *options);
            } catch (const std::exception& error) {
                return print_error(error.what(), kFailure);
            }
            return kSuccess;
        };
    });
}

void add_scenario_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("day", "Play a day over real sockets, and audit what its peers saw");
    auto options = std::make_shared<scenario::RunOptions>();
    auto json = std::make_shared<bool>(false), print_keys = std::make_shared<bool>(false);
    sub->add_option("SCRIPT", options->script, "day script");
    sub->add_option("--keep", options->folder,
                    "folder for records, logs and state; none: one that is removed if all is well");
    sub->add_option("--gateway-program", options->gateway_program, "another program in the gateway's place");
    sub->add_option("--gateway-arg", options->gateway_args, "one more argument for each gateway");
    sub->add_flag("--quiet", options->quiet, "no progress");
    sub->add_flag("--json", *json, "the report as JSON");
    sub->add_flag("--keys", *print_keys, "print every key of a day script, and do nothing");
    sub->callback([=, &command] {
        command = [=] {
            if (*print_keys) {
                std::printf(
                    "# Day scripts\n\nMade by `copperfront day --keys` from the table that the checks "
                    "use.\n\n%s",
                    schema_reference(scenario::scenario_schema()).c_str());
                return kSuccess;
            }
            if (options->script.empty())
                return print_error("day: a SCRIPT is wanted; see copperfront day --help");
            const bool keep = !options->folder.empty();
            if (!keep)
                options->folder =
                    (std::filesystem::temp_directory_path() / ("copperfront-day-" + std::to_string(getpid())))
                        .string();
            options->program = std::filesystem::read_symlink("/proc/self/exe").string();
            try {
                const audit::Report report = scenario::run_scenario(*options);
                std::printf("%s", (*json ? audit::json_of(report) + "\n" : audit::text_of(report)).c_str());
                if (report.passed() && !keep) std::filesystem::remove_all(options->folder);
                if (!report.passed())
                    return print_error("the day is not clean; its records are in " + options->folder,
                                       kFailure);
                return kSuccess;
            } catch (const std::invalid_argument& error) {
                return print_error(error.what());
            } catch (const std::exception& error) {
                return print_error(error.what(), kFailure);
            }
        };
    });
}

void add_audit_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand("audit", "Check the five rules on the records of a day in DIR");
    auto folder = std::make_shared<std::string>();
    auto json = std::make_shared<bool>(false);
    sub->add_option("DIR", *folder, "folder that a day was played into")->required();
    sub->add_flag("--json", *json, "the report as JSON");
    sub->callback([=, &command] {
        command = [=] {
            try {
                audit::Report report = audit::check(audit::read_history(*folder));
                audit::add_explanations(report, *folder + "/traces");
                std::printf("%s", (*json ? audit::json_of(report) + "\n" : audit::text_of(report)).c_str());
                return report.passed() ? kSuccess : kFailure;
            } catch (const std::exception& error) {
                return print_error(error.what());
            }
        };
    });
}

}  // namespace copperfront
