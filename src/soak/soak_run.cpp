#include "soak/soak_run.h"

#include <signal.h>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include "net/loop.h"
#include "soak/fleet.h"
#include "soak/hostile_clients.h"
#include "soak/load_client.h"
#include "soak/stalled_client.h"

namespace copperfront::soak {
namespace {

constexpr Duration kMs{1000};
constexpr Duration kReadyTimeout = kMs * 20000;
constexpr Duration kLastRequestsTimeout =
    kMs * 4500;  // the longest deadline, and how long a client waits past it
constexpr Duration kExitTimeout = kMs * 5000;
constexpr Duration kPollInterval = kMs * 20;
constexpr int kIdleConnectionCount = 300;
constexpr int kRenamedServers = 4;
constexpr int kStalledClients = 3;
constexpr double kIdleConnectionsShare = 0.3;  // of the runs
constexpr double kHungRoleShare = 0.8;         // of the servers of a role that hang together

// Idle connections that send nothing.
class IdleConnections {
  public:
    IdleConnections(Loop& loop, const Address& to) {
        for (int n = 0; n < kIdleConnectionCount; ++n) {
            connections_.push_back(std::make_unique<Connection>(loop));
            connections_.back()->stream = Stream::dial(loop, to, {0, 0}, *connections_.back());
        }
    }

  private:
    struct Connection : Stream::Owner {
        explicit Connection(Loop& the_loop) : loop(the_loop) {}
        ~Connection() override { Stream::detach_and_close(loop, std::move(stream), false); }
        void bytes_received(Stream& s) override { s.drain(s.buffered()); }
        void stream_closed(Stream&, CloseReason, const std::string&) override {}
        Loop& loop;
        std::unique_ptr<Stream> stream;
    };
    std::vector<std::unique_ptr<Connection>> connections_;
};

// Draws faults from the seed and injects them, several at once.
class FaultSchedule {
  public:
    FaultSchedule(Loop& loop, Fleet& fleet, Records& records, std::uint32_t seed, bool large_lists)
        : loop_(loop),
          fleet_(fleet),
          records_(records),
          fault_count_(large_lists ? kLargeListFaultCount : kUsualFaultCount),
          random_(seed),
          next_fault_(loop, [this] { inject_next(); }) {
        uses_idle_connections_ =
            std::uniform_real_distribution<double>(0, 1)(random_) < kIdleConnectionsShare;
    }
    void start() { next_fault_.set(kMs * 300); }
    void stop() {
        next_fault_.cancel();
        idle_connections_.reset();
    }

  private:
    enum class Fault {
        pause_server,
        pause_role,
        crash_server,
        drain_server,
        cut_off_server,
        silence_connections,
        reset_connections,
        slow_connections,
        restart_gateway,
        restart_series,
        crash_gateway,
        reload_series,
        pause_gateway,
        silence_discovery,
        silence_watches,
        reset_watches,
        move_discovery,
        idle_connections,
        mute_server,
        mute_role,
        signal_series,
        stalled_clients,
        // Only in runs with large lists.
        replace_quarter,
        slow_lists,
        indented_lists,
        rename_servers,
    };
    static constexpr int kUsualFaultCount = static_cast<int>(Fault::stalled_clients) + 1;
    static constexpr int kLargeListFaultCount = static_cast<int>(Fault::rename_servers) + 1;

    std::int64_t draw_between(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
    }
    Duration random_duration(std::int64_t least_ms, std::int64_t most_ms) {
        return kMs * static_cast<double>(draw_between(least_ms, most_ms));
    }
    std::size_t any_server() {
        return static_cast<std::size_t>(
            draw_between(0, static_cast<std::int64_t>(fleet_.server_count()) - 1));
    }
    std::size_t any_gateway() {
        return static_cast<std::size_t>(
            draw_between(0, static_cast<std::int64_t>(fleet_.gateway_count()) - 1));
    }

    void inject_next() {
        inject(static_cast<Fault>(draw_between(0, fault_count_ - 1)));
        next_fault_.set(random_duration(50, 600));
    }

    void inject(Fault fault) {
        switch (fault) {
            case Fault::pause_server:
                return fleet_.pause_server(any_server(), random_duration(100, 4000));
            case Fault::pause_role:
                return pause_role();
            case Fault::crash_server:
                return fleet_.crash_server(any_server());
            case Fault::drain_server:
                return fleet_.drain_server(any_server(), random_duration(500, 9000));
            case Fault::cut_off_server:
                return fleet_.cut_off_server(any_server(), random_duration(200, 4000));
            case Fault::silence_connections:
                return fleet_.silence_connections(any_server(), 0.5);
            case Fault::reset_connections:
                return fleet_.reset_connections(any_server(), 0.5);
            case Fault::slow_connections:
                return fleet_.slow_connections(any_server(), random_duration(20, 1000),
                                               random_duration(200, 2000));
            case Fault::restart_gateway:
                return fleet_.restart_gateway(any_gateway());
            case Fault::restart_series:
                fleet_.reload_gateway(any_gateway());
                for (int n = 0; n < 2; ++n) fleet_.restart_gateway(any_gateway());
                return;
            case Fault::crash_gateway:
                return fleet_.crash_gateway(any_gateway());
            case Fault::reload_series:
                return reload_series();
            case Fault::pause_gateway:
                return fleet_.pause_gateway(any_gateway(), random_duration(20, 150));
            case Fault::silence_discovery:
                return fleet_.silence_discovery(random_duration(300, 3000));
            case Fault::silence_watches:
                return fleet_.silence_watches();
            case Fault::reset_watches:
                return fleet_.reset_watches();
            case Fault::move_discovery:
                return fleet_.move_discovery();
            case Fault::idle_connections:
                return open_idle_connections();
            case Fault::mute_server:
                return fleet_.mute_server(any_server());
            case Fault::mute_role:
                return mute_role();
            case Fault::signal_series:
                return fleet_.signal_series(any_gateway());
            case Fault::stalled_clients:
                return start_stalled_clients();
            case Fault::replace_quarter:
                return fleet_.replace_quarter(any_server(), random_duration(100, 400));
            case Fault::slow_lists:
                return fleet_.write_lists_slowly(static_cast<std::size_t>(draw_between(1, 30)),
                                                 random_duration(1, 50));
            case Fault::indented_lists:
                return fleet_.indent_lists(draw_between(0, 1) == 0);
            case Fault::rename_servers:
                return rename_servers();
        }
    }

    // Most servers of a role hang at once.
    void pause_role() {
        const bool prefill = draw_between(0, 1) == 0;
        const Duration time = random_duration(500, 3000);
        for (std::size_t server = 0; server < fleet_.server_count(); ++server) {
            if (fleet_.is_prefill(server) != prefill) continue;
            if (std::uniform_real_distribution<double>(0, 1)(random_) < kHungRoleShare) {
                fleet_.pause_server(server, time);
            }
        }
    }

    // Most servers of a role accept calls and do not answer.
    void mute_role() {
        const bool prefill = draw_between(0, 2) == 0;
        for (std::size_t server = 0; server < fleet_.server_count(); ++server) {
            const bool chosen = std::uniform_real_distribution<double>(0, 1)(random_) < kHungRoleShare;
            if (fleet_.is_prefill(server) == prefill && chosen) fleet_.mute_server(server);
        }
    }

    // Several servers take each other's places in the gateways' tables.
    void rename_servers() {
        for (int n = 0; n < kRenamedServers; ++n) {
            fleet_.rename_server(any_server(), random_duration(500, 3000), random_duration(200, 1500));
        }
    }

    void start_stalled_clients() {
        const std::size_t gateway = any_gateway();
        if (!fleet_.accepts_connections(gateway)) return;
        for (int n = 0; n < kStalledClients; ++n) {
            stalled_.push_back(std::make_unique<StalledClient>(loop_, fleet_, gateway, records_.stalled));
        }
    }

    void reload_series() {
        const std::size_t gateway = any_gateway();
        const std::int64_t times = draw_between(1, 4);
        for (std::int64_t n = 0; n < times; ++n) fleet_.reload_gateway(gateway);
    }

    void open_idle_connections() {
        if (!uses_idle_connections_) return;
        const std::size_t gateway = any_gateway();
        if (!fleet_.accepts_connections(gateway)) return;
        idle_connections_ = std::make_unique<IdleConnections>(loop_, fleet_.gateway_address(gateway));
    }

    Loop& loop_;
    Fleet& fleet_;
    Records& records_;
    const int fault_count_;
    std::minstd_rand random_;
    bool uses_idle_connections_ = false;
    std::unique_ptr<IdleConnections> idle_connections_;
    std::vector<std::unique_ptr<StalledClient>> stalled_;
    Timer next_fault_;
};

// Crowds of hostile clients, one after the other, at gateways and with behaviors drawn from the seed. Each is
// a process of its own, so that it does not delay the proxies and clients of this one.
class HostileCrowds {
  public:
    HostileCrowds(Loop& loop, Fleet& fleet, const SoakOptions& options)
        : fleet_(fleet),
          program_(options.program),
          random_(options.seed),
          processes_(loop),
          next_(loop, [this] { replace(); }) {}
    void start() { next_.set(kMs * 200); }
    void stop() {
        next_.cancel();
        for (const std::string& crowd : crowds_) processes_.signal(crowd, SIGKILL);
        crowds_.clear();
    }

  private:
    void replace() {
        if (crowds_.size() >= kCrowdsAtOnce) {
            processes_.signal(crowds_.front(), SIGKILL);
            crowds_.pop_front();
        }
        std::uniform_int_distribution<std::size_t> any_gateway(0, fleet_.gateway_count() - 1),
            any_behavior(0, std::size(kHostileBehaviors) - 1);
        scenario::ChildProcesses::ProcessOptions start;
        start.name = "crowd-" + std::to_string(++crowd_count_);
        start.program = program_;
        start.args = {"standin",    "hostile-clients",
                      "--gateway",  fleet_.gateway_address(any_gateway(random_)).text(),
                      "--behavior", text_of(kHostileBehaviors[any_behavior(random_)]),
                      "--clients",  std::to_string(fleet_.descriptors() * 45 / 100),
                      "--seed",     std::to_string(random_()),
                      "--class",    "idempotent"};
        crowds_.push_back(start.name);
        processes_.start(std::move(start));
        next_.set(kMs * static_cast<double>(std::uniform_int_distribution<int>(500, 2500)(random_)));
    }

    static constexpr std::size_t kCrowdsAtOnce = 2;
    Fleet& fleet_;
    const std::string program_;
    std::minstd_rand random_;
    std::size_t crowd_count_ = 0;
    std::deque<std::string> crowds_;  // names of their processes
    scenario::ChildProcesses processes_;
    Timer next_;
};

// False: the condition was not met within the limit.
template <class Condition>
bool wait_for(Loop& loop, Condition condition, Duration limit) {
    const Instant until = loop.now() + limit;
    bool done = condition();
    while (!done && loop.now() < until) {
        Timer poll(loop, [&] {
            done = condition();
            loop.stop();
        });
        poll.set(kPollInterval);
        loop.run();
    }
    return done;
}

void read_server_records(const std::string& folder, Records& records) {
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".records") continue;
        std::ifstream file(entry.path());
        std::string line;
        while (std::getline(file, line)) {
            if (const auto record = record_of(line)) records.servers.push_back(*record);
        }
    }
}

// For the analysis of findings.
void write_client_records(const std::string& folder, const Records& records) {
    std::ofstream file(folder + "/clients.txt");
    for (const RequestRecord& request : records.requests) {
        file << request.request << " to n" << request.gateway << '.' << request.gateway_life << " effect "
             << static_cast<int>(request.effect) << " sent " << request.sent << " deadline "
             << request.deadline << " first byte " << request.first_byte << " ended " << request.ended << ' '
             << text_of(request.fate) << (request.on_new_connection ? ", new connection" : "")
             << (request.is_pipelined ? ", behind another" : "") << (request.corrupted ? ", spoilt" : "")
             << '\n';
    }
    for (const GatewayLife& life : records.gateways) {
        file << 'n' << life.gateway << '.' << life.life << " started " << life.started << " terminated "
             << life.terminated << " killed " << life.killed << " exited " << life.exited << " status "
             << life.status << " violations " << life.violations << '\n';
    }
}

FleetOptions fleet_options_of(const SoakOptions& options) {
    FleetOptions fleet_options;
    fleet_options.program = options.program;
    fleet_options.gateway_program =
        options.gateway_program.empty() ? options.program : options.gateway_program;
    fleet_options.folder = options.folder;
    fleet_options.seed = options.seed;
    fleet_options.gateways = options.gateways;
    fleet_options.prefill_servers = options.prefill_servers;
    fleet_options.decode_servers = options.decode_servers;
    fleet_options.listed_servers = options.listed_servers;
    fleet_options.least_cpu_share = options.least_cpu_share;
    fleet_options.memory_mb = options.memory_mb;
    fleet_options.descriptors = options.descriptors;
    fleet_options.shim = options.shim;
    fleet_options.log_level = options.log_level;
    return fleet_options;
}

}  // namespace

std::map<std::string, std::size_t> shim_fault_counts(const std::string& folder) {
    std::map<std::string, std::size_t> counts;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".shim") continue;
        std::ifstream file(entry.path());
        std::string line;
        while (std::getline(file, line)) ++counts[line.substr(0, line.find(' '))];
    }
    return counts;
}

Judgement run_soak(const SoakOptions& options) {
    Loop loop;
    Records records;
    const FleetOptions fleet_options = fleet_options_of(options);
    {
        Fleet fleet(loop, fleet_options, records);
        fleet.start();
        if (!wait_for(
                loop, [&] { return fleet.is_ready(); }, kReadyTimeout)) {
            throw std::runtime_error("the fleet did not become ready; its logs are in " + options.folder);
        }
        std::vector<std::unique_ptr<LoadClient>> clients;
        for (std::size_t n = 0; n < options.clients; ++n) {
            clients.push_back(
                std::make_unique<LoadClient>(loop, fleet, records.requests, "c" + std::to_string(n),
                                             options.seed * 131 + static_cast<std::uint32_t>(n)));
            clients.back()->start();
        }
        wait_for(
            loop, [] { return false; }, kMs * (options.quiet_seconds * 1000));
        if (options.discovery_out_seconds > 0) {
            fleet.silence_discovery(kMs * (options.discovery_out_seconds * 1000));
        }
        FaultSchedule faults(loop, fleet, records, options.seed, options.listed_servers > 0);
        faults.start();
        HostileCrowds crowds(loop, fleet, options);
        if (options.hostile_clients) crowds.start();
        wait_for(
            loop, [] { return false; }, kMs * (options.seconds * 1000));
        faults.stop();
        crowds.stop();
        for (const auto& client : clients) client->stop();
        fleet.heal();
        const auto are_idle = [&] {
            return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->is_idle(); });
        };
        wait_for(loop, are_idle, kLastRequestsTimeout);
        // States that are held after the last answers have their time to be released too.
        wait_for(
            loop, [] { return false; }, kMs * 1600);
        records.ended = monotonic_clock_us();
        fleet.stop_all_gateways();
        wait_for(
            loop, [&] { return fleet.gateways_have_exited(); }, kExitTimeout);
        fleet.record_written_lists();
    }
    read_server_records(options.folder, records);
    write_client_records(options.folder, records);
    JudgeOptions judge_options;
    return judge(records, judge_options);
}

}  // namespace copperfront::soak
