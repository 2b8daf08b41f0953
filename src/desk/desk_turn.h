// Internal to the dispatcher's own sources.
#pragma once

#include "desk/desk.h"

namespace copperfront {

// Scope of one event. Consequences of the router's own actions (an attempt that cannot be made, a cancelled
// attempt) are reported to it after the current call, never from within it. An index is reused only once
// nothing refers to it.
class Desk::EventScope {
  public:
    explicit EventScope(Desk& desk) : desk_(desk) { desk_.recycle_indexes(); }
    ~EventScope() {
        while (!desk_.deferred_outcomes_.empty()) {
            const auto [attempt, outcome] = desk_.deferred_outcomes_.front();
            desk_.deferred_outcomes_.pop_front();
            desk_.finish_attempt(attempt, outcome);
        }
        desk_.update_wakeup();
    }

  private:
    Desk& desk_;
};

}  // namespace copperfront
