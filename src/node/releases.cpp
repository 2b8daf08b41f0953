#include "node/releases.h"

#include <algorithm>
#include <utility>

#include "core/release_policy.h"

namespace copperfront {

using namespace release_policy;

namespace {

constexpr std::size_t kMostOwed = 10000;

}  // namespace

void Releases::order(ServerIndex server, const std::string& id, const ReleaseOrder& order) {
    if (owed_.size() >= kMostOwed) {
        ++counts_.lost;
        return;
    }
    auto release = std::make_unique<Release>();
    release->id = id;
    release->server = server;
    release->unsure = release->read_may_end_late = order.unsure;
    release->held_since = order.held_since;
    if (order.unsure) release->told.insert(server);
    if (order.may_be_followed) release->not_before = loop_.now() + kBeforeFollowing;
    release->ordered_at = loop_.now();
    release->give_up_at = loop_.now() + kGiveUpAfter;
    ++counts_.ordered;
    owed_.push_back(std::move(release));
    go_on(*owed_.back());
}

void Releases::renew(const std::string& id) {
    for (const auto& release : owed_) {
        if (release->id == id) release->held_since = loop_.now();
    }
}

bool Releases::next_server(Release& release, ServerIndex& server) const {
    if (release.told.count(release.server) == 0 && pool_.is_reachable(release.server)) {
        server = release.server;
        return true;
    }
    for (const bool again : {false, true}) {
        if (again) release.told.clear();
        bool found = false;
        for (ServerIndex other = 0; other < pool_.server_count(); ++other) {
            if (!pool_.is_reachable(other) || release.told.count(other) > 0) continue;
            if (found && !is_better(target(other), target(server))) continue;
            server = other;
            found = true;
        }
        if (found) return true;
    }
    return false;
}

Target Releases::target(ServerIndex server) const {
    return {pool_.may_hang(server), pool_.last_heard(server)};
}

void Releases::go_on(Release& release) {
    const Instant now = loop_.now();
    if (release.over || now < release.not_before || now < release.next_call_at) return;
    if (release.calls.size() >= kMostCallsAtOnce) return;
    const ReleasePool::Use use = pool_.use_of(release.id);
    SendGuard::Release facts;
    facts.attempt_in_flight = use.attempt_in_flight;
    facts.stream_begun = use.stream_begun;
    facts.now = now;
    facts.lease_end = pool_.guard().state_lease_end(release.held_since);
    if (pool_.guard().may_release(facts) != Denial::none) {
        release.give_up_at = now + kGiveUpAfter;
        // Its server runs and has the request: the time stands still until the stream has ended.
        if (facts.stream_begun) release.held_since = now;
        return;
    }
    if (release.tries >= kMostTries || now > release.give_up_at) return finish(release, false);
    for (std::uint32_t n = 0; n < release.calls_of_round; ++n) {
        if (release.calls.size() >= kMostCallsAtOnce || !tell_next_server(release)) break;
    }
    if (release.over) return;
    release.calls_of_round *= 2;
    release.next_call_at = now + kNextRoundAfter;
}

bool Releases::tell_next_server(Release& release) {
    ServerIndex server = 0;
    if (!next_server(release, server)) {
        finish(release, false);
        return false;
    }
    const ReleaseCallId call = pool_.start_release(server, release.id);
    // No connection is to be had; it is looked at again soon.
    if (call == 0) return false;
    if (release.tries++ > 0) ++counts_.repeated;
    release.told.insert(server);
    release.calls.push_back({call, loop_.now()});
    return true;
}

void Releases::call_ended(ReleaseCallId call, bool answered) {
    if (late_reads_.call_ended(call, answered)) return;
    for (const auto& release : owed_) {
        const auto mine = std::find_if(release->calls.begin(), release->calls.end(),
                                       [call](const Call& one) { return one.id == call; });
        if (mine == release->calls.end()) continue;
        release->calls.erase(mine);
        if (!answered) {
            release->next_call_at = loop_.now();
            return;
        }
        if (!release->unsure) return finish(*release, true);
        // Against a read that ends well after all, just as its connection closed or broke.
        release->unsure = false;
        cancel_calls(*release);
        release->not_before = loop_.now() + kUnsureAgainAfter;
        release->calls_of_round = 1;
        release->told.clear();
        return;
    }
}

void Releases::cancel_calls(Release& release) {
    const std::vector<Call> calls = std::exchange(release.calls, {});
    for (const Call& call : calls) pool_.cancel_release(call.id);
}

void Releases::finish(Release& release, bool answered) {
    release.over = true;
    if (!answered) ++counts_.lost;
    cancel_calls(release);
    const bool silent_since = pool_.last_heard(release.server) <= release.ordered_at;
    if (release.read_may_end_late && silent_since && pool_.is_reachable(release.server)) {
        late_reads_.follow(release.server, release.id);
    }
    pool_.release_over(release.id, answered, release.held_since);
}

void Releases::drop_late_calls(Release& release) {
    const Instant now = loop_.now();
    for (std::size_t n = 0; n < release.calls.size();) {
        if (now - release.calls[n].since < kAnswerWithin) {
            ++n;
            continue;
        }
        const ReleaseCallId call = release.calls[n].id;
        release.calls.erase(release.calls.begin() + static_cast<std::ptrdiff_t>(n));
        pool_.cancel_release(call);
    }
}

void Releases::look() {
    for (const auto& release : owed_) {
        drop_late_calls(*release);
        go_on(*release);
    }
    std::erase_if(owed_, [](const auto& release) { return release->over; });
    late_reads_.look();
}

}  // namespace copperfront
