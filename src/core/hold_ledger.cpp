#include "hold_ledger.h"

#include <algorithm>
#include <cstdio>

#include "sabotage.h"
#include "send_guard.h"

namespace copperfront {
namespace {

// Share of the time limit after which a held state is released. The rest is left for releases sent to servers
// that hang, and for delays in the gateway itself.
constexpr double kLeaseShare = 0.7;
// After an attempt that ended without an answer a release is sent twice, this far apart: a prefill may
// complete just as its connection is closed, and a server may read the release before the close.
constexpr Duration kRepeatDelay{250000};
constexpr std::size_t kMaxRequests = 100000;
constexpr std::size_t kMaxEvents = 40;

bool is_answered(Ending ending) {
    return ending == Ending::completed || ending == Ending::error || ending == Ending::refused ||
           ending == Ending::prefilled;
}
bool never_sent(Ending ending) { return ending == Ending::unsent || ending == Ending::unreachable; }

}  // namespace

const char* text_of(HoldReason reason) {
    switch (reason) {
        case HoldReason::prefill_answered:
            return "prefill answered";
        case HoldReason::answer_began:
            return "answer of the prefill began";
        case HoldReason::answer_lost:
            return "answer of the prefill lost";
        case HoldReason::prefill_not_awaited:
            return "prefill no longer awaited";
    }
    return "";
}

HoldLedger::Request* HoldLedger::find(RequestKey key) {
    const auto it = requests_.find(key);
    return it == requests_.end() ? nullptr : &it->second;
}
const HoldLedger::Request* HoldLedger::find(RequestKey key) const {
    const auto it = requests_.find(key);
    return it == requests_.end() ? nullptr : &it->second;
}

void HoldLedger::record(Request& request, Instant at, Event::Kind kind, ServerIndex server, Ending ending) {
    if (request.events.size() >= kMaxEvents) {
        ++request.events_omitted;
        return;
    }
    request.events.push_back(
        {at, kind, ending, server, static_cast<std::uint32_t>(request.in_flight.size())});
}

// ---- attempts

void HoldLedger::attempt_started(RequestKey key, AttemptId attempt, ServerIndex server, bool prefill,
                                 Instant now) {
    if (requests_.size() >= kMaxRequests && find(key) == nullptr) {
        ++overflows_;
        return;
    }
    Request& request = requests_[key];
    request.in_flight.push_back({attempt, server, prefill, now, {}});
    record(request, now, prefill ? Event::Kind::prefill_started : Event::Kind::hand_over_started, server);
}

void HoldLedger::answer_began(RequestKey key, AttemptId attempt, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (Attempt& candidate : request->in_flight) {
        if (candidate.id != attempt || candidate.answer_began.us != 0) continue;
        candidate.answer_began = now;
        record(*request, now, Event::Kind::answer_began, candidate.server);
    }
}

void HoldLedger::stream_began(RequestKey key, AttemptId attempt, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (const Attempt& candidate : request->in_flight) {
        if (candidate.id == attempt) record(*request, now, Event::Kind::stream_began, candidate.server);
    }
    std::erase_if(request->entries,
                  [](const Entry& entry) { return entry.reason == HoldReason::prefill_answered; });
    // The attempt has answered, so the time limit is suspended until its end.
    request->lease_paused = true;
}

void HoldLedger::attempt_ended(RequestKey key, AttemptId attempt, Ending ending, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    const auto it = std::find_if(request->in_flight.begin(), request->in_flight.end(),
                                 [attempt](const Attempt& candidate) { return candidate.id == attempt; });
    if (it == request->in_flight.end()) return;
    const Attempt ended = *it;
    request->in_flight.erase(it);
    record(*request, now, Event::Kind::attempt_ended, ended.server, ending);
    if (!never_sent(ending)) request->last_ended = now;
    if (is_answered(ending)) record_answered_end(*request, now);
    if (!is_answered(ending) && !never_sent(ending)) record_unanswered_end(*request, ended, now);
    if (ended.prefill && ending == Ending::prefilled) {
        add_entry(*request, ended, HoldReason::prefill_answered, now);
    }
    const bool lost = ending == Ending::connection_lost || ending == Ending::error;
    const bool not_awaited = ending == Ending::timed_out || ending == Ending::cancelled;
    if (ended.prefill && (lost || not_awaited)) {
        const bool began = ended.answer_began.us != 0;
        add_entry(*request, ended,
                  began  ? HoldReason::answer_began
                  : lost ? HoldReason::answer_lost
                         : HoldReason::prefill_not_awaited,
                  began ? ended.answer_began : now);
    }
    if (ending == Ending::completed) {
        std::erase_if(request->entries,
                      [](const Entry& entry) { return entry.reason == HoldReason::prefill_answered; });
    }
    erase_if_done(key);
}

void HoldLedger::add_entry(Request& request, const Attempt& attempt, HoldReason reason, Instant since) {
    if (request.entries.empty()) {
        request.lease_since = since;
        request.lease_paused = false;
    }
    if (!request.lease_paused) request.lease_since = std::min(request.lease_since, since);
    request.entries.push_back({attempt.server, attempt.id, reason, since, false});
}

// An answer proves that the attempt had arrived, so the time limit restarts in full.
void HoldLedger::record_answered_end(Request& request, Instant now) {
    request.lease_since = now;
    request.lease_paused = false;
}

// If the attempt had arrived, the time limit restarts now. If it had not, the running lease continues; once a
// release has been answered at its end, only the first case is left.
void HoldLedger::record_unanswered_end(Request& request, const Attempt& attempt, Instant now) {
    if (request.lease_paused) {
        request.lease_since = now;
        request.lease_paused = false;
    }
    request.closes_arrived_at = std::max(request.closes_arrived_at, now + SendGuard::close_travel_time());
    request.repeat_needed = true;
    request.unanswered.push_back({attempt.server, attempt.prefill, attempt.started, now});
}

void HoldLedger::erase_if_done(RequestKey key) {
    const auto it = requests_.find(key);
    if (it != requests_.end() && it->second.entries.empty() && it->second.in_flight.empty()) {
        requests_.erase(it);
    }
}

// ---- held states

const std::vector<HoldLedger::Entry>& HoldLedger::entries(RequestKey key) const {
    static const std::vector<Entry> none;
    const Request* const request = find(key);
    return request != nullptr ? request->entries : none;
}

bool HoldLedger::has_attempt_in_flight(RequestKey key) const {
    const Request* const request = find(key);
    return request != nullptr && !request->in_flight.empty();
}

Instant HoldLedger::held_since(RequestKey key) const {
    const Request* const request = find(key);
    return request != nullptr ? request->lease_since : Instant{};
}

Instant HoldLedger::lease_end(RequestKey key) const {
    return held_since(key) + release_within_ * kLeaseShare;
}

// ---- releases

void HoldLedger::want_release(RequestKey key, AttemptId attempt) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (Entry& entry : request->entries) {
        entry.release_wanted = entry.release_wanted || entry.attempt == attempt;
    }
}

HoldLedger::Need HoldLedger::release_need(RequestKey key, Instant now) const {
    const Request* const request = find(key);
    if (request == nullptr || request->entries.empty()) return Need::nothing;
    const bool all_wanted = std::all_of(request->entries.begin(), request->entries.end(),
                                        [](const Entry& entry) { return entry.release_wanted; });
    if (!request->in_flight.empty() || !all_wanted) {
        const bool must_wait = request->lease_paused || !has_lease() || now < lease_end(key) ||
                               is_sabotaged(Sabotage::lease_never_ends);
        return must_wait ? Need::not_yet : Need::due;
    }
    const bool overtakes = is_sabotaged(Sabotage::release_overtakes_close);
    if (now < request->closes_arrived_at && !overtakes) return Need::close_in_flight;
    return now < request->repeat_not_before ? Need::not_yet : Need::due;
}

void HoldLedger::release_written(RequestKey key, ServerIndex to, Instant now) {
    if (Request* const request = find(key)) record(*request, now, Event::Kind::release_written, to);
}

HoldLedger::ReleaseResult HoldLedger::release_answered(RequestKey key, ServerIndex by, Instant written,
                                                       Instant now) {
    ReleaseResult result;
    Request* const request = find(key);
    if (request == nullptr) {
        result.proof = Proof::released;
        return result;
    }
    // A later request with the same key, for which nothing is held yet, or nothing any more: this answer says
    // nothing about it.
    if (request->entries.empty()) return result;
    // In flight at any time between the writing of the release and its answer.
    const bool attempt_was_in_flight = (!request->in_flight.empty() || written < request->closes_arrived_at ||
                                        written < request->last_ended) &&
                                       !is_sabotaged(Sabotage::release_counts_while_waiting);
    result.held_since = request->lease_since;
    if (attempt_was_in_flight) {
        record(*request, now, Event::Kind::release_answered_during_attempt, by);
        request->unusual = true;
        if (request->lease_paused || written < lease_end(key)) return result;
        // An attempt that ended without an answer may still leave a state, so another lease starts.
        request->lease_paused = request->unanswered.empty();
        if (!request->lease_paused) request->lease_since = now;
        if (is_sabotaged(Sabotage::lease_release_ends_hold)) request->entries.clear();
        result.proof = Proof::lease_only;
        if (now - *result.held_since > release_within_) result.history = history(key);
        return result;
    }
    record(*request, now, Event::Kind::release_answered, by);
    const bool sent_once =
        is_sabotaged(Sabotage::release_told_once) || is_sabotaged(Sabotage::release_overtakes_close);
    if (request->repeat_needed && !sent_once) {
        request->repeat_needed = false;
        request->repeat_not_before = now + kRepeatDelay;
        request->lease_since = now;
        result.proof = Proof::repeat_needed;
        if (now - *result.held_since > release_within_) result.history = history(key);
        return result;
    }
    request->entries.clear();
    result.proof = Proof::released;
    if (request->unusual || now - *result.held_since > release_within_) result.history = history(key);
    result.unanswered = std::move(request->unanswered);
    request->unanswered.clear();
    erase_if_done(key);
    return result;
}

void HoldLedger::assume_released(RequestKey key, AttemptId attempt) {
    Request* const request = find(key);
    if (request == nullptr) return;
    std::erase_if(request->entries, [attempt](const Entry& entry) { return entry.attempt == attempt; });
    erase_if_done(key);
}

HoldLedger::ReleaseResult HoldLedger::abandon(RequestKey key) {
    ReleaseResult result;
    Request* const request = find(key);
    if (request == nullptr) return result;
    result.held_since = request->lease_since;
    result.history = history(key);
    result.unanswered = std::move(request->unanswered);
    request->unanswered.clear();
    request->entries.clear();
    erase_if_done(key);
    return result;
}

// ---- for logs

std::string HoldLedger::history(RequestKey key) const {
    const Request* const request = find(key);
    if (request == nullptr || request->events.empty()) return "";
    const Instant start = request->events.front().at;
    std::string text;
    for (const Event& event : request->events) {
        const char* description = "";
        switch (event.kind) {
            case Event::Kind::prefill_started:
                description = "prefill at";
                break;
            case Event::Kind::hand_over_started:
                description = "hand-over at";
                break;
            case Event::Kind::answer_began:
                description = "answer began at";
                break;
            case Event::Kind::stream_began:
                description = "stream began at";
                break;
            case Event::Kind::attempt_ended:
                description = copperfront::text_of(event.ending);
                break;
            case Event::Kind::release_written:
                description = "release to";
                break;
            case Event::Kind::release_answered:
                description = "release answered by";
                break;
            case Event::Kind::release_answered_during_attempt:
                description = "release with an attempt out answered by";
                break;
        }
        char time_text[32];
        std::snprintf(time_text, sizeof time_text, "%.1f ", (event.at - start).ms());
        text += (text.empty() ? "" : "; ") + std::string(time_text) + description + " " +
                (name_of_ ? name_of_(event.server) : "#" + std::to_string(event.server)) + ", " +
                std::to_string(event.attempts_in_flight) + " out";
    }
    if (request->events_omitted > 0) {
        text += "; " + std::to_string(request->events_omitted) + " more";
    }
    return text;
}

}  // namespace copperfront
