// Internal to the dispatcher's own sources.
#pragma once

#include "dispatch/dispatcher.h"

namespace copperfront {

// Scope of one event. Consequences of the router's own actions (an attempt that cannot be made, a cancelled
// attempt) are reported to it after the current call, never from within it. An index is reused only once
// nothing refers to it.
class Dispatcher::EventScope {
  public:
    explicit EventScope(Dispatcher& dispatcher) : dispatcher_(dispatcher) { dispatcher_.recycle_indexes(); }
    ~EventScope() {
        while (!dispatcher_.deferred_outcomes_.empty()) {
            const auto [attempt, outcome] = dispatcher_.deferred_outcomes_.front();
            dispatcher_.deferred_outcomes_.pop_front();
            dispatcher_.finish_attempt(attempt, outcome);
        }
        dispatcher_.update_wakeup();
    }

  private:
    Dispatcher& dispatcher_;
};

}  // namespace copperfront
