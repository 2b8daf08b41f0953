// One status line per second with activity, for the gateway as a whole: the longest event of its loop, its
// CPU time, the waiting requests, and the age of its server list. A long event is logged as a warning. The
// names of the fields are documented in docs/operators/platform.md, as alarms are set on them.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/units.h"
#include "logging/log.h"

namespace copperfront {

struct GatewayStatus {
    const char* longest_event = "";  // the event of the loop that took longest
    Duration longest_event_took;
    const char* busiest_event = "";  // the event of the loop that used most CPU time
    Duration busiest_event_cpu;
    Duration cpu;  // of the process since its start
    std::uint64_t requests_received = 0;
    std::size_t requests_open = 0, requests_waiting = 0;
    Duration longest_wait;  // of the requests that wait now
    std::uint64_t list_version = 0;
    bool has_discovery_list = false;  // a list of discovery was accepted
    Duration list_age;                // since the last accepted response of discovery
    std::size_t list_bytes = 0, list_entries = 0;
    std::uint64_t list_responses = 0, failed_list_calls = 0;
    std::size_t releases_owed = 0, releases_overdue = 0;
    // Late attempts not followed and requests not recorded by the hold ledger because the limit on their
    // number was reached, since the start of the program.
    std::uint64_t late_attempts_not_followed = 0, ledger_overflows = 0;
    std::size_t descriptors = 0;
    std::size_t client_connections = 0, lingering_connections = 0, server_connections = 0;
    // Resident memory of the process (0: not known), the bytes charged to the memory budget by use, and the
    // whole budget.
    std::size_t resident_bytes = 0, client_input_bytes = 0, request_bytes = 0, client_output_bytes = 0,
                server_input_bytes = 0, budget_bytes = 0;
    // Requests refused, and connections whose input was given up, for lack of memory, since the start.
    std::uint64_t refused_for_memory = 0, inputs_given_up = 0;
    // Ids of requests that may have run, forgotten before their time.
    std::uint64_t ids_forgotten_early = 0;
};

class StatusLog {
  public:
    explicit StatusLog(Log& log) : log_(log) {}
    // `since_last`: the time since the last status.
    void note(const GatewayStatus& status, Duration since_last);

  private:
    Log& log_;
    GatewayStatus last_;
};

// CPU time of this process.
Duration cpu_used();

}  // namespace copperfront
