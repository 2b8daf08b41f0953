// Whoever keeps a trace of a desk: told of each query's decisions and of what became of them, after they were
// taken. Nothing that it does may come back to the desk. Reasons are texts that stay where they are.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/host.h"
#include "core/rules.h"
#include "core/terms.h"

namespace copperfront {

enum class Fate : std::uint8_t { settled, declined, given_up, left, over_limit };

// What a choice saw, as the rules told it. Empty: it was not told.
struct Choice {
    const char* why = "";
    std::span<const Host::Sight> seen;
    std::size_t of = 0;
};

// What a query came to, its second copy with it.
struct Account {
    Instant came, first_attempt;  // first_attempt before came: there was none
    Span first_token{-1};         // since it came; -1: none
    std::uint32_t reads = 0, writes = 0, copies = 0;
    double read_tokens = 0, tokens = 0;
    ServerIndex reader = 0, writer = 0;  // the last, where there were any
};

class Witness {
  public:
    virtual ~Witness() = default;
    // Once for each reason in a row.
    virtual void held(QueryIndex query, std::string_view why) = 0;
    virtual void started(QueryIndex query, AttemptId attempt, ServerIndex server, bool reading, Span limit,
                         const Choice& choice) = 0;
    virtual void attempt_over(QueryIndex query, AttemptId attempt, ServerIndex server, Ending ending,
                              Span took, std::string_view why) = 0;
    virtual void first_token(QueryIndex query, AttemptId attempt, ServerIndex server, Span took) = 0;
    virtual void copied(QueryIndex query, ServerIndex slow) = 0;
    virtual void released(QueryIndex query, ServerIndex server, AttemptId state) = 0;
    // Its final answer, or that it left. Attempts may still be over after it.
    virtual void ended(QueryIndex query, Fate fate, std::string_view why, const Account& account) = 0;
    virtual void shut(ServerIndex server, bool out) = 0;
};

}  // namespace copperfront
