// The gateway's configuration, read at start and again on SIGHUP from the file that ROUTER_CONFIG names.
// Other environment variables only supply what the file leaves out. No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "platform/registry.h"
#include "platform/settings.h"

namespace copperfront::platform {

struct NodeTerms {
    std::string name, listen, discovery;
    std::uint32_t seed = 0;
    double memory_mb = 0;             // 0: unlimited
    std::size_t max_descriptors = 0;  // maximum number of descriptors; 0: not configured
    std::string known_list;           // text of the server list this gateway last received; empty: none
    Terms core;
    SettingNames names;
    ConnectionSettings connection_settings;
};

// Returns the value of an environment variable; empty if it is not set.
using EnvironmentLookup = std::function<std::string(const char*)>;

// Throws BadInput with the position in the file and what was expected there.
NodeTerms read_node_terms(std::string_view text, const EnvironmentLookup& environment);

// Parses the file's server list as a snapshot. Separate from read_node_terms(), as the list may be long and a
// running gateway already has a newer one. Throws BadInput.
ServerListUpdate read_known_list(const NodeTerms& terms);

// Checks whether requests in progress under `now` can continue under `next`: indices already in use must keep
// their meaning. Returns an empty string, or the reason why they cannot.
std::string reload_conflict(const NodeTerms& now, const NodeTerms& next);

}  // namespace copperfront::platform
