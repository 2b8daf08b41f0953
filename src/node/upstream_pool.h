// Connections to model servers: pooled by server, one attempt at a time on each, made when needed and closed
// before the server would. Here an attempt that was never sent (unreachable) is told from one that may have
// run (broken). Nothing is ever sent again by itself.
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

#include "core/rules.h"
#include "core/send_guard.h"
#include "desk/witness.h"
#include "http/message.h"
#include "net/stream.h"
#include "node/membership.h"
#include "node/releases.h"
#include "platform/answers.h"

namespace copperfront {

class UpstreamPool : public Membership::Connections, private ReleasePool {
  public:
    struct Bounds {
        std::size_t connections = 256;  // of all servers together
        Span idle{10000000};            // clearly before the server closes one
        std::uint64_t stream_bytes = 64 << 20;
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // Never from within a call to the pool. `what`: a plain reason, where there is one.
        virtual void attempt_over(AttemptId attempt, const Outcome& outcome, const std::string& what) = 0;
        // Whole events, unchanged; `count` of them carry something.
        virtual void events_came(AttemptId attempt, std::string_view events, std::size_t count) = 0;
        // Asked right before its first byte is written, with the time that its server is told. It is dropped
        // where that is denied.
        virtual Denial may_write(AttemptId attempt, Span told) = 0;
        // A part of its answer has come, which need not be an event.
        virtual void answer_began(AttemptId attempt) = 0;
        virtual void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
        virtual void release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) = 0;
        virtual SendGuard& guard() = 0;
        virtual HoldLedger& ledger() = 0;
    };

    UpstreamPool(Loop& loop, const Bounds& bounds, Owner& owner);
    ~UpstreamPool() override;

    void change(Span idle) { bounds_.idle = idle; }
    void reserve(std::size_t servers) override { upstreams_.reserve(servers); }
    void learn(ServerIndex server, const Membership::Endpoint& endpoint) override;
    // Attempts that wait for a connection there have never been sent.
    void shun(ServerIndex server) override;
    void gone(ServerIndex server) override;
    bool is_idle(ServerIndex server) const override;

    // What is left of its time is told when it is written, between the two parts of the message.
    struct Call {
        std::string before, after;
        Instant until;
        bool reading = false;
    };
    void send(ServerIndex server, AttemptId attempt, Call call);
    void call_off(AttemptId attempt);
    // True, and the owner is not told of its end: its last byte was not written yet.
    bool unsend(AttemptId attempt);
    // The answer's events wait while this is so.
    void hold_back(AttemptId attempt, bool hold);
    // Told to the server that may hold something of the query; where that can't be reached, to another one,
    // as each lets go at all of them.
    void release(const ReleaseOrder& order) { releases_.order(order); }
    std::size_t owed() const { return releases_.owed(); }
    std::size_t overdue() const { return releases_.overdue(); }
    const LateAttempts& late_attempts() const { return releases_.late_attempts(); }
    const Releases::Counts& release_counts() const { return releases_.counts(); }

    std::size_t size() const { return connections_.size(); }
    std::size_t attempts() const { return out_.size(); }
    struct Counts {
        std::uint64_t made = 0, reused = 0, not_made = 0, broken = 0, spoilt = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    class Connection;
    friend class Connection;
    struct Upstream {
        Membership::Endpoint endpoint;
        Instant address_since;  // when it was first known there
        std::uint32_t life =
            0;  // of its process, or its address: connections to an earlier one are of no use
        bool known = false, gone = false;
        std::vector<Connection*> idle;                 // the newest last
        std::list<ServerIndex>::iterator heard_order;  // of use once it has been heard from
        std::size_t connections = 0;
        Instant heard;             // when anything last came from it
        Instant unanswered_since;  // of the earliest message written since then; zero: none
        Instant hung_until;
    };
    void heard_from(ServerIndex server);
    void forget_what_was_heard(Upstream& upstream);
    Connection* connection_to(ServerIndex server);
    Connection* take_idle(Upstream& upstream);
    void drop(Connection& connection, bool reset);
    bool make_room();
    void ended(Connection& connection, const Outcome& outcome);
    // How an attempt or a release ended without an answer.
    enum class Loss {
        never_sent,   // its last byte was not written
        peer_closed,  // it may have run
        closed_here,  // the same, and its server has yet to learn that the connection is closed
    };
    void lost(Connection& connection, Loss loss, const std::string& what);
    void not_awaited(AttemptId attempt);
    void rest(Connection& connection);
    enum class ReleaseEnd {
        acknowledged,
        refused,  // answered, and not done
        lost,
    };
    void released(Connection& connection, ReleaseEnd end);
    void drop_incomplete_answers();
    void look();

    void visit_by_last_heard(const ServerVisitor& visit) const override;
    bool is_reachable(ServerIndex server) const override;
    Instant last_heard(ServerIndex server) const override { return upstreams_[server].heard; }
    Instant address_since(ServerIndex server) const override { return upstreams_[server].address_since; }
    bool may_hang(ServerIndex server) const override;
    Instant hung_until(ServerIndex server) const override { return upstreams_[server].hung_until; }
    ReleaseCallId start_release(ServerIndex server, const std::string& id) override;
    void cancel_release(ReleaseCallId call) override;
    void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) override {
        owner_.release_answered(id, result);
    }
    void release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) override {
        owner_.release_given_up(id, result);
    }
    SendGuard& guard() override { return owner_.guard(); }
    HoldLedger& ledger() override { return owner_.ledger(); }

    Loop& loop_;
    Bounds bounds_;
    Owner& owner_;
    void add_upstreams(std::size_t count);

    std::vector<Upstream> upstreams_;
    std::list<ServerIndex> heard_order_;    // those ever heard from; the one heard from last comes first
    std::list<Connection*> resting_order_;  // the connection that has rested for longest comes first
    std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
    std::unordered_map<AttemptId, Connection*> out_;
    std::unordered_set<AttemptId> not_awaited_;  // never sent, and their owner is yet to be told
    std::unordered_map<ReleaseCallId, Connection*> release_calls_;
    ReleaseCallId next_release_call_ = 1;
    Releases releases_;
    Counts counts_;
    Timer look_;
};

}  // namespace copperfront
