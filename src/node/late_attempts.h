// Attempts that ended unheard at servers which have not been heard from since. Such a server may hang with
// the call in its socket, or in hand: a reset does not take that back. Once it runs again a prefill leaves a
// state that nobody wants, and a hand-over has waited for one up to then. So the server is asked with a
// release until it answers, and told again while the attempt may still end; meanwhile another server is told
// in steps shorter than a state may be held. A server that the list no longer has, or has at another address,
// may run on as well; it can't be asked, so others are told for a while.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "core/hold_ledger.h"
#include "core/rules.h"
#include "node/release_pool.h"

namespace copperfront {

class LateAttempts {
  public:
    LateAttempts(const Clock& clock, ReleasePool& pool) : clock_(clock), pool_(pool) {}

    struct Followed {
        ServerIndex server = 0;
        RequestKey key = 0;
        std::string id;  // of the request
        bool prefill = false;
        Instant started;
    };
    void follow(const Followed& attempt);
    // False: the call is none of these.
    bool call_ended(ReleaseCallId call, bool answered);
    // To be called often: sends what has become due.
    void look();
    std::size_t size() const { return attempts_.size(); }
    // Attempts that were not followed because there were too many.
    std::uint64_t overflows() const { return overflows_; }

  private:
    struct Attempt {
        Followed what;
        Instant until, next_at, asked_at;
        Instant removed_at;      // when its server was first seen not to be there any more; zero: it is there
        ReleaseCallId call = 0;  // to its own server
        ReleaseCallId other_call = 0;  // to another one
        Instant other_at;
        std::uint32_t answered = 0;
    };
    void ask_its_server(Attempt& attempt);
    void tell_another(Attempt& attempt);
    bool find_another(ServerIndex than, ServerIndex& found) const;
    void cancel(ReleaseCallId& call);
    bool is_over(const Attempt& attempt) const;
    // Whether its server is still in the list, at the address to which it was sent.
    bool is_there(const Attempt& attempt) const;
    void stop_asking(Attempt& attempt);
    void note_removal(Attempt& attempt);

    const Clock& clock_;
    ReleasePool& pool_;
    std::vector<Attempt> attempts_;
    std::unordered_set<ServerIndex> asked_;  // one call at a time to each
    std::uint64_t overflows_ = 0;
};

}  // namespace copperfront
