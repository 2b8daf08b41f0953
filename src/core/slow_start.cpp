// Slow start: how much a server that has just started is sent. All gateways together must stay under what it
// can take, so each keeps to the part that its own traffic tells.
#include <algorithm>
#include <cmath>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

bool Rules::is_cold(ServerIndex s) const {
    return born_[s].us > 0 && host_.now() - born_[s] < terms_.warm_within;
}

// Cold servers: all gateways together must stay under tip x capacity x window. Each keeps to the part that
// its own traffic to warm servers of the role tells: if all do, the sum is the fleet's part.
void Rules::refill_cold() {
    const Instant now = host_.now();
    const double fade = std::exp(-seconds(now - counted_at_) / kRateWindowS);
    reads_done_ *= fade;
    writes_done_ *= fade;
    arrivals_ *= fade;
    counted_at_ = now;
    double warm_readers = 0, warm_writers = 0;
    bool cold = false;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!ready(s)) continue;
        const bool warm = !is_cold(s);
        cold |= !warm;
        warm_readers += warm && reads(s);
        warm_writers += warm && writes(s);
    }
    if (!cold) return;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!ready(s) || !is_cold(s)) continue;
        const double done = role_[s] == Role::reader ? reads_done_ : writes_done_;
        const double peers = role_[s] == Role::reader ? warm_readers : warm_writers;
        const double rate = peers > 0 ? done / kRateWindowS / peers : 0;
        const double allowed = rate * terms_.tip_multiple * terms_.start_capacity * kColdPart;
        const double most = std::max(1.0, allowed * seconds(terms_.fall) * kColdBurst);
        cold_level_[s] =
            std::min(most, cold_level_[s] + allowed * (1 - kColdBurst) * seconds(now - cold_filled_[s]));
        cold_filled_[s] = now;
    }
}

bool Rules::may_take(ServerIndex s) const { return ready(s) && (!is_cold(s) || cold_level_[s] >= 1); }

}  // namespace copperfront
