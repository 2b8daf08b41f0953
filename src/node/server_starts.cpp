#include "node/server_starts.h"

#include <algorithm>

namespace copperfront {
namespace {

// The longest time in which a change that discovery knows of reaches a gateway.
constexpr Duration kMaxNotificationDelay{6000000};

}  // namespace

Instant ServerStarts::start_of(const std::string& server, Instant reported, Instant now) {
    if (reported.us == 0) {
        starts_.erase(server);
        return {};
    }
    Start& start = starts_[server];
    if (start.reported == reported) return start.local;
    // A start is not in the future. A server that was missing from an up-to-date list has started after it,
    // allowing for the time that a change takes to reach the gateway.
    Instant local = std::min(reported, now);
    if (has_list_) local = std::clamp(local, std::min(confirmed_ - kMaxNotificationDelay, now), now);
    start = {reported, local};
    return local;
}

}  // namespace copperfront
