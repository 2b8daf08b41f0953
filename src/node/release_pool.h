// Interface through which releases use the connections to model servers and the state of requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/hold_ledger.h"
#include "core/router.h"
#include "core/send_guard.h"

namespace copperfront {

using ReleaseCallId = std::uint64_t;  // one call that carries a release, on a connection; 0: none

// What releases need of their owner: connections to servers, the hold ledger and the send guard.
class ReleaseHost {
  public:
    virtual ~ReleaseHost() = default;
    // Returns false to stop the visit.
    using ServerVisitor = std::function<bool(ServerIndex)>;
    // Visits all servers, most recently heard from first. Those never heard from follow, in steps of
    // release_policy::list_stride(), as neighbours in the list often fail together.
    virtual void visit_by_last_heard(const ServerVisitor& visit) const = 0;
    // Whether the server is known and not removed.
    virtual bool is_reachable(ServerIndex server) const = 0;
    // When the server was first known at its present address.
    virtual Instant address_since(ServerIndex server) const = 0;
    // When anything was last received from that address; zero: never.
    virtual Instant last_heard(ServerIndex server) const = 0;
    // Whether the server has left a message unanswered for so long that it may hang.
    virtual bool may_hang(ServerIndex server) const = 0;
    // The end of the last period in which the server may have hung; zero: there was none.
    virtual Instant hung_until(ServerIndex server) const = 0;
    // Returns 0 if no connection is available now. Otherwise Releases::call_ended follows, never from within
    // this call.
    virtual ReleaseCallId start_release(ServerIndex server, const std::string& id) = 0;
    virtual void cancel_release(ReleaseCallId call) = 0;
    // A release was answered, with what the answer proves, or it was abandoned.
    virtual void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
    virtual void release_abandoned(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
    virtual HoldLedger& ledger() = 0;
    virtual SendGuard& guard() = 0;
};

}  // namespace copperfront
