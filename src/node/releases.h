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

#include "core/release_policy.h"
#include "core/rules.h"
#include "net/loop.h"
#include "node/late_reads.h"
#include "node/release_pool.h"

namespace copperfront {

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
    struct Counts {
        std::uint64_t ordered = 0, repeated = 0, lost = 0;
    };

    Releases(Loop& loop, ReleasePool& pool) : loop_(loop), pool_(pool), late_reads_(loop, pool) {}

    void order(ServerIndex server, const std::string& id, const ReleaseOrder& order);
    // A server has answered an attempt of this request: the time of what is held for it runs anew.
    void renew(const std::string& id);
    void call_ended(ReleaseCallId call, bool answered);
    // To be called often: sends what has become due.
    void look();

    // Reads that may end late at servers that hang are not counted: nothing may ever come of them.
    std::size_t owed() const { return owed_.size(); }
    std::size_t late_reads() const { return late_reads_.size(); }
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
        bool read_may_end_late = false;
        Instant ordered_at;
    };

    void go_on(Release& release);
    // False: nothing more can be told now.
    bool tell_next_server(Release& release);
    release_policy::Target target(ServerIndex server) const;
    void cancel_calls(Release& release);
    void drop_late_calls(Release& release);
    void finish(Release& release, bool answered);
    // False: there is no server to tell.
    bool next_server(Release& release, ServerIndex& server) const;

    Loop& loop_;
    ReleasePool& pool_;
    LateReads late_reads_;
    std::deque<std::unique_ptr<Release>> owed_;
    Counts counts_;
};

}  // namespace copperfront
