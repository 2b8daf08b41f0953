#include "soak/fleet.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace copperfront::soak {
namespace {

// The longest deadline of the clients of a run plus the time that the protocol adds before SIGKILL.
constexpr Duration kKillDelay{3700000};
constexpr Duration kAcceptsAfterSigterm{300000};  // new connections after SIGTERM
constexpr Duration kRestartDelay{100000};
constexpr Duration kCrashNoticeDelay{400000};  // until discovery reports that a server has crashed
constexpr Duration kReadyPollInterval{50000};
constexpr Duration kMemorySampleInterval{100000};
constexpr int kGatewayPort = 18080;
constexpr int kHosts = 250;
constexpr std::size_t kServerGroups = 4;
constexpr std::int64_t kLongDrain = 3600000000;

constexpr const char* kSettings = R"("settings":{"azs":["a","b"],"zone":"a","balancers":5,
 "models":["reader","writer"],"quantum-ms":4,
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,120000],"release-ms":1000,
  "token-aim-ms":[60]},
 "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after-ms":1000,"conn-idle-ms":15000,
  "connect-timeout-ms":250,"most-held":1000},
 "profiles":[{"name":"idempotent","target-ms":1500,"deadline-ms":3000,"effect":"repeatable","stream":true},
  {"name":"deduplicated","target-ms":1500,"deadline-ms":3000,"effect":"by_key","key-scope":"all",
   "window-ms":2000,"stream":true},
  {"name":"once","target-ms":1500,"deadline-ms":3000,"effect":"once","stream":true}],
 "realms":[{"name":"acme","quota-per-s":100000}],
 "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":3000}})";

// A loopback address that differs between the runs on this machine.
std::string gateway_host(std::size_t gateway) {
    const int process_id = static_cast<int>(getpid());
    return "127." + std::to_string(1 + process_id / kHosts % kHosts) + "." +
           std::to_string(1 + process_id % kHosts) + "." + std::to_string(1 + gateway);
}

// Errors of the wall clock of a gateway's process: none, some seconds, or an hour.
constexpr std::int64_t kSecondUs = 1000000, kHourUs = 3600 * kSecondUs;
constexpr std::int64_t kWallClockErrors[] = {0, 5 * kSecondUs, -5 * kSecondUs, kHourUs, -kHourUs};

std::int64_t wall_clock_error(std::size_t draw) {
    return kWallClockErrors[draw % std::size(kWallClockErrors)];
}

// The count of violations that a gateway logs when it stops; -1: it has not logged one.
std::int64_t violations_in(const std::string& log_file) {
    std::ifstream file(log_file);
    std::string line;
    const std::string field = R"("violations":)";
    std::int64_t found = -1;
    while (std::getline(file, line)) {
        const std::size_t at = line.find(field);
        if (at != std::string::npos) found = std::atoll(line.c_str() + at + field.size());
    }
    return found;
}

}  // namespace

// Requests the readiness of a gateway once and reports the result.
class ReadyProbe : public Stream::Owner {
  public:
    ReadyProbe(Loop& loop, const Address& to, std::function<void(bool)> callback)
        : loop_(loop), callback_(std::move(callback)) {
        stream_ = Stream::dial(loop, to, {0, 0}, *this);
    }
    ~ReadyProbe() override { Stream::detach_and_close(loop_, std::move(stream_), false); }
    void stream_connected(Stream& s) override { s.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); }
    void bytes_received(Stream& s) override {
        const bool ready = s.front().substr(0, 12) == "HTTP/1.1 200";
        report(ready);
    }
    void stream_closed(Stream&, CloseReason, const std::string&) override { report(false); }

  private:
    void report(bool ready) {
        loop_.post([callback = std::exchange(callback_, {}), ready] {
            if (callback) callback(ready);
        });
    }
    Loop& loop_;
    std::function<void(bool)> callback_;
    std::unique_ptr<Stream> stream_;
};

struct Fleet::Gateway {
    std::string name, host, configuration;
    std::uint32_t life = 0;
    bool running = false, ready = false, terminated = false;
    std::size_t record = 0;  // index of the record of its present life
    std::unique_ptr<ReadyProbe> probe;
    std::unique_ptr<Timer> kill_later;
    std::unique_ptr<CpuShare> cpu_share;
};

struct Fleet::Server {
    std::string name, zone;
    Role role = Role::prefill;
    bool running = false, ready = false, draining = false;
    std::uint32_t life = 0;
    std::uint32_t renamed = 0;  // how often
    std::unique_ptr<FaultProxy> proxy;
};

Fleet::Fleet(Loop& loop, const FleetOptions& options, Records& records)
    : loop_(loop), options_(options), records_(records), processes_(loop) {
    std::filesystem::create_directories(options.folder + "/states");
    platform_ = std::make_unique<fake_server::FakePlatform>(loop, fake_server::FakePlatform::ServiceTimes{});
}

Fleet::~Fleet() = default;

void Fleet::after(Duration duration, std::function<void()> action) {
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
    timers_.back()->set(duration);
}

void Fleet::start() {
    sample_memory();
    cold_start_ = options_.listed_servers > 0 && options_.seed % 3 == 0;
    const std::size_t count = options_.prefill_servers + options_.decode_servers;
    for (std::size_t n = 0; n < count; ++n) {
        auto server = std::make_unique<Server>();
        server->role = n < options_.prefill_servers ? Role::prefill : Role::decode;
        server->name = (server->role == Role::prefill ? "prefill-" : "decode-") + std::to_string(n);
        server->zone = n % 2 == 0 ? "a" : "b";
        server->proxy =
            std::make_unique<FaultProxy>(loop_, options_.seed * 1000U + static_cast<std::uint32_t>(n));
        server->proxy->on_silence_ended = [this, name = server->name](std::int64_t from, std::int64_t until) {
            records_.server_faults[name].push_back({from, until});
        };
        servers_.push_back(std::move(server));
        start_server(n);
    }
    for (std::size_t n = 0; n < options_.gateways; ++n) {
        gateways_.push_back(std::make_unique<Gateway>());
        gateways_.back()->name = "n" + std::to_string(n);
        gateways_.back()->host = gateway_host(n);
        gateways_.back()->configuration = options_.folder + "/n" + std::to_string(n) + ".json";
        start_gateway(n);
    }
}

bool Fleet::is_ready() const {
    for (const auto& server : servers_) {
        if (!server->ready) return false;
    }
    for (const auto& gateway : gateways_) {
        if (!gateway->ready) return false;
    }
    return true;
}

// ---- gateways

void Fleet::write_configuration(std::size_t gateway) {
    const Gateway& process = *gateways_[gateway];
    // The file is replaced atomically.
    const std::string temporary_file = process.configuration + ".new";
    std::ofstream file(temporary_file);
    file << R"({"name":")" << process.name << R"(","listen":")" << gateway_address(gateway).text()
         << R"(","discovery":")" << platform_->discovery_for(process.name).text() << R"(","seed":")"
         << options_.seed * 100 + process.life << R"(","limits":{"memory_mb":)" << options_.memory_mb
         << R"(,"sockets":)" << options_.descriptors << R"(},"known":)" << platform_->list_json() << ",\n "
         << kSettings << "}\n";
    file.close();
    std::filesystem::rename(temporary_file, process.configuration);
}

void Fleet::start_gateway(std::size_t gateway) {
    if (stopping_) return;
    Gateway& process = *gateways_[gateway];
    ++process.life;
    process.running = true;
    process.ready = process.terminated = false;
    write_configuration(gateway);
    process.record = records_.gateways.size();
    GatewayLife life;
    life.gateway = gateway;
    life.life = process.life;
    life.started = monotonic_clock_us();
    life.memory_limit_kb = static_cast<std::int64_t>(options_.memory_mb) << 10;
    records_.gateways.push_back(life);
    const std::string run = options_.folder + "/" + process.name + "." + std::to_string(process.life);
    scenario::ChildProcesses::ProcessOptions start;
    start.name = process.name;
    start.program = options_.gateway_program;
    start.args = {"node", process.configuration, "--log-level", options_.log_level};
    start.stderr_file = run + ".log";
    if (!options_.shim.empty()) {
        start.environment = {"LD_PRELOAD=" + options_.shim,
                             "FAULT_SHIM_SEED=" + std::to_string(options_.seed * 100 + process.life),
                             "FAULT_SHIM_LOG=" + run + ".shim",
                             "FAULT_SHIM_CLOCK=" + std::to_string(wall_clock_error(gateway + process.life)),
                             "FAULT_SHIM_CLOCK_STEP=" + std::to_string(wall_clock_error(gateway))};
    }
    start.on_exit = [this, gateway](int status) { gateway_ended(gateway, status); };
    processes_.start(std::move(start));
    poll_ready(gateway);
}

void Fleet::poll_ready(std::size_t gateway) {
    Gateway& process = *gateways_[gateway];
    if (!process.running) return;
    process.probe = std::make_unique<ReadyProbe>(
        loop_, gateway_address(gateway), [this, gateway, life = process.life](bool ready) {
            Gateway& asked = *gateways_[gateway];
            asked.probe.reset();
            if (asked.life != life || !asked.running) return;
            asked.ready = ready;
            if (ready) limit_cpu(gateway);
            if (!ready) after(kReadyPollInterval, [this, gateway] { poll_ready(gateway); });
        });
}

// The system keeps the peak of each process, so that only the time before its end is missed.
void Fleet::sample_memory() {
    for (const auto& process : gateways_) {
        // Before it is ready, the process may not be the gateway yet but a copy of this one.
        if (!process->running || !process->ready) continue;
        const std::int64_t peak = scenario::peak_resident_kb(processes_.pid_of(process->name));
        GatewayLife& life = records_.gateways[process->record];
        life.peak_resident_kb = std::max(life.peak_resident_kb, peak);
    }
    after(kMemorySampleInterval, [this] { sample_memory(); });
}

// Simulates a machine that others use as well.
void Fleet::limit_cpu(std::size_t gateway) {
    if (options_.least_cpu_share >= 1) return;
    Gateway& process = *gateways_[gateway];
    std::minstd_rand chance(
        static_cast<std::uint32_t>(std::size_t{options_.seed} * 977 + gateway * 31 + process.life));
    const double share = std::uniform_real_distribution<double>(options_.least_cpu_share, 1)(chance);
    process.cpu_share = std::make_unique<CpuShare>(loop_, processes_, process.name, share);
}

void Fleet::gateway_ended(std::size_t gateway, int status) {
    Gateway& process = *gateways_[gateway];
    GatewayLife& life = records_.gateways[process.record];
    life.exited = monotonic_clock_us();
    life.status = status;
    life.violations =
        violations_in(options_.folder + "/" + process.name + "." + std::to_string(process.life) + ".log");
    process.running = process.ready = false;
    process.kill_later.reset();
    process.cpu_share.reset();
    after(kRestartDelay, [this, gateway] {
        if (!gateways_[gateway]->running) start_gateway(gateway);
    });
}

bool Fleet::accepts_connections(std::size_t gateway) const {
    const Gateway& process = *gateways_[gateway];
    if (!process.running || !process.ready) return false;
    const Microseconds terminated = records_.gateways[process.record].terminated;
    return terminated == 0 || monotonic_clock_us() - terminated < kAcceptsAfterSigterm.us;
}

Address Fleet::gateway_address(std::size_t gateway) const {
    return Address::parse(gateways_[gateway]->host + ":" + std::to_string(kGatewayPort));
}

std::uint32_t Fleet::gateway_life(std::size_t gateway) const { return gateways_[gateway]->life; }

void Fleet::restart_gateway(std::size_t gateway) {
    Gateway& process = *gateways_[gateway];
    if (!process.ready || process.terminated) return;
    process.terminated = true;
    records_.gateways[process.record].terminated = monotonic_clock_us();
    signal(process.name, SIGTERM);
    process.kill_later = std::make_unique<Timer>(loop_, [this, gateway] {
        Gateway& late = *gateways_[gateway];
        if (!late.running) return;
        records_.gateways[late.record].killed = monotonic_clock_us();
        signal(late.name, SIGKILL);
    });
    process.kill_later->set(kKillDelay);
}

void Fleet::signal_series(std::size_t gateway) {
    Gateway& process = *gateways_[gateway];
    if (!process.ready || process.terminated) return;
    reload_gateway(gateway);
    restart_gateway(gateway);
    signal(process.name, SIGTERM);
    reload_gateway(gateway);
}

void Fleet::crash_gateway(std::size_t gateway) {
    Gateway& process = *gateways_[gateway];
    if (!process.ready || process.terminated) return;
    records_.gateways[process.record].killed = monotonic_clock_us();
    signal(process.name, SIGKILL);
}

void Fleet::reload_gateway(std::size_t gateway) {
    Gateway& process = *gateways_[gateway];
    if (!process.ready) return;
    write_configuration(gateway);
    signal(process.name, SIGHUP);
}

void Fleet::pause_gateway(std::size_t gateway, Duration duration) {
    Gateway& process = *gateways_[gateway];
    if (!process.ready) return;
    signal(process.name, SIGSTOP);
    after(duration, [this, gateway] { signal(gateways_[gateway]->name, SIGCONT); });
}

void Fleet::stop_all_gateways() {
    stopping_ = true;
    for (std::size_t n = 0; n < gateways_.size(); ++n) {
        if (gateways_[n]->ready) {
            restart_gateway(n);
        } else if (gateways_[n]->running) {
            records_.gateways[gateways_[n]->record].killed = monotonic_clock_us();
            signal(gateways_[n]->name, SIGKILL);
        }
    }
}

bool Fleet::gateways_have_exited() const {
    for (const auto& gateway : gateways_) {
        if (gateway->running) return false;
    }
    return true;
}

// ---- model servers

void Fleet::start_server(std::size_t server) {
    Server& process = *servers_[server];
    process.running = true;
    process.ready = false;
    ++process.life;
    scenario::ChildProcesses::ProcessOptions start;
    start.name = process.name;
    start.program = options_.program;
    start.args = {
        "standin",   "model-server",
        "--name",    process.name,
        "--role",    process.role == Role::prefill ? "prefill" : "decode",
        "--states",  options_.folder + "/states",
        "--records", options_.folder + "/" + process.name + "." + std::to_string(process.life) + ".records",
        "--seed",    std::to_string(std::size_t{options_.seed} * 7919 + server * 31 + process.life),
        "--faults",  std::to_string(options_.server_fault_share)};
    start.stderr_file = options_.folder + "/" + process.name + ".log";
    start.on_output_line = [this, server](const std::string& line) {
        const std::string ready = "ready ";
        if (line.rfind(ready, 0) != 0) return;
        Server& started = *servers_[server];
        started.proxy->forward_to(Address::parse(line.substr(ready.size())));
        started.ready = true;
        list_server(server);
    };
    start.on_exit = [this, server](int) { server_ended(server); };
    processes_.start(std::move(start));
}

std::vector<std::string> Fleet::listed_names(std::size_t server) const {
    const std::size_t names = std::max<std::size_t>(1, options_.listed_servers / servers_.size());
    const Server& process = *servers_[server];
    const std::string name =
        process.renamed == 0 ? process.name : process.name + "." + std::to_string(process.renamed);
    std::vector<std::string> all{name};
    for (std::size_t n = 1; n < names; ++n) all.push_back(name + "-" + std::to_string(n));
    return all;
}

void Fleet::list_server(std::size_t server) {
    const Server& process = *servers_[server];
    const bool is_restart = process.life > 1 || process.renamed > 0;
    // The server is no longer withdrawn.
    if (auto& spans = records_.withdrawn[process.name]; !spans.empty()) {
        spans.back().until = std::min(spans.back().until, monotonic_clock_us());
    }
    std::vector<fake_server::FakePlatform::ListEntry> entries;
    for (const std::string& name : listed_names(server)) {
        fake_server::FakePlatform::ListEntry entry;
        entry.name = name;
        entry.zone = process.zone;
        entry.address = process.proxy->address().text();
        entry.role = process.role;
        entry.group = 1 + static_cast<int>((server + entries.size()) % kServerGroups);
        entry.since_ms = is_restart || cold_start_ ? loop_.now().us / 1000 : 0;
        entries.push_back(entry);
    }
    platform_->add_to_list(entries);
}

void Fleet::server_ended(std::size_t server) {
    Server& process = *servers_[server];
    process.running = process.ready = false;
    if (stopping_) return;
    after(kCrashNoticeDelay, [this, server] {
        if (stopping_ || servers_[server]->running) return;
        platform_->set_statuses(listed_names(server), "removed");
        start_server(server);
    });
}

bool Fleet::is_prefill(std::size_t server) const { return servers_[server]->role == Role::prefill; }

void Fleet::record_fault(std::size_t server, Duration duration) {
    const Microseconds now = monotonic_clock_us();
    records_.server_faults[servers_[server]->name].push_back({now, now + duration.us});
}

void Fleet::pause_server(std::size_t server, Duration duration) {
    if (!servers_[server]->running) return;
    record_fault(server, duration + Duration{50000});
    signal(servers_[server]->name, SIGSTOP);
    after(duration, [this, server] { signal(servers_[server]->name, SIGCONT); });
}

void Fleet::crash_server(std::size_t server) {
    Server& process = *servers_[server];
    if (!process.ready) return;
    const Microseconds now = monotonic_clock_us();
    records_.server_deaths[process.name].push_back(now);
    record_fault(server, kCrashNoticeDelay);
    signal(process.name, SIGKILL);
    process.proxy->reset(1.0);
}

void Fleet::drain_server(std::size_t server, Duration duration) { withdraw(server, "draining", duration); }

void Fleet::withdraw(std::size_t server, const std::string& status, Duration duration) {
    Server& process = *servers_[server];
    if (!process.ready || process.draining) return;
    process.draining = true;
    const Microseconds now = monotonic_clock_us();
    platform_->set_statuses(listed_names(server), status);
    records_.withdrawn[process.name].push_back({now, now + duration.us, platform_->list_index()});
    after(duration, [this, server] {
        Server& drained = *servers_[server];
        drained.draining = false;
        if (drained.ready) platform_->set_statuses(listed_names(server), "up");
    });
}

void Fleet::rename_server(std::size_t server, Duration hang_duration, Duration absence) {
    Server& process = *servers_[server];
    if (!process.ready || process.draining) return;
    pause_server(server, hang_duration);
    process.draining = true;
    const Microseconds now = monotonic_clock_us();
    platform_->set_statuses(listed_names(server), "removed");
    records_.withdrawn[process.name].push_back({now, now + absence.us, platform_->list_index()});
    after(absence, [this, server] {
        Server& renamed = *servers_[server];
        renamed.draining = false;
        platform_->set_statuses(listed_names(server), "removed");
        ++renamed.renamed;
        if (renamed.ready) list_server(server);
    });
}

void Fleet::replace_quarter(std::size_t first, Duration step) {
    const std::size_t count = std::max<std::size_t>(1, servers_.size() / 4);
    const Duration absence = step * static_cast<double>(count + 2);
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t server = (first + n) % servers_.size();
        after(step * static_cast<double>(n), [this, server, absence, removed = n % 2 == 1] {
            withdraw(server, removed ? "removed" : "draining", absence);
        });
    }
}

void Fleet::record_written_lists() {
    const Microseconds clock_offset = monotonic_clock_us() - loop_.now().us;
    for (const auto& list : platform_->written_lists()) {
        if (list.gateway.empty() || list.completed_at.us == 0) continue;
        records_.written_lists.push_back({static_cast<std::size_t>(std::atoi(list.gateway.c_str() + 1)),
                                          list.completed_at.us + clock_offset, list.index});
    }
}

void Fleet::cut_off_server(std::size_t server, Duration duration) {
    record_fault(server, duration);
    servers_[server]->proxy->cut_off(true);
    after(duration, [this, server] { servers_[server]->proxy->cut_off(false); });
}

void Fleet::mute_server(std::size_t server) {
    if (servers_[server]->ready) signal(servers_[server]->name, SIGUSR1);
}

void Fleet::silence_connections(std::size_t server, double share) { servers_[server]->proxy->silence(share); }

void Fleet::reset_connections(std::size_t server, double share) { servers_[server]->proxy->reset(share); }

void Fleet::slow_connections(std::size_t server, Duration delay, Duration duration) {
    record_fault(server, duration + delay);
    servers_[server]->proxy->delay_new(delay);
    after(duration, [this, server] { servers_[server]->proxy->delay_new({}); });
}

// ---- discovery

void Fleet::silence_discovery(Duration duration) {
    platform_->set_discovery_silent(true);
    discovery_silent_until_ = std::max(discovery_silent_until_, loop_.now() + duration);
    after(duration, [this] {
        if (loop_.now() >= discovery_silent_until_) platform_->set_discovery_silent(false);
    });
}

void Fleet::move_discovery() {
    platform_->move_discovery();
    for (std::size_t n = 0; n < gateways_.size(); ++n) reload_gateway(n);
}

void Fleet::heal() {
    timers_.clear();
    platform_->set_discovery_silent(false);
    platform_->set_snapshot_pieces(1, {});
    for (const auto& server : servers_) {
        signal(server->name, SIGCONT);
        server->proxy->cut_off(false);
        server->proxy->delay_new({});
    }
    for (const auto& gateway : gateways_) signal(gateway->name, SIGCONT);
}

}  // namespace copperfront::soak
