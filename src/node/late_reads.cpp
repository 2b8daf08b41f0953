#include "node/late_reads.h"

#include <algorithm>
#include <utility>

namespace copperfront {
namespace {

constexpr std::size_t kMostReads = 256;
constexpr Span kFollowedAtMost{10000000};
constexpr Span kAnswerWithin{600000};   // else it is asked on another connection: this one may be silent
constexpr Span kAskAgainAfter{500000};  // where the connection failed, or the request is being tried anew
// Once its server answers, the prefill may take a while: a release after the first time, and then in steps
// that are shorter than a state may be held.
constexpr Span kFirstReleaseAfter{250000}, kNextReleaseAfter{900000};
constexpr std::uint32_t kMostAnswers = 4;

}  // namespace

void LateReads::follow(ServerIndex server, const std::string& id) {
    if (reads_.size() >= kMostReads) return;
    Read read;
    read.server = server;
    read.id = id;
    read.until = loop_.now() + kFollowedAtMost;
    read.next_at = loop_.now();
    reads_.push_back(std::move(read));
}

bool LateReads::server_is_being_asked(ServerIndex server) const {
    return std::any_of(reads_.begin(), reads_.end(),
                       [server](const Read& read) { return read.call != 0 && read.server == server; });
}

bool LateReads::is_over(const Read& read) const {
    return read.answered >= kMostAnswers || loop_.now() > read.until || !pool_.is_reachable(read.server);
}

void LateReads::look() {
    for (Read& read : reads_) {
        if (read.call != 0 && loop_.now() - read.asked_at >= kAnswerWithin) {
            pool_.cancel_release(std::exchange(read.call, 0));
        }
        if (is_over(read) || read.call != 0 || loop_.now() < read.next_at) continue;
        // What is sent now could take the state that another attempt leaves.
        if (pool_.use_of(read.id).attempt_in_flight) {
            read.next_at = loop_.now() + kAskAgainAfter;
            continue;
        }
        if (server_is_being_asked(read.server)) continue;
        read.call = pool_.start_release(read.server, read.id);
        read.asked_at = loop_.now();
    }
    std::erase_if(reads_, [this](const Read& read) {
        const bool over = is_over(read);
        if (over && read.call != 0) pool_.cancel_release(read.call);
        return over;
    });
}

bool LateReads::call_ended(ReleaseCallId call, bool answered) {
    const auto mine =
        std::find_if(reads_.begin(), reads_.end(), [call](const Read& read) { return read.call == call; });
    if (mine == reads_.end()) return false;
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
