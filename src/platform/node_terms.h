// What a gateway is told at its start and again on SIGHUP: the file that ROUTER_CONFIG names, where other
// variables only fill what it leaves out. Free of I/O.
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
    double memory_mb = 0;     // 0: not limited
    std::size_t sockets = 0;  // descriptors; 0: not told
    std::string known;        // the text of the list as this gateway last had it; empty: none
    Terms core;
    Named named;
    Links links;
};

// A variable of the environment by its name; empty: it is not set.
using Variable = std::function<std::string(const char*)>;

// Throws BadInput: where in the file, and what was expected.
NodeTerms read_node_terms(std::string_view text, const Variable& variable);

// The list that the file names, as a whole. It may be long, and a gateway that runs has a newer one. Throws
// BadInput.
News read_known_list(const NodeTerms& terms);

// Whether what is in hand under `now` can go on under `next`: indices that core has met keep their meaning.
// Empty: it can; else what stands against it.
std::string stands_against(const NodeTerms& now, const NodeTerms& next);

}  // namespace copperfront::platform
