// Prefills that were taken back at servers which have not been heard from since. Such a server may hang with
// the call in its socket, or in hand: a reset does not take that back, and once it runs again it leaves a
// state that nobody wants. So it is asked with a release until it answers, and told again while the prefill
// may still end.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/rules.h"
#include "net/loop.h"
#include "node/release_pool.h"

namespace copperfront {

class LateReads {
  public:
    LateReads(Loop& loop, ReleasePool& pool) : loop_(loop), pool_(pool) {}

    void follow(ServerIndex server, const std::string& id);
    // False: the call is none of these.
    bool call_ended(ReleaseCallId call, bool answered);
    // To be called often: sends what has become due.
    void look();
    std::size_t size() const { return reads_.size(); }

  private:
    struct Read {
        ServerIndex server = 0;
        std::string id;
        Instant until, next_at, asked_at;
        ReleaseCallId call = 0;        // to its own server
        ReleaseCallId other_call = 0;  // to another one
        Instant other_at;
        std::uint32_t answered = 0;
    };
    void ask_its_server(Read& read);
    void tell_another(Read& read);
    bool find_another(ServerIndex than, ServerIndex& found) const;
    void cancel(ReleaseCallId& call);
    bool is_over(const Read& read) const;
    bool server_is_being_asked(ServerIndex server) const;

    Loop& loop_;
    ReleasePool& pool_;
    std::vector<Read> reads_;
};

}  // namespace copperfront
