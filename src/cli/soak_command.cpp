#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "soak/hostile_clients.h"
#include "soak/model_server.h"
#include "soak/soak_run.h"

namespace copperfront {
namespace {

std::string own_program() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

using FaultCounts = std::map<std::string, std::size_t>;

// After SIGUSR1 a fake model server accepts calls and answers none for this long.
constexpr Duration kSilenceTime{1500000};

// Every call that the shim can make fail. Runs in which one of them never failed did not test its failure.
constexpr const char* kShimmedCalls[] = {"accept4", "socket", "connect",    "readv",      "writev",
                                         "recv",    "poll",   "epoll_wait", "setsockopt", "epoll_ctl"};

bool all_faults_occurred(const FaultCounts& fault_counts) {
    bool all = true;
    std::printf("faults met:");
    for (const char* call : kShimmedCalls) {
        const auto it = fault_counts.find(call);
        std::printf(" %s %zu", call, it != fault_counts.end() ? it->second : 0);
        all = all && it != fault_counts.end();
    }
    std::printf("\n");
    if (!all) std::printf("a system call never failed, so its failure was not tested\n");
    return all;
}

int run_soaks(soak::SoakOptions options, std::uint32_t seeds, bool keep) {
    const std::string root = options.folder.empty() ? std::filesystem::temp_directory_path().string() +
                                                          "/copperfront-soak-" + std::to_string(getpid())
                                                    : options.folder;
    options.program = own_program();
    std::uint32_t failed = 0;
    FaultCounts fault_counts;
    const std::uint32_t first = options.seed;
    for (std::uint32_t seed = first; seed < first + seeds; ++seed) {
        options.seed = seed;
        options.folder = root + "/" + std::to_string(seed);
        try {
            std::filesystem::remove_all(options.folder);
            const soak::Judgement judgement = soak::run_soak(options);
            std::printf("seed %u: %s", seed, judgement.text().c_str());
            failed += !judgement.passed();
            for (const auto& [call, times] : soak::shim_fault_counts(options.folder))
                fault_counts[call] += times;
            if (judgement.passed() && !keep) std::filesystem::remove_all(options.folder);
        } catch (const std::exception& error) {
            std::printf("seed %u: %s\n", seed, error.what());
            ++failed;
        }
        std::fflush(stdout);
    }
    const bool all_occurred = options.shim.empty() || all_faults_occurred(fault_counts);
    std::printf("%u passed, %u failed\n", seeds - failed, failed);
    return failed == 0 && all_occurred ? kSuccess : kFailure;
}

int run_model_server(const soak::ModelServerOptions& options) {
    try {
        Loop loop;
        soak::ModelServer server(loop, options);
        loop.on_signal(SIGUSR1, [&] { server.stop_answering(kSilenceTime); });
        for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { loop.stop(); });
        std::printf("ready %s\n", server.address().text().c_str());
        std::fflush(stdout);
        loop.run();
    } catch (const std::exception& error) {
        return print_error(error.what(), kFailure);
    }
    return kSuccess;
}

int run_hostile_clients(const Address& gateway, const soak::HostileClients::Options& options) {
    Loop loop;
    const soak::HostileClients clients(loop, gateway, options);
    for (const int signal : {SIGTERM, SIGINT}) loop.on_signal(signal, [&] { loop.stop(); });
    loop.run();
    return kSuccess;
}

}  // namespace

void add_hostile_clients_command(CLI::App& fake_server_commands, Command& command) {
    auto* sub = fake_server_commands.add_subcommand(
        "hostile-clients",
        "Clients that stop in the middle of requests, write or read slowly, or send very many fields");
    auto options = std::make_shared<soak::HostileClients::Options>();
    auto gateway = std::make_shared<std::string>(), behavior = std::make_shared<std::string>("mixed");
    sub->add_option("--gateway", *gateway, "address of the gateway, on loopback")->required();
    std::vector<std::string> behaviors;
    for (const soak::HostileBehavior known : soak::kHostileBehaviors) behaviors.emplace_back(text_of(known));
    sub->add_option("--behavior", *behavior)->check(CLI::IsMember(behaviors))->capture_default_str();
    sub->add_option("--clients", options->clients)->check(CLI::Range(1, 20000))->capture_default_str();
    sub->add_option("--seed", options->seed)->capture_default_str();
    sub->add_option("--class", options->service_class, "service class of their requests")
        ->capture_default_str();
    sub->callback([=, &command] {
        command = [=] {
            for (const soak::HostileBehavior known : soak::kHostileBehaviors) {
                if (*behavior == text_of(known)) options->behavior = known;
            }
            return run_hostile_clients(Address::parse(*gateway), *options);
        };
    });
}

void add_model_server_command(CLI::App& fake_server_commands, Command& command) {
    auto* sub = fake_server_commands.add_subcommand(
        "model-server",
        "One fake model server of the platform as a process of its own, with faults at random");
    auto options = std::make_shared<soak::ModelServerOptions>();
    auto role = std::make_shared<std::string>("prefill");
    sub->add_option("--name", options->name, "its name in records")->required();
    sub->add_option("--role", *role, "prefill or decode")->check(CLI::IsMember({"prefill", "decode"}));
    sub->add_option("--listen", options->listen, "loopback address")->capture_default_str();
    sub->add_option("--states", options->states_folder, "folder that the servers of a run share")->required();
    sub->add_option("--records", options->records_file, "file that takes what reached it")->required();
    sub->add_option("--seed", options->seed, "of its faults")->capture_default_str();
    sub->add_option("--faults", options->fault_share, "share of the calls that meet a fault")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    sub->callback([=, &command] {
        command = [=] {
            options->role = *role == "prefill" ? Role::prefill : Role::decode;
            return run_model_server(*options);
        };
    });
}

void add_soak_command(CLI::App& app, Command& command) {
    auto* sub = app.add_subcommand(
        "soak",
        "Run gateways and fake model servers as processes under random faults, and judge what was seen");
    auto options = std::make_shared<soak::SoakOptions>();
    auto seeds = std::make_shared<std::uint32_t>(1);
    auto keep = std::make_shared<bool>(false);
    sub->add_option("--seed", options->seed, "of the first run")->capture_default_str();
    sub->add_option("--seeds", *seeds, "how many runs, with seeds that follow each other")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    sub->add_option("--seconds", options->seconds, "of each run under faults")
        ->check(CLI::Range(1.0, 600.0))
        ->capture_default_str();
    sub->add_option("--quiet-seconds", options->quiet_seconds, "of load alone before the first fault")
        ->check(CLI::Range(0.0, 3600.0));
    sub->add_option("--discovery-out-seconds", options->discovery_out_seconds,
                    "discovery says nothing for so long from the first fault on")
        ->check(CLI::Range(0.0, 600.0));
    sub->add_option("--gateways", options->gateways)->check(CLI::Range(1, 50))->capture_default_str();
    sub->add_option("--prefill", options->prefill_servers)->check(CLI::Range(1, 50))->capture_default_str();
    sub->add_option("--decode", options->decode_servers)->check(CLI::Range(1, 50))->capture_default_str();
    sub->add_option("--listed", options->listed_servers,
                    "entries of discovery's list, where each server stands under many names")
        ->check(CLI::Range(0, 10000));
    sub->add_option("--least-cpu-share", options->least_cpu_share,
                    "each gateway gets a part of a core, drawn from here to one")
        ->check(CLI::Range(0.05, 1.0))
        ->capture_default_str();
    sub->add_option("--clients", options->clients)->check(CLI::Range(1, 1000))->capture_default_str();
    sub->add_option("--memory-mb", options->memory_mb, "limit of each gateway")
        ->check(CLI::Range(16, 4096))
        ->capture_default_str();
    sub->add_option("--descriptors", options->descriptors, "limit of each gateway")
        ->check(CLI::Range(128, 65536))
        ->capture_default_str();
    sub->add_flag("--hostile-clients", options->hostile_clients,
                  "crowds of clients that stop in the middle of requests, write or read slowly");
    sub->add_option("--shim", options->shim,
                    "library to preload into gateways, which makes system calls fail");
    sub->add_option("--gateway-program", options->gateway_program,
                    "another build of this program to run gateways from, to see what it does");
    sub->add_option("--log-level", options->log_level, "of gateways")->capture_default_str();
    sub->add_option("--folder", options->folder, "for logs and records; by default a temporary one");
    sub->add_flag("--keep", *keep, "keep the files of runs that passed as well");
    sub->callback([=, &command] { command = [=] { return run_soaks(*options, *seeds, *keep); }; });
}

}  // namespace copperfront
