// A gateway's share of the load in the fleet, learned without communication between gateways: its own memory
// use on a server divided by the use that the server reports, as sums with exponential decay. The shares of
// all gateways add up to one as far as the reports are correct, so the limits derived from them add up to the
// whole limit under any distribution of load. No I/O and no clock.
#pragma once

#include "core/units.h"

namespace copperfront {

class FleetShare {
  public:
    explicit FleetShare(int gateways) { change(gateways); }
    void change(int gateways);
    // A server reports `total_tokens` tokens of memory in use, of which `own_tokens` belong to this gateway.
    void report(double own_tokens, double total_tokens, Instant now);
    // The share of a limit that this gateway may use; an even share if there are no recent reports. All
    // shares together are at most 0.2 plus 0.8 times the ratio of actual to reported use: 1 where reports are
    // correct, 1.34 where they show only 0.7 of the use.
    double value(Instant now) const;

  private:
    double even_share_ = 1, own_tokens_ = 0, total_tokens_ = 0;
    Instant last_report_;
};

}  // namespace copperfront
