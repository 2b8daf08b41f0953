#include "routes/route_table.h"

#include <algorithm>
#include <numeric>

namespace copperfront {
namespace {

bool has_prompt_range(const RouteMatch& route) {
    return route.min_prompt_tokens > 0 || route.prompt_limit_tokens < kNoLimit;
}

// Bits of a condition mask: which conditions a route has.
constexpr int kCategoryBit = 8, kClientGroupBit = 4, kListenerBit = 2, kAttributeBit = 1;

}  // namespace

bool matches(const RouteMatch& route, const RouteRequest& request) {
    if (route.category != kAny && route.category != request.category) return false;
    if (route.client_group != kAny && route.client_group != request.client_group) return false;
    if (route.listener != kAny && route.listener != request.listener) return false;
    if (request.prompt_tokens < route.min_prompt_tokens || request.prompt_tokens >= route.prompt_limit_tokens)
        return false;
    return std::includes(request.attributes.begin(), request.attributes.end(), route.attributes.begin(),
                         route.attributes.end());
}

int condition_count(const RouteMatch& route) {
    return (route.category != kAny) + (route.client_group != kAny) + (route.listener != kAny) +
           static_cast<int>(route.attributes.size()) + has_prompt_range(route);
}

bool takes_precedence(const RouteMatch& a, const RouteMatch& b) {
    if (condition_count(a) != condition_count(b)) return condition_count(a) > condition_count(b);
    if ((a.category != kAny) != (b.category != kAny)) return a.category != kAny;
    if ((a.client_group != kAny) != (b.client_group != kAny)) return a.client_group != kAny;
    if ((a.listener != kAny) != (b.listener != kAny)) return a.listener != kAny;
    if (a.attributes.size() != b.attributes.size()) return a.attributes.size() > b.attributes.size();
    const double width_a = a.prompt_limit_tokens - a.min_prompt_tokens,
                 width_b = b.prompt_limit_tokens - b.min_prompt_tokens;
    if (width_a != width_b) return width_a < width_b;
    return true;  // a comes first in the file
}

bool has_same_conditions(const RouteMatch& a, const RouteMatch& b) {
    return a.category == b.category && a.client_group == b.client_group && a.listener == b.listener &&
           a.attributes == b.attributes && a.min_prompt_tokens == b.min_prompt_tokens &&
           a.prompt_limit_tokens == b.prompt_limit_tokens;
}

std::size_t RouteTable::IndexKeyHash::operator()(const IndexKey& key) const {
    std::uint64_t x = 0x9e3779b97f4a7c15ULL;
    for (const std::uint32_t part : {key.category, key.client_group, key.listener, key.attribute}) {
        x = (x ^ part) * 0xbf58476d1ce4e5b9ULL;
        x ^= x >> 29;
    }
    return static_cast<std::size_t>(x);
}

int RouteTable::condition_mask(const RouteMatch& route) {
    return (route.category != kAny ? kCategoryBit : 0) | (route.client_group != kAny ? kClientGroupBit : 0) |
           (route.listener != kAny ? kListenerBit : 0) | (!route.attributes.empty() ? kAttributeBit : 0);
}

RouteTable::RouteTable(std::vector<RouteMatch> routes) : routes_(std::move(routes)), rank_(routes_.size()) {
    std::vector<std::uint32_t> order(routes_.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
        if (a == b) return false;
        return a < b ? takes_precedence(routes_[a], routes_[b]) : !takes_precedence(routes_[b], routes_[a]);
    });
    for (std::uint32_t n = 0; n < order.size(); ++n) {
        const RouteMatch& route = routes_[order[n]];
        rank_[order[n]] = n;
        index_[{route.category, route.client_group, route.listener,
                route.attributes.empty() ? kAny : route.attributes.front()}]
            .push_back(order[n]);
        if (std::find(condition_masks_.begin(), condition_masks_.end(), condition_mask(route)) ==
            condition_masks_.end())
            condition_masks_.push_back(condition_mask(route));
    }
}

std::uint32_t RouteTable::find(const RouteRequest& request) const {
    std::uint32_t best = kAny;
    const auto search = [&](const IndexKey& key) {
        const auto it = index_.find(key);
        if (it == index_.end()) return;
        for (const std::uint32_t index : it->second) {
            if (best != kAny && rank_[index] >= rank_[best]) return;
            if (!matches(routes_[index], request)) continue;
            best = index;
            return;
        }
    };
    for (const int mask : condition_masks_) {
        IndexKey key{mask & kCategoryBit ? request.category : kAny,
                     mask & kClientGroupBit ? request.client_group : kAny,
                     mask & kListenerBit ? request.listener : kAny, kAny};
        if (!(mask & kAttributeBit)) {
            search(key);
            continue;
        }
        // A route is indexed under the least of its attributes, which the request must have as well.
        for (const std::uint32_t attribute : request.attributes) {
            key.attribute = attribute;
            search(key);
        }
    }
    return best;
}

std::uint32_t RouteTable::scan(const RouteRequest& request) const {
    std::uint32_t best = kAny;
    for (std::uint32_t index = 0; index < routes_.size(); ++index)
        if (matches(routes_[index], request) && (best == kAny || rank_[index] < rank_[best])) best = index;
    return best;
}

std::vector<std::uint32_t> RouteTable::all_matches(const RouteRequest& request) const {
    std::vector<std::uint32_t> matching;
    for (std::uint32_t index = 0; index < routes_.size(); ++index)
        if (matches(routes_[index], request)) matching.push_back(index);
    std::sort(matching.begin(), matching.end(),
              [&](std::uint32_t a, std::uint32_t b) { return rank_[a] < rank_[b]; });
    return matching;
}

}  // namespace copperfront
