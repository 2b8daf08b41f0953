// When model servers were started, on this gateway's monotonic clock. Discovery tells it by the wall clock,
// which may be stepped at any time, here or there, by seconds or an hour: taken as it is, a server that is
// still warming up would count as warm, or an old one as cold for ever. So it is held against what the
// gateway has seen itself.
#pragma once

#include <string>
#include <unordered_map>

#include "core/units.h"

namespace copperfront {

class ServerStarts {
  public:
    // `told`: the start by the wall clock, on the scale of `now`; 0: long ago. The result stays the same for
    // one start of one server.
    Instant start_of(const std::string& server, Instant told, Instant now);
    // The list is known to be up to date at this time.
    void list_confirmed(Instant now) {
        confirmed_ = now;
        has_list_ = true;
    }
    // It is in no list any more.
    void forget(const std::string& server) { starts_.erase(server); }
    std::size_t size() const { return starts_.size(); }

  private:
    struct Start {
        Instant told, local;
    };
    std::unordered_map<std::string, Start> starts_;
    Instant confirmed_;
    bool has_list_ = false;
};

}  // namespace copperfront
