// Attempts of a request from start to end, and the states held for it meanwhile.
#include <algorithm>

#include "core/sabotage.h"
#include "desk/desk.h"
#include "desk/desk_turn.h"

namespace copperfront {

void Desk::chose(QueryIndex, ServerIndex, bool, const char* why, std::span<const Sight> candidates,
                 std::size_t candidate_count) {
    // The attempt starts within the same call of the router and is reported to the observer with this choice.
    candidates_.assign(candidates.begin(), candidates.end());
    choice_ = {why, candidates_, candidate_count};
}

void Desk::held(QueryIndex request, const char* why) {
    TrackedRequest& tracked = requests_[request];
    // The router repeats the reason each time it considers the request; only a change is reported.
    if (!observer_ || tracked.reason == why || tracked.ended || tracked.routing_done) return;
    tracked.reason = why;
    observer_->held(original_of(request), why);
}

void Desk::start_attempt(QueryIndex request, ServerIndex server, const AttemptLimits& limits) {
    const Span limit = limits.answer;
    TrackedRequest& tracked = requests_[request];
    const AttemptId id = next_attempt_++;
    Attempt record;
    record.request = request;
    record.server = server;
    record.sent_at = host_.now();
    record.send_by = record.sent_at + limits.write;
    record.is_prefill = server < roles_.size() && roles_[server] == Role::reader;
    ++tracked.attempts_made;
    tracked.attempts.push_back(id);
    const QueryIndex original = original_of(request);
    SendGuard::AttemptStart facts;
    facts.answered = tracked.ended || tracked.routing_done || requests_[original].ended ||
                     requests_[original].streaming_attempt != 0;
    facts.attempt_out = tracked.in_flight > 0;
    facts.may_have_run = tracked.may_have_run;
    facts.effect = tracked.effect;
    facts.made = tracked.attempts_made;
    facts.most = max_attempts_;
    facts.left = limit;
    const Denial denial = guard_.may_start(facts);
    ++tracked.in_flight;
    if (denial == Denial::none) {
        if (!record.is_prefill) {
            record.state = tracked.state;
            record.memory_tokens = tracked.prompt_tokens;
            if (server < own_tokens_.size()) own_tokens_[server] += record.memory_tokens;
        }
        if (tracked.queued) admission_.held(tracked.route, -1);
        tracked.queued = false;
        // Counts the first attempt of each stage; further ones have been admitted by may_attempt_again.
        bool& attempted = record.is_prefill ? tracked.prefill_attempted : tracked.decode_attempted;
        if (!attempted) admission_.first_attempt_started(tracked.route, host_.now());
        attempted = true;
        attempts_.emplace(id, record);
        ledger_.attempt_started(tracked.key, id, server, record.is_prefill, host_.now());
        if (shadow_evaluation_ && !tracked.is_hedge)
            shadow_evaluation_->started(request, server, record.is_prefill);
        schedule_timer(limit, TimerKind::attempt_limit, id);
        if (observer_) {
            Account& summary = requests_[original].summary;
            if (summary.reads + summary.writes == 0) summary.first_attempt = host_.now();
            ++(record.is_prefill ? summary.reads : summary.writes);
            (record.is_prefill ? summary.reader : summary.writer) = server;
            if (record.is_prefill || record.state == 0) summary.read_tokens += tracked.prompt_tokens;
            observer_->started(original, id, server, record.is_prefill, limit, choice_);
        }
        const Span connect =
            tracked.connect_limit.us > 0 ? std::min(tracked.connect_limit, limits.write) : limits.write;
        if (connect < limit) schedule_timer(connect, TimerKind::connect_limit, id);
        if (record.is_prefill) {
            ++counters_.reads;
            host_.send_read(id, server, original, limit);
        } else {
            ++counters_.writes;
            host_.send_write(id, server, original, record.state, tracked.state_server, limit);
        }
        return;
    }
    Outcome outcome;
    outcome.ending = denial == Denial::no_time_left ? Ending::late : Ending::unsent;
    record.never_sent = true;
    attempts_.emplace(id, record);
    deferred_outcomes_.emplace_back(id, outcome);
}

Denial Desk::may_be_written(AttemptId attempt, bool client_gone, Span stated_time_left) {
    const auto it = attempts_.find(attempt);
    SendGuard::AttemptWrite facts;
    facts.client_gone = client_gone;
    facts.now = host_.now();
    if (it != attempts_.end()) {
        const TrackedRequest& tracked = requests_[it->second.request];
        facts.write_by = it->second.send_by;
        facts.effect = tracked.effect;
        facts.may_have_run = tracked.may_have_run;
        if (!client_gone) guard_.check_deadline(stated_time_left, tracked.deadline - facts.now);
    }
    return guard_.may_write(facts);
}

// The attempt ends with this outcome only once its close has reached the server: an attempt elsewhere before
// that would run the request twice at the same time.
void Desk::cancel_then_finish(AttemptId attempt, const Outcome& outcome, const char* why) {
    Attempt& record = attempts_.at(attempt);
    host_.call_off(attempt, record.server);
    finish_after_close(record, attempt, outcome, why);
}

void Desk::finish_after_close(Attempt& record, AttemptId attempt, const Outcome& outcome, const char* why) {
    record.cancelled = true;
    const TrackedRequest& tracked = requests_[record.request];
    // No other attempt of this request follows.
    if (tracked.ended || tracked.routing_done) {
        deferred_outcomes_.emplace_back(attempt, outcome);
        return;
    }
    record.pending_outcome = outcome;
    record.pending_reason = why;
    schedule_timer(SendGuard::close_travel_time(), TimerKind::cancel_delivered, attempt);
}

void Desk::retract(QueryIndex request, std::uint32_t number) {
    TrackedRequest& tracked = requests_[request];
    if (number >= tracked.attempts.size()) return;
    const auto it = attempts_.find(tracked.attempts[number]);
    if (it == attempts_.end() || it->second.streaming || it->second.cancelled || it->second.never_sent)
        return;
    ++counters_.called_off;
    Outcome outcome;
    outcome.ending = Ending::retracted;
    if (!host_.unsend(it->first, it->second.server))
        return cancel_then_finish(it->first, outcome, "it is no longer wanted");
    // An attempt that was never sent has left no state behind. If its request has ended, it says nothing
    // about its server.
    it->second.cancelled = true;
    outcome.ending = tracked.ended || tracked.routing_done ? Ending::unsent : Ending::unreachable;
    deferred_outcomes_.emplace_back(it->first, outcome);
}

// Releases states that no attempt waits for, on every server that may hold one. A prefill that was not
// answered may also have left a state, so its server gets a release too.
void Desk::release(QueryIndex request) {
    TrackedRequest& tracked = requests_[request];
    AttemptId awaited = 0;
    for (const AttemptId id : tracked.attempts) {
        const auto it = attempts_.find(id);
        if (it != attempts_.end() && !it->second.cancelled && it->second.state != 0)
            awaited = it->second.state;
    }
    release_states(request, awaited);
    if (awaited == 0) tracked.state = 0;
}

// Releases everything that may be held for the request except the state of the prefill `except`. A release is
// not repeated: the hold ledger knows whether it is still owed.
void Desk::release_states(QueryIndex request, AttemptId except) {
    const RequestKey key = requests_[request].key;
    const std::vector<HoldLedger::Entry> entries = ledger_.entries(key);
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.wanted) continue;
        ledger_.want_release(key, entry.attempt);
    }
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.wanted) continue;
        ++counters_.releases;
        if (observer_) observer_->released(original_of(request), entry.server, entry.attempt);
        host_.release(entry.server, entry.attempt);
        if (!host_.releases_are_answered()) ledger_.assume_released(key, entry.attempt);
    }
}

void Desk::schedule_lease_timer(QueryIndex request) {
    if (!ledger_.has_lease() || !host_.releases_are_answered()) return;
    if (ledger_.entries(requests_[request].key).empty()) return;
    schedule_timer(ledger_.lease_end(requests_[request].key) - host_.now(), TimerKind::lease, request);
}

// A state may not be held beyond its lease while a decode attempt stays unanswered, so it is released. The
// attempt itself stays in flight. If it has arrived and taken the state, the release has no effect on it. If
// it still waits for the state, the release frees nothing and is owed again after the attempt ends. If it
// arrives later, the server answers that the state is gone, which proves that the attempt never ran.
void Desk::lease_expired(QueryIndex request) {
    TrackedRequest& tracked = requests_[request];
    if (!tracked.in_use || ledger_.need_of_release(tracked.key, host_.now()) == HoldLedger::Need::nothing)
        return;
    if (ledger_.lease_end(tracked.key) > host_.now()) return schedule_lease_timer(request);
    if (ledger_.need_of_release(tracked.key, host_.now()) != HoldLedger::Need::due) return;
    ++counters_.leases_ended;
    release_states(request, 0);
    tracked.state = 0;
    if (!tracked.ended && !tracked.routing_done) rules_.state_expired(request);
}

bool Desk::may_attempt_again(QueryIndex request, Ending after) {
    TrackedRequest& tracked = requests_[request];
    const Cause cause = after == Ending::unreachable                          ? Cause::unreachable
                        : after == Ending::full                               ? Cause::full
                        : after == Ending::late || after == Ending::retracted ? Cause::silent
                                                                              : Cause::failed;
    const auto c = static_cast<std::size_t>(cause);
    if (tracked.retries[c] < tracked.max_retries[c] &&
        admission_.may_attempt_again(tracked.route, host_.now())) {
        ++tracked.retries[c];
        return true;
    }
    ++counters_.not_again;
    return false;
}

bool Desk::token_came(AttemptId attempt, QueryIndex& request) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.cancelled || it->second.is_prefill) return false;
    Attempt& record = it->second;
    TrackedRequest& tracked = requests_[record.request];
    request = original_of(record.request);
    if (record.server < own_tokens_.size()) {
        record.memory_tokens += 1;
        own_tokens_[record.server] += 1;
    }
    if (record.streaming) {
        record.last_token_at = host_.now();
        admission_.tokens_came(tracked.route, 1, record.last_token_at);
        if (observer_) requests_[request].summary.tokens += 1;
        return requests_[request].streaming_attempt == attempt && !requests_[request].ended;
    }
    if (tracked.routing_done || requests_[request].ended || requests_[request].streaming_attempt != 0 ||
        !tracked.streams)
        return false;
    const EventScope scope(*this);
    record.streaming = true;
    record.last_token_at = host_.now();
    if (observer_) {
        requests_[request].summary.first_token = host_.now() - requests_[request].arrived_at;
        requests_[request].summary.tokens += 1;
        observer_->first_token(request, attempt, record.server, host_.now() - record.sent_at);
    }
    requests_[request].streaming_attempt = attempt;
    schedule_timer(tracked.max_silence, TimerKind::stream_silence, attempt);
    // The first token shows that the state has been fetched. Everything else held for this request is
    // released.
    ledger_.assume_released(tracked.key, record.state);
    release_states(record.request, 0);
    ledger_.stream_began(tracked.key, attempt, host_.now());
    tracked.state = 0;
    admission_.began(tracked.route, host_.now() - tracked.arrived_at, host_.now());
    admission_.tokens_came(tracked.route, 1, host_.now());
    const QueryIndex winner = record.request;
    if (shadow_evaluation_ && !tracked.is_hedge)
        shadow_evaluation_->stream_began(winner, host_.now() - record.sent_at);
    rules_.stream_began(winner, host_.now() - record.sent_at);
    cancel_partner(winner);
    return true;
}

void Desk::answer_began(AttemptId attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.cancelled) return;
    ledger_.answer_began(requests_[it->second.request].key, attempt, host_.now());
}

void Desk::attempt_ended(AttemptId attempt, Outcome outcome) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.cancelled) return;
    const EventScope scope(*this);
    Attempt& record = it->second;
    if (outcome.closed_here && !record.streaming)
        return finish_after_close(record, attempt, outcome, "its answer was spoilt");
    finish_attempt(attempt, outcome);
}

void Desk::finish_attempt(AttemptId id, Outcome outcome, std::string_view why) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    const Attempt record = it->second;
    attempts_.erase(it);
    if (record.server < own_tokens_.size())
        own_tokens_[record.server] = std::max(0.0, own_tokens_[record.server] - record.memory_tokens);
    record_load_report(record.server, outcome.report);
    TrackedRequest& tracked = requests_[record.request];
    --tracked.in_flight;
    ++counters_.endings[static_cast<std::size_t>(outcome.ending)];
    outcome.took = host_.now() - record.sent_at;
    if (is_sabotaged(Sabotage::retry_after_may_have_run) && !record.is_prefill &&
        outcome.ending == Ending::broken) {
        outcome.ending = Ending::unreachable;
    }
    const QueryIndex original = original_of(record.request);
    if (observer_) observer_->attempt_over(original, id, record.server, outcome.ending, outcome.took, why);
    outcome.over = tracked.ended || tracked.routing_done;
    const Ending e = outcome.ending;
    const bool not_executed = e == Ending::unsent || e == Ending::unreachable || e == Ending::full;
    if (e == Ending::settled) {
        ledger_.assume_released(tracked.key, record.state);
        release_states(record.request, 0);
    }
    ledger_.attempt_over(tracked.key, id, e, host_.now());
    if (record.is_prefill && !not_executed) schedule_lease_timer(record.request);
    if (!record.is_prefill && !not_executed) tracked.may_have_run = true;
    if (record.is_prefill && e == Ending::read) {
        tracked.state = id;
        tracked.state_server = record.server;
    }
    if (e == Ending::settled && record.state == tracked.state) tracked.state = 0;
    const AttemptId streaming_attempt = requests_[original].streaming_attempt;
    if (!requests_[original].ended && !tracked.routing_done) {
        if (e == Ending::settled && (streaming_attempt == 0 || streaming_attempt == id)) {
            mark_routing_done(record.request);
            end_request(original, Fate::settled, "");
            ++counters_.settled;
            outcome.over = true;
            host_.settled(original);
        } else if (streaming_attempt == id) {
            // A stream that breaks after its first token is lost: the client has part of the answer and is
            // notified at once.
            mark_routing_done(record.request);
            end_request(original, Fate::given_up, "the stream broke");
            ++counters_.given_up;
            ++counters_.streams_broken;
            outcome.over = true;
            host_.given_up(original, "the stream broke");
        }
    }
    if (shadow_evaluation_ && !tracked.is_hedge)
        shadow_evaluation_->attempt_ended(record.request, record.server, outcome);
    rules_.attempt_ended(record.request, record.server, outcome);
    // Completed without a first token, so the partner has not been cancelled yet.
    if (e == Ending::settled && outcome.over) cancel_partner(record.request);
}

}  // namespace copperfront
