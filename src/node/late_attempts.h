// Follows attempts whose outcome is unknown at servers that have not been heard from since. Such a server may
// hang with the request in its socket or in progress, and a reset does not undo that. Once it runs again, a
// prefill attempt leaves a state that no request needs, and a decode attempt may have waited for a state
// until then, so that a release sent earlier has to be repeated. So a release is sent to the server until it
// answers, and again while the attempt may still end. Meanwhile releases go to another server, at intervals
// shorter than the time that a state may be held. A server that is no longer in the list, or is there with
// another address, may also still run. It cannot be reached, so only other servers are sent releases, for a
// limited time.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "core/hold_ledger.h"
#include "core/router.h"
#include "node/release_pool.h"

namespace copperfront {

class LateAttempts {
  public:
    LateAttempts(const Clock& clock, ReleaseHost& host) : clock_(clock), host_(host) {}

    struct FollowedAttempt {
        ServerIndex server = 0;
        RequestKey key = 0;
        std::string id;  // of the request
        bool prefill = false;
        Instant started;
    };
    // Starts to send releases for this attempt.
    void follow(const FollowedAttempt& attempt);
    // Returns false if the call is not one of a followed attempt.
    bool call_ended(ReleaseCallId call, bool answered);
    // Sends the releases that are due; to be called periodically.
    void send_due();
    std::size_t size() const { return attempts_.size(); }
    // Number of attempts that were not followed because of the limit on their number.
    std::uint64_t overflows() const { return overflows_; }

  private:
    struct Attempt {
        FollowedAttempt info;
        Instant follow_until, next_call_at, call_started;
        Instant removed_at;  // when its server was first found not to be at its address; zero: it is there
        ReleaseCallId call = 0;        // to its own server
        ReleaseCallId other_call = 0;  // to another one
        Instant next_other_call_at;
        std::uint32_t answers = 0;
    };
    void release_at_own_server(Attempt& attempt);
    void release_at_other_server(Attempt& attempt);
    bool find_other_server(ServerIndex excluded, ServerIndex& found) const;
    void cancel(ReleaseCallId& call);
    bool is_over(const Attempt& attempt) const;
    // Whether its server is still in the list, at the address to which the attempt was sent.
    bool is_at_same_address(const Attempt& attempt) const;
    void cancel_own_call(Attempt& attempt);
    void note_removal(Attempt& attempt);

    const Clock& clock_;
    ReleaseHost& host_;
    std::vector<Attempt> attempts_;
    std::unordered_set<ServerIndex> servers_called_;  // one call at a time to each
    std::uint64_t overflows_ = 0;
};

}  // namespace copperfront
