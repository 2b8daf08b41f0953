#include "node/late_attempts.h"

#include <algorithm>
#include <utility>

#include "core/release_policy.h"

namespace copperfront {

using namespace release_policy;

namespace {

constexpr std::size_t kMostAttempts = 1024;

}  // namespace

void LateAttempts::follow(const Followed& attempt) {
    if (attempts_.size() >= kMostAttempts) {
        ++overflows_;
        return;
    }
    Attempt made;
    made.what = attempt;
    made.until = clock_.now() + kFollowedAtMost;
    made.next_at = clock_.now();
    made.other_at = clock_.now() + kNextReleaseAfter;
    attempts_.push_back(std::move(made));
}

bool LateAttempts::is_over(const Attempt& attempt) const {
    const std::uint32_t most = attempt.what.prefill ? kMostAnswersOfPrefill : kMostAnswersOfHandOver;
    return attempt.answered >= most || clock_.now() > attempt.until;
}

bool LateAttempts::is_there(const Attempt& attempt) const {
    const ServerIndex server = attempt.what.server;
    return pool_.is_reachable(server) && !has_moved(attempt.what.started, pool_.address_since(server));
}

void LateAttempts::note_removal(Attempt& attempt) {
    if (is_there(attempt)) {
        attempt.removed_at = {};
    } else if (attempt.removed_at.us == 0) {
        attempt.removed_at = clock_.now();
        attempt.until = std::min(attempt.until, clock_.now() + kFollowedAfterRemoval);
    }
}

void LateAttempts::cancel(ReleaseCallId& call) {
    if (call != 0) pool_.cancel_release(std::exchange(call, 0));
}

void LateAttempts::stop_asking(Attempt& attempt) {
    if (attempt.call == 0) return;
    asked_.erase(attempt.what.server);
    cancel(attempt.call);
}

void LateAttempts::ask_its_server(Attempt& attempt) {
    const Instant now = clock_.now();
    if (attempt.call != 0 && now - attempt.asked_at >= kFollowedAnswerWithin) stop_asking(attempt);
    if (attempt.call != 0 || now < attempt.next_at || asked_.count(attempt.what.server) > 0) return;
    if (attempt.removed_at.us != 0) return;
    attempt.call = pool_.start_release(attempt.what.server, attempt.what.id);
    if (attempt.call != 0) asked_.insert(attempt.what.server);
    attempt.asked_at = now;
}

bool LateAttempts::find_another(ServerIndex than, ServerIndex& found) const {
    bool any = false;
    pool_.visit_by_last_heard([&](ServerIndex other) {
        if (other == than || !pool_.is_reachable(other) || pool_.may_hang(other)) return true;
        found = other;
        any = true;
        return false;
    });
    return any;
}

void LateAttempts::tell_another(Attempt& attempt) {
    if (clock_.now() < attempt.other_at) return;
    cancel(attempt.other_call);
    ServerIndex other = 0;
    if (find_another(attempt.what.server, other)) {
        attempt.other_call = pool_.start_release(other, attempt.what.id);
    }
    attempt.other_at = clock_.now() + kNextReleaseAfter;
}

void LateAttempts::look() {
    for (Attempt& attempt : attempts_) {
        if (is_over(attempt)) continue;
        note_removal(attempt);
        // What is sent now could take the state that another attempt leaves.
        if (pool_.ledger().is_attempt_out(attempt.what.key)) continue;
        ask_its_server(attempt);
        tell_another(attempt);
    }
    std::erase_if(attempts_, [this](Attempt& attempt) {
        const bool over = is_over(attempt);
        if (over) {
            stop_asking(attempt);
            cancel(attempt.other_call);
        }
        return over;
    });
}

bool LateAttempts::call_ended(ReleaseCallId call, bool answered) {
    const auto mine = std::find_if(attempts_.begin(), attempts_.end(), [call](const Attempt& attempt) {
        return attempt.call == call || attempt.other_call == call;
    });
    if (mine == attempts_.end()) return false;
    if (mine->other_call == call) {
        mine->other_call = 0;
        if (!answered) mine->other_at = std::min(mine->other_at, clock_.now() + kNextRoundAfter);
        return true;
    }
    mine->call = 0;
    asked_.erase(mine->what.server);
    if (!answered) {
        mine->next_at = clock_.now() + kAskAgainAfter;
        return true;
    }
    mine->next_at = clock_.now() + (mine->answered == 0 ? kFirstReleaseAfter : kNextReleaseAfter);
    ++mine->answered;
    // Another one only if it hangs again.
    mine->other_at = clock_.now() + kNextReleaseAfter;
    return true;
}

}  // namespace copperfront
