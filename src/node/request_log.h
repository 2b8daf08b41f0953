// What happened to single requests, for whoever looks for the cause of something: each attempt, retry,
// rejection, release and close with its request's id and the reason. What is usual is written at debug level;
// what is not, at info level, so that it is there after an incident. Lines at info level are limited by the
// second, and those left out are counted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/hold_ledger.h"
#include "core/rules.h"
#include "core/units.h"
#include "logging/log.h"

namespace copperfront {

class RequestLog {
  public:
    explicit RequestLog(Log& log) : log_(log) {}

    struct Attempt {
        std::string_view request, server;
        std::uint64_t id = 0;
        std::uint32_t number = 1;  // of its request, from 1
        bool prefill = false;
    };
    // Whether anything is written of a usual event, so that its fields are worth making.
    bool writes_usual() const { return log_.writes(Weight::debug); }

    void attempt_started(const Attempt& attempt, Instant now);
    void attempt_over(const Attempt& attempt, Ending ending, std::string_view reason, Instant now);
    void first_event(std::string_view request, std::uint64_t attempt);
    // `held`: how long it has been held.
    void state_released(std::string_view request, std::string_view server, Span held, bool lease_ended,
                        Instant now);
    // `held`: since the time began to run. `history`: what happened to the request, where its course was
    // unusual. A hold that ended late is written whatever else is left out.
    void release_answered(std::string_view request, HoldLedger::Proof proof, Span held, bool in_time,
                          std::string_view history, Instant now);
    void release_given_up(std::string_view request, Span held, std::string_view history);
    enum class Final { completed, rejected, failed, client_left };
    void request_over(std::string_view request, Final final, std::string_view reason, Instant now);

  private:
    // True: one more line may be written at info level in this second.
    bool may_write_unusual(Instant now);

    Log& log_;
    std::int64_t second_ = 0;
    int written_ = 0;
    std::int64_t left_out_ = 0;
};

}  // namespace copperfront
