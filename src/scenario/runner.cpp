#include "scenario/runner.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <stdexcept>

#include "audit/decisions.h"
#include "interning/name_table.h"
#include "net/line_connection.h"
#include "recording/recorder.h"
#include "rpc/wire.h"
#include "scenario/process.h"

namespace copperfront::scenario {
namespace {

using rpc::Json;

constexpr LineLimits kLineLimits{4 << 20, 16 << 20};
constexpr Duration kStartTimeout{20000000};  // until all processes are ready
constexpr Duration kSettleTime{500000};      // from the last ready process to the first request
constexpr Duration kStopTimeout{40000000};
constexpr Duration kProgressInterval{5000000};
constexpr Duration kReloadInterval{150000};

// A control connection to one fake server or the fake roster. Commands wait until it is open.
class ControlConnection : public LineConnection::Owner {
  public:
    ControlConnection(Loop& loop, const std::string& address) : loop_(loop) {
        link_ = LineConnection::dial(loop, Address::parse(address), kLineLimits, *this);
    }
    ~ControlConnection() override { LineConnection::detach_and_close(loop_, std::move(link_), true); }
    void send_request(std::string_view method, const Json& params) {
        const std::string line = rpc::request_line(rpc::Id{++id_}, method, params);
        if (is_open_)
            link_->send(line);
        else
            waiting_commands_.push_back(line);
    }
    void connection_opened(LineConnection& link) override {
        is_open_ = true;
        for (const std::string& line : waiting_commands_) link.send(line);
        waiting_commands_.clear();
    }
    void line_received(LineConnection&, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (m && m->kind == rpc::MessageKind::error)
            std::fprintf(stderr, "copperfront: a fake server returned an error: %s\n", m->text.c_str());
    }
    void connection_closed(LineConnection&, CloseReason, const std::string&) override { closed_ = true; }
    bool closed() const { return closed_; }

  private:
    Loop& loop_;
    std::unique_ptr<LineConnection> link_;
    std::vector<std::string> waiting_commands_;
    std::int64_t id_ = 0;
    bool is_open_ = false, closed_ = false;
};

// Runs one scenario.
class Runner {
  public:
    Runner(const RunOptions& options, const Scenario& scenario, const GatewayTerms& terms)
        : options_(options),
          scenario_(scenario),
          terms_(terms),
          processes_(loop_),
          record_(options.folder + "/run.rec"),
          watchdog_(loop_,
                    [this] {
                        fail(stopping_ ? "processes did not stop in time; see " + options_.folder
                                       : "processes were not ready in time; missing: " + missing());
                    }),
          progress_(loop_, [this] { show_progress(); }) {
        for (const int number : {SIGTERM, SIGINT})
            loop_.on_signal(number, [this] { fail("stopped by a signal"); });
    }

    audit::Report run() {
        record_terms();
        write_terms("");
        watchdog_.set(kStartTimeout);
        start_roster();
        loop_.run();
        if (!failure_.empty()) throw std::runtime_error(failure_);
        audit::Report report = audit::check(audit::read_history(options_.folder));
        audit::add_explanations(report, path_of("traces"));
        return report;
    }

  private:
    struct ProcessState {
        std::string address;
        std::int64_t born_ms = 0;
        bool ready = false;
    };

    void fail(const std::string& why) {
        if (failure_.empty()) failure_ = why;
        loop_.stop();
    }

    std::string missing() const {
        std::string out;
        for (const auto& [name, state] : process_states_)
            if (!state.ready) out += (out.empty() ? "" : ", ") + name;
        return out + "; see " + options_.folder;
    }

    void print_progress(const std::string& what) const {
        if (!options_.quiet) std::fprintf(stderr, "%s\n", what.c_str());
    }

    void record_terms() {
        Json categories = Json::object();
        for (std::size_t c = 0; c < terms_.core.categories.size(); ++c) {
            const Category& k = terms_.core.categories[c];
            categories[terms_.categories.name(static_cast<std::uint32_t>(c))] = {
                {"effect", k.effect == Effect::pure        ? "pure"
                           : k.effect == Effect::receipted ? "receipted"
                                                           : "effectful"},
                {"group", k.group == DedupScope::all    ? "all"
                          : k.group == DedupScope::zone ? "zone"
                                                        : "cell"},
                {"window_ms", k.window.ms()},
                {"latency_goal_ms", k.latency_goal.ms()},
                {"goal_per_thousand_ms", k.goal_per_thousand.ms()},
                {"token_gap_ms", k.token_gap.ms()}};
        }
        record_.note("terms", {{"answer_slack_ms", terms_.answer_slack.ms()},
                               {"drain_grace_ms", terms_.drain_grace.ms()},
                               {"fall_ms", terms_.core.overload_window.ms()},
                               {"tip_multiple", terms_.core.overload_multiple},
                               {"release_within_ms", terms_.core.release_within.ms()},
                               {"categories", categories},
                               {"day", scenario_.name},
                               {"seed", scenario_.seed}});
        for (const GatewayPlan& g : scenario_.gateways)
            record_.note("gateway", {{"name", g.name}, {"zone", g.zone}});
    }

    std::string path_of(const std::string& name) const { return options_.folder + "/" + name; }

    // ---- starting

    void start(const std::string& name, const std::string& program, std::vector<std::string> args,
               std::function<void(int)> ended, std::function<void()> ready) {
        ChildProcesses::ProcessOptions options;
        options.name = name;
        options.program = program;
        options.args = std::move(args);
        options.stderr_file = path_of(name + ".log");
        options.on_output_line = [this, name, ready](const std::string& line) {
            ProcessState& state = process_states_[name];
            if (line.rfind("born ", 0) == 0) state.born_ms = std::atoll(line.c_str() + 5);
            if (line.rfind("ready ", 0) != 0) return;
            state.address = line.substr(6);
            state.ready = true;
            record_.note("ready", {{"name", name}, {"address", state.address}});
            ready();
        };
        options.on_exit = [this, name, ended](int status) {
            process_states_[name].ready = false;
            record_.note("ended", {{"name", name},
                                   {"status", WIFEXITED(status) ? WEXITSTATUS(status) : -1},
                                   {"signal", WIFSIGNALED(status) ? WTERMSIG(status) : 0}});
            ended(status);
        };
        process_states_[name].ready = false;
        processes_.start(std::move(options));
    }

    void start_roster() {
        print_progress("starts the roster, " + std::to_string(scenario_.servers.size()) + " engines and " +
                       std::to_string(scenario_.gateways.size()) + " gateways; records go to " +
                       options_.folder);
        start(
            "roster", options_.program,
            {"standin", "roster", "--record", path_of("roster.rec"), "--seed", std::to_string(scenario_.seed),
             "--least-delay-ms", std::to_string(scenario_.roster_min_delay.ms()), "--most-delay-ms",
             std::to_string(scenario_.roster_max_delay.ms())},
            [this](int) { roster_exited("roster"); },
            [this] {
                roster_ = std::make_unique<ControlConnection>(loop_, process_states_["roster"].address);
                for (const ServerPlan& e : scenario_.servers) start_server(e, e.cold);
            });
    }

    void start_server(const ServerPlan& e, bool cold) {
        const auto number = [](double x) { return std::to_string(x); };
        std::vector<std::string> args = {"standin",
                                         e.role,
                                         "--name",
                                         e.name,
                                         "--zone",
                                         e.zone,
                                         "--cell",
                                         e.cell,
                                         "--record",
                                         path_of(e.name + ".rec"),
                                         "--seed",
                                         std::to_string(scenario_.seed + e.name.size() * 7919 +
                                                        static_cast<std::uint32_t>(hash_of(e.name) & 0xffff)),
                                         "--reports",
                                         e.load_reports,
                                         "--slots",
                                         std::to_string(e.slots),
                                         "--queue",
                                         std::to_string(e.queue),
                                         "--memory",
                                         number(e.memory_tokens),
                                         "--kept",
                                         number(e.cache_tokens),
                                         "--read-rate",
                                         number(e.prefill_tokens_per_s),
                                         "--step-ms",
                                         number(e.step_ms),
                                         "--step-ms-per-stream",
                                         number(e.step_ms_per_stream),
                                         "--fetch-rate",
                                         number(e.transfer_tokens_per_s),
                                         "--cold-from",
                                         number(scenario_.cold_speed_share),
                                         "--warm-ms",
                                         number(scenario_.warm_up_time.ms()),
                                         "--tip-multiple",
                                         number(terms_.core.overload_multiple),
                                         "--fall-ms",
                                         number(terms_.core.overload_window.ms())};
        if (cold) args.push_back("--cold");
        if (const std::string& known = process_states_[e.name].address; !known.empty()) {
            args.push_back("--listen");
            args.push_back(known);
        }
        start(
            e.name, options_.program, std::move(args), [this, name = e.name](int) { server_exited(name); },
            [this, plan = &e] { server_ready(*plan); });
    }

    rpc::RosterEntry entry(const ServerPlan& e, ServerStatus status) {
        const ProcessState& state = process_states_[e.name];
        return {state.address, e.name, e.kind, e.zone, e.cell, state.born_ms, status};
    }

    void update_roster(const std::vector<rpc::RosterEntry>& entries) {
        Json update = rpc::roster_update_json({1, false, entries});
        roster_->send_request("roster/set", {{"servers", update["servers"]}});
    }

    void server_ready(const ServerPlan& e) {
        if (running_) {
            update_roster({entry(e, ServerStatus::ready)});
            return;
        }
        std::vector<rpc::RosterEntry> all;
        for (const ServerPlan& plan : scenario_.servers) {
            if (!process_states_[plan.name].ready) return;
            all.push_back(entry(plan, ServerStatus::ready));
        }
        if (gateways_started_) return;
        gateways_started_ = true;
        update_roster(all);
        for (const GatewayPlan& g : scenario_.gateways) start_gateway(g);
    }

    void server_exited(const std::string& name) {
        controls_.erase(name);
        if (stopping_) return continue_shutdown();
        const ServerPlan& plan = server_plan(name);
        // The roster lists the server as removed, as a real registry does once it notices that the process
        // has ended.
        update_roster({entry(plan, ServerStatus::removed)});
        if (!expected_exits_.count(name))
            print_progress(name + " has exited unexpectedly (it may have been overloaded)");
    }

    const ServerPlan& server_plan(const std::string& name) const {
        return *std::find_if(scenario_.servers.begin(), scenario_.servers.end(),
                             [&](const ServerPlan& e) { return e.name == name; });
    }

    void start_gateway(const GatewayPlan& g) {
        std::vector<std::string> args = {
            "gateway",
            path_of("gateways.terms"),
            "--name",
            g.name,
            "--zone",
            g.zone,
            "--roster",
            process_states_["roster"].address,
            "--state",
            path_of("state-" + g.name),
            "--trace",
            path_of("traces"),
            "--seed",
            std::to_string(scenario_.seed + 1000 + hash_of(g.name) % 1000 + start_counts_[g.name]++)};
        if (const std::string& known = process_states_[g.name].address; !known.empty()) {
            args.push_back("--listen");
            args.push_back(known);
        }
        args.insert(args.end(), options_.gateway_args.begin(), options_.gateway_args.end());
        start(
            g.name, options_.gateway_program.empty() ? options_.program : options_.gateway_program,
            std::move(args), [this, name = g.name](int status) { gateway_exited(name, status); },
            [this] { gateway_ready(); });
    }

    void gateway_ready() {
        if (running_) return;
        for (const GatewayPlan& g : scenario_.gateways)
            if (!process_states_[g.name].ready) return;
        watchdog_.cancel();
        running_ = true;
        start_clients();
    }

    void gateway_exited(const std::string& name, int status) {
        if (!expected_exits_.count(name) && !stopping_)
            return fail("gateway " + name + " exited unexpectedly; see " + path_of(name + ".log"));
        if (stopping_ && !(WIFEXITED(status) && WEXITSTATUS(status) == 0))
            return fail("gateway " + name + " did not stop cleanly; see " + path_of(name + ".log"));
        if (stopping_) continue_shutdown();
    }

    void roster_exited(const std::string& name) {
        if (!stopping_) return fail(name + " exited unexpectedly; see " + path_of(name + ".log"));
        continue_shutdown();
    }

    void start_clients() {
        begins_at_ = monotonic_clock_us() + kSettleTime.us;
        std::set<std::string> zones;
        for (const TrafficPlan& t : scenario_.traffic) zones.insert(t.zone);
        for (const std::string& zone : zones) {
            const std::string name = "callers-" + zone;
            std::vector<std::string> args = {
                "callers",  options_.script,        "--zone",      zone,
                "--record", path_of(name + ".rec"), "--begins-at", std::to_string(begins_at_)};
            for (const GatewayPlan& g : scenario_.gateways) {
                if (g.zone != zone) continue;
                args.push_back("--gateway");
                args.push_back(g.name + "=" + process_states_[g.name].address);
            }
            ++client_processes_;
            start(
                name, options_.program, std::move(args),
                [this, name](int status) {
                    if (!(WIFEXITED(status) && WEXITSTATUS(status) == 0))
                        return fail(name + " exited unexpectedly; see " + path_of(name + ".log"));
                    if (--client_processes_ == 0) stop_gateways();
                },
                [] {});
        }
        for (const FaultPlan& t : scenario_.fault_plans) schedule_fault(t);
        progress_.set(kProgressInterval);
    }

    void show_progress() {
        const double at = static_cast<double>(monotonic_clock_us() - begins_at_) / 1e6;
        char line[120];
        std::snprintf(line, sizeof line, "%3.0f of %.0f s, %zu processes", at,
                      (scenario_.length + scenario_.tail).ms() / 1000, processes_.count());
        print_progress(line);
        if (!stopping_) progress_.set(kProgressInterval);
    }

    // ---- faults

    void schedule(Duration time, std::function<void()> action) {
        auto timer = std::make_unique<Timer>(loop_, [this, action] {
            if (!stopping_) action();
        });
        timer->set(Duration{begins_at_ + time.us - monotonic_clock_us()});
        timers_.push_back(std::move(timer));
    }

    void send_fault(const std::string& name, const Json& fault) {
        if (!processes_.is_running(name) || !process_states_[name].ready) return;
        auto& control = controls_[name];
        if (!control || control->closed())
            control = std::make_unique<ControlConnection>(loop_, process_states_[name].address);
        control->send_request("standin/fault", fault);
    }

    void kill(const std::string& name) {
        expected_exits_.insert(name);
        record_.note("killed", {{"name", name}});
        processes_.signal(name, SIGKILL);
    }

    void schedule_fault(const FaultPlan& t) {
        schedule(t.at, [this, t] {
            print_progress("trouble " + t.name + ": " + t.kind);
            record_.note("trouble", {{"name", t.name}, {"what", t.kind}});
        });
        const Duration end = t.at + t.duration;
        const auto begin_and_end = [&](const Json& begin, const Json& over) {
            for (const std::string& name : t.targets) {
                schedule(t.at, [this, name, begin] { send_fault(name, begin); });
                schedule(end, [this, name, over] { send_fault(name, over); });
            }
        };
        if (t.kind == "crash") {
            for (const std::string& name : t.targets) {
                schedule(t.at, [this, name] { kill(name); });
                schedule(end, [this, name] {
                    if (!processes_.is_running(name)) start_server(server_plan(name), true);
                });
            }
        } else if (t.kind == "slow") {
            begin_and_end({{"kind", "slow"}, {"size", t.size}}, {{"kind", "slow"}, {"size", 1}});
        } else if (t.kind == "ageing") {
            // The server becomes slower until it is killed, and comes back cold after half that time again.
            for (const std::string& name : t.targets) {
                schedule(t.at, [this, name, t] {
                    send_fault(name, {{"kind", "ageing"}, {"size", t.size}, {"forMs", t.duration.ms()}});
                });
                schedule(end, [this, name] { kill(name); });
                schedule(end + t.duration * 0.5, [this, name] {
                    if (!processes_.is_running(name)) start_server(server_plan(name), true);
                });
            }
        } else if (t.kind == "errors") {
            begin_and_end({{"kind", "errors"}, {"size", t.size}}, {{"kind", "errors"}, {"size", 0}});
        } else if (t.kind == "lost-silent" || t.kind == "lost-reset") {
            begin_and_end(
                {{"kind", "lost"}, {"size", t.size}, {"how", t.kind == "lost-reset" ? "reset" : "silent"}},
                {{"kind", "lost"}, {"size", 0}});
        } else if (t.kind == "greeting") {
            begin_and_end({{"kind", "greeting"}, {"size", t.size}}, {{"kind", "greeting"}, {"size", 0}});
        } else if (t.kind == "hang") {
            begin_and_end({{"kind", "hang"}, {"size", 1}}, {{"kind", "hang"}, {"size", 0}});
        } else if (t.kind == "forget") {
            for (const std::string& name : t.targets)
                schedule(t.at, [this, name] { send_fault(name, {{"kind", "forget"}}); });
        } else if (t.kind == "drain") {
            // As in a deployment: the roster announces the drain first, the server is stopped when the time
            // is over, and it comes back as a new process.
            for (const std::string& name : t.targets) {
                schedule(t.at,
                         [this, name] { update_roster({entry(server_plan(name), ServerStatus::draining)}); });
                schedule(end, [this, name] {
                    expected_exits_.insert(name);
                    record_.note("asked to stop", {{"name", name}});
                    processes_.signal(name, SIGTERM);
                });
                schedule(end + Duration{2000000}, [this, name] {
                    if (!processes_.is_running(name)) start_server(server_plan(name), true);
                });
            }
        } else if (t.kind == "cut") {
            const auto all = [this](const std::string& zone) {
                for (const ServerPlan& e : scenario_.servers)
                    send_fault(e.name, {{"kind", "cut"}, {"zone", zone}});
            };
            schedule(t.at, [this, t, all] {
                record_.note("cut", {{"zone", t.zone}});
                all(t.zone);
            });
            schedule(end, [this, t, all] {
                all("");
                record_.note("cut ends", {{"zone", t.zone}});
            });
        } else if (t.kind == "roster-late") {
            schedule(t.at, [this, t] {
                roster_->send_request("standin/fault", {{"kind", "late"}, {"size", t.size}});
            });
            schedule(end, [this] {
                roster_->send_request("standin/fault", {{"kind", "late"}, {"size", 0}});
            });
        } else if (t.kind == "kill-gateway") {
            for (const std::string& name : t.targets) {
                schedule(t.at, [this, name] { kill(name); });
                schedule(end, [this, name] { restart_gateway(name); });
            }
        } else if (t.kind == "reload") {
            // Alternates valid terms with terms that have one invalid entry at their end.
            for (Duration time = t.at; time < end; time = time + kReloadInterval) {
                schedule(time, [this, t] {
                    // While a gateway starts, only valid terms are written: it would rightly refuse to start
                    // with invalid ones, which is not what this fault tests.
                    bool all_ready = true;
                    for (const GatewayPlan& g : scenario_.gateways)
                        all_ready &= process_states_[g.name].ready;
                    write_terms(++reloads_ % 2 == 0 || !all_ready ? "" : "(nonsense)");
                    for (const std::string& name : t.targets)
                        if (process_states_[name].ready) processes_.signal(name, SIGHUP);
                });
            }
            schedule(end, [this] { write_terms(""); });
        } else if (t.kind == "roll-gateways") {
            // One gateway after another is asked to stop, and started again once it has stopped.
            Duration time = t.at;
            for (const std::string& name : t.targets) {
                schedule(time, [this, name] {
                    expected_exits_.insert(name);
                    record_.note("asked to stop", {{"name", name}});
                    processes_.signal(name, SIGTERM);
                });
                time = time + t.duration * (1.0 / static_cast<double>(t.targets.size()));
                schedule(time, [this, name] { restart_gateway(name); });
            }
        }
    }

    // Writes the gateways' own copy of the terms, which can change while they run.
    void write_terms(const std::string& addition) {
        std::string text;
        std::vector<Diagnostic> diagnostics;
        read_file(scenario_.terms_file, std::size_t{64} << 20, text, diagnostics);
        const std::string temporary = path_of("gateways.terms.new");
        std::ofstream(temporary) << text.substr(0, text.rfind(')')) << addition << ")\n";
        std::filesystem::rename(temporary, path_of("gateways.terms"));
    }

    void restart_gateway(const std::string& name) {
        if (processes_.is_running(name)) {
            // It still finishes its last requests.
            schedule(Duration{monotonic_clock_us() - begins_at_ + 100000},
                     [this, name] { restart_gateway(name); });
            return;
        }
        expected_exits_.erase(name);
        write_terms("");
        for (const GatewayPlan& g : scenario_.gateways)
            if (g.name == name) start_gateway(g);
    }

    // ---- stopping

    void stop_gateways() {
        print_progress("the last request has ended; stopping all processes");
        stopping_ = true;
        watchdog_.set(kStopTimeout);
        for (const GatewayPlan& g : scenario_.gateways) {
            record_.note("asked to stop", {{"name", g.name}});
            processes_.signal(g.name, SIGTERM);
        }
        continue_shutdown();
    }

    void continue_shutdown() {
        if (!stopping_) return;
        for (const GatewayPlan& g : scenario_.gateways)
            if (processes_.is_running(g.name)) return;
        if (!servers_stopped_) {
            servers_stopped_ = true;
            for (const ServerPlan& e : scenario_.servers) {
                record_.note("asked to stop", {{"name", e.name}});
                processes_.signal(e.name, SIGTERM);
            }
            record_.note("asked to stop", {{"name", "roster"}});
            processes_.signal("roster", SIGTERM);
        }
        if (processes_.count() > 0) return;
        record_.end();
        loop_.stop();
    }

    const RunOptions& options_;
    const Scenario& scenario_;
    const GatewayTerms& terms_;
    Loop loop_;
    ChildProcesses processes_;
    Recorder record_;
    Timer watchdog_, progress_;
    std::map<std::string, ProcessState> process_states_;
    std::map<std::string, std::unique_ptr<ControlConnection>> controls_;
    std::map<std::string, std::uint64_t> start_counts_;
    std::unique_ptr<ControlConnection> roster_;
    std::vector<std::unique_ptr<Timer>> timers_;
    std::set<std::string> expected_exits_;
    std::int64_t begins_at_ = 0;
    std::size_t client_processes_ = 0, reloads_ = 0;
    bool running_ = false, stopping_ = false, servers_stopped_ = false, gateways_started_ = false;
    std::string failure_;
};

}  // namespace

audit::Report run_scenario(const RunOptions& options) {
    Scenario scenario;
    GatewayTerms terms;
    std::vector<Diagnostic> diagnostics;
    if (!read_scenario_file(options.script, scenario, terms, diagnostics))
        throw std::invalid_argument(format_diagnostics(options.script, diagnostics));
    std::error_code error;
    std::filesystem::create_directories(options.folder, error);
    if (error) throw std::runtime_error("folder " + options.folder + " cannot be made: " + error.message());
    if (!std::filesystem::is_empty(options.folder))
        throw std::invalid_argument("folder " + options.folder + " is not empty; name a new one with --keep");
    Runner runner(options, scenario, terms);
    return runner.run();
}

}  // namespace copperfront::scenario
