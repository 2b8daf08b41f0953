// Source of the current time: the event loop's steady clock in the program, a virtual clock in tests.
#pragma once

#include "units.h"

namespace copperfront {

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

}  // namespace copperfront
