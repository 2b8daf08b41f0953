#include "node/server_starts.h"

#include <algorithm>

namespace copperfront {
namespace {

// A change reaches a gateway this long after discovery had it, at the latest.
constexpr Span kToldWithin{6000000};

}  // namespace

Instant ServerStarts::start_of(const std::string& server, Instant told, Instant now) {
    if (told.us == 0) {
        starts_.erase(server);
        return {};
    }
    Start& start = starts_[server];
    if (start.told == told) return start.local;
    // Not in the future; and one that a list which was up to date did not have has started since, but for the
    // time that news takes.
    Instant local = std::min(told, now);
    if (has_list_) local = std::clamp(local, std::min(confirmed_ - kToldWithin, now), now);
    start = {told, local};
    return local;
}

}  // namespace copperfront
