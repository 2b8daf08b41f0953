#include "hold_ledger.h"

#include <algorithm>
#include <cstdio>

#include "sabotage.h"
#include "send_guard.h"

namespace copperfront {
namespace {

// Of the time in which a held state has to be released: the part after which it is, so that the rest is left
// for releases that meet servers which hang, and for a gateway that is held up.
constexpr double kLeasePart = 0.7;
// After an attempt that was not heard to end a release is told twice, so far apart: a prefill may end well
// just as its connection is closed, and a server may read the release before the close.
constexpr Span kOnceMoreAfter{250000};
constexpr std::size_t kMostRequests = 100000;
constexpr std::size_t kMostEvents = 40;

bool is_heard(Ending ending) {
    return ending == Ending::settled || ending == Ending::error || ending == Ending::full ||
           ending == Ending::read;
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

void HoldLedger::note(Request& request, Instant at, Event::Kind kind, ServerIndex server, Ending ending) {
    if (request.events.size() >= kMostEvents) {
        ++request.events_left_out;
        return;
    }
    request.events.push_back({at, kind, ending, server, static_cast<std::uint32_t>(request.out.size())});
}

// ---- attempts

void HoldLedger::attempt_started(RequestKey key, AttemptId attempt, ServerIndex server, bool prefill,
                                 Instant now) {
    if (requests_.size() >= kMostRequests && find(key) == nullptr) {
        ++overflows_;
        return;
    }
    Request& request = requests_[key];
    request.out.push_back({attempt, server, prefill, now, {}});
    note(request, now, prefill ? Event::Kind::prefill_started : Event::Kind::hand_over_started, server);
}

void HoldLedger::answer_began(RequestKey key, AttemptId attempt, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (Attempt& mine : request->out) {
        if (mine.id != attempt || mine.answer_began.us != 0) continue;
        mine.answer_began = now;
        note(*request, now, Event::Kind::answer_began, mine.server);
    }
}

void HoldLedger::stream_began(RequestKey key, AttemptId attempt, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (const Attempt& mine : request->out) {
        if (mine.id == attempt) note(*request, now, Event::Kind::stream_began, mine.server);
    }
    std::erase_if(request->entries,
                  [](const Entry& entry) { return entry.reason == HoldReason::prefill_answered; });
    // The attempt has been heard from, so the time rests until its end.
    request->lease_released = true;
}

void HoldLedger::attempt_over(RequestKey key, AttemptId attempt, Ending ending, Instant now) {
    Request* const request = find(key);
    if (request == nullptr) return;
    const auto it = std::find_if(request->out.begin(), request->out.end(),
                                 [attempt](const Attempt& mine) { return mine.id == attempt; });
    if (it == request->out.end()) return;
    const Attempt mine = *it;
    request->out.erase(it);
    note(*request, now, Event::Kind::attempt_over, mine.server, ending);
    if (!never_sent(ending)) request->last_over = now;
    if (is_heard(ending)) heard_end(*request, now);
    if (!is_heard(ending) && !never_sent(ending)) unheard_end(*request, mine, now);
    if (mine.prefill && ending == Ending::read) hold(*request, mine, HoldReason::prefill_answered, now);
    const bool lost = ending == Ending::broken || ending == Ending::error;
    const bool not_awaited = ending == Ending::late || ending == Ending::retracted;
    if (mine.prefill && (lost || not_awaited)) {
        const bool began = mine.answer_began.us != 0;
        hold(*request, mine,
             began  ? HoldReason::answer_began
             : lost ? HoldReason::answer_lost
                    : HoldReason::prefill_not_awaited,
             began ? mine.answer_began : now);
    }
    if (ending == Ending::settled) {
        std::erase_if(request->entries,
                      [](const Entry& entry) { return entry.reason == HoldReason::prefill_answered; });
    }
    drop_if_settled(key);
}

void HoldLedger::hold(Request& request, const Attempt& attempt, HoldReason reason, Instant since) {
    if (request.entries.empty()) {
        request.lease_since = since;
        request.lease_released = false;
    }
    if (!request.lease_released) request.lease_since = std::min(request.lease_since, since);
    request.entries.push_back({attempt.server, attempt.id, reason, since, false});
}

// An answer proves that the attempt had arrived, so the time starts again in full.
void HoldLedger::heard_end(Request& request, Instant now) {
    request.lease_since = now;
    request.lease_released = false;
}

// If it had arrived, the time starts again now. If it had not, the lease that runs goes on, and once it has
// been released at its end there is nothing left to run for but the other case.
void HoldLedger::unheard_end(Request& request, const Attempt& attempt, Instant now) {
    if (request.lease_released) {
        request.lease_since = now;
        request.lease_released = false;
    }
    request.quiet_from = std::max(request.quiet_from, now + SendGuard::close_travel_time());
    request.once_more = true;
    request.unheard.push_back({attempt.server, attempt.prefill, attempt.started, now});
}

void HoldLedger::drop_if_settled(RequestKey key) {
    const auto it = requests_.find(key);
    if (it != requests_.end() && it->second.entries.empty() && it->second.out.empty()) requests_.erase(it);
}

// ---- what is held

const std::vector<HoldLedger::Entry>& HoldLedger::entries(RequestKey key) const {
    static const std::vector<Entry> none;
    const Request* const request = find(key);
    return request != nullptr ? request->entries : none;
}

bool HoldLedger::is_attempt_out(RequestKey key) const {
    const Request* const request = find(key);
    return request != nullptr && !request->out.empty();
}

Instant HoldLedger::held_since(RequestKey key) const {
    const Request* const request = find(key);
    return request != nullptr ? request->lease_since : Instant{};
}

Instant HoldLedger::lease_end(RequestKey key) const { return held_since(key) + release_within_ * kLeasePart; }

// ---- releases

void HoldLedger::want_release(RequestKey key, AttemptId attempt) {
    Request* const request = find(key);
    if (request == nullptr) return;
    for (Entry& entry : request->entries) entry.wanted = entry.wanted || entry.attempt == attempt;
}

HoldLedger::Need HoldLedger::need_of_release(RequestKey key, Instant now) const {
    const Request* const request = find(key);
    if (request == nullptr || request->entries.empty()) return Need::nothing;
    const bool all_wanted = std::all_of(request->entries.begin(), request->entries.end(),
                                        [](const Entry& entry) { return entry.wanted; });
    if (!request->out.empty() || !all_wanted) {
        const bool leased = request->lease_released || !has_lease() || now < lease_end(key) ||
                            is_sabotaged(Sabotage::lease_never_ends);
        return leased ? Need::not_yet : Need::due;
    }
    const bool overtakes = is_sabotaged(Sabotage::release_overtakes_close);
    if (now < request->quiet_from && !overtakes) return Need::close_sent;
    return now < request->not_before ? Need::not_yet : Need::due;
}

void HoldLedger::release_written(RequestKey key, ServerIndex to, Instant now) {
    if (Request* const request = find(key)) note(*request, now, Event::Kind::release_written, to);
}

HoldLedger::ReleaseResult HoldLedger::release_answered(RequestKey key, ServerIndex by, Instant written,
                                                       Instant now) {
    ReleaseResult result;
    Request* const request = find(key);
    if (request == nullptr) {
        result.proof = Proof::let_go;
        return result;
    }
    // A later request under the same key, which holds nothing yet, or nothing any more: this says nothing of
    // it.
    if (request->entries.empty()) return result;
    // At any time between its writing and its answer.
    const bool attempt_was_out =
        (!request->out.empty() || written < request->quiet_from || written < request->last_over) &&
        !is_sabotaged(Sabotage::release_counts_while_waiting);
    result.held_since = request->lease_since;
    if (attempt_was_out) {
        note(*request, now, Event::Kind::release_proves_nothing, by);
        request->unusual = true;
        if (request->lease_released || written < lease_end(key)) return result;
        // An attempt that was not heard to end may still leave something, so it goes on with another lease.
        request->lease_released = request->unheard.empty();
        if (!request->lease_released) request->lease_since = now;
        if (is_sabotaged(Sabotage::lease_release_ends_hold)) request->entries.clear();
        result.proof = Proof::lease_only;
        if (now - *result.held_since > release_within_) result.history = history(key);
        return result;
    }
    note(*request, now, Event::Kind::release_answered, by);
    const bool told_once =
        is_sabotaged(Sabotage::release_told_once) || is_sabotaged(Sabotage::release_overtakes_close);
    if (request->once_more && !told_once) {
        request->once_more = false;
        request->not_before = now + kOnceMoreAfter;
        request->lease_since = now;
        result.proof = Proof::once_more;
        if (now - *result.held_since > release_within_) result.history = history(key);
        return result;
    }
    request->entries.clear();
    result.proof = Proof::let_go;
    if (request->unusual || now - *result.held_since > release_within_) result.history = history(key);
    result.unheard = std::move(request->unheard);
    request->unheard.clear();
    drop_if_settled(key);
    return result;
}

void HoldLedger::assume_released(RequestKey key, AttemptId attempt) {
    Request* const request = find(key);
    if (request == nullptr) return;
    std::erase_if(request->entries, [attempt](const Entry& entry) { return entry.attempt == attempt; });
    drop_if_settled(key);
}

HoldLedger::ReleaseResult HoldLedger::give_up(RequestKey key) {
    ReleaseResult result;
    Request* const request = find(key);
    if (request == nullptr) return result;
    result.held_since = request->lease_since;
    result.history = history(key);
    result.unheard = std::move(request->unheard);
    request->unheard.clear();
    request->entries.clear();
    drop_if_settled(key);
    return result;
}

// ---- for logs

std::string HoldLedger::history(RequestKey key) const {
    const Request* const request = find(key);
    if (request == nullptr || request->events.empty()) return "";
    const Instant start = request->events.front().at;
    std::string text;
    for (const Event& event : request->events) {
        const char* what = "";
        switch (event.kind) {
            case Event::Kind::prefill_started:
                what = "prefill at";
                break;
            case Event::Kind::hand_over_started:
                what = "hand-over at";
                break;
            case Event::Kind::answer_began:
                what = "answer began at";
                break;
            case Event::Kind::stream_began:
                what = "stream began at";
                break;
            case Event::Kind::attempt_over:
                what = copperfront::text_of(event.ending);
                break;
            case Event::Kind::release_written:
                what = "release to";
                break;
            case Event::Kind::release_answered:
                what = "release answered by";
                break;
            case Event::Kind::release_proves_nothing:
                what = "release with an attempt out answered by";
                break;
        }
        char when[32];
        std::snprintf(when, sizeof when, "%.1f ", (event.at - start).ms());
        text += (text.empty() ? "" : "; ") + std::string(when) + what + " " +
                (name_of_ ? name_of_(event.server) : "#" + std::to_string(event.server)) + ", " +
                std::to_string(event.attempts_out) + " out";
    }
    if (request->events_left_out > 0) {
        text += "; " + std::to_string(request->events_left_out) + " more";
    }
    return text;
}

}  // namespace copperfront
