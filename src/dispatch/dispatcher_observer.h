// Observer of a dispatcher, for example a trace: it is notified of the decisions on each request and of their
// results after they were taken. An observer must not call back into the dispatcher. Reasons are texts with
// static storage.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/router.h"
#include "core/router_host.h"
#include "core/terms.h"

namespace copperfront {

enum class RequestOutcome : std::uint8_t { completed, rejected, abandoned, client_left, over_limit };

// What the router compared when it chose a server. Empty if the router did not report it.
struct ServerChoice {
    const char* why = "";
    std::span<const Host::Candidate> candidates;
    std::size_t candidate_count = 0;
};

// Totals of a request, including its hedge.
struct RequestSummary {
    Instant arrived_at, first_attempt;  // first_attempt earlier than arrived_at: no attempt was made
    Duration first_token{-1};           // since arrival; -1: none
    std::uint32_t prefills = 0, decodes = 0, hedges = 0;
    double prefill_tokens = 0, tokens = 0;
    ServerIndex prefill_server = 0, decode_server = 0;  // the latest ones, if any
};

class DispatcherObserver {
  public:
    virtual ~DispatcherObserver() = default;
    // Called once for consecutive equal reasons.
    virtual void request_waits(RequestIndex request, std::string_view why) = 0;
    virtual void attempt_started(RequestIndex request, AttemptId attempt, ServerIndex server, bool is_prefill,
                                 Duration limit, const ServerChoice& choice) = 0;
    virtual void attempt_ended(RequestIndex request, AttemptId attempt, ServerIndex server, Ending ending,
                               Duration duration, std::string_view why) = 0;
    virtual void first_token(RequestIndex request, AttemptId attempt, ServerIndex server,
                             Duration duration) = 0;
    virtual void hedged(RequestIndex request, ServerIndex slow_server) = 0;
    virtual void released(RequestIndex request, ServerIndex server, AttemptId state) = 0;
    // The final answer, or the client has left. Attempts may still end after it.
    virtual void ended(RequestIndex request, RequestOutcome outcome, std::string_view why,
                       const RequestSummary& summary) = 0;
    virtual void ejection_changed(ServerIndex server, bool is_ejected) = 0;
};

}  // namespace copperfront
