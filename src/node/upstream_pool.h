// Connection pool of model servers: one attempt at a time on each connection, which is made when needed and
// closed before the server's idle time-out would close it. Distinguishes attempts whose request was not
// written completely (unreachable), so that they cannot have run, from those that may have run (broken). The
// pool never retries by itself.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/memory_budget.h"
#include "core/router.h"
#include "core/send_guard.h"
#include "dispatch/dispatcher_observer.h"
#include "http/message.h"
#include "net/stream.h"
#include "node/membership.h"
#include "node/releases.h"
#include "platform/answers.h"

namespace copperfront {

class UpstreamPool : public Membership::Connections, private ReleaseHost {
  public:
    struct Bounds {
        std::size_t connections = 256;    // to all servers together
        Duration idle_timeout{10000000};  // well below the server's own idle time-out
        std::uint64_t stream_bytes = 64 << 20;
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // An attempt has ended. Never called from within a call to the pool. `what`: a reason in plain words,
        // or empty.
        virtual void attempt_ended(AttemptId attempt, const AttemptOutcome& outcome,
                                   const std::string& what) = 0;
        // Complete events, unchanged; `count` of them are not empty.
        virtual void events_received(AttemptId attempt, std::string_view events, std::size_t count) = 0;
        // Asked right before the first byte of an attempt is written. `remaining`: the time until the
        // deadline that is sent to its server. The attempt is dropped if this is denied.
        virtual Denial may_write(AttemptId attempt, Duration remaining) = 0;
        // Its first byte is about to be written, so that it may run from now on.
        virtual void attempt_is_written(AttemptId attempt) = 0;
        // More bytes of a stream that has begun have arrived, which need not complete an event.
        virtual void stream_progressed(AttemptId attempt) = 0;
        // The first bytes of its response have arrived, which need not be an event.
        virtual void answer_began(AttemptId attempt) = 0;
        virtual void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
        virtual void release_abandoned(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
        virtual SendGuard& guard() = 0;
        virtual HoldLedger& ledger() = 0;
    };

    UpstreamPool(Loop& loop, const Bounds& bounds, MemoryBudget& budget, Owner& owner);
    ~UpstreamPool() override;

    // Closes the connections that have been idle for this long.
    void drop_idle(Duration idle_time);
    void set_idle_timeout(Duration timeout) { bounds_.idle_timeout = timeout; }
    void reserve(std::size_t servers) override { upstreams_.reserve(servers); }
    void set_endpoint(ServerIndex server, const Membership::Endpoint& endpoint) override;
    // Fails the attempts that still wait for a connection to this server; they were never sent.
    void stop_new_attempts(ServerIndex server) override;
    void remove_server(ServerIndex server) override;
    bool has_no_connections(ServerIndex server) const override;

    // An HTTP request. The time that is left until the deadline is inserted between the two parts of its head
    // when it is written. All attempts of a request share its body.
    struct OutgoingMessage {
        std::string before, after;
        std::shared_ptr<const std::string> body;
        Instant deadline;
        bool prefill = false;
    };
    void send(ServerIndex server, AttemptId attempt, OutgoingMessage message);
    void cancel(AttemptId attempt);
    // Cancels an attempt whose last byte was not written yet and returns true; the owner is not notified of
    // its end. Otherwise returns false.
    bool cancel_unsent(AttemptId attempt);
    // While paused, no events of the response are read.
    void pause_stream(AttemptId attempt, bool pause);
    // Sends a release to the server that may hold a state of the request, or to another one if that cannot be
    // reached, as each server releases the state at all of them.
    void release(const ReleaseOrder& order) { releases_.order(order); }
    std::size_t owed_releases() const { return releases_.owed(); }
    std::size_t overdue_releases() const { return releases_.overdue(); }
    const LateAttempts& late_attempts() const { return releases_.late_attempts(); }
    const Releases::Counts& release_counts() const { return releases_.counts(); }

    std::size_t size() const { return connections_.size(); }
    std::size_t attempts() const { return attempts_.size(); }
    struct Counts {
        std::uint64_t made = 0, reused = 0, unsent = 0, broken = 0, invalid = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    class Connection;
    friend class Connection;
    struct Upstream {
        Membership::Endpoint endpoint;
        Instant address_since;  // when it was first known at this address
        // Incremented for each new process or address; connections of an earlier generation are not reused.
        std::uint32_t process_generation = 0;
        bool known = false, removed = false;
        std::vector<Connection*> idle;                 // most recently used last
        std::list<ServerIndex>::iterator heard_order;  // valid once it has been heard from
        std::size_t connections = 0;
        Instant last_heard_at;     // when anything was last received from it
        Instant unanswered_since;  // of the earliest message written since then; zero: none
        Instant hung_until;
    };
    void note_contact(ServerIndex server);
    void reset_contact(Upstream& upstream);
    Connection* connection_to(ServerIndex server);
    Connection* take_idle(Upstream& upstream);
    void drop(Connection& connection, bool reset);
    bool make_room();
    void attempt_completed(Connection& connection, const AttemptOutcome& outcome);
    // How an attempt or a release ended without a response.
    enum class Loss {
        not_fully_written,  // its last byte was not written, though earlier ones may have been
        peer_closed,        // it may have run
        closed_by_gateway,  // the same, but its server may not have seen the close yet
    };
    void attempt_failed(Connection& connection, Loss loss, const std::string& what);
    void drop_for_gone_client(AttemptId attempt);
    void return_to_pool(Connection& connection);
    enum class ReleaseEnd {
        acknowledged,
        refused,  // answered with an error
        lost,
    };
    void release_call_ended(Connection& connection, ReleaseEnd end);
    void drop_incomplete_answers();
    void maintain();

    void visit_by_last_heard(const ServerVisitor& visit) const override;
    bool is_reachable(ServerIndex server) const override;
    Instant last_heard(ServerIndex server) const override { return upstreams_[server].last_heard_at; }
    Instant address_since(ServerIndex server) const override { return upstreams_[server].address_since; }
    bool may_hang(ServerIndex server) const override;
    Instant hung_until(ServerIndex server) const override { return upstreams_[server].hung_until; }
    ReleaseCallId start_release(ServerIndex server, const std::string& id) override;
    void cancel_release(ReleaseCallId call) override;
    void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) override {
        owner_.release_answered(id, result);
    }
    void release_abandoned(const std::string& id, const HoldLedger::ReleaseResult& result) override {
        owner_.release_abandoned(id, result);
    }
    SendGuard& guard() override { return owner_.guard(); }
    HoldLedger& ledger() override { return owner_.ledger(); }

    Loop& loop_;
    Bounds bounds_;
    MemoryBudget& budget_;
    Owner& owner_;
    void add_upstreams(std::size_t count);

    std::vector<Upstream> upstreams_;
    std::list<ServerIndex> heard_order_;  // servers ever heard from, most recent first
    std::list<Connection*> idle_order_;   // idle connections, least recently used first
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
    std::unordered_map<AttemptId, Connection*> attempts_;
    std::unordered_set<AttemptId> dropped_unsent_;  // never sent; the owner is not notified yet
    std::unordered_map<ReleaseCallId, Connection*> release_calls_;
    ReleaseCallId next_release_call_ = 1;
    Releases releases_;
    Counts counts_;
    Timer maintenance_timer_;
};

}  // namespace copperfront
