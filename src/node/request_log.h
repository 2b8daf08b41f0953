// Log of single requests for the analysis of incidents: each attempt, retry, rejection, release and close
// with the id of its request and the reason. Usual events are logged at debug level, unusual ones at info
// level, so that they are available after an incident. The number of info lines per second is limited, and
// suppressed lines are counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/hold_ledger.h"
#include "core/router.h"
#include "core/units.h"
#include "logging/log.h"

namespace copperfront {

class RequestLog {
  public:
    explicit RequestLog(Log& log) : log_(log) {}

    struct Attempt {
        std::string_view request, server;
        std::uint64_t id = 0;
        std::uint32_t number = 1;  // of the request's attempts, from 1
        bool prefill = false;
    };
    // Whether usual events are logged, so that callers can skip building their fields.
    bool logs_usual() const { return log_.is_enabled(Severity::debug); }

    void attempt_started(const Attempt& attempt, Instant now);
    void attempt_ended(const Attempt& attempt, Ending ending, std::string_view reason, Instant now);
    void first_event(std::string_view request, std::uint64_t attempt);
    // `held`: how long the state has been held.
    void state_released(std::string_view request, std::string_view server, Duration held, bool lease_ended,
                        Instant now);
    // `held`: since the time limit of the hold began to run. `history`: the events of the request, if they
    // were unusual. A hold that ended late is logged regardless of the limit on lines.
    void release_answered(std::string_view request, HoldLedger::Proof proof, Duration held, bool in_time,
                          std::string_view history, Instant now);
    void release_abandoned(std::string_view request, Duration held, std::string_view history);
    enum class Final { completed, rejected, failed, client_left };
    void request_ended(std::string_view request, Final final, std::string_view reason, Instant now);

  private:
    // Counts a line at info level; returns false if the limit of this second is reached.
    bool may_log_unusual(Instant now);

    Log& log_;
    std::int64_t second_ = 0;
    int lines_written_ = 0;
    std::int64_t suppressed_ = 0;
};

}  // namespace copperfront
