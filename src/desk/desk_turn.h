// Part of the desk's own files, not for others.
#pragma once

#include "desk/desk.h"

namespace copperfront {

// What the rules' own acts bring about (an attempt that can't be made, one called off) reaches them after the
// present call, never from within it; and an index is free again only once nothing can name it.
class Desk::Turn {
  public:
    explicit Turn(Desk& desk) : desk_(desk) { desk_.sweep(); }
    ~Turn() {
        while (!desk_.posted_.empty()) {
            const auto [attempt, outcome] = desk_.posted_.front();
            desk_.posted_.pop_front();
            desk_.finish(attempt, outcome);
        }
        desk_.wish_to_wake();
    }

  private:
    Desk& desk_;
};

}  // namespace copperfront
