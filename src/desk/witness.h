// Observer of a dispatcher, for example a trace: it is notified of the decisions on each request and of their
// results after they were taken. An observer must not call back into the dispatcher. Reasons are texts with
// static storage.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/host.h"
#include "core/rules.h"
#include "core/terms.h"

namespace copperfront {

enum class Fate : std::uint8_t { settled, declined, given_up, left, over_limit };

// What the router compared when it chose a server. Empty if the router did not report it.
struct Choice {
    const char* why = "";
    std::span<const Host::Sight> seen;
    std::size_t of = 0;
};

// Totals of a request, including its hedge.
struct Account {
    Instant came, first_attempt;  // first_attempt earlier than came: no attempt was made
    Span first_token{-1};         // since arrival; -1: none
    std::uint32_t reads = 0, writes = 0, copies = 0;
    double read_tokens = 0, tokens = 0;
    ServerIndex reader = 0, writer = 0;  // the latest ones, if any
};

class Witness {
  public:
    virtual ~Witness() = default;
    // Called once for consecutive equal reasons.
    virtual void held(QueryIndex request, std::string_view why) = 0;
    virtual void started(QueryIndex request, AttemptId attempt, ServerIndex server, bool is_prefill,
                         Span limit, const Choice& choice) = 0;
    virtual void attempt_over(QueryIndex request, AttemptId attempt, ServerIndex server, Ending ending,
                              Span took, std::string_view why) = 0;
    virtual void first_token(QueryIndex request, AttemptId attempt, ServerIndex server, Span took) = 0;
    virtual void copied(QueryIndex request, ServerIndex slow_server) = 0;
    virtual void released(QueryIndex request, ServerIndex server, AttemptId state) = 0;
    // The final answer, or the client has left. Attempts may still end after it.
    virtual void ended(QueryIndex request, Fate outcome, std::string_view why, const Account& summary) = 0;
    virtual void shut(ServerIndex server, bool is_ejected) = 0;
};

}  // namespace copperfront
