#include "node/releases.h"

#include <algorithm>
#include <utility>

#include "core/sabotage.h"

namespace copperfront {

using namespace release_policy;

Releases::Release* Releases::find(RequestKey key) {
    for (const auto& release : owed_) {
        if (release->key == key && !release->over) return release.get();
    }
    return nullptr;
}

std::size_t Releases::overdue() const {
    return static_cast<std::size_t>(std::count_if(owed_.begin(), owed_.end(), [this](const auto& release) {
        if (host_.ledger().entries(release->key).empty()) return false;
        return host_.guard().is_release_late(host_.ledger().held_since(release->key), clock_.now());
    }));
}

void Releases::order(const ReleaseOrder& order) {
    if (is_sabotaged(Sabotage::release_lost)) return;
    Release* release = find(order.key);
    if (release == nullptr) {
        owed_.push_back(std::make_unique<Release>());
        release = owed_.back().get();
        release->key = order.key;
        release->id = order.id;
        ++counts_.requested;
    }
    restart(*release);
    release->server = order.server;
    if (order.prefill_unanswered) release->notified.insert(order.server);
    if (order.request_open) release->not_before = clock_.now() + kDelayBeforeRelease;
    advance(*release);
}

void Releases::restart(Release& release) {
    release.notified.clear();
    release.calls_made = 0;
    release.round_size = 1;
    release.next_call_at = {};
    release.give_up_at = clock_.now() + kReleaseTimeout;
}

bool Releases::next_server(Release& release, ServerIndex& server) const {
    if (release.notified.count(release.server) == 0 && host_.is_reachable(release.server)) {
        server = release.server;
        return true;
    }
    for (const bool again : {false, true}) {
        if (again) release.notified.clear();
        if (best_server(release, server)) return true;
    }
    return false;
}

// Chooses among the servers that were not sent this release: one without unanswered messages before one that
// may hang, and among equals the one most recently heard from.
bool Releases::best_server(const Release& release, ServerIndex& server) const {
    bool found = false;
    host_.visit_by_last_heard([&](ServerIndex other) {
        if (!host_.is_reachable(other) || release.notified.count(other) > 0) return true;
        const bool responsive = !host_.may_hang(other);
        if (responsive || !found) server = other;
        found = true;
        return !responsive;
    });
    return found;
}

void Releases::advance(Release& release) {
    const Instant now = clock_.now();
    if (release.over || now < release.not_before || now < release.next_call_at) return;
    switch (host_.guard().may_release(host_.ledger(), release.key, now)) {
        case Denial::none:
            break;
        case Denial::nothing_held:
            release.over = true;
            return cancel_calls(release);
        default:
            release.give_up_at = now + kReleaseTimeout;
            return;
    }
    if (now > release.give_up_at) {
        ++counts_.abandoned;
        const HoldLedger::ReleaseResult result = host_.ledger().abandon(release.key);
        finish(release, result);
        return host_.release_abandoned(release.id, result);
    }
    send_round(release);
}

void Releases::send_round(Release& release) {
    const bool slow = release.calls_made >= kSlowRoundThreshold;
    const std::uint32_t max_calls = slow ? kCallsPerSlowRound : release.round_size;
    for (std::uint32_t n = 0; n < max_calls && release.calls.size() < kMaxConcurrentCalls; ++n) {
        if (!send_to_next_server(release)) break;
    }
    release.round_size *= 2;
    release.next_call_at = clock_.now() + (slow ? kNextSlowRoundDelay : kNextRoundDelay);
}

bool Releases::send_to_next_server(Release& release) {
    ServerIndex server = 0;
    if (!next_server(release, server)) return false;
    const ReleaseCallId call = host_.start_release(server, release.id);
    // No connection is available; the next periodic call tries again.
    if (call == 0) return false;
    host_.ledger().release_written(release.key, server, clock_.now());
    if (release.calls_made++ > 0) ++counts_.repeated;
    release.notified.insert(server);
    release.calls.push_back({call, server, clock_.now()});
    return true;
}

void Releases::call_ended(ReleaseCallId call, bool answered_well) {
    if (late_attempts_.call_ended(call, answered_well)) return;
    for (const auto& release : owed_) {
        const auto match = std::find_if(release->calls.begin(), release->calls.end(),
                                        [call](const Call& one) { return one.id == call; });
        if (match == release->calls.end()) continue;
        const Call ended = *match;
        release->calls.erase(match);
        if (answered_well) return handle_answer(*release, ended);
        if (release->calls_made < kSlowRoundThreshold) release->next_call_at = clock_.now();
        return;
    }
}

void Releases::handle_answer(Release& release, const Call& call) {
    const HoldLedger::ReleaseResult result =
        host_.ledger().release_answered(release.key, call.server, call.started_at, clock_.now());
    switch (result.proof) {
        case HoldLedger::Proof::nothing:
            return;
        case HoldLedger::Proof::lease_only:
        case HoldLedger::Proof::repeat_needed:
            cancel_calls(release);
            restart(release);
            break;
        case HoldLedger::Proof::released:
            finish(release, result);
            break;
    }
    host_.release_answered(release.id, result);
}

void Releases::cancel_calls(Release& release) {
    const std::vector<Call> calls = std::exchange(release.calls, {});
    for (const Call& call : calls) host_.cancel_release(call.id);
}

void Releases::finish(Release& release, const HoldLedger::ReleaseResult& result) {
    release.over = true;
    cancel_calls(release);
    if (is_sabotaged(Sabotage::late_attempts_not_followed)) return;
    for (const HoldLedger::UnansweredAttempt& attempt : result.unanswered) {
        const UnansweredAttemptServer server{
            .attempt_started = attempt.started,
            .attempt_ended = attempt.ended_at,
            .address_since = host_.address_since(attempt.server),
            .last_heard = host_.last_heard(attempt.server),
            .hung_until = host_.hung_until(attempt.server),
        };
        if (may_end_late(server)) {
            late_attempts_.follow(
                {attempt.server, release.key, release.id, attempt.prefill, attempt.started});
        }
    }
}

void Releases::drop_timed_out_calls(Release& release) {
    const Instant now = clock_.now();
    for (std::size_t n = 0; n < release.calls.size();) {
        if (now - release.calls[n].started_at < kReleaseCallTimeout) {
            ++n;
            continue;
        }
        const ReleaseCallId call = release.calls[n].id;
        release.calls.erase(release.calls.begin() + static_cast<std::ptrdiff_t>(n));
        host_.cancel_release(call);
    }
}

void Releases::send_due() {
    for (const auto& release : owed_) {
        drop_timed_out_calls(*release);
        advance(*release);
    }
    std::erase_if(owed_, [](const auto& release) { return release->over; });
    late_attempts_.send_due();
}

}  // namespace copperfront
