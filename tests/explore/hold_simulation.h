// Simulates the logic of one gateway (dispatcher, router, send guard, hold ledger, releases) against model
// servers on a virtual clock, without I/O. The caller chooses step by step what happens next and when, so
// that orders of events can be enumerated or drawn at random.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "dispatch/dispatcher.h"
#include "fakes/held_states.h"
#include "node/releases.h"

namespace copperfront::explore {

// Returns a choice from 0 to `count` - 1.
using Chooser = std::function<std::size_t(std::size_t count)>;

class HoldSimulation final : private DispatcherHost, private ReleaseHost, private Clock {
  public:
    struct Options {
        Effect effect = Effect::pure;
        Duration budget{2500000};
        std::size_t requests = 1;
    };
    explicit HoldSimulation(const Options& options);
    ~HoldSimulation() override;

    // Executes one event, chosen from all that are possible now.
    void step(const Chooser& choose);
    // Lets all servers run again, and enough time pass for everything to finish.
    void recover_and_finish();
    // The first violation found; empty: none.
    const std::string& finding() const { return finding_; }
    // The events so far, one per line.
    const std::string& trace() const { return trace_; }
    // The same for states that differ only in times by less than 50 ms.
    std::size_t hash() const;

  private:
    static constexpr ServerIndex kServers = 4;  // two prefill servers, two decode servers
    enum class Phase {
        connecting,
        in_socket,        // written, but not read by the server's process
        working,          // it has arrived: the prefill runs, or the hand-over waits for its state
        partly_answered,  // the server has ended its work, and a part of the answer has arrived
        streaming,
    };
    struct Attempt {
        AttemptId id = 0;
        RequestIndex request_index = 0;
        std::string request;
        ServerIndex server = 0;
        bool prefill = false;
        Phase phase = Phase::connecting;
        Instant since, closed_at;
        bool closed = false;  // by the gateway or a reset; not seen by the server yet
        Duration close_travel_time;
    };
    struct ReleaseCall {
        ReleaseCallId id = 0;
        ServerIndex server = 0;
        std::string request;
        Instant since;
    };
    struct Request {
        std::string id;
        RequestIndex request_index = 0;
        Instant arrived_at, client_left_at, deadline;
        int answers = 0;
        bool client_left = false, streaming = false;
        std::size_t executions = 0;  // number of hand-overs that have taken the state
        // Start of the time limit on its held states.
        Instant hold_limit_since;
    };
    struct Event {
        std::string name;
        std::function<void()> action;
    };

    // ---- DispatcherHost
    Instant now() const override { return now_; }
    void schedule_wakeup(Instant at) override { wake_at_ = at; }
    void send_prefill(AttemptId attempt_id, ServerIndex to, RequestIndex request_index, Duration) override;
    void send_decode(AttemptId attempt_id, ServerIndex to, RequestIndex request_index, AttemptId, ServerIndex,
                     Duration) override;
    void cancel_attempt(AttemptId attempt_id, ServerIndex at) override;
    bool cancel_if_unsent(AttemptId attempt_id, ServerIndex at) override;
    bool confirms_releases() const override { return true; }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex) override {}
    void subscribe() override {}
    void completed(RequestIndex request_index) override { request_answered(request_index, false); }
    void rejected(RequestIndex request_index, Duration, std::string_view) override {
        request_answered(request_index, true);
    }
    void abandoned(RequestIndex request_index, std::string_view) override {
        request_answered(request_index, false);
    }
    void closed(RequestIndex) override {}
    void log(std::string_view) override {}

    // ---- ReleaseHost
    void visit_by_last_heard(const ServerVisitor& visit) const override;
    bool is_reachable(ServerIndex) const override { return true; }
    Instant address_since(ServerIndex) const override { return {}; }
    Instant last_heard(ServerIndex server) const override { return last_heard_[server]; }
    bool may_hang(ServerIndex server) const override { return hung_.count(server) > 0; }
    Instant hung_until(ServerIndex server) const override { return hung_until_[server]; }
    ReleaseCallId start_release(ServerIndex server, const std::string& id) override;
    void cancel_release(ReleaseCallId call) override;
    void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
    void release_abandoned(const std::string&, const HoldLedger::ReleaseResult&) override {}
    SendGuard& guard() override { return dispatcher_->guard(); }
    HoldLedger& ledger() override { return dispatcher_->ledger(); }

    void report_finding(const std::string& description);
    void add_to_trace(const std::string& description);
    void send_request(const Options& options);
    void attempt_sent(AttemptId attempt_id, ServerIndex to, RequestIndex request_index, bool prefill);
    void request_answered(RequestIndex request_index, bool is_rejection);
    Request* find_request(RequestIndex request_index);
    Request& request_by_id(const std::string& id);
    Attempt* find(AttemptId attempt_id);
    void remove(AttemptId attempt_id);
    bool is_running(ServerIndex server) const { return hung_.count(server) == 0; }

    std::vector<Event> events();
    void add_attempt_events(std::vector<Event>& events, AttemptId attempt_id);
    void add_closed_events(std::vector<Event>& events, AttemptId attempt_id);
    void add_release_events(std::vector<Event>& events, ReleaseCallId call);
    void answer_release(ReleaseCallId call, bool answer_arrives);
    void add_server_events(std::vector<Event>& events);
    // The server has ended it, and its answer has arrived or its connection has ended.
    void end_attempt(AttemptId attempt_id, Ending ending, bool state_missing = false);
    // The network resets its connection; the server notices later than the gateway.
    void reset(AttemptId attempt_id);
    void arrive(AttemptId attempt_id);
    void take_state(AttemptId attempt_id);
    void start_stream(AttemptId attempt_id);
    void restart_hold_limit(const std::string& request);
    void server_sees_close(AttemptId attempt_id);

    void advance(Duration duration);
    void poll();
    void check();

    Instant now_{1'000'000'000};
    Instant wake_at_{INT64_MAX}, next_poll_;
    fake_server::MemoryMarkerStore marks_;
    fake_server::HeldStates states_{marks_};
    std::map<AttemptId, Attempt> attempts_;
    std::map<ReleaseCallId, ReleaseCall> release_calls_;
    ReleaseCallId next_release_call_ = 1;
    std::vector<Request> requests_;
    std::set<ServerIndex> hung_;
    std::vector<Instant> last_heard_ = std::vector<Instant>(kServers), hung_until_ = last_heard_;
    std::string finding_, trace_;
    // Faults that may still occur. They are limited, as otherwise no server could be reached in time.
    std::size_t hangs_left_, losses_left_;
    const bool effectful_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<Releases> releases_;
};

}  // namespace copperfront::explore
