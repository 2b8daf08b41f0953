#include "limits/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace copperfront {
namespace {

// The window is long enough to even out random variation of single first tokens, and short enough that a
// limit that has fallen to its minimum recovers within seconds (it grows by its square root per window).
constexpr Duration kWindow{250000};
constexpr double kMinSamples = 8;
constexpr double kLatencyTolerance = 1.5;  // first tokens may take this multiple of the unloaded time
constexpr double kMinGradient = 0.5;       // largest decrease in one window
constexpr double kMinLimit = 4;            // lower bound, so that a route is never starved
constexpr double kMaxLimit = 100000;
constexpr double kSmoothing = 0.4;
// Per window: how far the unloaded time moves towards the current one.
constexpr double kBaselineDrift = 0.008;
// Share of requests without a first token above which losses alone count as overload.
constexpr double kLossShare = 0.1;

}  // namespace

AdaptiveLimit::AdaptiveLimit(double initial) : limit_(std::max(kMinLimit, initial)) {}

void AdaptiveLimit::start_first_window(Instant now) {
    if (started_) return;
    started_ = true;
    window_start_ = now;
}

// A loss ends a window as a first token does, so that the limit also falls when the fleet returns nothing.
void AdaptiveLimit::record_loss(Instant now) {
    start_first_window(now);
    losses_ += 1;
    update_after_window(now);
}

void AdaptiveLimit::record_first_token(Duration took, double in_flight, Instant now) {
    start_first_window(now);
    samples_ += 1;
    window_mean_ms_ += (std::max(0.01, took.ms()) - window_mean_ms_) / samples_;
    max_in_flight_ = std::max(max_in_flight_, in_flight);
    update_after_window(now);
}

void AdaptiveLimit::update_after_window(Instant now) {
    if (samples_ + losses_ < kMinSamples || now - window_start_ < kWindow) return;
    double gradient = kMinGradient;  // no first token in this window
    if (samples_ > 0) {
        if (unloaded_ms_ == 0) unloaded_ms_ = window_mean_ms_;
        // A faster fleet is adopted at once; a slower one gradually, as a lasting overload would otherwise be
        // taken for normal. While few requests are in flight, the load of the route does not cause the
        // latency.
        const bool idle = max_in_flight_ < limit_ * 0.25;
        if (window_mean_ms_ < unloaded_ms_)
            unloaded_ms_ = window_mean_ms_;
        else
            unloaded_ms_ += (idle ? kSmoothing : kBaselineDrift) * (window_mean_ms_ - unloaded_ms_);
        gradient = std::clamp(unloaded_ms_ * kLatencyTolerance / window_mean_ms_, kMinGradient, 1.0);
    }
    if (losses_ > kLossShare * (samples_ + losses_)) gradient = std::min(gradient, 1 - kSmoothing);
    const double target = limit_ * gradient + std::sqrt(limit_);
    // A limit that was not reached has not been tested and does not grow.
    if (target < limit_ || max_in_flight_ > limit_ * 0.5) limit_ += kSmoothing * (target - limit_);
    limit_ = std::clamp(limit_, kMinLimit, kMaxLimit);
    samples_ = losses_ = window_mean_ms_ = max_in_flight_ = 0;
    window_start_ = now;
}

}  // namespace copperfront
