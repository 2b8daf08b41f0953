// A scenario: the fleet, the clients, and the faults with their times. It is read from a script of
// S-expressions, which is checked as a whole.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sexpr/schema.h"
#include "terms/terms_file.h"

namespace copperfront::scenario {

// A gateway process.
struct GatewayPlan {
    std::string name, zone;
};

// A fake model server process.
struct ServerPlan {
    std::string name, kind, role, zone, cell, load_reports;
    std::size_t slots = 0, queue = 0;
    double memory_tokens = 0, cache_tokens = 0, prefill_tokens_per_s = 0, step_ms = 0, step_ms_per_stream = 0,
           transfer_tokens_per_s = 0;
    bool cold = false;  // at the start of the scenario
};

// The load of one kind of clients.
struct TrafficPlan {
    std::string name, zone, category, client_group;
    double requests_per_s = 0;
    std::size_t connections = 0, shared_prefixes = 0, max_repeats = 0;
    double mean_prompt_tokens = 0, shared_prefix_tokens = 0, max_output_tokens = 0, mean_session_requests = 0;
    // Shares: of clients that leave early, and of its time budget that a client waits at least.
    double leave_share = 0, min_wait_share = 1;
    Duration time_budget, repeat_delay;
    bool sends_duration_hint = false;
};

// Clients that break the protocol or do not read what they are sent.
struct MisbehavingClientPlan {
    std::string name, zone, kind;
    std::size_t count = 0;
    Duration at;
};

// A fault, its time and its targets.
struct FaultPlan {
    std::string name, kind, zone;
    Duration at, duration;
    std::vector<std::string> targets;
    double size = 0;
};

// The whole scenario.
struct Scenario {
    std::string name, terms_file;  // path of the terms file; the script states it relative to its own folder
    Duration length, tail;
    std::uint32_t seed = 1;
    // For down_detection_delay, clients still use a gateway that is down.
    Duration roster_min_delay, roster_max_delay, down_detection_delay;
    std::vector<GatewayPlan> gateways;
    std::vector<ServerPlan> servers;
    std::vector<TrafficPlan> traffic;
    std::vector<MisbehavingClientPlan> misbehaving_clients;
    std::vector<FaultPlan> fault_plans;
    double cold_speed_share = 0.3;  // of its full speed, at which a server starts
    Duration warm_up_time;
};

// Returns the schema of scenario scripts.
const Schema& scenario_schema();

// Reads the script and its terms file, and checks them against each other. `terms` receives the terms of the
// first gateway.
bool read_scenario_file(const std::string& path, Scenario& scenario, GatewayTerms& terms,
                        std::vector<Diagnostic>& diagnostics);

}  // namespace copperfront::scenario
