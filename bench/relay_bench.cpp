// Compares the cost of a gateway with a plain relay that uses the same libraries and makes no decisions: both
// run in turn, on one core each, over loopback. Not a test: compare figures only within one run on one
// machine.
#include <sched.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "net/line_connection.h"
#include "rpc/wire.h"

namespace copperfront {
namespace {

using rpc::Json;

constexpr LineLimits kLineLimits{1 << 20, 1 << 28};

void pin(int core, int another = -1) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core, &set);
    if (another >= 0) CPU_SET(another, &set);
    sched_setaffinity(0, sizeof set, &set);
}

// ---- a fake server that answers at once, or paces its tokens

class FastServer : public LineConnection::Owner {
  public:
    FastServer(std::size_t tokens, double gap_ms, bool never_answers_prefill)
        : tokens_(tokens),
          gap_{static_cast<std::int64_t>(gap_ms * 1000)},
          never_answers_prefill_(never_answers_prefill),
          listener_(loop_, Address::parse("127.0.0.1:0"),
                    [this](int fd) {
                        connections_.push_back(LineConnection::accepted(loop_, fd, kLineLimits, *this));
                    }),
          pace_timer_(loop_, [this] { step(); }) {}
    void run() {
        std::printf("ready %s\n", listener_.address().text().c_str());
        std::fflush(stdout);
        if (gap_.us > 0) pace_timer_.set(gap_);
        loop_.run();
    }
    void line_received(LineConnection& link, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m || m->kind != rpc::MessageKind::request) return;
        if (m->method == rpc::kInitialize) return link.send(rpc::hello_result_line(m->id, "fast", "1"));
        if (m->method == rpc::kPing) return link.send(rpc::result_line(m->id, Json::object()));
        if (m->method == rpc::kPrefill) {
            if (!never_answers_prefill_) link.send(rpc::prefill_result_line(m->id, 0, {}));
            return;
        }
        if (gap_.us > 0) {
            running_.push_back({&link, m->id, 0});
            return;
        }
        for (std::size_t n = 0; n < tokens_; ++n) token(link, m->id);
        link.send(rpc::decode_result_line(m->id, static_cast<double>(tokens_), 0, {}));
    }
    void connection_closed(LineConnection& link, CloseReason, const std::string&) override {
        std::erase_if(running_, [&](const Stream& s) { return s.link == &link; });
    }

  private:
    struct Stream {
        LineConnection* link;
        rpc::Id id;
        std::size_t sent;
    };
    void token(LineConnection& link, const rpc::Id& id) {
        link.send(rpc::tokens_line(id, std::to_string(monotonic_clock_us())));
    }
    void step() {
        // Streams take turns spread over the gap, so that tokens do not arrive in one burst.
        const std::int64_t now = monotonic_clock_us();
        if (started_at_ == 0) started_at_ = now;
        for (Stream& s : running_) {
            token(*s.link, s.id);
            if (++s.sent == tokens_)
                s.link->send(rpc::decode_result_line(s.id, static_cast<double>(tokens_), 0, {}));
        }
        std::erase_if(running_, [&](const Stream& s) { return s.sent >= tokens_; });
        pace_timer_.set(gap_);
    }
    Loop loop_;
    const std::size_t tokens_;
    const Duration gap_;
    const bool never_answers_prefill_;
    Listener listener_;
    Timer pace_timer_;
    std::vector<std::unique_ptr<LineConnection>> connections_;
    std::vector<Stream> running_;
    std::int64_t started_at_ = 0;
};

// ---- the relay: the same codec and connections, without bookkeeping and decisions

class Relay : public LineConnection::Owner {
  public:
    Relay(const std::string& prefill_server, const std::string& decode_server)
        : listener_(loop_, Address::parse("127.0.0.1:0"), [this](int fd) {
              auto link = LineConnection::accepted(loop_, fd, kLineLimits, *this);
              clients_[link.get()] = std::move(link);
          }) {
        for (int n = 0; n < 4; ++n) {
            prefill_servers_.push_back(
                LineConnection::dial(loop_, Address::parse(prefill_server), kLineLimits, *this));
            decode_servers_.push_back(
                LineConnection::dial(loop_, Address::parse(decode_server), kLineLimits, *this));
        }
    }
    void run() {
        std::printf("ready %s\n", listener_.address().text().c_str());
        std::fflush(stdout);
        loop_.run();
    }
    void connection_opened(LineConnection& link) override {
        link.send(rpc::hello_line(rpc::Id{std::string("hello")}, {"relay", "z", ""}));
    }
    void line_received(LineConnection& link, std::string_view line) override {
        if (const auto tokens = rpc::plain_tokens(line)) {
            const auto it = open_.find(tokens->id);
            if (it != open_.end()) it->second.link->send(rpc::tokens_line(it->second.id, tokens->text));
            return;
        }
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m) return;
        if (m->kind == rpc::MessageKind::request) {
            auto read = rpc::read_generate_request(m->body);
            if (!std::holds_alternative<rpc::GenerateRequest>(read)) return;
            const std::int64_t id = next_++;
            const rpc::GenerateRequest& request = std::get<rpc::GenerateRequest>(read);
            open_[id] = {&link, m->id};
            rpc::AttemptRequest attempt_request;
            attempt_request.query = "q";
            attempt_request.state = "s";
            attempt_request.prompt = request.prompt;
            attempt_request.prompt_tokens = request.prompt_tokens;
            attempt_request.max_output_tokens = request.max_output_tokens;
            prefill_servers_[static_cast<std::size_t>(id) % 4]->send(
                rpc::attempt_request_line(rpc::Id{id}, rpc::kPrefill, attempt_request));
        } else if (const auto* id = std::get_if<std::int64_t>(&m->id)) {
            const auto it = open_.find(*id);
            if (it == open_.end()) return;
            if (m->body.contains("tokens")) {
                it->second.link->send(rpc::completed_line(it->second.id, rpc::number_or(m->body, "tokens")));
                open_.erase(it);
                return;
            }
            rpc::AttemptRequest attempt_request;
            attempt_request.query = "q";
            attempt_request.state = "s";
            attempt_request.state_address = "127.0.0.1:1";
            decode_servers_[static_cast<std::size_t>(*id) % 4]->send(
                rpc::attempt_request_line(rpc::Id{*id}, rpc::kDecode, attempt_request));
        }
    }
    void connection_closed(LineConnection&, CloseReason, const std::string&) override {}

  private:
    struct Open {
        LineConnection* link;
        rpc::Id id;
    };
    Loop loop_;
    Listener listener_;
    std::vector<std::unique_ptr<LineConnection>> prefill_servers_, decode_servers_;
    std::map<LineConnection*, std::unique_ptr<LineConnection>> clients_;
    std::unordered_map<std::int64_t, Open> open_;
    std::int64_t next_ = 1;
};

// ---- load

struct LoadResult {
    double requests_per_s = 0, tokens_per_s = 0, first_token_p50_ms = 0, first_token_p99_ms = 0,
           token_p50_ms = 0, token_p99_ms = 0;
    std::size_t completed = 0, failed = 0;
};

class Load : public LineConnection::Owner {
  public:
    // A closed loop with this many open requests, or, with a rate, an open loop.
    Load(const std::string& to, std::size_t open, double rate, double seconds, std::size_t prompt_bytes,
         double warm_up_s = 1)
        : rate_(rate), seconds_(seconds), warm_up_s_(warm_up_s), target_open_(open), tick_(loop_, [this] {
              tick();
          }) {
        for (int n = 0; n < 16; ++n)
            connections_.push_back(LineConnection::dial(loop_, Address::parse(to), kLineLimits, *this));
        request_.category = "help";
        request_.prompt =
            "[{\"type\":\"text\",\"tokens\":500,\"text\":\"" + std::string(prompt_bytes, 'x') + "\"}]";
        request_.max_output_tokens = 20;
        request_.time_budget = Duration{60000000};
    }
    LoadResult run() {
        loop_.run();
        LoadResult m;
        const double s = seconds_;
        m.completed = completed_;
        m.failed = failed_;
        m.requests_per_s = static_cast<double>(completed_) / s;
        m.tokens_per_s = static_cast<double>(tokens_) / s;
        const auto at = [](std::vector<double>& v, double quantile) {
            if (v.empty()) return 0.0;
            const auto n = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(v.size() - 1));
            std::nth_element(v.begin(), v.begin() + n, v.end());
            return v[static_cast<std::size_t>(n)];
        };
        m.first_token_p50_ms = at(first_token_ms_, 0.5);
        m.first_token_p99_ms = at(first_token_ms_, 0.99);
        m.token_p50_ms = at(token_delays_ms_, 0.5);
        m.token_p99_ms = at(token_delays_ms_, 0.99);
        return m;
    }
    void connection_opened(LineConnection&) override {
        if (++open_connections_ < connections_.size()) return;
        started_at_ = monotonic_clock_us();
        if (rate_ <= 0)
            for (std::size_t n = 0; n < target_open_; ++n) ask();
        tick_.set(Duration{1000});
    }
    void line_received(LineConnection&, std::string_view line) override {
        const std::int64_t now = monotonic_clock_us();
        if (const auto tokens = rpc::plain_tokens(line)) {
            const auto it = open_.find(tokens->id);
            if (it == open_.end()) return;
            if (is_measured(now)) {
                ++tokens_;
                if (!it->second.has_tokens)
                    first_token_ms_.push_back(static_cast<double>(now - it->second.at) / 1000);
                token_delays_ms_.push_back(
                    static_cast<double>(now - std::atoll(std::string(tokens->text).c_str())) / 1000);
            }
            it->second.has_tokens = true;
            return;
        }
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m) return;
        const auto* id = std::get_if<std::int64_t>(&m->id);
        if (!id || open_.erase(*id) == 0) return;
        if (is_measured(now)) ++(m->kind == rpc::MessageKind::result ? completed_ : failed_);
        if (rate_ <= 0 && now < end()) ask();
    }
    void connection_closed(LineConnection&, CloseReason, const std::string& what) override {
        std::fprintf(stderr, "closed: %s\n", what.c_str());
    }
    std::size_t open() const { return open_.size(); }

  private:
    std::int64_t end() const {
        return started_at_ + static_cast<std::int64_t>((warm_up_s_ + seconds_) * 1e6);
    }
    bool is_measured(std::int64_t now) const {
        return now >= started_at_ + static_cast<std::int64_t>(warm_up_s_ * 1e6) && now < end();
    }
    void ask() {
        const std::int64_t id = next_++;
        open_[id] = {monotonic_clock_us(), false};
        request_.session = "s" + std::to_string(id % 5000);
        connections_[static_cast<std::size_t>(id) % connections_.size()]->send(
            rpc::generate_request_line(rpc::Id{id}, request_));
    }
    void tick() {
        const std::int64_t now = monotonic_clock_us();
        if (now >= end()) return loop_.stop();
        if (rate_ > 0)
            while (static_cast<double>(next_) < static_cast<double>(now - started_at_) / 1e6 * rate_) ask();
        tick_.set(Duration{1000});
    }
    struct Open {
        std::int64_t at;
        bool has_tokens;
    };
    Loop loop_;
    const double rate_, seconds_, warm_up_s_;
    const std::size_t target_open_;
    Timer tick_;
    std::vector<std::unique_ptr<LineConnection>> connections_;
    rpc::GenerateRequest request_;
    std::size_t open_connections_ = 0, completed_ = 0, failed_ = 0;
    std::uint64_t tokens_ = 0;
    std::int64_t started_at_ = 0, next_ = 1;
    std::unordered_map<std::int64_t, Open> open_;
    std::vector<double> first_token_ms_, token_delays_ms_;
};

// ---- the comparison

struct Child {
    pid_t pid = -1;
    std::string address;
};

Child start(const std::vector<std::string>& args, int core, int another = -1) {
    int out[2];
    if (pipe(out) != 0) throw std::runtime_error("pipe");
    Child child;
    child.pid = fork();
    if (child.pid == 0) {
        pin(core, another);
        dup2(out[1], 1);
        std::vector<char*> argv;
        for (const auto& a : args) argv.push_back(const_cast<char*>(a.c_str()));
        argv.push_back(nullptr);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(out[1]);
    std::string text;
    char c = 0;
    while (read(out[0], &c, 1) == 1) {
        if (c != '\n') {
            text += c;
            continue;
        }
        if (text.rfind("ready ", 0) == 0) {
            child.address = text.substr(6);
            break;
        }
        text.clear();
    }
    if (child.address.empty()) throw std::runtime_error("not ready: " + args[0] + " " + args[1]);
    return child;
}

void stop(Child& child) {
    kill(child.pid, SIGKILL);
    waitpid(child.pid, nullptr, 0);
}

double cpu_s(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string skip;
    for (int n = 0; n < 11; ++n) rest >> skip;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double all = 0, resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

const char* const kTerms = R"((copperfront
  (gateway (name "g") (zone "z")) (fleet (quantum 4ms)) (zone "z")
  (kind "reader" (role reader)) (kind "writer" (role writer))
  (category "help" (latency-goal 30s) (hard-stop 60s))
  (rules (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5) (fall 3s) (warm-within 14s) (release-within 1s))
  (bounds (open-queries 100000) (queries-a-caller 100000) (unsent-bytes 268435456) (streams-a-link 5000))))";

struct Bench {
    std::string self, copperfront;
    double seconds = 5;
    std::vector<std::string>
        wrapper;  // a profiler command that runs the gateway, such as valgrind's callgrind

    Child start_subject(const std::string& which, const Child& prefill_server, const Child& decode_server,
                        const Child& roster) {
        if (which == "relay") return start({self, "relay", prefill_server.address, decode_server.address}, 1);
        const std::string terms =
            (std::filesystem::temp_directory_path() / ("copperfront-bench-" + std::to_string(getpid())))
                .string();
        std::ofstream(terms) << kTerms;
        return start({copperfront, "gateway", terms, "--roster", roster.address, "--log-level", "error"}, 1);
    }

    Child make_roster(const Child& prefill_server, const Child& decode_server) {
        Child roster = start({copperfront, "standin", "roster"}, 0);
        struct RosterClient : LineConnection::Owner {
            Loop loop;
            std::string line;
            void connection_opened(LineConnection& link) override { link.send(line); }
            void line_received(LineConnection&, std::string_view) override { loop.stop(); }
            void connection_closed(LineConnection&, CloseReason, const std::string&) override { loop.stop(); }
        } roster_client;
        const auto update = rpc::roster_update_json(
            {1,
             false,
             {{prefill_server.address, "r", "reader", "z", "a", 0, ServerStatus::ready},
              {decode_server.address, "w", "writer", "z", "a", 0, ServerStatus::ready}}});
        roster_client.line =
            rpc::request_line(rpc::Id{std::int64_t{1}}, "roster/set", {{"servers", update["servers"]}});
        auto link = LineConnection::dial(roster_client.loop, Address::parse(roster.address), kLineLimits,
                                         roster_client);
        roster_client.loop.run();
        return roster;
    }

    void compare_throughput(std::size_t tokens) {
        std::printf("\n%zu tokens a query, 64 queries open, %g s\n", tokens, seconds);
        std::printf("%-8s %10s %11s %9s %9s %12s %12s\n", "", "queries/s", "tokens/s", "settled", "other",
                    "us CPU/query", "us CPU/token");
        double rate[2] = {};
        for (int which = 0; which < 2; ++which) {
            Child server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(server, server);
            // One process would need two addresses to be prefill and decode server to the gateway; a second
            // process is simpler.
            Child decode_server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            stop(roster);
            roster = make_roster(server, decode_server);
            Child subject_process =
                start_subject(which == 0 ? "relay" : "gateway", server, decode_server, roster);
            usleep(300000);
            const double before = cpu_s(subject_process.pid);
            Load load(subject_process.address, 64, 0, seconds, 400);
            const LoadResult m = load.run();
            const double cpu = (cpu_s(subject_process.pid) - before) * seconds / (seconds + 1);
            rate[which] = m.requests_per_s;
            std::printf("%-8s %10.0f %11.0f %9zu %9zu %12.1f %12.2f\n", which == 0 ? "relay" : "gateway",
                        m.requests_per_s, m.tokens_per_s, m.completed, m.failed,
                        cpu * 1e6 / static_cast<double>(m.completed),
                        cpu * 1e6 / (static_cast<double>(m.completed) * static_cast<double>(tokens)));
            for (Child* c : {&subject_process, &server, &decode_server, &roster}) stop(*c);
        }
        std::printf("gateway against relay: %.2f\n", rate[1] / rate[0]);
        half_rates_[tokens] = rate[1] / 2;
    }

    void compare_latency(std::size_t tokens) {
        const double rate = half_rates_[tokens];
        std::printf("\n%zu tokens a query at half load, %.0f queries a second\n", tokens, rate);
        std::printf("%-8s %14s %14s %14s %14s\n", "", "first p50 ms", "first p99 ms", "token p50 ms",
                    "token p99 ms");
        LoadResult both[2];
        for (int which = 0; which < 2; ++which) {
            Child prefill_server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child decode_server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(prefill_server, decode_server);
            Child subject_process =
                start_subject(which == 0 ? "relay" : "gateway", prefill_server, decode_server, roster);
            usleep(300000);
            Load load(subject_process.address, 0, rate, seconds, 400);
            const LoadResult m = both[which] = load.run();
            std::printf("%-8s %14.3f %14.3f %14.3f %14.3f\n", which == 0 ? "relay" : "gateway",
                        m.first_token_p50_ms, m.first_token_p99_ms, m.token_p50_ms, m.token_p99_ms);
            for (Child* c : {&subject_process, &prefill_server, &decode_server, &roster}) stop(*c);
        }
        std::printf("%-8s %14.3f %14.3f %14.3f %14.3f\n", "added",
                    both[1].first_token_p50_ms - both[0].first_token_p50_ms,
                    both[1].first_token_p99_ms - both[0].first_token_p99_ms,
                    both[1].token_p50_ms - both[0].token_p50_ms, both[1].token_p99_ms - both[0].token_p99_ms);
    }

    // Alternates runs with and without a trace, several of each, because runs differ by more than a trace
    // costs. Both may use two cores, as a gateway's machine has more than one.
    void compare_tracing(std::size_t tokens) {
        constexpr int kRounds = 12;
        std::vector<double> rate[2], cpu[2];
        std::uint64_t bytes = 0, requests = 0;
        for (int round = 0; round < 2 * kRounds; ++round) {
            const int which = round % 4 == 1 || round % 4 == 2;  // without, with, with, without
            const std::string folder = (std::filesystem::temp_directory_path() /
                                        ("copperfront-bench-trace-" + std::to_string(getpid())))
                                           .string();
            Child prefill_server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child decode_server = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(prefill_server, decode_server);
            const std::string terms =
                (std::filesystem::temp_directory_path() / ("copperfront-bench-" + std::to_string(getpid())))
                    .string();
            std::ofstream(terms) << kTerms;
            std::vector<std::string> args{copperfront,    "gateway",     terms,  "--roster",
                                          roster.address, "--log-level", "error"};
            if (which == 1) args.insert(args.end(), {"--trace", folder});
            args.insert(args.begin(), wrapper.begin(), wrapper.end());
            Child gateway = start(args, 1, 0);
            usleep(300000);
            const double before = cpu_s(gateway.pid);
            Load load(gateway.address, 64, 0, seconds, 400);
            const LoadResult m = load.run();
            rate[which].push_back(m.requests_per_s);
            cpu[which].push_back((cpu_s(gateway.pid) - before) * 1e6 / static_cast<double>(m.completed) *
                                 seconds / (seconds + 1));
            if (!wrapper.empty()) {
                // The profiler writes its counts only at a clean exit.
                std::printf("%s a trace: %zu settled, process %d\n", which == 0 ? "without" : "with",
                            m.completed, gateway.pid);
                std::fflush(stdout);
                kill(gateway.pid, SIGTERM);
                waitpid(gateway.pid, nullptr, 0);
                for (Child* c : {&prefill_server, &decode_server, &roster}) stop(*c);
                if (round == 1) return;
                continue;
            }
            for (Child* c : {&gateway, &prefill_server, &decode_server, &roster}) stop(*c);
            if (which == 0) continue;
            requests += m.completed;
            for (const auto& file : std::filesystem::directory_iterator(folder)) bytes += file.file_size();
            std::filesystem::remove_all(folder);
        }
        std::vector<double> ratios;
        for (int n = 0; n < kRounds; ++n) {
            const auto at = static_cast<std::size_t>(n);
            ratios.push_back(rate[1][at] / rate[0][at]);
        }
        for (auto* all : {&rate[0], &rate[1], &cpu[0], &cpu[1], &ratios}) std::sort(all->begin(), all->end());
        std::printf("\n%zu tokens a query, without a trace and with one, %d runs each in turn\n", tokens,
                    kRounds);
        for (int which = 0; which < 2; ++which)
            std::printf("%-8s %10.0f queries/s in the middle (%.0f to %.0f), %.1f us CPU a query\n",
                        which == 0 ? "without" : "with", rate[which][kRounds / 2], rate[which].front(),
                        rate[which].back(), cpu[which][kRounds / 2]);
        std::printf(
            "with against without, pair by pair: %.3f in the middle, half of them within %.3f to %.3f; "
            "%.0f bytes a query on disk\n",
            ratios[kRounds / 2], ratios[kRounds / 4], ratios[kRounds * 3 / 4],
            static_cast<double>(bytes) / static_cast<double>(requests));
    }

    void measure_waiting(std::size_t requests) {
        Child prefill_server = start({self, "engine", "--never-reads"}, 3);
        Child decode_server = start({self, "engine"}, 3);
        Child roster = make_roster(prefill_server, decode_server);
        Child gateway = start_subject("gateway", prefill_server, decode_server, roster);
        usleep(300000);
        const double before = resident_mb(gateway.pid);
        Load load(gateway.address, requests, 0, 3, 400, 0.5);
        load.run();
        const double after = resident_mb(gateway.pid);
        std::printf(
            "\n%zu queries held (prompts of 400 bytes): %.1f MB more, %.2f KB a query; %zu still open\n",
            requests, after - before, (after - before) * 1e3 / static_cast<double>(requests), load.open());
        for (Child* c : {&gateway, &prefill_server, &decode_server, &roster}) stop(*c);
    }

    void measure_streams(std::size_t requests) {
        Child prefill_server = start({self, "engine"}, 3);
        Child decode_server = start({self, "engine", "--tokens", "6", "--gap-ms", "1000"}, 3);
        Child roster = make_roster(prefill_server, decode_server);
        Child gateway = start_subject("gateway", prefill_server, decode_server, roster);
        usleep(300000);
        const double before = resident_mb(gateway.pid), cpu = cpu_s(gateway.pid);
        Load load(gateway.address, requests, 0, 12, 400, 0);
        const LoadResult m = load.run();
        std::printf(
            "\n%zu streams open at once, one token a second each: %zu settled, %zu otherwise, %.0f tokens a "
            "second, %.1f MB more, "
            "%.2f of a core, token p99 %.1f ms\n",
            requests, m.completed, m.failed, m.tokens_per_s, resident_mb(gateway.pid) - before,
            (cpu_s(gateway.pid) - cpu) / 12, m.token_p99_ms);
        for (Child* c : {&gateway, &prefill_server, &decode_server, &roster}) stop(*c);
    }

    std::map<std::size_t, double> half_rates_;
};

}  // namespace
}  // namespace copperfront

int main(int argc, char** argv) {
    using namespace copperfront;
    CLI::App app("what a gateway costs against a bare relay");
    app.require_subcommand(1);
    std::size_t tokens = 20;
    double gap_ms = 0;
    bool never_answers_prefill = false;
    std::string prefill_server, decode_server;
    auto* server = app.add_subcommand("engine", "an engine that answers at once");
    server->add_option("--tokens", tokens);
    server->add_option("--gap-ms", gap_ms);
    server->add_flag("--never-reads", never_answers_prefill);
    auto* relay = app.add_subcommand("relay", "a bare relay");
    relay->add_option("READER", prefill_server)->required();
    relay->add_option("WRITER", decode_server)->required();
    Bench bench;
    auto* run = app.add_subcommand("run", "all measurements");
    run->add_option("COPPERFRONT", bench.copperfront)->required();
    run->add_option("--seconds", bench.seconds);
    auto* trace = app.add_subcommand("trace", "throughput with and without a trace");
    trace->add_option("COPPERFRONT", bench.copperfront)->required();
    trace->add_option("--seconds", bench.seconds);
    trace->add_option("--under", bench.wrapper, "run the gateway by this program");
    CLI11_PARSE(app, argc, argv);
    try {
        if (*server) {
            FastServer(tokens, gap_ms, never_answers_prefill).run();
        } else if (*relay) {
            Relay(prefill_server, decode_server).run();
        } else {
            char self[4096] = {};
            if (readlink("/proc/self/exe", self, sizeof self - 1) < 0) return 1;
            bench.self = self;
            pin(2);
            if (*trace) {
                for (const std::size_t n : {std::size_t{20}, std::size_t{200}}) bench.compare_tracing(n);
                return 0;
            }
            for (const std::size_t n : {std::size_t{20}, std::size_t{200}}) {
                bench.compare_throughput(n);
                bench.compare_latency(n);
            }
            bench.measure_waiting(10000);
            bench.measure_streams(10000);
        }
    } catch (const std::exception& trouble) {
        std::fprintf(stderr, "%s\n", trouble.what());
        return 1;
    }
    return 0;
}
