// Attempts of a request from start to end, and the states held for it meanwhile.
#include <algorithm>

#include "core/sabotage.h"
#include "dispatch/dispatcher.h"
#include "dispatch/event_scope.h"

namespace copperfront {

void Dispatcher::server_chosen(RequestIndex, ServerIndex, bool, const char* why,
                               std::span<const Candidate> candidates, std::size_t candidate_count) {
    // The attempt starts within the same call of the router and is reported to the observer with this choice.
    candidates_.assign(candidates.begin(), candidates.end());
    choice_ = {why, candidates_, candidate_count};
}

void Dispatcher::request_waits(RequestIndex request, const char* why) {
    TrackedRequest& tracked = requests_[request];
    // The router repeats the reason each time it considers the request; only a change is reported.
    if (!observer_ || tracked.reason == why || tracked.ended || tracked.routing_done) return;
    tracked.reason = why;
    observer_->request_waits(original_of(request), why);
}

void Dispatcher::start_attempt(RequestIndex request, ServerIndex server, const AttemptLimits& limits) {
    const Duration limit = limits.answer;
    TrackedRequest& tracked = requests_[request];
    const AttemptId id = next_attempt_++;
    Attempt record;
    record.request = request;
    record.server = server;
    record.sent_at = host_.now();
    record.send_by = record.sent_at + limits.write;
    record.is_prefill = server < roles_.size() && roles_[server] == Role::prefill;
    ++tracked.attempts_made;
    tracked.attempts.push_back(id);
    const RequestIndex original = original_of(request);
    SendGuard::AttemptStart facts;
    facts.answered = tracked.ended || tracked.routing_done || requests_[original].ended ||
                     requests_[original].streaming_attempt != 0;
    facts.attempt_in_flight = tracked.in_flight > 0;
    facts.may_have_run = tracked.may_have_run;
    facts.effect = tracked.effect;
    facts.attempts = tracked.attempts_made;
    facts.max_attempts = max_attempts_;
    facts.time_left = limit;
    const Denial denial = guard_.may_start(facts);
    ++tracked.in_flight;
    if (denial == Denial::none) {
        if (!record.is_prefill) {
            record.state = tracked.state;
            record.memory_tokens = tracked.prompt_tokens;
            if (server < own_tokens_.size()) own_tokens_[server] += record.memory_tokens;
        }
        if (tracked.queued) admission_.queued(tracked.route, -1);
        tracked.queued = false;
        // Counts the first attempt of each stage; further ones have been admitted by may_attempt_again.
        bool& attempted = record.is_prefill ? tracked.prefill_attempted : tracked.decode_attempted;
        if (!attempted) admission_.first_attempt_started(tracked.route, host_.now());
        attempted = true;
        attempts_.emplace(id, record);
        ledger_.attempt_started(tracked.key, id, server, record.is_prefill, host_.now());
        if (shadow_evaluation_ && !tracked.is_hedge)
            shadow_evaluation_->attempt_started(request, server, record.is_prefill);
        schedule_timer(limit, TimerKind::attempt_limit, id);
        if (observer_) {
            RequestSummary& summary = requests_[original].summary;
            if (summary.prefills + summary.decodes == 0) summary.first_attempt = host_.now();
            ++(record.is_prefill ? summary.prefills : summary.decodes);
            (record.is_prefill ? summary.prefill_server : summary.decode_server) = server;
            if (record.is_prefill || record.state == 0) summary.prefill_tokens += tracked.prompt_tokens;
            observer_->attempt_started(original, id, server, record.is_prefill, limit, choice_);
        }
        const Duration connect =
            tracked.connect_limit.us > 0 ? std::min(tracked.connect_limit, limits.write) : limits.write;
        if (connect < limit) schedule_timer(connect, TimerKind::connect_limit, id);
        if (record.is_prefill) {
            ++counters_.prefills;
            host_.send_prefill(id, server, original, limit);
        } else {
            ++counters_.decodes;
            host_.send_decode(id, server, original, record.state, tracked.state_server, limit);
        }
        return;
    }
    AttemptOutcome outcome;
    outcome.ending = denial == Denial::no_time_left ? Ending::timed_out : Ending::unsent;
    record.never_sent = true;
    attempts_.emplace(id, record);
    deferred_outcomes_.emplace_back(id, outcome);
}

Denial Dispatcher::may_still_send(AttemptId attempt, bool client_gone, Duration stated_time_left) {
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
void Dispatcher::cancel_then_finish(AttemptId attempt, const AttemptOutcome& outcome, const char* why) {
    Attempt& record = attempts_.at(attempt);
    host_.cancel_attempt(attempt, record.server);
    finish_after_close(record, attempt, outcome, why);
}

void Dispatcher::finish_after_close(Attempt& record, AttemptId attempt, const AttemptOutcome& outcome,
                                    const char* why) {
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

void Dispatcher::cancel_attempt(RequestIndex request, std::uint32_t number) {
    TrackedRequest& tracked = requests_[request];
    if (number >= tracked.attempts.size()) return;
    const auto it = attempts_.find(tracked.attempts[number]);
    if (it == attempts_.end() || it->second.streaming || it->second.cancelled || it->second.never_sent)
        return;
    ++counters_.cancelled;
    AttemptOutcome outcome;
    outcome.ending = Ending::cancelled;
    if (!host_.cancel_if_unsent(it->first, it->second.server))
        return cancel_then_finish(it->first, outcome, "it is no longer wanted");
    // An attempt that was never sent has left no state behind. If its request has ended, it says nothing
    // about its server.
    it->second.cancelled = true;
    outcome.ending = tracked.ended || tracked.routing_done ? Ending::unsent : Ending::unreachable;
    deferred_outcomes_.emplace_back(it->first, outcome);
}

// Releases states that no attempt waits for, on every server that may hold one. A prefill that was not
// answered may also have left a state, so its server gets a release too.
void Dispatcher::release(RequestIndex request) {
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
void Dispatcher::release_states(RequestIndex request, AttemptId except) {
    const RequestKey key = requests_[request].key;
    const std::vector<HoldLedger::Entry> entries = ledger_.entries(key);
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.release_wanted) continue;
        ledger_.want_release(key, entry.attempt);
    }
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.release_wanted) continue;
        ++counters_.releases;
        if (observer_) observer_->released(original_of(request), entry.server, entry.attempt);
        host_.release(entry.server, entry.attempt);
        if (!host_.confirms_releases()) ledger_.assume_released(key, entry.attempt);
    }
}

void Dispatcher::schedule_lease_timer(RequestIndex request) {
    if (!ledger_.has_lease() || !host_.confirms_releases()) return;
    if (ledger_.entries(requests_[request].key).empty()) return;
    schedule_timer(ledger_.lease_end(requests_[request].key) - host_.now(), TimerKind::lease, request);
}

// A state may not be held beyond its lease while a decode attempt stays unanswered, so it is released. The
// attempt itself stays in flight. If it has arrived and taken the state, the release has no effect on it. If
// it still waits for the state, the release frees nothing and is owed again after the attempt ends. If it
// arrives later, the server answers that the state is gone, which proves that the attempt never ran.
void Dispatcher::lease_expired(RequestIndex request) {
    TrackedRequest& tracked = requests_[request];
    if (!tracked.in_use || ledger_.release_need(tracked.key, host_.now()) == HoldLedger::Need::nothing)
        return;
    if (ledger_.lease_end(tracked.key) > host_.now()) return schedule_lease_timer(request);
    if (ledger_.release_need(tracked.key, host_.now()) != HoldLedger::Need::due) return;
    ++counters_.leases_expired;
    release_states(request, 0);
    tracked.state = 0;
    if (!tracked.ended && !tracked.routing_done) router_.lease_expired(request);
}

bool Dispatcher::may_attempt_again(RequestIndex request, Ending after) {
    TrackedRequest& tracked = requests_[request];
    const RetryCause cause = after == Ending::unreachable ? RetryCause::unreachable
                             : after == Ending::refused   ? RetryCause::full
                             : after == Ending::timed_out || after == Ending::cancelled ? RetryCause::silent
                                                                                        : RetryCause::failed;
    const auto c = static_cast<std::size_t>(cause);
    if (tracked.retries[c] < tracked.max_retries[c] &&
        admission_.may_attempt_again(tracked.route, host_.now())) {
        ++tracked.retries[c];
        return true;
    }
    ++counters_.retries_denied;
    return false;
}

bool Dispatcher::token_received(AttemptId attempt, RequestIndex& request) {
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
        admission_.tokens_received(tracked.route, 1, record.last_token_at);
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
    admission_.stream_began(tracked.route, host_.now() - tracked.arrived_at, host_.now());
    admission_.tokens_received(tracked.route, 1, host_.now());
    const RequestIndex winner = record.request;
    if (shadow_evaluation_ && !tracked.is_hedge)
        shadow_evaluation_->stream_began(winner, host_.now() - record.sent_at);
    router_.stream_began(winner, host_.now() - record.sent_at);
    cancel_partner(winner);
    return true;
}

void Dispatcher::answer_began(AttemptId attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.cancelled) return;
    ledger_.answer_began(requests_[it->second.request].key, attempt, host_.now());
}

void Dispatcher::attempt_ended(AttemptId attempt, AttemptOutcome outcome) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.cancelled) return;
    const EventScope scope(*this);
    Attempt& record = it->second;
    if (outcome.closed_by_gateway && !record.streaming)
        return finish_after_close(record, attempt, outcome, "its answer was spoilt");
    finish_attempt(attempt, outcome);
}

void Dispatcher::finish_attempt(AttemptId id, AttemptOutcome outcome, std::string_view why) {
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
    outcome.duration = host_.now() - record.sent_at;
    if (is_sabotaged(Sabotage::retry_after_may_have_run) && !record.is_prefill &&
        outcome.ending == Ending::connection_lost) {
        outcome.ending = Ending::unreachable;
    }
    const RequestIndex original = original_of(record.request);
    if (observer_)
        observer_->attempt_ended(original, id, record.server, outcome.ending, outcome.duration, why);
    outcome.request_answered = tracked.ended || tracked.routing_done;
    const Ending e = outcome.ending;
    const bool not_executed = e == Ending::unsent || e == Ending::unreachable || e == Ending::refused;
    if (e == Ending::completed) {
        ledger_.assume_released(tracked.key, record.state);
        release_states(record.request, 0);
    }
    ledger_.attempt_ended(tracked.key, id, e, host_.now());
    if (record.is_prefill && !not_executed) schedule_lease_timer(record.request);
    if (!record.is_prefill && !not_executed) tracked.may_have_run = true;
    if (record.is_prefill && e == Ending::prefilled) {
        tracked.state = id;
        tracked.state_server = record.server;
    }
    if (e == Ending::completed && record.state == tracked.state) tracked.state = 0;
    const AttemptId streaming_attempt = requests_[original].streaming_attempt;
    if (!requests_[original].ended && !tracked.routing_done) {
        if (e == Ending::completed && (streaming_attempt == 0 || streaming_attempt == id)) {
            mark_routing_done(record.request);
            end_request(original, RequestOutcome::completed, "");
            ++counters_.completed;
            outcome.request_answered = true;
            host_.completed(original);
        } else if (streaming_attempt == id) {
            // A stream that breaks after its first token is lost: the client has part of the answer and is
            // notified at once.
            mark_routing_done(record.request);
            end_request(original, RequestOutcome::abandoned, "the stream broke");
            ++counters_.abandoned;
            ++counters_.streams_broken;
            outcome.request_answered = true;
            host_.abandoned(original, "the stream broke");
        }
    }
    if (shadow_evaluation_ && !tracked.is_hedge)
        shadow_evaluation_->attempt_ended(record.request, record.server, outcome);
    router_.attempt_ended(record.request, record.server, outcome);
    // Completed without a first token, so the partner has not been cancelled yet.
    if (e == Ending::completed && outcome.request_answered) cancel_partner(record.request);
}

}  // namespace copperfront
