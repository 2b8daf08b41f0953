// One seeded soak run: real processes under load, faults that overlap at random, and the judge's verdict.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "soak/judge.h"

namespace copperfront::soak {

struct SoakOptions {
    std::string program;
    std::string gateway_program;  // empty: the same
    std::string folder;           // for configurations, logs and records; made where it is not there
    std::uint32_t seed = 1;
    double seconds = 10;               // under faults
    double quiet_seconds = 0;          // under load before the first fault
    double discovery_out_seconds = 0;  // from the first fault on
    std::size_t gateways = 5, prefill_servers = 12, decode_servers = 12, clients = 40;
    std::size_t listed_servers = 0;  // entries of the list; 0: as many as there are servers
    double least_cpu_share = 1;      // of a core, for a gateway
    std::string shim;
    std::string log_level = "info";
};

// How often each system call failed under the shim in the run whose files lie in this folder.
std::map<std::string, std::size_t> faults_met(const std::string& folder);

// Throws std::runtime_error where the fleet cannot be started.
Judgement run_soak(const SoakOptions& options);

}  // namespace copperfront::soak
