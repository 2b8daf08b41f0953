// A subset of the servers that a choice considers, in the order of their indices. It is rebuilt only where
// the membership of a server may have changed: after an event that changes it, or once a time that it depends
// on has come. The user of the class decides which servers are members.
#pragma once

#include <algorithm>
#include <span>
#include <vector>

#include "router_host.h"
#include "units.h"

namespace copperfront {

class ServerSubset {
  public:
    // The membership of a server may have changed.
    void invalidate() { valid_ = false; }
    // The subset becomes invalid at `at`, if not earlier.
    void limit_validity(Instant at) { until_ = std::min(until_, at); }
    bool is_valid(Instant now) const { return valid_ && now < until_; }

    // `is_member(server)`: whether the server belongs to the subset; it may call limit_validity().
    template <class Belongs>
    void rebuild(std::span<const ServerIndex> from, Belongs is_member) {
        servers_.clear();
        until_ = kForever;
        valid_ = true;
        for (const ServerIndex server : from) {
            if (is_member(server)) servers_.push_back(server);
        }
    }

    const std::vector<ServerIndex>& servers() const { return servers_; }
    bool empty() const { return servers_.empty(); }

  private:
    static constexpr Instant kForever{INT64_MAX};

    bool valid_ = false;
    Instant until_ = kForever;
    std::vector<ServerIndex> servers_;
};

}  // namespace copperfront
