// What releases need of the connections to model servers and of the gateway's requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/hold_ledger.h"
#include "core/rules.h"
#include "core/send_guard.h"

namespace copperfront {

using ReleaseCallId = std::uint64_t;  // one call of a release on a connection; 0: none

// Connections to servers, and what the gateway knows of the request.
class ReleasePool {
  public:
    virtual ~ReleasePool() = default;
    // False: no further one is wanted.
    using ServerVisitor = std::function<bool(ServerIndex)>;
    // All servers, those heard from last first; those never heard from follow, spread over the list.
    virtual void visit_by_last_heard(const ServerVisitor& visit) const = 0;
    // Known, and neither gone nor removed.
    virtual bool is_reachable(ServerIndex server) const = 0;
    // When it was first known at its present address.
    virtual Instant address_since(ServerIndex server) const = 0;
    // When anything last came from that address; zero: never.
    virtual Instant last_heard(ServerIndex server) const = 0;
    // It leaves something unanswered for so long that it may hang.
    virtual bool may_hang(ServerIndex server) const = 0;
    // Until when it had left something unanswered for so long that it may have hung; zero: it never has.
    virtual Instant hung_until(ServerIndex server) const = 0;
    // 0: no connection is to be had now. `call_ended` follows otherwise, never from within this call.
    virtual ReleaseCallId start_release(ServerIndex server, const std::string& id) = 0;
    virtual void cancel_release(ReleaseCallId call) = 0;
    // A release that was answered has proved something, or it was given up.
    virtual void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
    virtual void release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
    virtual HoldLedger& ledger() = 0;
    virtual SendGuard& guard() = 0;
};

}  // namespace copperfront
