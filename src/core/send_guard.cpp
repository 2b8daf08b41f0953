#include "send_guard.h"

#include <numeric>

#include "sabotage.h"

namespace copperfront {
namespace {

// Share of the time limit on held states that the rest of an answer may take.
constexpr double kAnswerCompletionShare = 0.35;
// Well above the travel time of a close between two zones, but no upper bound: on an overloaded machine
// (twelve busy threads on eight cores) 30 ms once passed between a cancellation and its record at the server.
// HoldLedger has releases repeated for such cases.
constexpr Duration kCloseTravelTime{20000};
// A server may send an answer twice, the second some milliseconds after the first. It can't be distinguished
// from the answer to the next request on that connection, so no request is sent there for this long.
constexpr Duration kMinIdleBeforeReuse{20000};
// By the protocol, new connections and requests on open ones keep arriving for this long after SIGTERM.
constexpr Duration kAcceptAfterShutdown{700000};
// Tolerances of the protocol: on held states, and on the deadline sent to a server.
constexpr Duration kReleaseSlack{300000};
constexpr Duration kDeadlineSlack{150000};

}  // namespace

const char* text_of(Denial denial) {
    switch (denial) {
        case Denial::none:
            return "none";
        case Denial::client_gone:
            return "client gone";
        case Denial::already_answered:
            return "already answered";
        case Denial::attempt_in_flight:
            return "another attempt is still out";
        case Denial::effect_may_have_happened:
            return "its effect may have happened";
        case Denial::too_many_attempts:
            return "no attempt left";
        case Denial::no_time_left:
            return "no time left";
        case Denial::write_window_over:
            return "its time to be written is over";
        case Denial::release_too_early:
            return "it may take a newer state";
        case Denial::close_not_arrived:
            return "a close may not have arrived";
        case Denial::nothing_held:
            return "nothing is held";
        case Denial::connection_unsafe:
            return "connection not safe to reuse";
        case Denial::answer_pending:
            return "an answer is owed";
        case Denial::shutting_down:
            return "shutting down";
        case Denial::still_accepting:
            return "requests may still come";
        case Denial::work_pending:
            return "work is left";
    }
    return "";
}

const char* text_of(Invariant invariant) {
    switch (invariant) {
        case Invariant::state_released_in_time:
            return "held state released in time";
        case Invariant::deadline_not_overstated:
            return "deadline not overstated";
        case Invariant::effect_at_most_once:
            return "effect at most once";
        case Invariant::answered_before_close:
            return "answered before close";
    }
    return "";
}

Denial SendGuard::count(Denial denial) {
    ++denials_[static_cast<std::size_t>(denial)];
    return denial;
}

Denial SendGuard::may_start(const AttemptStart& facts) {
    if (facts.answered) return count(Denial::already_answered);
    if (facts.attempt_in_flight) return count(Denial::attempt_in_flight);
    if (facts.effect == Effect::effectful && facts.may_have_run) {
        return count(Denial::effect_may_have_happened);
    }
    if (facts.attempts > facts.max_attempts) return count(Denial::too_many_attempts);
    if (facts.time_left.us <= 0) return count(Denial::no_time_left);
    return Denial::none;
}

Denial SendGuard::may_write(const AttemptWrite& facts) {
    const bool client_gone = facts.client_gone && !is_sabotaged(Sabotage::attempt_after_client_left);
    if (client_gone) return count(Denial::client_gone);
    if (!check_effect(facts.effect, facts.may_have_run)) return count(Denial::effect_may_have_happened);
    if (facts.now > facts.write_by) return count(Denial::write_window_over);
    return Denial::none;
}

Duration SendGuard::close_travel_time() { return kCloseTravelTime; }

Denial SendGuard::may_release(const HoldLedger& ledger, RequestKey request, Instant now) {
    switch (ledger.release_need(request, now)) {
        case HoldLedger::Need::due:
            return Denial::none;
        case HoldLedger::Need::not_yet:
            return count(Denial::release_too_early);
        case HoldLedger::Need::close_in_flight:
            return count(Denial::close_not_arrived);
        case HoldLedger::Need::nothing:
            break;
    }
    return count(Denial::nothing_held);
}

Duration SendGuard::answer_completion_time() const {
    return is_sabotaged(Sabotage::incomplete_answer_waits) ? Duration{}
                                                           : release_within_ * kAnswerCompletionShare;
}

Denial SendGuard::may_reuse(const PooledConnection& facts) {
    if (is_sabotaged(Sabotage::stale_connection_reused)) return Denial::none;
    return facts.nothing_received && facts.idle_time >= kMinIdleBeforeReuse
               ? Denial::none
               : count(Denial::connection_unsafe);
}

Denial SendGuard::may_close(const ClientConnection& facts) {
    return facts.has_open_request ? count(Denial::answer_pending) : Denial::none;
}

Denial SendGuard::may_accept(bool shutting_down, Duration since_requested) {
    if (is_sabotaged(Sabotage::late_requests_taken)) return Denial::none;
    return shutting_down && since_requested >= kAcceptAfterShutdown ? count(Denial::shutting_down)
                                                                    : Denial::none;
}

Denial SendGuard::may_stop_listening(const Shutdown& facts) {
    return facts.since_requested < kAcceptAfterShutdown ? count(Denial::still_accepting) : Denial::none;
}

Denial SendGuard::may_exit(const Shutdown& facts) {
    if (is_sabotaged(Sabotage::exit_with_work_left)) return Denial::none;
    if (facts.listening) return count(Denial::still_accepting);
    const bool idle =
        facts.requests == 0 && facts.attempts == 0 && facts.releases == 0 && facts.unsent_answers == 0;
    return idle ? Denial::none : count(Denial::work_pending);
}

bool SendGuard::is_release_late(Instant held_since, Instant now) const {
    return release_within_.us > 0 && now - held_since > release_within_ + kReleaseSlack;
}

bool SendGuard::check_released(std::optional<Instant> held_since, Instant released) {
    if (!held_since || !is_release_late(*held_since, released)) return true;
    count_violation(Invariant::state_released_in_time);
    return false;
}

bool SendGuard::check_deadline(Duration sent, Duration remaining) {
    if (sent <= remaining + kDeadlineSlack) return true;
    count_violation(Invariant::deadline_not_overstated);
    return false;
}

bool SendGuard::check_effect(Effect effect, bool may_have_run) {
    if (effect != Effect::effectful || !may_have_run) return true;
    count_violation(Invariant::effect_at_most_once);
    return false;
}

std::uint64_t SendGuard::violations() const {
    return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

}  // namespace copperfront
