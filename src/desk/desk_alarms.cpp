// What rings when: time limits of attempts, leases of held states, silent streams and the rules' own timers.
#include "desk/desk.h"
#include "desk/desk_turn.h"

namespace copperfront {

void Desk::set_alarm(Span from_now, Ring ring, std::uint64_t key) {
    alarms_.push({outside_.now() + from_now, next_order_++, ring, key});
}

void Desk::wish_to_wake() {
    if (alarms_.empty()) return;
    const Instant first = alarms_.top().at;
    if (wishing_ && first == wished_) return;
    wishing_ = true;
    wished_ = first;
    outside_.wake_at(first);
}

void Desk::time_came() {
    const Turn turn(*this);
    wishing_ = false;
    // What is set meanwhile rings at the next call, or a timer of no length would ring for ever.
    const std::uint64_t until = next_order_;
    const Instant now = outside_.now();
    while (!alarms_.empty() && alarms_.top().at <= now && alarms_.top().order < until) {
        const Alarm alarm = alarms_.top();
        alarms_.pop();
        ring(alarm);
    }
}

void Desk::ring(const Alarm& alarm) {
    switch (alarm.ring) {
        case Ring::rules:
            return rules_.timer_rang(alarm.key);
        case Ring::watching:
            if (watching_) watching_->timer_rang(alarm.key);
            return;
        case Ring::copy:
            return make_copy(static_cast<QueryIndex>(alarm.key));
        case Ring::lease:
            return lease_ends(static_cast<QueryIndex>(alarm.key));
        case Ring::whole:
            return ring_whole(static_cast<QueryIndex>(alarm.key));
        case Ring::limit:
        case Ring::connect:
        case Ring::called_off:
        case Ring::stream:
            return attempt_alarm_due(alarm);
    }
}

void Desk::ring_whole(QueryIndex query) {
    // The index may have been given to another query since: only one that came so long ago is meant.
    const Ticket& ticket = tickets_[query];
    if (!ticket.used || ticket.ended || ticket.bound == 0 || ticket.whole.us <= 0 ||
        outside_.now() - ticket.came < ticket.whole)
        return;
    const auto it = attempts_.find(ticket.bound);
    if (it == attempts_.end()) return;
    outside_.call_off(it->first, it->second.server);
    Outcome outcome;
    outcome.ending = Ending::broken;
    finish(it->first, outcome, "all of it took longer than its route allows");
}

void Desk::attempt_alarm_due(const Alarm& alarm) {
    const AttemptId attempt = alarm.key;
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) return;
    if (alarm.ring == Ring::called_off) {
        const Outcome outcome = it->second.pending;
        return finish(attempt, outcome, it->second.why);
    }
    if (it->second.called_off) return;
    if (alarm.ring == Ring::stream) return stream_may_be_silent(attempt);
    if (it->second.begun) return;
    Outcome outcome;
    if (alarm.ring == Ring::connect) {
        // Never sent, so it cannot have run: any category may go again, and at once.
        if (!outside_.unsend(attempt, it->second.server)) return;
        ++tally_.not_connected;
        outcome.ending = Ending::unreachable;
        return finish(attempt, outcome, "its connection was not made in time");
    }
    outcome.ending = Ending::late;
    call_off(attempt, outcome, "its time limit has passed");
}

// Against an answer whose end is lost in silence: its caller would wait for ever.
void Desk::stream_may_be_silent(AttemptId attempt) {
    const Attempt& mine = attempts_.at(attempt);
    const Span left = mine.heard + tickets_[mine.query].silence - outside_.now();
    if (left.us > 0) return set_alarm(left, Ring::stream, attempt);
    ++tally_.streams_silent;
    outside_.call_off(attempt, mine.server);
    Outcome outcome;
    outcome.ending = Ending::broken;
    finish(attempt, outcome, "its stream fell silent");
}

}  // namespace copperfront
