// Test fixture: a gateway in a process of its own, with thousands of fake model servers, discovery and
// clients in the test's process.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <set>

#include "gateway_fixture.h"
#include "scenario/process.h"
#include "soak/cpu_share.h"

namespace copperfront {

// The protocol's limits: 1,000 ms for a held state and 250 ms for a drain, each with its slack.
constexpr Duration kMaxHoldTime = ms(1300);
constexpr Duration kMaxDrainTime = ms(300);

inline const char* const kLargeFleetSettings =
    R"("settings":{"azs":["a","b"],"zone":"a","balancers":300,"models":["reader","writer"],"quantum-ms":4,
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,120000],"release-ms":1000,
  "token-aim-ms":[60]},
 "limits":{"cancel":true,"max-attempts":6,"conn-idle-ms":15000,"connect-timeout-ms":250,"most-held":1000},
 "profiles":[{"name":"help","target-ms":1000,"deadline-ms":4000,"effect":"repeatable","stream":true}],
 "realms":[{"name":"acme","quota-per-s":100000}],
 "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":14000}})";

struct LargeFleetOptions {
    std::size_t servers = 200;
    std::size_t memory_mb = 192, descriptors = 1024;  // limits of the gateway
    double cpu_share = 1;                             // CPU share of the gateway once it is ready, in cores
    bool known_list = true;                           // the configuration contains the server list
    bool cold_servers = false;                        // all servers have just started
    Duration prefill_time = ms(10);
    const char* log_level = "info";
    bool log_is_stalled = false;  // log lines go into a pipe that is never read
};

class LargeFleet {
  public:
    using Options = LargeFleetOptions;

    explicit LargeFleet(const Options& options)
        : options_(options), platform(loop, {options.prefill_time, ms(10), ms(5), 3}), processes_(loop) {
        raise_descriptor_limit();
        const std::int64_t now_ms = loop.now().us / 1000;
        for (std::size_t n = 0; n < options.servers; ++n) {
            const std::string name = name_of(n);
            const Role role = is_prefill(n) ? Role::prefill : Role::decode;
            platform.add(name, role, n / 2 % 2 == 0 ? "a" : "b", static_cast<int>(n % 20));
            if (options.cold_servers) platform.set_process_start(name, now_ms);
        }
    }
    ~LargeFleet() {
        cpu_share_.reset();
        if (stalled_log_ >= 0) close(stalled_log_);
        std::filesystem::remove(configuration_);
        std::filesystem::remove(log_file());
    }
    LargeFleet(const LargeFleet&) = delete;
    LargeFleet& operator=(const LargeFleet&) = delete;

    Loop loop;

  private:
    const Options options_;

  public:
    fake_server::FakePlatform platform;

    static std::string name_of(std::size_t n) { return "s-" + std::to_string(100000 + n); }
    static bool is_prefill(std::size_t n) { return n % 2 == 0; }
    std::vector<std::string> names(bool prefill) const {
        std::vector<std::string> found;
        for (std::size_t n = 0; n < options_.servers; ++n) {
            if (is_prefill(n) == prefill) found.push_back(name_of(n));
        }
        return found;
    }

    void run_for(Duration span) {
        Timer timer(loop, [this] { loop.stop(); });
        timer.set(span);
        loop.run();
    }
    template <class Condition>
    bool wait_for(Condition condition, Duration limit) {
        const Instant end = loop.now() + limit;
        while (!condition()) {
            if (loop.now() > end) return false;
            run_for(ms(10));
        }
        return true;
    }

    // Starts the gateway and waits until its readiness check succeeds.
    void start() {
        std::ofstream file(configuration_);
        const std::string list =
            options_.known_list ? platform.list_json() : R"({"index":0,"snapshot":true,"endpoints":[]})";
        file << R"({"name":"n0","listen":")" << address_.text() << R"(","discovery":")"
             << platform.discovery().text() << R"(","seed":"1","limits":{"memory_mb":)" << options_.memory_mb
             << R"(,"sockets":)" << options_.descriptors << R"(},"known":)" << list << ",\n"
             << kLargeFleetSettings << "}\n";
        file.close();
        if (options_.log_is_stalled) stall_log();
        scenario::ChildProcesses::ProcessOptions start;
        start.name = kGateway;
        // Runs another build of the program instead, for comparison.
        const char* const other = std::getenv("LARGE_FLEET_PROGRAM");
        start.program = other != nullptr ? other : COPPERFRONT_PROGRAM;
        start.args = {"node", configuration_, "--log-level", options_.log_level};
        start.stderr_file = log_file();
        processes_.start(std::move(start));
        ASSERT_TRUE(wait_for([this] { return is_ready(); }, ms(20000)));
        if (options_.cpu_share < 1) cpu_share_.emplace(loop, processes_, kGateway, options_.cpu_share);
    }
    bool signal(int which) { return processes_.signal(kGateway, which); }
    const Address& gateway_address() const { return address_; }
    bool is_running() const { return processes_.is_running(kGateway); }
    // Resident memory of the gateway now, and the most it has ever had, in MB; 0 once it has ended.
    double resident_mb() const {
        return static_cast<double>(scenario::resident_kb(processes_.pid_of(kGateway))) / 1024;
    }
    double peak_resident_mb() const {
        return static_cast<double>(scenario::peak_resident_kb(processes_.pid_of(kGateway))) / 1024;
    }

    // One request on a connection of its own.
    struct Request {
        std::string id;
        std::unique_ptr<Client> client;
        Instant sent, ended;  // ended zero: no final answer yet
        bool has_ended() const {
            return client->is_complete() || (client->status() != 0 && client->status() != 200);
        }
    };
    // Sends a request every `apart`. In between, notes which requests have ended and which states servers
    // hold.
    void send_requests(std::size_t count, Duration apart, Duration left = ms(4000)) {
        for (std::size_t n = 0; n < count; ++n) {
            Request request;
            request.id = "q" + std::to_string(requests.size());
            request.client = std::make_unique<Client>(loop, address_);
            request.sent = loop.now();
            request.client->send(request_text(request.id, left));
            requests.push_back(std::move(request));
            observe_for(apart);
        }
    }
    void observe_for(Duration span) {
        const Instant end = loop.now() + span;
        while (loop.now() < end) {
            run_for(std::min(end - loop.now(), ms(10)));
            observe();
        }
    }
    bool wait_for_answers(Duration limit) {
        return wait_for(
            [this] {
                observe();
                return std::all_of(requests.begin(), requests.end(),
                                   [](const Request& r) { return r.ended.us != 0; });
            },
            limit);
    }
    std::vector<Request> requests;

    std::size_t completed() const {
        return static_cast<std::size_t>(std::count_if(
            requests.begin(), requests.end(), [](const Request& r) { return r.client->is_complete(); }));
    }
    // Quantile of the times from request to final answer; a missing answer counts as one minute.
    Duration answer_time(double quantile) const {
        std::vector<Duration> times;
        for (const Request& r : requests) times.push_back(r.ended.us != 0 ? r.ended - r.sent : ms(60000));
        std::sort(times.begin(), times.end());
        return times[static_cast<std::size_t>(static_cast<double>(times.size() - 1) * quantile)];
    }
    // The longest time a state was held, as seen at the observation points.
    Duration longest_hold() const { return longest_hold_; }
    // Prefills and hand-overs that reached one of these servers later than allowed after it was drained.
    std::size_t late_sends(const std::vector<std::string>& servers, Instant drained) const {
        const std::set<std::string> withdrawn(servers.begin(), servers.end());
        return static_cast<std::size_t>(
            std::count_if(platform.received().begin(), platform.received().end(), [&](const auto& request) {
                return request.method == "POST" && withdrawn.count(request.server) > 0 &&
                       request.at > drained + kMaxDrainTime;
            }));
    }
    std::size_t whole_lists_written() const {
        return static_cast<std::size_t>(std::count_if(platform.written_lists().begin(),
                                                      platform.written_lists().end(),
                                                      [](const auto& list) { return list.is_snapshot; }));
    }
    // CPU time of the gateway until it is ready, from its log; empty if the log has no such line.
    std::optional<Duration> cpu_until_ready() const {
        const std::string text = log(), key = "\"cpu_ms\":";
        const std::size_t started = text.find("\"what\":\"started\"");
        const std::size_t at = started != std::string::npos ? text.find(key, started) : started;
        if (at == std::string::npos) return std::nullopt;
        return Duration{static_cast<std::int64_t>(std::atof(text.c_str() + at + key.size()) * 1000)};
    }
    // The largest value of this field in the status lines of the gateway's log; -1 if there is none.
    double max_in_log(const std::string& field) const {
        double maximum = -1;
        const std::string text = log(), key = "\"" + field + "\":";
        for (std::size_t at = 0; (at = text.find(key, at)) != std::string::npos; at += key.size()) {
            maximum = std::max(maximum, std::atof(text.c_str() + at + key.size()));
        }
        return maximum;
    }
    std::string log() const {
        std::ifstream file(log_file());
        return {std::istreambuf_iterator<char>(file), {}};
    }

  private:
    static constexpr const char* kGateway = "gateway";

    static void raise_descriptor_limit() {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }

    void stall_log() {
        ASSERT_EQ(mkfifo(log_file().c_str(), 0600), 0);
        stalled_log_ = open(log_file().c_str(), O_RDWR | O_CLOEXEC);
        ASSERT_GE(stalled_log_, 0);
    }
    std::string log_file() const { return configuration_ + ".log"; }

    bool is_ready() {
        Client probe(loop, address_);
        probe.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        for (int n = 0; n < 20 && probe.status() == 0 && !probe.closed; ++n) run_for(ms(5));
        return probe.status() == 200;
    }

    static std::string request_text(const std::string& id, Duration left) {
        const std::string body =
            R"({"model":"chat","stream":true,"messages":[{"role":"user","content":"hi"}]})";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
               "\r\nX-Service-Class: help\r\nX-Account: acme\r\nX-Session-Key: s" + id +
               "\r\nX-Time-Left-Ms: " + std::to_string(left.us / 1000) +
               "\r\nX-Facts: prompt_len=2,max_out=50\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    void observe() {
        const Instant now = loop.now();
        for (Request& request : requests) {
            if (request.ended.us == 0 && request.has_ended()) request.ended = now;
        }
        std::map<std::string, Instant> held;
        for (const std::string& id : platform.held_requests()) {
            const auto before = held_since_.find(id);
            held[id] = before != held_since_.end() ? before->second : now;
            longest_hold_ = std::max(longest_hold_, now - held[id]);
        }
        held_since_ = std::move(held);
    }

    // A loopback address that differs between the test processes of this machine.
    static std::string host() {
        const int pid = static_cast<int>(getpid());
        return "127.9." + std::to_string(pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
    }
    const std::string configuration_ = std::filesystem::temp_directory_path().string() + "/large-fleet-" +
                                       std::to_string(getpid()) + ".json";
    const Address address_ = Address::parse(host() + ":18082");
    std::map<std::string, Instant> held_since_;
    Duration longest_hold_;
    int stalled_log_ = -1;  // both ends of the pipe
    scenario::ChildProcesses processes_;
    std::optional<soak::CpuShare> cpu_share_;
};

}  // namespace copperfront
