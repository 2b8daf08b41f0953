// A gateway's own share of what the fleet has in hand, learned without hearing of the others: what it has
// itself at an engine, against what that engine reports. The shares of all gateways add up to one as far as
// the reports are true, so parts of a limit by them add up to the limit, whatever the load is like. Free of
// I/O and clocks.
#pragma once

#include "core/units.h"

namespace copperfront {

class FleetShare {
  public:
    explicit FleetShare(int gateways) { change(gateways); }
    void change(int gateways);
    // An engine holds `all` tokens of memory by its own report, of which `own` are this gateway's.
    void report(double own, double all, Instant now);
    // The part of a limit that this gateway may keep to. Even where no reports have come of late. All parts
    // together are at most 0.2 and 0.8 of the truth over what is reported: 1 where reports are true, 1.34
    // where they understate by 0.7.
    double value(Instant now) const;

  private:
    double even_ = 1, own_ = 0, all_ = 0;
    Instant heard_;
};

}  // namespace copperfront
