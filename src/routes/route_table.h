// Selects the route of a request: the most specific one that matches, by a fixed order of precedence. The
// table is built once from the terms and is immutable; a reload builds another. Does no I/O.
//
// Of two matching routes the one with more conditions takes precedence; then the one that has the first
// condition which the other lacks, in this order: category, client group, listener, more attributes, prompt
// size; then the one with the narrower range of prompt sizes; then the one that comes first in the file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limits/route_limits.h"

namespace copperfront {

constexpr std::uint32_t kAny = ~std::uint32_t{0};

// Conditions of a route; kAny, no attributes and the widest range match every request.
struct RouteMatch {
    std::uint32_t category = kAny, client_group = kAny, listener = kAny;
    std::vector<std::uint32_t> attributes;  // all are required; sorted
    double min_prompt_tokens = 0,
           prompt_limit_tokens = kNoLimit;  // tokens; range [min_prompt_tokens, prompt_limit_tokens)
};

// What is known about a request when it arrives.
struct RouteRequest {
    std::uint32_t category = kAny, client_group = kAny, listener = kAny;
    std::vector<std::uint32_t> attributes;  // sorted
    double prompt_tokens = 0;
};

bool matches(const RouteMatch& route, const RouteRequest& request);
// Whether `a` takes precedence over `b`, which comes later in the file.
bool takes_precedence(const RouteMatch& a, const RouteMatch& b);
// Whether both have the same conditions, so that the later one can never be taken.
bool has_same_conditions(const RouteMatch& a, const RouteMatch& b);
int condition_count(const RouteMatch& route);

class RouteTable {
  public:
    RouteTable() = default;
    // `routes`: in the order of the file. find() returns indices of this vector.
    explicit RouteTable(std::vector<RouteMatch> routes);

    // Returns the matching route with the highest precedence; kAny: none matches.
    std::uint32_t find(const RouteRequest& request) const;
    // The same by a linear scan of all routes: the reference for benchmarks and tests of the index.
    std::uint32_t scan(const RouteRequest& request) const;
    // All matching routes, in order of precedence.
    std::vector<std::uint32_t> all_matches(const RouteRequest& request) const;
    const RouteMatch& at(std::uint32_t index) const { return routes_[index]; }
    std::size_t size() const { return routes_.size(); }

  private:
    // Key of a route in the hash index: its category, client group, listener and first attribute, each kAny
    // if the route has no such condition. A lookup visits only the combinations of conditions that some route
    // has.
    struct IndexKey {
        std::uint32_t category, client_group, listener, attribute;
        bool operator==(const IndexKey&) const = default;
    };
    struct IndexKeyHash {
        std::size_t operator()(const IndexKey& key) const;
    };
    static int condition_mask(const RouteMatch& route);
    std::vector<RouteMatch> routes_;
    std::vector<std::uint32_t> rank_;  // by index in routes_: order of precedence
    std::unordered_map<IndexKey, std::vector<std::uint32_t>, IndexKeyHash>
        index_;                         // indices in routes_, in the order of their rank
    std::vector<int> condition_masks_;  // combinations of conditions that some route has
};

}  // namespace copperfront
