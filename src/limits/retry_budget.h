// Retry budget of a route: retries as a share of first attempts over a sliding window, plus a small rate that
// is always allowed. A failure of the whole fleet then adds only that share of load instead of multiplying
// it. No I/O and no clock.
#pragma once

#include <array>
#include <cstdint>

#include "core/units.h"

namespace copperfront {

class RetryBudget {
  public:
    // Allows `share` of first attempts, and `floor_per_s` attempts per second besides, over `window`.
    RetryBudget(double share, double floor_per_s, Duration window, Instant now);
    void first_attempt_started(Instant now, double weight = 1);
    // Takes one retry from the budget. Returns false, and takes nothing, if none is left.
    bool try_take(Instant now);
    // Records a client's own repetition of a request: a first attempt here, but additional load for the
    // fleet.
    void record_client_repeat(Instant now);
    double remaining(Instant now);
    // Sets other limits. What was spent stays spent, so that a reload restores nothing.
    void change(double share, double floor_per_s, Duration window, Instant now);

  private:
    static constexpr std::size_t kSlots = 20;  // the window advances in steps of a twentieth
    void advance(Instant now);
    double allowed() const;

    double share_, floor_per_s_;
    Duration window_;
    Instant slot_start_;
    std::size_t slot_ = 0;
    std::array<double, kSlots> first_attempts_{}, retries_{};
    double first_attempt_total_ = 0, retry_total_ = 0;
};

}  // namespace copperfront
