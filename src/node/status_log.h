// One line a second on how the gateway as a whole is doing, where anything happened in it: the longest turn
// of its loop, its share of the processor, what waits, and how old its list of servers is. A long turn is a
// warning. Names of fields are documented in docs/operators/platform.md, as alarms are set on them.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/units.h"
#include "logging/log.h"

namespace copperfront {

struct GatewayStatus {
    const char* longest_event = "";  // what the loop did for longest without a break
    Span longest_event_took;
    const char* busiest_event = "";  // what used most CPU time without a break
    Span busiest_event_cpu;
    Span cpu;  // of the process since its start
    std::uint64_t requests_came = 0;
    std::size_t requests_open = 0, requests_waiting = 0;
    Span longest_wait;  // of those that wait now
    std::uint64_t list_version = 0;
    bool list_was_taken = false;  // from discovery
    Span list_age;                // since an answer of discovery was taken last
    std::size_t list_bytes = 0, list_entries = 0;
    std::uint64_t lists_taken = 0, list_calls_lost = 0;
    std::size_t releases_owed = 0, releases_overdue = 0;
    // What bounds of the program have left out since its start.
    std::uint64_t late_attempts_not_followed = 0, holds_not_booked = 0;
    std::size_t descriptors = 0;
};

class StatusLog {
  public:
    explicit StatusLog(Log& log) : log_(log) {}
    // `since_last`: the time since the last status.
    void note(const GatewayStatus& status, Span since_last);

  private:
    Log& log_;
    GatewayStatus last_;
};

// Of this process.
Span cpu_used();

}  // namespace copperfront
