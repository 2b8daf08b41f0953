// Releases of held state that are owed to model servers: each request's is sent until a server has answered
// it. Every server releases what is held for a request anywhere, so a release that is not answered soon goes
// to further servers beside the first, twice as many each time: most of a fleet may hang at once. Those that
// leave nothing else unanswered come first, and of them those that were heard from last.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/rules.h"
#include "core/send_guard.h"
#include "net/loop.h"

namespace copperfront {

using ReleaseCallId = std::uint64_t;  // one call of a release on a connection; 0: none

struct ReleaseOrder {
    // The read may yet leave a state, as its end was not heard; so it is sent once more a while later, and
    // first to another server than the one that was not heard.
    bool unsure = false;
    // Another attempt may follow at once, and what is sent now could take the state that it leaves.
    bool may_be_followed = false;
    // From when on the time runs in which it has to be released.
    Instant held_since;
};

class Releases {
  public:
    // Connections to servers, and what the gateway knows of the request.
    class Pool {
      public:
        virtual ~Pool() = default;
        virtual std::size_t server_count() const = 0;
        // Known, and neither gone nor removed.
        virtual bool is_reachable(ServerIndex server) const = 0;
        // When anything last came from it; zero: never.
        virtual Instant last_heard(ServerIndex server) const = 0;
        // It leaves something unanswered for so long that it may hang.
        virtual bool may_hang(ServerIndex server) const = 0;
        // 0: no connection is to be had now. `call_ended` follows otherwise, never from within this call.
        virtual ReleaseCallId start_release(ServerIndex server, const std::string& id) = 0;
        virtual void cancel_release(ReleaseCallId call) = 0;
        struct Use {
            bool attempt_in_flight = false, stream_begun = false;
        };
        // What is under way for this request now.
        virtual Use use_of(const std::string& id) const = 0;
        // The release was answered, or given up; either way after this time.
        virtual void release_over(const std::string& id, bool answered, Instant held_since) = 0;
        virtual SendGuard& guard() = 0;
    };
    struct Counts {
        std::uint64_t ordered = 0, repeated = 0, lost = 0;
    };

    Releases(Loop& loop, Pool& pool) : loop_(loop), pool_(pool) {}

    void order(ServerIndex server, const std::string& id, const ReleaseOrder& order);
    // A server has answered an attempt of this request: the time of what is held for it runs anew.
    void renew(const std::string& id);
    void call_ended(ReleaseCallId call, bool answered);
    // To be called often: sends what has become due.
    void look();

    // Those that wait for a server that hangs are not counted: they are sent only if it runs again.
    std::size_t owed() const;
    const Counts& counts() const { return counts_; }

  private:
    struct Call {
        ReleaseCallId id = 0;
        Instant since;
    };
    struct Release {
        std::string id;
        ServerIndex server = 0;  // that holds the state, or may
        Instant held_since, not_before, give_up_at, next_call_at;
        std::set<ServerIndex> told;
        std::vector<Call> calls;
        std::uint32_t tries = 0, calls_of_round = 1;
        bool unsure = false, over = false;
        // Its read may end yet at a server that has not been heard from since: once it is, it is told once
        // more.
        bool read_may_follow = false, parked = false;
        Instant ordered_at, parked_until;
    };

    void go_on(Release& release);
    // False: nothing more can be told now.
    bool tell_next_server(Release& release);
    bool is_better(ServerIndex candidate, ServerIndex than) const;
    void look_at_parked(Release& release);
    void drop_late_calls(Release& release);
    void finish(Release& release, bool answered);
    // False: there is no server to tell.
    bool next_server(Release& release, ServerIndex& server) const;

    Loop& loop_;
    Pool& pool_;
    std::deque<std::unique_ptr<Release>> owed_;
    Counts counts_;
};

}  // namespace copperfront
