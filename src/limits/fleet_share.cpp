#include "limits/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace copperfront {
namespace {

// All ours, from bench/limit_study. A rest is always parted evenly: with none, a gateway whose load grows
// while the fleet is full would never get more than it had.
constexpr double kEvenPart = 0.2;
constexpr double kMemoryS = 5;    // what was reported so long ago counts for 1/e
constexpr double kSilenceS = 10;  // without a report for so long, nothing is known

double seconds(Span s) { return static_cast<double>(s.us) / 1e6; }

}  // namespace

void FleetShare::change(int gateways) { even_ = 1.0 / std::max(1, gateways); }

void FleetShare::report(double own, double all, Instant now) {
    // A report that is older than what this gateway has sent since may show less than its own; nobody has
    // more than everything.
    all = std::max(all, own);
    if (all <= 0) return;
    const double fade = std::exp(-std::clamp(seconds(now - heard_), 0.0, 1e6) / kMemoryS);
    own_ = own_ * fade + own;
    all_ = all_ * fade + all;
    heard_ = std::max(heard_, now);
}

double FleetShare::value(Instant now) const {
    if (all_ <= 0 || seconds(now - heard_) > kSilenceS) return even_;
    return kEvenPart * even_ + (1 - kEvenPart) * own_ / all_;
}

}  // namespace copperfront
