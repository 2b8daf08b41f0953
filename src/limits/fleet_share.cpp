#include "limits/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace copperfront {
namespace {

// From bench/limit_study. Part of the limit is always divided evenly: otherwise a gateway whose load grows
// while the fleet is full would never get more than it had.
constexpr double kEvenWeight = 0.2;
constexpr double kDecayTimeS = 5;       // a report of this age has weight 1/e
constexpr double kReportTimeoutS = 10;  // without a report for this long, the even share applies

double seconds(Duration s) { return static_cast<double>(s.us) / 1e6; }

}  // namespace

void FleetShare::change(int gateways) { even_share_ = 1.0 / std::max(1, gateways); }

void FleetShare::report(double own_tokens, double total_tokens, Instant now) {
    // A report that is older than this gateway's latest attempts may show less than its own tokens. Its share
    // is never more than everything.
    total_tokens = std::max(total_tokens, own_tokens);
    if (total_tokens <= 0) return;
    const double decay = std::exp(-std::clamp(seconds(now - last_report_), 0.0, 1e6) / kDecayTimeS);
    own_tokens_ = own_tokens_ * decay + own_tokens;
    total_tokens_ = total_tokens_ * decay + total_tokens;
    last_report_ = std::max(last_report_, now);
}

double FleetShare::value(Instant now) const {
    if (total_tokens_ <= 0 || seconds(now - last_report_) > kReportTimeoutS) return even_share_;
    return kEvenWeight * even_share_ + (1 - kEvenWeight) * own_tokens_ / total_tokens_;
}

}  // namespace copperfront
