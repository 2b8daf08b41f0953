// A subset of the servers that a choice looks at, in the order of their indices. It is made anew only where a
// server's membership may have changed: after an event that changes it, or once a time that it depends on has
// come. Nothing here decides; whoever asks says which servers belong to it.
#pragma once

#include <algorithm>
#include <span>
#include <vector>

#include "host.h"
#include "units.h"

namespace copperfront {

class ServerSubset {
  public:
    // A server's membership may have changed.
    void invalidate() { valid_ = false; }
    // It holds until then at the latest.
    void valid_until(Instant at) { until_ = std::min(until_, at); }
    bool is_valid(Instant now) const { return valid_ && now < until_; }

    // `belongs(server)`: whether it belongs to the subset; it may call valid_until().
    template <class Belongs>
    void make(std::span<const ServerIndex> from, Belongs belongs) {
        servers_.clear();
        until_ = kForever;
        valid_ = true;
        for (const ServerIndex server : from) {
            if (belongs(server)) servers_.push_back(server);
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
