// Start times of model servers on this gateway's monotonic clock. Discovery reports them on the wall clock,
// which may be stepped at any time on either side, by seconds or an hour. Without a correction a server that
// is still warming up would count as warm, or an old one as cold for ever. So a reported time is limited to
// the range that agrees with the lists that the gateway has received.
#pragma once

#include <string>
#include <unordered_map>

#include "core/units.h"

namespace copperfront {

class ServerStarts {
  public:
    // `reported`: the start by a wall clock, in microseconds since 1970 as `now`, from which that clock may
    // differ; 0: long ago. The result stays the same for one start of one server.
    Instant start_of(const std::string& server, Instant reported, Instant now);
    // Records that the list was up to date at this time.
    void list_confirmed(Instant now) {
        confirmed_ = now;
        has_list_ = true;
    }
    // For a server that is no longer in the list.
    void forget(const std::string& server) { starts_.erase(server); }
    std::size_t size() const { return starts_.size(); }

  private:
    struct Start {
        Instant reported, local;
    };
    std::unordered_map<std::string, Start> starts_;
    Instant confirmed_;
    bool has_list_ = false;
};

}  // namespace copperfront
