// One gateway's logic (desk, rules, guard, ledger, releases) against model servers on a virtual clock, free
// of I/O. What happens next, and when, is chosen from outside, step by step, so that orders can be enumerated
// or drawn.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "desk/desk.h"
#include "node/releases.h"
#include "standin/held_states.h"

namespace copperfront::explore {

// One of `count` things, from 0.
using Chooser = std::function<std::size_t(std::size_t count)>;

class HoldWorld final : private Outside, private ReleasePool, private Clock {
  public:
    struct Shape {
        Effect effect = Effect::pure;
        Span budget{2500000};
        std::size_t requests = 1;
    };
    explicit HoldWorld(const Shape& shape);
    ~HoldWorld() override;

    // One event, chosen from all that may happen now.
    void step(const Chooser& choose);
    // Everything runs again and is given its time.
    void heal_and_end();
    // What was broken first; empty: nothing.
    const std::string& finding() const { return finding_; }
    // The events so far, one a line.
    const std::string& trace() const { return trace_; }
    // Alike for states that can't be told apart but by times under 50 ms.
    std::size_t hash() const;

  private:
    static constexpr ServerIndex kServers = 4;  // two prefill servers, two decode servers
    enum class Phase {
        dialling,
        in_socket,  // written, and not read by the server's process
        working,    // it has arrived; a prefill is being read, a hand-over waits for its state
        half_sent,  // the server has ended its work, and a part of the answer has come
        streaming,
    };
    struct Attempt {
        AttemptId id = 0;
        QueryIndex query = 0;
        std::string request;
        ServerIndex server = 0;
        bool prefill = false;
        Phase phase = Phase::dialling;
        Instant since, closed_at;
        bool closed = false;  // to the gateway, and not seen by the server yet
        Span close_travels;
    };
    struct ReleaseCall {
        ReleaseCallId id = 0;
        ServerIndex server = 0;
        std::string request;
        Instant since;
    };
    struct Request {
        std::string id;
        QueryIndex query = 0;
        Instant came, left_at, deadline;
        int answers = 0;
        bool left = false, streaming = false;
        std::size_t runs = 0;  // hand-overs that have taken the state
        // Of the rule on held states.
        Instant time_runs_since;
    };
    struct Event {
        std::string name;
        std::function<void()> act;
    };

    // ---- Outside
    Instant now() const override { return now_; }
    void wake_at(Instant at) override { wake_ = at; }
    void send_read(AttemptId attempt_id, ServerIndex to, QueryIndex query, Span) override;
    void send_write(AttemptId attempt_id, ServerIndex to, QueryIndex query, AttemptId, ServerIndex,
                    Span) override;
    void call_off(AttemptId attempt_id, ServerIndex at) override;
    bool unsend(AttemptId attempt_id, ServerIndex at) override;
    bool releases_are_answered() const override { return true; }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex) override {}
    void subscribe() override {}
    void settled(QueryIndex query) override { answered(query, false); }
    void declined(QueryIndex query, Span, std::string_view) override { answered(query, true); }
    void given_up(QueryIndex query, std::string_view) override { answered(query, false); }
    void closed(QueryIndex) override {}
    void log(std::string_view) override {}

    // ---- ReleasePool
    void visit_by_last_heard(const ServerVisitor& visit) const override;
    bool is_reachable(ServerIndex) const override { return true; }
    Instant address_since(ServerIndex) const override { return {}; }
    Instant last_heard(ServerIndex server) const override { return heard_[server]; }
    bool may_hang(ServerIndex server) const override { return hung_.count(server) > 0; }
    Instant hung_until(ServerIndex server) const override { return hung_until_[server]; }
    ReleaseCallId start_release(ServerIndex server, const std::string& id) override;
    void cancel_release(ReleaseCallId call) override;
    void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
    void release_given_up(const std::string&, const HoldLedger::ReleaseResult&) override {}
    SendGuard& guard() override { return desk_->guard(); }
    HoldLedger& ledger() override { return desk_->ledger(); }

    void wrong(const std::string& what);
    void note(const std::string& what);
    void ask(const Shape& shape);
    void sent(AttemptId attempt_id, ServerIndex to, QueryIndex query, bool prefill);
    void answered(QueryIndex query, bool rejected);
    Request* request_of(QueryIndex query);
    Request& request_named(const std::string& id);
    Attempt* find(AttemptId attempt_id);
    void remove(AttemptId attempt_id);
    bool runs(ServerIndex server) const { return hung_.count(server) == 0; }

    std::vector<Event> events();
    void add_attempt_events(std::vector<Event>& events, AttemptId attempt_id);
    void add_closed_events(std::vector<Event>& events, AttemptId attempt_id);
    void add_release_events(std::vector<Event>& events, ReleaseCallId call);
    void answer_release(ReleaseCallId call, bool answer_arrives);
    void add_server_events(std::vector<Event>& events);
    // The server is through with it, and its answer has come or its connection has ended.
    void end_attempt(AttemptId attempt_id, Ending ending, bool no_state = false);
    // The network resets its connection; the server learns of it later than the gateway.
    void reset(AttemptId attempt_id);
    void arrive(AttemptId attempt_id);
    void take_state(AttemptId attempt_id);
    void first_event(AttemptId attempt_id);
    void outcome_at_server(const std::string& request);
    void server_sees_close(AttemptId attempt_id);

    void pass(Span span);
    void look();
    void check();

    Instant now_{1'000'000'000};
    Instant wake_{INT64_MAX}, next_look_;
    standin::MemoryMarkStore marks_;
    standin::HeldStates states_{marks_};
    std::map<AttemptId, Attempt> attempts_;
    std::map<ReleaseCallId, ReleaseCall> release_calls_;
    ReleaseCallId next_release_call_ = 1;
    std::vector<Request> requests_;
    std::set<ServerIndex> hung_;
    std::vector<Instant> heard_ = std::vector<Instant>(kServers), hung_until_ = heard_;
    std::string finding_, trace_;
    // What the network and the servers may still do to releases; without end, nobody could be told in time.
    std::size_t hangs_left_, losses_left_;
    const bool effectful_;
    std::unique_ptr<Desk> desk_;
    std::unique_ptr<Releases> releases_;
};

}  // namespace copperfront::explore
