#include "limits/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace copperfront {

RetryBudget::RetryBudget(double share, double floor_per_s, Duration window, Instant now)
    : share_(share), floor_per_s_(floor_per_s), window_(window), slot_start_(now) {}

void RetryBudget::advance(Instant now) {
    const Duration slot_length = window_ * (1.0 / kSlots);
    // After a jump of the clock, everything older than the window is dropped in one step instead of slot by
    // slot.
    if (now - slot_start_ >= window_ * 2) {
        first_attempts_ = {};
        retries_ = {};
        slot_start_ = now;
    }
    while (now - slot_start_ >= slot_length) {
        slot_start_ = slot_start_ + slot_length;
        slot_ = (slot_ + 1) % kSlots;
        first_attempts_[slot_] = retries_[slot_] = 0;
    }
    first_attempt_total_ = std::accumulate(first_attempts_.begin(), first_attempts_.end(), 0.0);
    retry_total_ = std::accumulate(retries_.begin(), retries_.end(), 0.0);
}

double RetryBudget::allowed() const {
    return share_ * first_attempt_total_ + floor_per_s_ * static_cast<double>(window_.us) / 1e6;
}

void RetryBudget::first_attempt_started(Instant now, double weight) {
    advance(now);
    first_attempts_[slot_] += weight;
}

void RetryBudget::record_client_repeat(Instant now) {
    advance(now);
    retries_[slot_] += 1;
}

bool RetryBudget::try_take(Instant now) {
    if (remaining(now) < 1) return false;
    retries_[slot_] += 1;
    return true;
}

double RetryBudget::remaining(Instant now) {
    advance(now);
    return std::max(0.0, allowed() - retry_total_);
}

void RetryBudget::change(double share, double floor_per_s, Duration window, Instant now) {
    advance(now);
    share_ = share;
    floor_per_s_ = floor_per_s;
    if (window_ == window) return;
    // The slots keep their counts; only their length changes.
    window_ = window;
    slot_start_ = now;
}

}  // namespace copperfront
