// The limits of one route, after inheritance. Plain numbers: the router never sees a route's name, only those
// limits that are passed with a request.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace copperfront {

constexpr double kNoLimit = 1e18;
constexpr std::uint32_t kNoAttemptLimit = 1U << 30;

// Why an attempt is followed by another.
enum class RetryCause { unreachable, full, failed, silent };
constexpr int kRetryCauses = 4;

struct RouteLimits {
    // Time limits; 0: none beyond the request's deadline.
    Duration connect, prefill, hand_over, first_token, token_gap, total;
    std::uint32_t max_attempts = kNoAttemptLimit;
    std::uint32_t max_after[kRetryCauses] = {kNoAttemptLimit, kNoAttemptLimit, kNoAttemptLimit,
                                             kNoAttemptLimit};
    // Retries as a share of first attempts over a window, and a number per second besides.
    double retry_share = kNoLimit, retry_floor = 0;
    Duration retry_window{10000000};
    // Hedging of pure requests: after this time without a first token (0: learned), as a share of requests.
    bool hedging = false;
    Duration hedge_after;
    double hedge_share = 0.05;
    // Load limits, stated for all gateways of the fleet together.
    double rate = kNoLimit, burst = 0;  // requests per second, and how many at once
    double in_flight = kNoLimit, queued = kNoLimit;
    double prompt_tokens = kNoLimit;  // of requests in flight
    double answer_rate = kNoLimit;    // answer tokens per second
    bool adaptive = false;            // adaptive limit of the requests in flight
    bool closed = false;              // admits nothing, by intention
    Duration retry_after{1000000};
};

}  // namespace copperfront
