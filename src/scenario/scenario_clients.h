// Load generator of one zone: an open-loop load whose arrival times are drawn in advance, with sessions,
// shared prefixes, client timeouts and repeats; and clients that break the protocol. Records what crosses
// their sockets.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "scenario/script.h"

namespace copperfront::scenario {

struct ClientOptions {
    std::string zone, record;
    std::vector<std::pair<std::string, std::string>>
        gateways;                // name and address of each gateway of this zone
    std::int64_t begins_at = 0;  // microseconds of the monotonic clock
};

// Runs the clients of the zone until the scenario ends. Throws std::runtime_error if it cannot run.
void run_clients(const Scenario& scenario, const GatewayTerms& terms, const ClientOptions& options);

}  // namespace copperfront::scenario
