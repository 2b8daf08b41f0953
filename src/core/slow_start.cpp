// Slow start: how much is sent to a server that has just started. All gateways together must stay below what
// it can take, so each keeps to the share that its own traffic implies.
#include <algorithm>
#include <cmath>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

bool Router::is_cold(ServerIndex s) const {
    return started_at_[s].us > 0 && now_ - started_at_[s] < terms_.warm_up_time;
}

// Refills the budgets of cold servers (token buckets). All gateways together must stay below
// overload_multiple x start_capacity x the rate at which a warm server of the role serves requests. Each
// gateway computes that rate from its own traffic to warm servers of the role; if all do, their budgets add
// up to the limit for the whole fleet.
void Router::refill_slow_start() {
    // Nothing is gained by refilling again within the clock's resolution.
    if (now_ - counts_decayed_at_ < terms_.quantum) return;
    const double fade = std::exp(-seconds(now_ - counts_decayed_at_) / kRateTimeConstantS);
    recent_prefills_ *= fade;
    recent_decodes_ *= fade;
    recent_arrivals_ *= fade;
    counts_decayed_at_ = now_;
    const auto first_warm = std::remove_if(cold_servers_.begin(), cold_servers_.end(), [this](ServerIndex s) {
        if (is_cold(s)) return false;
        availability_changed(s);
        return true;
    });
    cold_servers_.erase(first_warm, cold_servers_.end());
    if (cold_servers_.empty()) return;
    double warm_prefill = role_sizes_[1], warm_decode = role_sizes_[0];
    for (const ServerIndex s : cold_servers_) {
        warm_prefill -= does_prefill(s);
        warm_decode -= does_decode(s);
    }
    const double capacity_factor = terms_.overload_multiple * terms_.start_capacity * kSlowStartShare;
    for (const ServerIndex s : cold_servers_) {
        const double completed = role_[s] == Role::prefill ? recent_prefills_ : recent_decodes_;
        const double peers = role_[s] == Role::prefill ? warm_prefill : warm_decode;
        const double rate = peers > 0 ? completed / kRateTimeConstantS / peers : 0;
        const double allowed = rate * capacity_factor;
        const double max_credit =
            std::max(1.0, allowed * seconds(terms_.overload_window) * kSlowStartBurstShare);
        const double gained =
            allowed * (1 - kSlowStartBurstShare) * seconds(now_ - slow_start_refilled_at_[s]);
        set_slow_start_credit(s, std::min(max_credit, slow_start_credit_[s] + gained));
        slow_start_refilled_at_[s] = now_;
    }
}

void Router::set_slow_start_credit(ServerIndex s, double credit) {
    const bool could_receive = slow_start_credit_[s] >= 1;
    slow_start_credit_[s] = credit;
    if (could_receive != (credit >= 1)) availability_changed(s);
}

bool Router::may_receive(ServerIndex s) const {
    return is_ready(s) && (!is_cold(s) || slow_start_credit_[s] >= 1);
}

}  // namespace copperfront
