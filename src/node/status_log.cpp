#include "node/status_log.h"

#include <time.h>

#include <string>

namespace copperfront {
namespace {

constexpr Duration kLongEvent{50000};
// If no event took longer, a second without requests needs no status line.
constexpr Duration kUsualEvent{5000};

std::int64_t number(std::uint64_t value) { return static_cast<std::int64_t>(value); }

}  // namespace

Duration cpu_used() {
    timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return {std::int64_t{at.tv_sec} * 1000000 + at.tv_nsec / 1000};
}

void StatusLog::note(const GatewayStatus& status, Duration since_last) {
    const bool changed =
        status.requests_received != last_.requests_received || status.requests_open > 0 ||
        status.list_version != last_.list_version || status.failed_list_calls != last_.failed_list_calls ||
        status.releases_owed > 0 || status.refused_for_memory != last_.refused_for_memory ||
        status.inputs_given_up != last_.inputs_given_up ||
        status.client_connections != last_.client_connections || status.longest_event_took > kUsualEvent;
    const Duration cpu = status.cpu - last_.cpu;
    last_ = status;
    if (status.longest_event_took > kLongEvent) {
        log_.log(Severity::warn, "status", "one turn of the loop took long",
                 {{"event", std::string(status.longest_event)},
                  {"took_ms", status.longest_event_took.ms()},
                  {"busiest_event_cpu_ms", status.busiest_event_cpu.ms()},
                  {"cpu_ms", cpu.ms()}});
    }
    if (!changed) return;
    log_.log(Severity::info, "status", "status",
             {{"seconds", since_last.ms() / 1000},
              {"longest_event", std::string(status.longest_event)},
              {"longest_event_ms", status.longest_event_took.ms()},
              {"busiest_event", std::string(status.busiest_event)},
              {"busiest_event_cpu_ms", status.busiest_event_cpu.ms()},
              {"cpu_ms", cpu.ms()},
              {"requests_came", number(status.requests_received)},
              {"requests_open", number(status.requests_open)},
              {"requests_waiting", number(status.requests_waiting)},
              {"longest_wait_ms", status.longest_wait.ms()},
              {"list_version", number(status.list_version)},
              {"list_age_ms", status.has_discovery_list ? status.list_age.ms() : -1.0},
              {"list_bytes", number(status.list_bytes)},
              {"list_entries", number(status.list_entries)},
              {"lists_taken", number(status.list_responses)},
              {"list_calls_lost", number(status.failed_list_calls)},
              {"releases_owed", number(status.releases_owed)},
              {"releases_overdue", number(status.releases_overdue)},
              {"late_attempts_not_followed", number(status.late_attempts_not_followed)},
              {"holds_not_booked", number(status.ledger_overflows)},
              {"descriptors", number(status.descriptors)},
              {"client_connections", number(status.client_connections)},
              {"lingering_connections", number(status.lingering_connections)},
              {"server_connections", number(status.server_connections)},
              {"resident_bytes", number(status.resident_bytes)},
              {"budget_bytes", number(status.budget_bytes)},
              {"client_input_bytes", number(status.client_input_bytes)},
              {"request_bytes", number(status.request_bytes)},
              {"client_output_bytes", number(status.client_output_bytes)},
              {"server_input_bytes", number(status.server_input_bytes)},
              {"refused_for_memory", number(status.refused_for_memory)},
              {"inputs_given_up", number(status.inputs_given_up)},
              {"ids_forgotten_early", number(status.ids_forgotten_early)}});
}

}  // namespace copperfront
