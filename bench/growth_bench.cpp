// Measures what a gateway needs as its fleet of model servers grows: one `copperfront node` process, with
// fake model servers and clients in this process, all on loopback. Several programs and fleet sizes are
// measured in turn in each round, so that their figures can be paired.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "fakes/fake_platform.h"
#include "scenario/process.h"

namespace copperfront {
namespace {

constexpr Duration kMs{1000};
constexpr Duration kReadyTimeout = kMs * 20000;
constexpr Duration kResponseTimeout = kMs * 4000;
constexpr int kPort = 18081;
constexpr rlim_t kMaxDescriptors = 16384;

constexpr const char* kSettings = R"("settings":{"azs":["a","b"],"zone":"a","balancers":5,
 "models":["reader","writer"],"quantum-ms":4,
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,120000],"release-ms":1000,
  "token-aim-ms":[60]},
 "limits":{"cancel":true,"max-attempts":6,"conn-idle-ms":15000,"connect-timeout-ms":250,"most-held":1000},
 "profiles":[{"name":"chat","target-ms":1500,"deadline-ms":3000,"effect":"repeatable","stream":true}],
 "realms":[{"name":"acme","quota-per-s":100000}],
 "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":3000}})";

struct Options {
    std::vector<std::string> programs;
    std::vector<std::size_t> servers{200, 3200};
    std::size_t requests = 400, rounds = 3;
    double rate = 50;   // requests a second
    bool cold = false;  // all servers have just started, so that requests wait
};

struct Figures {
    double cpu_s = 0, memory_mb = 0, p50_ms = 0, p99_ms = 0;
    std::size_t descriptors = 0, connections = 0, completed = 0;
};

// Returns the CPU time of all threads as counted by the scheduler. /proc/PID/stat counts by samples, which
// are inaccurate for a process that wakes a thousand times a second for some microseconds.
double cpu_seconds_of(pid_t process) {
    double nanoseconds = 0;
    for (const auto& thread :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        std::ifstream file(thread.path() / "schedstat");
        double ran = 0;
        if (!(file >> ran)) throw std::runtime_error("the system does not report the CPU time of threads");
        nanoseconds += ran;
    }
    return nanoseconds / 1e9;
}

double peak_memory_mb_of(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmHWM:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
}

std::size_t descriptors_of(pid_t process) {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

// One request on a connection of its own.
class OneRequest : public Stream::Owner {
  public:
    OneRequest(Loop& loop, const Address& to, std::string text)
        : loop_(loop), text_(std::move(text)), started_(loop.now()) {
        stream_ = Stream::dial(loop, to, {0, 0}, *this);
    }
    ~OneRequest() override { Stream::detach_and_close(loop_, std::move(stream_), false); }
    bool completed() const { return duration_.us > 0; }
    Duration duration() const { return duration_; }
    const std::string& received() const { return received_; }

  private:
    void stream_connected(Stream& stream) override { stream.send(text_); }
    void bytes_received(Stream& stream) override {
        while (stream.buffered() > 0) {
            received_.append(stream.front());
            stream.drain(stream.front().size());
        }
        if (duration_.us == 0 && received_.find("data: [DONE]") != std::string::npos)
            duration_ = loop_.now() - started_;
    }
    void stream_closed(Stream&, CloseReason, const std::string&) override {}

    Loop& loop_;
    std::string text_, received_;
    Instant started_;
    Duration duration_;
    std::unique_ptr<Stream> stream_;
};

class Measurement {
  public:
    Measurement(const std::string& program, std::size_t servers, const Options& options)
        : options_(options), platform_(loop_, fake_server::FakePlatform::ServiceTimes{}), processes_(loop_) {
        for (std::size_t n = 0; n < servers; ++n) {
            platform_.add("s-" + std::to_string(n), n % 2 == 0 ? Role::prefill : Role::decode,
                          n / 2 % 2 == 0 ? "a" : "b", static_cast<int>(n % 20));
            if (options.cold) platform_.set_process_start("s-" + std::to_string(n), loop_.now().us / 1000);
        }
        start(program);
    }
    ~Measurement() {
        std::filesystem::remove(configuration_);
        std::filesystem::remove(configuration_ + ".log");
    }
    Measurement(const Measurement&) = delete;
    Measurement& operator=(const Measurement&) = delete;

    Figures run() {
        wait_until_ready();
        std::vector<std::unique_ptr<OneRequest>> requests;
        for (std::size_t n = 0; n < options_.requests; ++n) {
            requests.push_back(std::make_unique<OneRequest>(loop_, address_, request_text(n)));
            run_loop_for(kMs * (1000 / options_.rate));
        }
        const Instant until = loop_.now() + kResponseTimeout;
        const auto done = [&] {
            return std::all_of(requests.begin(), requests.end(),
                               [](const auto& r) { return r->completed(); });
        };
        while (!done() && loop_.now() < until) run_loop_for(kMs * 20);
        check_gateway_served(requests);
        return figures(requests);
    }

  private:
    void start(const std::string& program) {
        std::ofstream file(configuration_);
        file << R"({"name":"n0","listen":")" << address_.text() << R"(","discovery":")"
             << platform_.discovery().text() << R"(","seed":"1","limits":{"memory_mb":192,"sockets":1024},)"
             << R"("known":)" << platform_.list_json() << ",\n"
             << kSettings << "}\n";
        file.close();
        scenario::ChildProcesses::ProcessOptions start;
        start.name = "gateway";
        start.program = program;
        start.args = {"node", configuration_, "--log-level", "warn"};
        start.stderr_file = configuration_ + ".log";
        processes_.start(std::move(start));
    }

    void run_loop_for(Duration duration) {
        Timer timer(loop_, [this] { loop_.stop(); });
        timer.set(duration);
        loop_.run();
    }

    // Throws if the gateway has not taken its server list or serves nothing: its figures would be
    // meaningless.
    void check_gateway_served(const std::vector<std::unique_ptr<OneRequest>>& requests) const {
        const auto& lists = platform_.written_lists();
        const bool watches = !lists.empty() && !lists.back().is_snapshot;
        if (!watches)
            throw std::runtime_error(
                "the gateway has not taken its server list: it does not watch for changes");
        const bool any = std::any_of(requests.begin(), requests.end(),
                                     [](const auto& request) { return request->completed(); });
        if (!any) throw std::runtime_error("the gateway has served no request");
    }

    void wait_until_ready() {
        const Instant until = loop_.now() + kReadyTimeout;
        std::string last_response;
        for (std::size_t n = 0; loop_.now() < until; ++n) {
            OneRequest probe(loop_, address_, request_text(1000000 + n));
            run_loop_for(kMs * 300);
            if (probe.completed()) return;
            last_response = probe.received();
        }
        throw std::runtime_error("the gateway did not become ready; its last response: " + last_response);
    }

    static std::string request_text(std::size_t number) {
        const std::string body =
            R"({"model":"chat","stream":true,"messages":[{"role":"user","content":"hi"}]})";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: q" +
               std::to_string(number) + "\r\nX-Service-Class: chat\r\nX-Account: acme\r\nX-Session-Key: s" +
               std::to_string(number % 50) +
               "\r\nX-Time-Left-Ms: 3000\r\nX-Facts: prompt_len=2,max_out=50\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Figures figures(const std::vector<std::unique_ptr<OneRequest>>& requests) const {
        Figures result;
        const pid_t process = processes_.pid_of("gateway");
        result.cpu_s = cpu_seconds_of(process);
        result.memory_mb = peak_memory_mb_of(process);
        result.descriptors = descriptors_of(process);
        std::set<std::uint64_t> connections;
        for (const auto& heard : platform_.received()) connections.insert(heard.connection);
        result.connections = connections.size();
        std::vector<double> times;
        for (const auto& request : requests) {
            if (request->completed()) times.push_back(request->duration().ms());
        }
        result.completed = times.size();
        if (times.empty()) return result;
        std::sort(times.begin(), times.end());
        result.p50_ms = times[times.size() / 2];
        result.p99_ms = times[times.size() * 99 / 100];
        return result;
    }

    const Options& options_;
    Loop loop_;
    const std::string configuration_ = std::filesystem::temp_directory_path().string() + "/growth-bench-" +
                                       std::to_string(getpid()) + ".json";
    const Address address_ = Address::parse("127.0.0.1:" + std::to_string(kPort));
    fake_server::FakePlatform platform_;
    scenario::ChildProcesses processes_;
};

void measure_all(const Options& options) {
    std::printf("%zu requests, %.0f a second, each on a connection of its own\n", options.requests,
                options.rate);
    std::printf("%-5s %-7s %7s %8s %8s %8s %11s %11s %8s %8s %9s\n", "round", "program", "servers", "cpu s",
                "ms/req", "MB", "descriptors", "connections", "p50 ms", "p99 ms", "completed");
    for (std::size_t round = 1; round <= options.rounds; ++round) {
        for (const std::size_t servers : options.servers) {
            for (std::size_t program = 0; program < options.programs.size(); ++program) {
                const Figures f = Measurement(options.programs[program], servers, options).run();
                std::printf("%-5zu %-7zu %7zu %8.3f %8.3f %8.1f %11zu %11zu %8.1f %8.1f %9zu\n", round,
                            program + 1, servers, f.cpu_s,
                            f.cpu_s * 1000 / static_cast<double>(options.requests), f.memory_mb,
                            f.descriptors, f.connections, f.p50_ms, f.p99_ms, f.completed);
                std::fflush(stdout);
            }
        }
    }
}

void raise_descriptor_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(limit.rlim_max, kMaxDescriptors);
    setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace
}  // namespace copperfront

int main(int argc, char** argv) {
    copperfront::Options options;
    CLI::App app("what a gateway needs as its fleet of model servers grows");
    app.add_option("--program", options.programs, "copperfront, or several builds of it")->required();
    app.add_option("--servers", options.servers, "sizes of the fleet")->capture_default_str();
    app.add_option("--requests", options.requests)->capture_default_str();
    app.add_option("--rate", options.rate, "requests a second")->capture_default_str();
    app.add_flag("--cold", options.cold, "all servers have just started, so that requests wait");
    app.add_option("--rounds", options.rounds)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        copperfront::raise_descriptor_limit();
        copperfront::measure_all(options);
    } catch (const std::exception& trouble) {
        std::fprintf(stderr, "%s\n", trouble.what());
        return 1;
    }
    return 0;
}
