#include "limits/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace copperfront {

RetryBudget::RetryBudget(double share, double floor, Span window, Instant now)
    : share_(share), floor_(floor), window_(window), slot_began_(now) {}

void RetryBudget::move_on(Instant now) {
    const Span slot = window_ * (1.0 / kSlots);
    // Against a clock that stood still and then jumps: what is older than the window is let go in one step,
    // not slot by slot.
    if (now - slot_began_ >= window_ * 2) {
        first_ = {};
        further_ = {};
        slot_began_ = now;
    }
    while (now - slot_began_ >= slot) {
        slot_began_ = slot_began_ + slot;
        at_ = (at_ + 1) % kSlots;
        first_[at_] = further_[at_] = 0;
    }
    firsts_ = std::accumulate(first_.begin(), first_.end(), 0.0);
    furthers_ = std::accumulate(further_.begin(), further_.end(), 0.0);
}

double RetryBudget::allowed() const {
    return share_ * firsts_ + floor_ * static_cast<double>(window_.us) / 1e6;
}

void RetryBudget::first_attempt_started(Instant now, double weight) {
    move_on(now);
    first_[at_] += weight;
}

void RetryBudget::repeated_by_caller(Instant now) {
    move_on(now);
    further_[at_] += 1;
}

bool RetryBudget::take(Instant now) {
    if (left(now) < 1) return false;
    further_[at_] += 1;
    return true;
}

double RetryBudget::left(Instant now) {
    move_on(now);
    return std::max(0.0, allowed() - furthers_);
}

void RetryBudget::change(double share, double floor, Span window, Instant now) {
    move_on(now);
    share_ = share;
    floor_ = floor;
    if (window_ == window) return;
    // The slots keep what they hold; only how fast they pass changes.
    window_ = window;
    slot_began_ = now;
}

}  // namespace copperfront
