// Timers of the dispatcher: time limits of attempts, leases of held states, silent streams and the router's
// own timers.
#include <algorithm>

#include "dispatch/dispatcher.h"
#include "dispatch/event_scope.h"

namespace copperfront {
namespace {

constexpr Duration kMaxEventTransferTime{60000000};  // of one event of a stream

}  // namespace

void Dispatcher::schedule_timer(Duration from_now, TimerKind kind, std::uint64_t key) {
    timers_.push({host_.now() + from_now, next_sequence_++, kind, key});
    if (timers_.has_grown()) timers_.remove_if([this](const Timer& timer) { return is_obsolete(timer); });
}

bool Dispatcher::is_obsolete(const Timer& timer) const {
    switch (timer.kind) {
        case TimerKind::router:
            return router_.is_obsolete(timer.key);
        case TimerKind::attempt_limit:
        case TimerKind::connect_limit:
        case TimerKind::cancel_delivered:
        case TimerKind::stream_silence:
            return attempts_.count(timer.key) == 0;
        case TimerKind::shadow_evaluation:
        case TimerKind::lease:
        case TimerKind::total_limit:
        case TimerKind::hedge:
            return false;
    }
    return false;
}

void Dispatcher::update_wakeup() {
    if (timers_.empty()) return;
    const Instant first = timers_.top().due;
    if (wakeup_scheduled_ && first == wakeup_at_) return;
    wakeup_scheduled_ = true;
    wakeup_at_ = first;
    host_.schedule_wakeup(first);
}

void Dispatcher::run_due_timers() {
    const EventScope scope(*this);
    wakeup_scheduled_ = false;
    // Timers set meanwhile fire in the next call, as a timer of zero length would otherwise loop for ever.
    const std::uint64_t sequence_limit = next_sequence_;
    const Instant now = host_.now();
    while (!timers_.empty() && timers_.top().due <= now && timers_.top().sequence < sequence_limit) {
        const Timer timer = timers_.top();
        timers_.pop();
        fire(timer);
    }
}

void Dispatcher::fire(const Timer& timer) {
    switch (timer.kind) {
        case TimerKind::router:
            return router_.timer_fired(timer.key);
        case TimerKind::shadow_evaluation:
            if (shadow_evaluation_) shadow_evaluation_->timer_fired(timer.key);
            return;
        case TimerKind::hedge:
            return start_hedge(static_cast<RequestIndex>(timer.key));
        case TimerKind::lease:
            return lease_expired(static_cast<RequestIndex>(timer.key));
        case TimerKind::total_limit:
            return total_limit_reached(static_cast<RequestIndex>(timer.key));
        case TimerKind::attempt_limit:
        case TimerKind::connect_limit:
        case TimerKind::cancel_delivered:
        case TimerKind::stream_silence:
            return attempt_timer_fired(timer);
    }
}

void Dispatcher::total_limit_reached(RequestIndex request) {
    // The index may have been reused since: the timer concerns only a request that arrived long enough ago.
    const TrackedRequest& tracked = requests_[request];
    if (!tracked.in_use || tracked.ended || tracked.streaming_attempt == 0 || tracked.total_limit.us <= 0 ||
        host_.now() - tracked.arrived_at < tracked.total_limit)
        return;
    const auto it = attempts_.find(tracked.streaming_attempt);
    if (it == attempts_.end()) return;
    host_.cancel_attempt(it->first, it->second.server);
    AttemptOutcome outcome;
    outcome.ending = Ending::connection_lost;
    finish_attempt(it->first, outcome, "all of it took longer than its route allows");
}

void Dispatcher::attempt_timer_fired(const Timer& timer) {
    const AttemptId attempt = timer.key;
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) return;
    if (timer.kind == TimerKind::cancel_delivered) {
        const AttemptOutcome outcome = it->second.pending_outcome;
        return finish_attempt(attempt, outcome, it->second.pending_reason);
    }
    if (it->second.cancelled) return;
    if (timer.kind == TimerKind::stream_silence) return check_stream_silence(attempt);
    if (it->second.streaming) return;
    AttemptOutcome outcome;
    if (timer.kind == TimerKind::connect_limit) {
        // The attempt was never sent, so it cannot have run: a request of any category may be retried at
        // once.
        if (!host_.cancel_if_unsent(attempt, it->second.server)) return;
        ++counters_.connect_timeouts;
        outcome.ending = Ending::unreachable;
        return finish_attempt(attempt, outcome, "its connection was not made in time");
    }
    outcome.ending = Ending::timed_out;
    cancel_then_finish(attempt, outcome, "its time limit has passed");
}

void Dispatcher::stream_progressed(AttemptId attempt) {
    const auto it = attempts_.find(attempt);
    if (it != attempts_.end()) it->second.last_byte_at = host_.now();
}

// Guards against an answer whose end is lost: its client would wait for ever. A stream that is written slowly
// is not silent, but its next event has to end some time.
void Dispatcher::check_stream_silence(AttemptId attempt) {
    const Attempt& record = attempts_.at(attempt);
    const Instant heard = std::max(
        record.last_token_at, std::min(record.last_byte_at, record.last_token_at + kMaxEventTransferTime));
    const Duration left = heard + requests_[record.request].max_silence - host_.now();
    if (left.us > 0) return schedule_timer(left, TimerKind::stream_silence, attempt);
    ++counters_.streams_silent;
    host_.cancel_attempt(attempt, record.server);
    AttemptOutcome outcome;
    outcome.ending = Ending::connection_lost;
    finish_attempt(attempt, outcome, "its stream fell silent");
}

}  // namespace copperfront
