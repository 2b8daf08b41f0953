// Further attempts of a route as a share of its first ones over a sliding window, plus a small floor: a
// failure of the whole fleet then costs that share more load, not several times the load. Free of I/O and
// clocks.
#pragma once

#include <array>
#include <cstdint>

#include "core/units.h"

namespace copperfront {

class RetryBudget {
  public:
    // `share` of first attempts, and `floor` attempts a second besides, over `window`.
    RetryBudget(double share, double floor, Span window, Instant now);
    void first_attempt_started(Instant now, double weight = 1);
    // Takes one further attempt out of the budget; false, and nothing is taken, where there is none left.
    bool take(Instant now);
    // A caller's own repeat: it is a first attempt here, but further load for the fleet.
    void repeated_by_caller(Instant now);
    double left(Instant now);
    // Other figures from now on; what was spent stays spent, so that a reload frees nothing.
    void change(double share, double floor, Span window, Instant now);

  private:
    static constexpr std::size_t kSlots = 20;  // the window moves on in twentieths
    void move_on(Instant now);
    double allowed() const;

    double share_, floor_;
    Span window_;
    Instant slot_began_;
    std::size_t at_ = 0;
    std::array<double, kSlots> first_{}, further_{};
    double firsts_ = 0, furthers_ = 0;
};

}  // namespace copperfront
