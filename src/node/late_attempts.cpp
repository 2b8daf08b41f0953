#include "node/late_attempts.h"

#include <algorithm>
#include <utility>

#include "core/release_policy.h"

namespace copperfront {

using namespace release_policy;

namespace {

constexpr std::size_t kMaxAttempts = 1024;

}  // namespace

void LateAttempts::follow(const FollowedAttempt& attempt) {
    if (attempts_.size() >= kMaxAttempts) {
        ++overflows_;
        return;
    }
    Attempt added;
    added.info = attempt;
    added.follow_until = clock_.now() + kMaxFollowTime;
    added.next_call_at = clock_.now();
    added.next_other_call_at = clock_.now() + kNextReleaseDelay;
    attempts_.push_back(std::move(added));
}

bool LateAttempts::is_over(const Attempt& attempt) const {
    const std::uint32_t max_answers = attempt.info.prefill ? kMaxPrefillAnswers : kMaxHandOverAnswers;
    return attempt.answers >= max_answers || clock_.now() > attempt.follow_until;
}

bool LateAttempts::is_at_same_address(const Attempt& attempt) const {
    const ServerIndex server = attempt.info.server;
    return host_.is_reachable(server) && !has_moved(attempt.info.started, host_.address_since(server));
}

void LateAttempts::note_removal(Attempt& attempt) {
    if (is_at_same_address(attempt)) {
        attempt.removed_at = {};
    } else if (attempt.removed_at.us == 0) {
        attempt.removed_at = clock_.now();
        attempt.follow_until = std::min(attempt.follow_until, clock_.now() + kMaxFollowTimeAfterRemoval);
    }
}

void LateAttempts::cancel(ReleaseCallId& call) {
    if (call != 0) host_.cancel_release(std::exchange(call, 0));
}

void LateAttempts::cancel_own_call(Attempt& attempt) {
    if (attempt.call == 0) return;
    servers_called_.erase(attempt.info.server);
    cancel(attempt.call);
}

void LateAttempts::release_at_own_server(Attempt& attempt) {
    const Instant now = clock_.now();
    if (attempt.call != 0 && now - attempt.call_started >= kFollowCallTimeout) cancel_own_call(attempt);
    if (attempt.call != 0 || now < attempt.next_call_at || servers_called_.count(attempt.info.server) > 0) {
        return;
    }
    if (attempt.removed_at.us != 0) return;
    attempt.call = host_.start_release(attempt.info.server, attempt.info.id);
    if (attempt.call != 0) servers_called_.insert(attempt.info.server);
    attempt.call_started = now;
}

bool LateAttempts::find_other_server(ServerIndex excluded, ServerIndex& found) const {
    bool any = false;
    host_.visit_by_last_heard([&](ServerIndex other) {
        if (other == excluded || !host_.is_reachable(other) || host_.may_hang(other)) return true;
        found = other;
        any = true;
        return false;
    });
    return any;
}

void LateAttempts::release_at_other_server(Attempt& attempt) {
    if (clock_.now() < attempt.next_other_call_at) return;
    cancel(attempt.other_call);
    ServerIndex other = 0;
    if (find_other_server(attempt.info.server, other)) {
        attempt.other_call = host_.start_release(other, attempt.info.id);
    }
    attempt.next_other_call_at = clock_.now() + kNextReleaseDelay;
}

void LateAttempts::send_due() {
    for (Attempt& attempt : attempts_) {
        if (is_over(attempt)) continue;
        note_removal(attempt);
        // A release that is sent now could remove the state that another attempt leaves.
        if (host_.ledger().has_attempt_in_flight(attempt.info.key)) continue;
        release_at_own_server(attempt);
        release_at_other_server(attempt);
    }
    std::erase_if(attempts_, [this](Attempt& attempt) {
        const bool over = is_over(attempt);
        if (over) {
            cancel_own_call(attempt);
            cancel(attempt.other_call);
        }
        return over;
    });
}

bool LateAttempts::call_ended(ReleaseCallId call, bool answered) {
    const auto match = std::find_if(attempts_.begin(), attempts_.end(), [call](const Attempt& attempt) {
        return attempt.call == call || attempt.other_call == call;
    });
    if (match == attempts_.end()) return false;
    if (match->other_call == call) {
        match->other_call = 0;
        if (!answered) {
            match->next_other_call_at = std::min(match->next_other_call_at, clock_.now() + kNextRoundDelay);
        }
        return true;
    }
    match->call = 0;
    servers_called_.erase(match->info.server);
    if (!answered) {
        match->next_call_at = clock_.now() + kFollowRetryDelay;
        return true;
    }
    match->next_call_at = clock_.now() + (match->answers == 0 ? kFirstReleaseDelay : kNextReleaseDelay);
    ++match->answers;
    // Other servers are needed only if this one hangs again, so each of its answers postpones the release to
    // another server by kNextReleaseDelay.
    match->next_other_call_at = clock_.now() + kNextReleaseDelay;
    return true;
}

}  // namespace copperfront
