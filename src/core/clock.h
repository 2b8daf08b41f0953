// Where the time comes from: the event loop's steady clock in the program, a virtual one in tests.
#pragma once

#include "units.h"

namespace copperfront {

class Clock {
  public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

}  // namespace copperfront
