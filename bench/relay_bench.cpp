// What a gateway costs against a bare relay of the same libraries that decides nothing: both in turn, in one
// run, on one core each, over loopback. Not a test: figures of one machine, to be compared within a run.
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

#include "net/link.h"
#include "rpc/wire.h"

namespace copperfront {
namespace {

using rpc::Json;

constexpr LinkBounds kBounds{1 << 20, 1 << 28};

void pin(int core, int another = -1) {
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core, &set);
    if (another >= 0) CPU_SET(another, &set);
    sched_setaffinity(0, sizeof set, &set);
}

// ---- an engine that answers at once, or that paces its tokens

class FastEngine : public Link::Owner {
  public:
    FastEngine(std::size_t tokens, double gap_ms, bool never_reads)
        : tokens_(tokens),
          gap_{static_cast<std::int64_t>(gap_ms * 1000)},
          never_reads_(never_reads),
          listener_(loop_, Address::parse("127.0.0.1:0"),
                    [this](int fd) { links_.push_back(Link::accepted(loop_, fd, kBounds, *this)); }),
          pace_(loop_, [this] { step(); }) {}
    void run() {
        std::printf("ready %s\n", listener_.address().text().c_str());
        std::fflush(stdout);
        if (gap_.us > 0) pace_.set(gap_);
        loop_.run();
    }
    void line_came(Link& link, std::string_view line) override {
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m || m->sort != rpc::Sort::call) return;
        if (m->method == rpc::kInitialize) return link.send(rpc::hello_answer_line(m->id, "fast", "1"));
        if (m->method == rpc::kPing) return link.send(rpc::result(m->id, Json::object()));
        if (m->method == rpc::kRead) {
            if (!never_reads_) link.send(rpc::read_result_line(m->id, 0, {}));
            return;
        }
        if (gap_.us > 0) {
            running_.push_back({&link, m->id, 0});
            return;
        }
        for (std::size_t n = 0; n < tokens_; ++n) token(link, m->id);
        link.send(rpc::write_result_line(m->id, static_cast<double>(tokens_), 0, {}));
    }
    void link_closed(Link& link, Closing, const std::string&) override {
        std::erase_if(running_, [&](const Stream& s) { return s.link == &link; });
    }

  private:
    struct Stream {
        Link* link;
        rpc::Id id;
        std::size_t sent;
    };
    void token(Link& link, const rpc::Id& id) {
        link.send(rpc::tokens_line(id, std::to_string(machine_clock_us())));
    }
    void step() {
        // Streams take their turns spread over the gap, so that tokens do not come in one lump.
        const std::int64_t now = machine_clock_us();
        if (begun_ == 0) begun_ = now;
        for (Stream& s : running_) {
            token(*s.link, s.id);
            if (++s.sent == tokens_)
                s.link->send(rpc::write_result_line(s.id, static_cast<double>(tokens_), 0, {}));
        }
        std::erase_if(running_, [&](const Stream& s) { return s.sent >= tokens_; });
        pace_.set(gap_);
    }
    Loop loop_;
    const std::size_t tokens_;
    const Span gap_;
    const bool never_reads_;
    Listener listener_;
    Timer pace_;
    std::vector<std::unique_ptr<Link>> links_;
    std::vector<Stream> running_;
    std::int64_t begun_ = 0;
};

// ---- the bare relay: the same codec and links, no books and no decisions

class Relay : public Link::Owner {
  public:
    Relay(const std::string& reader, const std::string& writer)
        : listener_(loop_, Address::parse("127.0.0.1:0"), [this](int fd) {
              auto link = Link::accepted(loop_, fd, kBounds, *this);
              callers_[link.get()] = std::move(link);
          }) {
        for (int n = 0; n < 4; ++n) {
            readers_.push_back(Link::dial(loop_, Address::parse(reader), kBounds, *this));
            writers_.push_back(Link::dial(loop_, Address::parse(writer), kBounds, *this));
        }
    }
    void run() {
        std::printf("ready %s\n", listener_.address().text().c_str());
        std::fflush(stdout);
        loop_.run();
    }
    void link_made(Link& link) override {
        link.send(rpc::hello_line(rpc::Id{std::string("hello")}, {"relay", "z", ""}));
    }
    void line_came(Link& link, std::string_view line) override {
        if (const auto tokens = rpc::plain_tokens(line)) {
            const auto it = open_.find(tokens->id);
            if (it != open_.end()) it->second.link->send(rpc::tokens_line(it->second.id, tokens->text));
            return;
        }
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m) return;
        if (m->sort == rpc::Sort::call) {
            auto read = rpc::read_ask(m->body);
            if (!std::holds_alternative<rpc::Ask>(read)) return;
            const std::int64_t id = next_++;
            const rpc::Ask& ask = std::get<rpc::Ask>(read);
            open_[id] = {&link, m->id};
            rpc::Order order;
            order.query = "q";
            order.state = "s";
            order.prompt = ask.prompt;
            order.prompt_tokens = ask.prompt_tokens;
            order.most_tokens = ask.most_tokens;
            readers_[static_cast<std::size_t>(id) % 4]->send(rpc::order_line(rpc::Id{id}, rpc::kRead, order));
        } else if (const auto* id = std::get_if<std::int64_t>(&m->id)) {
            const auto it = open_.find(*id);
            if (it == open_.end()) return;
            if (m->body.contains("tokens")) {
                it->second.link->send(rpc::settled_line(it->second.id, rpc::number_at(m->body, "tokens")));
                open_.erase(it);
                return;
            }
            rpc::Order order;
            order.query = "q";
            order.state = "s";
            order.from = "127.0.0.1:1";
            writers_[static_cast<std::size_t>(*id) % 4]->send(
                rpc::order_line(rpc::Id{*id}, rpc::kWrite, order));
        }
    }
    void link_closed(Link&, Closing, const std::string&) override {}

  private:
    struct Open {
        Link* link;
        rpc::Id id;
    };
    Loop loop_;
    Listener listener_;
    std::vector<std::unique_ptr<Link>> readers_, writers_;
    std::map<Link*, std::unique_ptr<Link>> callers_;
    std::unordered_map<std::int64_t, Open> open_;
    std::int64_t next_ = 1;
};

// ---- load

struct Measured {
    double queries_s = 0, tokens_s = 0, first_half = 0, first_99 = 0, token_half = 0, token_99 = 0;
    std::size_t settled = 0, other = 0;
};

class Load : public Link::Owner {
  public:
    // Closed loop with so many queries open, or, with a rate, open loop.
    Load(const std::string& to, std::size_t open, double rate, double seconds, std::size_t prompt_bytes,
         double warm = 1)
        : rate_(rate), seconds_(seconds), warm_(warm), wanted_(open), tick_(loop_, [this] { tick(); }) {
        for (int n = 0; n < 16; ++n) links_.push_back(Link::dial(loop_, Address::parse(to), kBounds, *this));
        ask_.category = "help";
        ask_.prompt =
            "[{\"type\":\"text\",\"tokens\":500,\"text\":\"" + std::string(prompt_bytes, 'x') + "\"}]";
        ask_.most_tokens = 20;
        ask_.budget = Span{60000000};
    }
    Measured run() {
        loop_.run();
        Measured m;
        const double s = seconds_;
        m.settled = settled_;
        m.other = other_;
        m.queries_s = static_cast<double>(settled_) / s;
        m.tokens_s = static_cast<double>(tokens_) / s;
        const auto at = [](std::vector<double>& v, double part) {
            if (v.empty()) return 0.0;
            const auto n = static_cast<std::ptrdiff_t>(part * static_cast<double>(v.size() - 1));
            std::nth_element(v.begin(), v.begin() + n, v.end());
            return v[static_cast<std::size_t>(n)];
        };
        m.first_half = at(firsts_, 0.5);
        m.first_99 = at(firsts_, 0.99);
        m.token_half = at(delays_, 0.5);
        m.token_99 = at(delays_, 0.99);
        return m;
    }
    void link_made(Link&) override {
        if (++made_ < links_.size()) return;
        begun_ = machine_clock_us();
        if (rate_ <= 0)
            for (std::size_t n = 0; n < wanted_; ++n) ask();
        tick_.set(Span{1000});
    }
    void line_came(Link&, std::string_view line) override {
        const std::int64_t now = machine_clock_us();
        if (const auto tokens = rpc::plain_tokens(line)) {
            const auto it = open_.find(tokens->id);
            if (it == open_.end()) return;
            if (counts(now)) {
                ++tokens_;
                if (!it->second.begun) firsts_.push_back(static_cast<double>(now - it->second.at) / 1000);
                delays_.push_back(static_cast<double>(now - std::atoll(std::string(tokens->text).c_str())) /
                                  1000);
            }
            it->second.begun = true;
            return;
        }
        auto parsed = rpc::parse(line);
        const auto* m = std::get_if<rpc::Message>(&parsed);
        if (!m) return;
        const auto* id = std::get_if<std::int64_t>(&m->id);
        if (!id || open_.erase(*id) == 0) return;
        if (counts(now)) ++(m->sort == rpc::Sort::result ? settled_ : other_);
        if (rate_ <= 0 && now < end()) ask();
    }
    void link_closed(Link&, Closing, const std::string& what) override {
        std::fprintf(stderr, "closed: %s\n", what.c_str());
    }
    std::size_t open() const { return open_.size(); }

  private:
    std::int64_t end() const { return begun_ + static_cast<std::int64_t>((warm_ + seconds_) * 1e6); }
    bool counts(std::int64_t now) const {
        return now >= begun_ + static_cast<std::int64_t>(warm_ * 1e6) && now < end();
    }
    void ask() {
        const std::int64_t id = next_++;
        open_[id] = {machine_clock_us(), false};
        ask_.session = "s" + std::to_string(id % 5000);
        links_[static_cast<std::size_t>(id) % links_.size()]->send(rpc::ask_line(rpc::Id{id}, ask_));
    }
    void tick() {
        const std::int64_t now = machine_clock_us();
        if (now >= end()) return loop_.stop();
        if (rate_ > 0)
            while (static_cast<double>(next_) < static_cast<double>(now - begun_) / 1e6 * rate_) ask();
        tick_.set(Span{1000});
    }
    struct Open {
        std::int64_t at;
        bool begun;
    };
    Loop loop_;
    const double rate_, seconds_, warm_;
    const std::size_t wanted_;
    Timer tick_;
    std::vector<std::unique_ptr<Link>> links_;
    rpc::Ask ask_;
    std::size_t made_ = 0, settled_ = 0, other_ = 0;
    std::uint64_t tokens_ = 0;
    std::int64_t begun_ = 0, next_ = 1;
    std::unordered_map<std::int64_t, Open> open_;
    std::vector<double> firsts_, delays_;
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
        under;  // a program that runs the gateway and counts, such as valgrind's callgrind

    Child subject(const std::string& which, const Child& reader, const Child& writer, const Child& roster) {
        if (which == "relay") return start({self, "relay", reader.address, writer.address}, 1);
        const std::string terms =
            (std::filesystem::temp_directory_path() / ("copperfront-bench-" + std::to_string(getpid())))
                .string();
        std::ofstream(terms) << kTerms;
        return start({copperfront, "gateway", terms, "--roster", roster.address, "--log-level", "error"}, 1);
    }

    Child make_roster(const Child& reader, const Child& writer) {
        Child roster = start({copperfront, "standin", "roster"}, 0);
        struct Teller : Link::Owner {
            Loop loop;
            std::string line;
            void link_made(Link& link) override { link.send(line); }
            void line_came(Link&, std::string_view) override { loop.stop(); }
            void link_closed(Link&, Closing, const std::string&) override { loop.stop(); }
        } teller;
        const auto news = rpc::news_json({1,
                                          false,
                                          {{reader.address, "r", "reader", "z", "a", 0, Standing::ready},
                                           {writer.address, "w", "writer", "z", "a", 0, Standing::ready}}});
        teller.line = rpc::call(rpc::Id{std::int64_t{1}}, "roster/set", {{"servers", news["servers"]}});
        auto link = Link::dial(teller.loop, Address::parse(roster.address), kBounds, teller);
        teller.loop.run();
        return roster;
    }

    void throughput(std::size_t tokens) {
        std::printf("\n%zu tokens a query, 64 queries open, %g s\n", tokens, seconds);
        std::printf("%-8s %10s %11s %9s %9s %12s %12s\n", "", "queries/s", "tokens/s", "settled", "other",
                    "us CPU/query", "us CPU/token");
        double rate[2] = {};
        for (int which = 0; which < 2; ++which) {
            Child engine = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(engine, engine);
            // One process is reader and writer at two addresses to the gateway: a second engine is cheaper to
            // tell apart.
            Child writer = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            stop(roster);
            roster = make_roster(engine, writer);
            Child subject_ = subject(which == 0 ? "relay" : "gateway", engine, writer, roster);
            usleep(300000);
            const double before = cpu_s(subject_.pid);
            Load load(subject_.address, 64, 0, seconds, 400);
            const Measured m = load.run();
            const double cpu = (cpu_s(subject_.pid) - before) * seconds / (seconds + 1);
            rate[which] = m.queries_s;
            std::printf("%-8s %10.0f %11.0f %9zu %9zu %12.1f %12.2f\n", which == 0 ? "relay" : "gateway",
                        m.queries_s, m.tokens_s, m.settled, m.other,
                        cpu * 1e6 / static_cast<double>(m.settled),
                        cpu * 1e6 / (static_cast<double>(m.settled) * static_cast<double>(tokens)));
            for (Child* c : {&subject_, &engine, &writer, &roster}) stop(*c);
        }
        std::printf("gateway against relay: %.2f\n", rate[1] / rate[0]);
        half_[tokens] = rate[1] / 2;
    }

    void latency(std::size_t tokens) {
        const double rate = half_[tokens];
        std::printf("\n%zu tokens a query at half load, %.0f queries a second\n", tokens, rate);
        std::printf("%-8s %14s %14s %14s %14s\n", "", "first p50 ms", "first p99 ms", "token p50 ms",
                    "token p99 ms");
        Measured both[2];
        for (int which = 0; which < 2; ++which) {
            Child reader = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child writer = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(reader, writer);
            Child subject_ = subject(which == 0 ? "relay" : "gateway", reader, writer, roster);
            usleep(300000);
            Load load(subject_.address, 0, rate, seconds, 400);
            const Measured m = both[which] = load.run();
            std::printf("%-8s %14.3f %14.3f %14.3f %14.3f\n", which == 0 ? "relay" : "gateway", m.first_half,
                        m.first_99, m.token_half, m.token_99);
            for (Child* c : {&subject_, &reader, &writer, &roster}) stop(*c);
        }
        std::printf("%-8s %14.3f %14.3f %14.3f %14.3f\n", "added", both[1].first_half - both[0].first_half,
                    both[1].first_99 - both[0].first_99, both[1].token_half - both[0].token_half,
                    both[1].token_99 - both[0].token_99);
    }

    // With and without a trace in turn, each several times, as one run differs from the next by more than a
    // trace costs. Both may use two cores, as a gateway's machine has more than one.
    void traced(std::size_t tokens) {
        constexpr int kRounds = 12;
        std::vector<double> rate[2], cpu[2];
        std::uint64_t bytes = 0, queries = 0;
        for (int round = 0; round < 2 * kRounds; ++round) {
            const int which = round % 4 == 1 || round % 4 == 2;  // without, with, with, without
            const std::string folder = (std::filesystem::temp_directory_path() /
                                        ("copperfront-bench-trace-" + std::to_string(getpid())))
                                           .string();
            Child reader = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child writer = start({self, "engine", "--tokens", std::to_string(tokens)}, 3);
            Child roster = make_roster(reader, writer);
            const std::string terms =
                (std::filesystem::temp_directory_path() / ("copperfront-bench-" + std::to_string(getpid())))
                    .string();
            std::ofstream(terms) << kTerms;
            std::vector<std::string> args{copperfront,    "gateway",     terms,  "--roster",
                                          roster.address, "--log-level", "error"};
            if (which == 1) args.insert(args.end(), {"--trace", folder});
            args.insert(args.begin(), under.begin(), under.end());
            Child gateway = start(args, 1, 0);
            usleep(300000);
            const double before = cpu_s(gateway.pid);
            Load load(gateway.address, 64, 0, seconds, 400);
            const Measured m = load.run();
            rate[which].push_back(m.queries_s);
            cpu[which].push_back((cpu_s(gateway.pid) - before) * 1e6 / static_cast<double>(m.settled) *
                                 seconds / (seconds + 1));
            if (!under.empty()) {
                // What it counted is said at an orderly end only.
                std::printf("%s a trace: %zu settled, process %d\n", which == 0 ? "without" : "with",
                            m.settled, gateway.pid);
                std::fflush(stdout);
                kill(gateway.pid, SIGTERM);
                waitpid(gateway.pid, nullptr, 0);
                for (Child* c : {&reader, &writer, &roster}) stop(*c);
                if (round == 1) return;
                continue;
            }
            for (Child* c : {&gateway, &reader, &writer, &roster}) stop(*c);
            if (which == 0) continue;
            queries += m.settled;
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
            static_cast<double>(bytes) / static_cast<double>(queries));
    }

    void held(std::size_t queries) {
        Child reader = start({self, "engine", "--never-reads"}, 3);
        Child writer = start({self, "engine"}, 3);
        Child roster = make_roster(reader, writer);
        Child gateway = subject("gateway", reader, writer, roster);
        usleep(300000);
        const double before = resident_mb(gateway.pid);
        Load load(gateway.address, queries, 0, 3, 400, 0.5);
        load.run();
        const double after = resident_mb(gateway.pid);
        std::printf(
            "\n%zu queries held (prompts of 400 bytes): %.1f MB more, %.2f KB a query; %zu still open\n",
            queries, after - before, (after - before) * 1e3 / static_cast<double>(queries), load.open());
        for (Child* c : {&gateway, &reader, &writer, &roster}) stop(*c);
    }

    void streams(std::size_t queries) {
        Child reader = start({self, "engine"}, 3);
        Child writer = start({self, "engine", "--tokens", "6", "--gap-ms", "1000"}, 3);
        Child roster = make_roster(reader, writer);
        Child gateway = subject("gateway", reader, writer, roster);
        usleep(300000);
        const double before = resident_mb(gateway.pid), cpu = cpu_s(gateway.pid);
        Load load(gateway.address, queries, 0, 12, 400, 0);
        const Measured m = load.run();
        std::printf(
            "\n%zu streams open at once, one token a second each: %zu settled, %zu otherwise, %.0f tokens a "
            "second, %.1f MB more, "
            "%.2f of a core, token p99 %.1f ms\n",
            queries, m.settled, m.other, m.tokens_s, resident_mb(gateway.pid) - before,
            (cpu_s(gateway.pid) - cpu) / 12, m.token_99);
        for (Child* c : {&gateway, &reader, &writer, &roster}) stop(*c);
    }

    std::map<std::size_t, double> half_;
};

}  // namespace
}  // namespace copperfront

int main(int argc, char** argv) {
    using namespace copperfront;
    CLI::App app("what a gateway costs against a bare relay");
    app.require_subcommand(1);
    std::size_t tokens = 20;
    double gap = 0;
    bool never = false;
    std::string reader, writer;
    auto* engine = app.add_subcommand("engine", "an engine that answers at once");
    engine->add_option("--tokens", tokens);
    engine->add_option("--gap-ms", gap);
    engine->add_flag("--never-reads", never);
    auto* relay = app.add_subcommand("relay", "a bare relay");
    relay->add_option("READER", reader)->required();
    relay->add_option("WRITER", writer)->required();
    Bench bench;
    auto* run = app.add_subcommand("run", "all measurements");
    run->add_option("COPPERFRONT", bench.copperfront)->required();
    run->add_option("--seconds", bench.seconds);
    auto* trace = app.add_subcommand("trace", "throughput with and without a trace");
    trace->add_option("COPPERFRONT", bench.copperfront)->required();
    trace->add_option("--seconds", bench.seconds);
    trace->add_option("--under", bench.under, "run the gateway by this program");
    CLI11_PARSE(app, argc, argv);
    try {
        if (*engine) {
            FastEngine(tokens, gap, never).run();
        } else if (*relay) {
            Relay(reader, writer).run();
        } else {
            char self[4096] = {};
            if (readlink("/proc/self/exe", self, sizeof self - 1) < 0) return 1;
            bench.self = self;
            pin(2);
            if (*trace) {
                for (const std::size_t n : {std::size_t{20}, std::size_t{200}}) bench.traced(n);
                return 0;
            }
            for (const std::size_t n : {std::size_t{20}, std::size_t{200}}) {
                bench.throughput(n);
                bench.latency(n);
            }
            bench.held(10000);
            bench.streams(10000);
        }
    } catch (const std::exception& trouble) {
        std::fprintf(stderr, "%s\n", trouble.what());
        return 1;
    }
    return 0;
}
