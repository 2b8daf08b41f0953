// Sends the releases that the ledger says are owed, until a running server's answer has proved that nothing
// is held any more. Every server releases what is held for a request anywhere, so a release that is not
// answered soon goes to further servers beside the first, twice as many each time: most of a fleet may hang
// at once. Those that leave nothing else unanswered come first, and of them those that were heard from last.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/hold_ledger.h"
#include "core/release_policy.h"
#include "core/rules.h"
#include "node/late_attempts.h"
#include "node/release_pool.h"

namespace copperfront {

struct ReleaseOrder {
    RequestKey key = 0;
    std::string id;          // of the request, as servers know it
    ServerIndex server = 0;  // that holds the state, or may
    // Its server was not heard to end the prefill, so another one is told first.
    bool unheard = false;
    // Another attempt may follow at once, and what is sent now could take the state that it leaves.
    bool may_be_followed = false;
};

class Releases {
  public:
    struct Counts {
        std::uint64_t ordered = 0, repeated = 0, lost = 0;
    };

    Releases(const Clock& clock, ReleasePool& pool)
        : clock_(clock), pool_(pool), late_attempts_(clock, pool) {}

    void order(const ReleaseOrder& order);
    void call_ended(ReleaseCallId call, bool answered);
    // To be called often: sends what has become due.
    void look();

    // Attempts that servers which hang may take up late are not counted: nothing may ever come of them.
    std::size_t owed() const { return owed_.size(); }
    // Of these, the ones whose time is over.
    std::size_t overdue() const;
    const LateAttempts& late_attempts() const { return late_attempts_; }
    const Counts& counts() const { return counts_; }

  private:
    struct Call {
        ReleaseCallId id = 0;
        ServerIndex server = 0;
        Instant written;  // or a little later, if its connection had to be made
    };
    struct Release {
        RequestKey key = 0;
        std::string id;
        ServerIndex server = 0;
        Instant not_before, give_up_at, next_call_at;
        std::set<ServerIndex> told;
        std::vector<Call> calls;
        std::uint32_t tries = 0, calls_of_round = 1;
        bool over = false;
    };

    Release* find(RequestKey key);
    void go_on(Release& release);
    void tell_round(Release& release);
    // False: nothing more can be told now.
    bool tell_next_server(Release& release);
    bool best_server(const Release& release, ServerIndex& server) const;
    void start_over(Release& release);
    void answered(Release& release, const Call& call);
    void cancel_calls(Release& release);
    void drop_late_calls(Release& release);
    void finish(Release& release, const HoldLedger::ReleaseResult& result);
    // False: there is no server to tell.
    bool next_server(Release& release, ServerIndex& server) const;

    const Clock& clock_;
    ReleasePool& pool_;
    LateAttempts late_attempts_;
    std::deque<std::unique_ptr<Release>> owed_;
    Counts counts_;
};

}  // namespace copperfront
