// Faults built into the program to check that its tests find them. Only a build with COPPERFRONT_SABOTAGE
// contains them, and a fault is active only if the environment names it; other builds contain none of this
// code.
#pragma once

#ifdef COPPERFRONT_SABOTAGE
#include <cstdlib>
#include <string_view>
#endif

namespace copperfront {

enum class Sabotage {
    release_told_once,             // not repeated after an attempt that ended without an answer
    release_counts_while_waiting,  // although an attempt was in flight
    lease_never_ends,
    lease_release_ends_hold,  // no release follows the one at the end of the lease
    release_overtakes_close,
    release_lost,
    refused_release_counts,
    late_attempts_not_followed,
    incomplete_answer_waits,
    retry_after_may_have_run,
    attempt_after_client_left,
    deadline_overstated,
    drain_ignored,
    silent_watch_trusted,
    exit_with_work_left,
    late_requests_taken,  // after SIGTERM
    stale_connection_reused,
    list_bound_small,  // 256 KiB
    list_given_up_early,
    loop_stands_still,  // at each server list
    waiting_tried_once,
    change_between_watches_lost,
    index_handed_on_early,  // of a removed server for which a release or an attempt is still pending
};

#ifdef COPPERFRONT_SABOTAGE
inline constexpr const char* kSabotageNames[] = {"release_told_once",
                                                 "release_counts_while_waiting",
                                                 "lease_never_ends",
                                                 "lease_release_ends_hold",
                                                 "release_overtakes_close",
                                                 "release_lost",
                                                 "refused_release_counts",
                                                 "late_attempts_not_followed",
                                                 "incomplete_answer_waits",
                                                 "retry_after_may_have_run",
                                                 "attempt_after_client_left",
                                                 "deadline_overstated",
                                                 "drain_ignored",
                                                 "silent_watch_trusted",
                                                 "exit_with_work_left",
                                                 "late_requests_taken",
                                                 "stale_connection_reused",
                                                 "list_bound_small",
                                                 "list_given_up_early",
                                                 "loop_stands_still",
                                                 "waiting_tried_once",
                                                 "change_between_watches_lost",
                                                 "index_handed_on_early"};

inline bool is_sabotaged(Sabotage fault) {
    static const char* const chosen = std::getenv("COPPERFRONT_SABOTAGE_FAULT");
    return chosen != nullptr && std::string_view(chosen) == kSabotageNames[static_cast<int>(fault)];
}
#else
constexpr bool is_sabotaged(Sabotage) { return false; }
#endif

}  // namespace copperfront
