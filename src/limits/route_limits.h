// The limits of one route, as they hold after inheritance. Plain figures: the routing module never sees a
// route's name, only what of this it is told as terms of a query.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace copperfront {

constexpr double kNoLimit = 1e18;
constexpr std::uint32_t kAnyNumber = 1U << 30;

// Why an attempt is followed by another.
enum class Cause { unreachable, full, failed, silent };
constexpr int kCauses = 4;

struct RouteLimits {
    // Time limits; 0: none beyond the query's hard stop.
    Span connect, read, hand_over, first_token, gap, whole;
    // Attempts.
    std::uint32_t most_attempts = kAnyNumber;
    std::uint32_t most_after[kCauses] = {kAnyNumber, kAnyNumber, kAnyNumber, kAnyNumber};
    // Further attempts as a share of first ones over a window, and so many a second besides.
    double retry_share = kNoLimit, retry_floor = 0;
    Span retry_window{10000000};
    // Second copies of pure queries: after so long without a first token (0: learned), as a share of queries.
    bool second_copies = false;
    Span second_after;
    double second_share = 0.05;
    // Load, stated for the whole fleet of gateways.
    double rate = kNoLimit, burst = 0;  // queries a second, and how many at once
    double in_hand = kNoLimit, held = kNoLimit;
    double prompt_tokens = kNoLimit;  // of queries in hand
    double answer_rate = kNoLimit;    // answer tokens a second
    bool adapts = false;              // a limit on queries in hand that finds itself
    bool closed = false;              // takes nothing, and that is meant
    Span stay_away{1000000};
};

}  // namespace copperfront
