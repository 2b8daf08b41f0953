#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <utility>

#include "cli/commands.h"
#include "fakes/fake_platform.h"
#include "node/node.h"

namespace copperfront {
namespace {

constexpr std::size_t kMaxFileBytes = 64 << 20;
constexpr std::size_t kReadChunkBytes = 64 << 10;
// Buffers are allocated and freed with requests. Freed memory is returned to the system, since it counts
// against the memory limit. Pieces of network buffers (8 KiB) are mapped one by one: in the heap, the small
// objects between them would keep them from being returned.
constexpr int kTrimThresholdBytes = 256 << 10, kMmapThresholdBytes = 8000;
constexpr int kMaxMappings = 32000;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// Throws BadInput with the key, the value and the expected form.
void check_address(const char* key, const std::string& text) {
    try {
        Address::parse(text);
    } catch (const NetworkError& error) {
        throw platform::BadInput(std::string(key) + ": " + error.what());
    }
}

// Returns the content of the file. Throws BadInput if the file is larger than the limit, without buffering
// much more than that, or if a read fails.
std::string read_all(std::istream& file, std::size_t expected) {
    std::string text;
    text.reserve(std::min(expected, kMaxFileBytes));
    std::array<char, kReadChunkBytes> chunk{};
    while (file.read(chunk.data(), chunk.size()), file.gcount() > 0) {
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
        if (text.size() > kMaxFileBytes) throw platform::BadInput("longer than 64 MB");
    }
    if (file.bad()) throw platform::BadInput("cannot be read to its end");
    return text;
}

platform::NodeTerms read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw platform::BadInput("cannot be opened; expected a readable file");
    std::error_code unknown;
    const std::uintmax_t size = std::filesystem::file_size(path, unknown);
    const std::string text = read_all(file, unknown ? 0 : size);
    platform::NodeTerms terms = platform::read_node_terms(text, variable);
    check_address("listen", terms.listen);
    if (!terms.discovery.empty()) check_address("discovery", terms.discovery);
    return terms;
}

int run_node(std::string path, const std::string& level) {
    // A reload signal during the start would end the process if it were not ignored. The file that is read is
    // the new one anyway.
    ::signal(SIGHUP, SIG_IGN);
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
    mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
    mallopt(M_MMAP_MAX, kMaxMappings);
    if (path.empty()) path = variable("ROUTER_CONFIG");
    if (path.empty()) return print_error("node: no file given, and ROUTER_CONFIG is not set", kUsageError);
    platform::NodeTerms terms;
    try {
        terms = read_file(path);
    } catch (const platform::BadInput& error) {
        return print_error(path + ": " + error.what(), kUsageError);
    }
    // The descriptor budget is derived from this limit where the file states none or a larger one.
    if (rlimit files{}; getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY &&
                        (terms.max_descriptors == 0 || files.rlim_cur < terms.max_descriptors))
        terms.max_descriptors = std::min<std::size_t>(files.rlim_cur, 1 << 16);
    try {
        Log log(level, "json", "", 0, 0);
        Loop loop;
        std::optional<Node> node;
        // Handled before the first connection is accepted: an earlier signal waits until the loop runs.
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { node->stop(); });
        // Signals that arrive together cause one reload.
        bool reload_wanted = false;
        const auto reload = [&] {
            reload_wanted = false;
            loop.name_event("settings");
            try {
                node->change(read_file(path));
            } catch (const std::exception& error) {
                log.log(Severity::error, "node", "new terms are refused; the old ones stay",
                        {{"error", error.what()}});
            }
        };
        loop.on_signal(SIGHUP, [&] {
            if (!std::exchange(reload_wanted, true)) loop.post(reload);
        });
        try {
            node.emplace(loop, std::move(terms), log);
            node->watch_process_memory();
        } catch (const platform::BadInput& error) {
            return print_error(path + ": " + error.what(), kUsageError);
        }
        loop.run();
    } catch (const std::exception& error) {
        return print_error(error.what(), kFailure);
    }
    return kSuccess;
}

// Returns a configuration for the fake platform, as a real platform would provide it.
std::string sample_terms(const fake_server::FakePlatform& platform, const std::string& listen) {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + platform.discovery().text() +
           R"(","seed":"1","limits":{"memory_mb":192,"sockets":1024},
 "known":)" +
           platform.list_json() + R"(,
 "settings":{"azs":["here"],"zone":"here","balancers":1,"models":["reader","writer"],"quantum-ms":4,
  "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,120000],"release-ms":1000,
   "aim-us-per-1000-prompt-tokens":[40000],"token-aim-ms":[60]},
  "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after-ms":1000,"conn-idle-ms":15000,
   "connect-timeout-ms":250,"most-held":1000},
  "profiles":[{"name":"help","target-ms":1500,"deadline-ms":6000,"effect":"repeatable","stream":true}],
  "realms":[{"name":"acme","quota-per-s":50}],
  "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":14000}}}
)";
}

int run_fake_platform(const std::string& file, const std::string& listen, int prefill_servers,
                      int decode_servers) {
    try {
        Loop loop;
        fake_server::FakePlatform platform(loop, {});
        for (int n = 0; n < prefill_servers; ++n)
            platform.add("reader-" + std::to_string(n), Role::prefill, "here", n % 2);
        for (int n = 0; n < decode_servers; ++n)
            platform.add("writer-" + std::to_string(n), Role::decode, "here", n % 2);
        std::ofstream out(file);
        out << sample_terms(platform, listen);
        out.close();
        if (!out) return print_error(file + ": cannot be written");
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { loop.stop(); });
        std::printf("ready %s\n", platform.discovery().text().c_str());
        std::fflush(stdout);
        loop.run();
    } catch (const std::exception& error) {
        return print_error(error.what(), kFailure);
    }
    return kSuccess;
}

}  // namespace

void add_fake_platform_command(CLI::App& fake_server_commands, Command& command) {
    auto* sub = fake_server_commands.add_subcommand(
        "platform",
        "Stand-ins of the platform's model servers and its discovery, and a FILE for `copperfront node`");
    auto file = std::make_shared<std::string>();
    auto listen = std::make_shared<std::string>("127.0.0.1:8081");
    auto prefill_servers = std::make_shared<int>(2), decode_servers = std::make_shared<int>(2);
    sub->add_option("FILE", *file, "where the configuration for a node is written")->required();
    sub->add_option("--node-listen", *listen, "loopback address at which the node is to listen")
        ->capture_default_str();
    sub->add_option("--readers", *prefill_servers, "how many")
        ->check(CLI::Range(1, 100))
        ->capture_default_str();
    sub->add_option("--writers", *decode_servers, "how many")
        ->check(CLI::Range(1, 100))
        ->capture_default_str();
    sub->callback([=, &command] {
        command = [=] { return run_fake_platform(*file, *listen, *prefill_servers, *decode_servers); };
    });
}

void add_node_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand(
        "node", "Run a gateway on the platform (HTTP) with the terms in FILE until SIGTERM");
    auto file = std::make_shared<std::string>();
    auto level = std::make_shared<std::string>("info");
    sub->add_option("FILE", *file, "its configuration, JSON; by default the one that ROUTER_CONFIG names");
    sub->add_option("--log-level", *level, "trace, debug, info, warn or error")
        ->envname("COPPERFRONT_LOG_LEVEL")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}));
    sub->callback([=, &command] { command = [=] { return run_node(*file, *level); }; });
}

}  // namespace copperfront
