// Adaptive concurrency limit: finds how many requests of a route may be in flight before their time to first
// token grows. It follows the gradient between the unloaded and the current time to first token
// (docs/limits.md compares it with additive increase). No I/O and no clock.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace copperfront {

class AdaptiveLimit {
  public:
    explicit AdaptiveLimit(double initial = 20);
    // A first token arrived after `took`, with this many requests of the route in flight.
    void record_first_token(Duration took, double in_flight, Instant now);
    // A request ended without a first token.
    void record_loss(Instant now);
    double limit() const { return limit_; }

  private:
    void start_first_window(Instant now);
    void update_after_window(Instant now);
    double limit_;
    // Time to first token with few requests in flight; follows a slower fleet slowly.
    double unloaded_ms_ = 0;
    double window_mean_ms_ = 0;  // mean time to first token in the current window
    double max_in_flight_ = 0, samples_ = 0, losses_ = 0;
    Instant window_start_;
    bool started_ = false;
};

}  // namespace copperfront
