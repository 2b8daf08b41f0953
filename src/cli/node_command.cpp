#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "cli/commands.h"
#include "node/node.h"

namespace copperfront {
namespace {

constexpr std::size_t kMostFile = 64 << 20;
// Buffers come and go with queries; what is freed goes back to the system, as its limit on memory counts it.
constexpr int kTrimAt = 256 << 10, kMapAt = 64 << 10;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

platform::NodeTerms read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw platform::BadInput("cannot be opened; expected a readable file");
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > kMostFile) throw platform::BadInput("longer than 64 MB");
    return platform::read_node_terms(text.str(), variable);
}

int run_node(std::string path, const std::string& level) {
    // Unhandled, a reload that comes while the gateway still starts would end it. What it reads is new
    // anyway.
    ::signal(SIGHUP, SIG_IGN);
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, kTrimAt);
    mallopt(M_MMAP_THRESHOLD, kMapAt);
    if (path.empty()) path = variable("ROUTER_CONFIG");
    if (path.empty()) return complain("node: no file given, and ROUTER_CONFIG is not set", kBadUse);
    platform::NodeTerms terms;
    try {
        terms = read_file(path);
    } catch (const platform::BadInput& bad) {
        return complain(path + ": " + bad.what(), kBadUse);
    }
    // The share of descriptors is worked out from this where the file does not tell.
    if (rlimit files{}; getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY &&
                        (terms.sockets == 0 || files.rlim_cur < terms.sockets))
        terms.sockets = std::min<std::size_t>(files.rlim_cur, 1 << 16);
    try {
        Log log(level, "json", "", 0, 0);
        Loop loop;
        Node node(loop, std::move(terms), log);
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { node.stop(); });
        loop.on_signal(SIGHUP, [&] {
            try {
                node.change(read_file(path));
            } catch (const std::exception& bad) {
                log.say(Weight::error, "node", "new terms are refused; the old ones stay",
                        {{"error", bad.what()}});
            }
        });
        loop.run();
    } catch (const std::exception& trouble) {
        return complain(trouble.what(), kBroken);
    }
    return kWell;
}

}  // namespace

void add_node(CLI::App& app, Command& chosen) {
    auto* sub = app.add_subcommand(
        "node", "Run a gateway on the platform (HTTP) with the terms in FILE until SIGTERM");
    auto file = std::make_shared<std::string>();
    auto level = std::make_shared<std::string>("info");
    sub->add_option("FILE", *file, "its configuration, JSON; by default the one that ROUTER_CONFIG names");
    sub->add_option("--log-level", *level, "trace, debug, info, warn or error")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error"}));
    sub->callback([=, &chosen] { chosen = [=] { return run_node(*file, *level); }; });
}

}  // namespace copperfront
