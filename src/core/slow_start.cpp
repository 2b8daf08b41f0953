// Slow start: how much a server that has just started is sent. All gateways together must stay under what it
// can take, so each keeps to the part that its own traffic tells.
#include <algorithm>
#include <cmath>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

bool Rules::is_cold(ServerIndex s) const { return born_[s].us > 0 && now_ - born_[s] < terms_.warm_within; }

// Cold servers: all gateways together must stay under tip x capacity x window. Each keeps to the part that
// its own traffic to warm servers of the role tells: if all do, the sum is the fleet's part.
void Rules::refill_cold() {
    // Nothing is gained by looking again within what the platform's clock tells apart.
    if (now_ - counted_at_ < terms_.quantum) return;
    const double fade = std::exp(-seconds(now_ - counted_at_) / kRateWindowS);
    reads_done_ *= fade;
    writes_done_ *= fade;
    arrivals_ *= fade;
    counted_at_ = now_;
    const auto warm = std::remove_if(cold_.begin(), cold_.end(), [this](ServerIndex s) {
        if (is_cold(s)) return false;
        capacity_changed(s);
        return true;
    });
    cold_.erase(warm, cold_.end());
    if (cold_.empty()) return;
    double warm_readers = peers_[1], warm_writers = peers_[0];
    for (const ServerIndex s : cold_) {
        warm_readers -= reads(s);
        warm_writers -= writes(s);
    }
    const double tipping = terms_.tip_multiple * terms_.start_capacity * kColdPart;
    for (const ServerIndex s : cold_) {
        const double done = role_[s] == Role::reader ? reads_done_ : writes_done_;
        const double peers = role_[s] == Role::reader ? warm_readers : warm_writers;
        const double rate = peers > 0 ? done / kRateWindowS / peers : 0;
        const double allowed = rate * tipping;
        const double most = std::max(1.0, allowed * seconds(terms_.fall) * kColdBurst);
        const double gained = allowed * (1 - kColdBurst) * seconds(now_ - cold_filled_[s]);
        set_cold_level(s, std::min(most, cold_level_[s] + gained));
        cold_filled_[s] = now_;
    }
}

void Rules::set_cold_level(ServerIndex s, double level) {
    const bool could_take = cold_level_[s] >= 1;
    cold_level_[s] = level;
    if (could_take != (level >= 1)) capacity_changed(s);
}

bool Rules::may_take(ServerIndex s) const { return ready(s) && (!is_cold(s) || cold_level_[s] >= 1); }

}  // namespace copperfront
