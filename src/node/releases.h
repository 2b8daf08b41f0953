// A prefill leaves a state (the KV cache of the prompt) on its server, which holds it until a decode attempt
// takes it (the hand-over) or a release frees it. The ledger (core/hold_ledger.h) records which states may be
// held, and since when; a release is owed for those that no attempt will take any more or whose lease has
// ended.
//
// Sends the releases that are owed according to the ledger, until the answer of a running server proves that
// nothing is held any more. Every server releases what is held for a request anywhere, so a release that is
// not answered soon is also sent to further servers, twice as many in each round: most of a fleet may hang at
// once. Servers without other unanswered messages come first, and of them the most recently heard from.
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
#include "core/router.h"
#include "node/late_attempts.h"
#include "node/release_pool.h"

namespace copperfront {

struct ReleaseOrder {
    RequestKey key = 0;
    std::string id;          // of the request, as servers know it
    ServerIndex server = 0;  // that holds or may hold the state
    // The end of the prefill was not received from its server, so the release is sent to another one first.
    bool prefill_unanswered = false;
    // The request is still open: another attempt may start at once, and a release that is sent now could
    // remove the state that it leaves, so the release is delayed.
    bool request_open = false;
};

class Releases {
  public:
    struct Counts {
        std::uint64_t requested = 0, repeated = 0, abandoned = 0;
    };

    Releases(const Clock& clock, ReleaseHost& host)
        : clock_(clock), host_(host), late_attempts_(clock, host) {}

    void order(const ReleaseOrder& order);
    void call_ended(ReleaseCallId call, bool answered);
    // Sends the releases that are due; to be called periodically.
    void send_due();

    // Does not count the late attempts of hanging servers, as they may never run.
    std::size_t owed() const { return owed_.size(); }
    // The owed releases whose time limit has passed.
    std::size_t overdue() const;
    const LateAttempts& late_attempts() const { return late_attempts_; }
    const Counts& counts() const { return counts_; }

  private:
    struct Call {
        ReleaseCallId id = 0;
        ServerIndex server = 0;
        Instant started_at;  // its bytes are written a little later if its connection had to be made
    };
    struct Release {
        RequestKey key = 0;
        std::string id;
        ServerIndex server = 0;
        Instant not_before, give_up_at, next_call_at;
        std::set<ServerIndex> notified;
        std::vector<Call> calls;
        std::uint32_t calls_made = 0, round_size = 1;
        bool over = false;
    };

    Release* find(RequestKey key);
    void advance(Release& release);
    void send_round(Release& release);
    // Returns false if no further release can be sent now.
    bool send_to_next_server(Release& release);
    bool best_server(const Release& release, ServerIndex& server) const;
    void restart(Release& release);
    void handle_answer(Release& release, const Call& call);
    void cancel_calls(Release& release);
    void drop_timed_out_calls(Release& release);
    void finish(Release& release, const HoldLedger::ReleaseResult& result);
    // Returns false if there is no server to send it to.
    bool next_server(Release& release, ServerIndex& server) const;

    const Clock& clock_;
    ReleaseHost& host_;
    LateAttempts late_attempts_;
    std::deque<std::unique_ptr<Release>> owed_;
    Counts counts_;
};

}  // namespace copperfront
