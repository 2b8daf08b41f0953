// Runs a scenario: starts every process of the script, injects the faults at their times, stops all processes
// in order, and audits the records.
#pragma once

#include <functional>
#include <string>

#include "audit/audit.h"
#include "scenario/script.h"

namespace copperfront::scenario {

struct RunOptions {
    std::string script;                     // path
    std::string folder;                     // for records, logs and state; must be empty or not exist
    std::string program;                    // path of this program
    std::string gateway_program;            // another program for gateways; empty: this program
    std::vector<std::string> gateway_args;  // additional arguments of each gateway
    bool quiet = false;
};

// Throws std::runtime_error if the scenario cannot be run, and std::invalid_argument if the script has faults
// or the folder is not empty.
audit::Report run_scenario(const RunOptions& options);

}  // namespace copperfront::scenario
