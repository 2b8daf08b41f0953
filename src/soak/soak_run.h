// One seeded soak run: real processes under load, faults that overlap at random, and the judge's verdict.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "soak/judge.h"

namespace copperfront::soak {

struct SoakOptions {
    std::string program;
    std::string gateway_program;  // empty: the same as `program`
    std::string folder;           // for configurations, logs and records; created if missing
    std::uint32_t seed = 1;
    double seconds = 10;               // under faults
    double quiet_seconds = 0;          // under load before the first fault
    double discovery_out_seconds = 0;  // discovery does not answer, from the first fault on
    std::size_t gateways = 5, prefill_servers = 12, decode_servers = 12, clients = 40;
    std::size_t listed_servers = 0;                  // entries of the list; 0: as many as there are servers
    double least_cpu_share = 1;                      // of a core, for each gateway
    std::size_t memory_mb = 192, descriptors = 512;  // limits of each gateway
    // Whether crowds of hostile clients come, each of as many as a gateway has descriptors for.
    bool hostile_clients = false;
    std::string shim;
    std::string log_level = "info";
};

// How often each system call failed under the shim in the run with this folder.
std::map<std::string, std::size_t> shim_fault_counts(const std::string& folder);

// Throws std::runtime_error if the fleet cannot be started.
Judgement run_soak(const SoakOptions& options);

}  // namespace copperfront::soak
