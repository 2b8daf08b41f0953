#include "node/late_reads.h"

#include <algorithm>
#include <utility>

#include "core/release_policy.h"

namespace copperfront {

using namespace release_policy;

namespace {

constexpr std::size_t kMostReads = 256;

}  // namespace

void LateReads::follow(ServerIndex server, const std::string& id) {
    if (reads_.size() >= kMostReads) return;
    Read read;
    read.server = server;
    read.id = id;
    read.until = loop_.now() + kFollowedAtMost;
    read.next_at = loop_.now();
    read.other_at = loop_.now() + kNextReleaseAfter;
    reads_.push_back(std::move(read));
}

bool LateReads::server_is_being_asked(ServerIndex server) const {
    return std::any_of(reads_.begin(), reads_.end(),
                       [server](const Read& read) { return read.call != 0 && read.server == server; });
}

bool LateReads::is_over(const Read& read) const {
    return read.answered >= kMostAnswers || loop_.now() > read.until || !pool_.is_reachable(read.server);
}

void LateReads::cancel(ReleaseCallId& call) {
    if (call != 0) pool_.cancel_release(std::exchange(call, 0));
}

void LateReads::ask_its_server(Read& read) {
    const Instant now = loop_.now();
    if (read.call != 0 && now - read.asked_at >= kFollowedAnswerWithin) cancel(read.call);
    if (read.call != 0 || now < read.next_at || server_is_being_asked(read.server)) return;
    read.call = pool_.start_release(read.server, read.id);
    read.asked_at = now;
}

bool LateReads::find_another(ServerIndex than, ServerIndex& found) const {
    bool any = false;
    for (ServerIndex other = 0; other < pool_.server_count(); ++other) {
        if (other == than || !pool_.is_reachable(other) || pool_.may_hang(other)) continue;
        const Target candidate{false, pool_.last_heard(other)};
        if (any && !is_better(candidate, {false, pool_.last_heard(found)})) continue;
        found = other;
        any = true;
    }
    return any;
}

void LateReads::tell_another(Read& read) {
    if (read.answered > 0 || loop_.now() < read.other_at) return;
    cancel(read.other_call);
    ServerIndex other = 0;
    if (find_another(read.server, other)) read.other_call = pool_.start_release(other, read.id);
    read.other_at = loop_.now() + kNextReleaseAfter;
}

void LateReads::look() {
    for (Read& read : reads_) {
        if (is_over(read)) continue;
        // What is sent now could take the state that another attempt leaves.
        if (pool_.use_of(read.id).attempt_in_flight) continue;
        ask_its_server(read);
        tell_another(read);
    }
    std::erase_if(reads_, [this](Read& read) {
        const bool over = is_over(read);
        if (over) {
            cancel(read.call);
            cancel(read.other_call);
        }
        return over;
    });
}

bool LateReads::call_ended(ReleaseCallId call, bool answered) {
    const auto mine = std::find_if(reads_.begin(), reads_.end(), [call](const Read& read) {
        return read.call == call || read.other_call == call;
    });
    if (mine == reads_.end()) return false;
    if (mine->other_call == call) {
        mine->other_call = 0;
        return true;
    }
    mine->call = 0;
    if (!answered) {
        mine->next_at = loop_.now() + kAskAgainAfter;
        return true;
    }
    mine->next_at = loop_.now() + (mine->answered == 0 ? kFirstReleaseAfter : kNextReleaseAfter);
    ++mine->answered;
    return true;
}

}  // namespace copperfront
