// The dispatcher carries out the decisions of the router and keeps the state of every request: the attempts
// in flight, the servers that may hold its state, the attempt whose stream has begun, and its timers. It
// stands between the router and the code that moves the bytes (sockets, or a test), takes no decisions of its
// own, and uses no I/O and no clock.
//
// Every public method reports one event and must not be called from within a call to DispatcherHost.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/hold_ledger.h"
#include "core/router.h"
#include "core/send_guard.h"
#include "dispatch/dispatcher_observer.h"
#include "dispatch/timer_queue.h"
#include "limits/admission.h"
#include "limits/fleet_share.h"
#include "shadow/shadow_evaluation.h"

namespace copperfront {

// Attempt ids start at 1 and are never reused by a dispatcher.

// Interface through which the dispatcher acts. Implementations must not call back into the dispatcher.
class DispatcherHost {
  public:
    virtual ~DispatcherHost() = default;
    virtual Instant now() const = 0;
    // Requests a call of Dispatcher::run_due_timers at this time or soon after. A later call replaces an
    // earlier one.
    virtual void schedule_wakeup(Instant at) = 0;
    // Starts a prefill. The state that it leaves on the server is named by `attempt`. After `limit` the
    // server may drop the attempt, because nobody waits for it any more.
    virtual void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit) = 0;
    // Starts a decode from `state`, which is held by the server `from`. If `state` is 0, there is no state
    // and the server prefills the prompt itself.
    virtual void send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId state,
                             ServerIndex from, Duration limit) = 0;
    virtual void cancel_attempt(AttemptId attempt, ServerIndex at) = 0;
    // Withdraws an attempt that waits for its connection. Returns true if it was never sent, false if it may
    // have been sent.
    virtual bool cancel_if_unsent(AttemptId attempt, ServerIndex at) = 0;
    // Whether servers answer releases, with the answers reported to the hold ledger. Otherwise messages
    // arrive in order, and a release counts as done once it is sent.
    virtual bool confirms_releases() const { return false; }
    virtual void release(ServerIndex at, AttemptId state) = 0;
    virtual void probe(ServerIndex server) = 0;
    virtual void subscribe() = 0;
    // Sends a note to all other gateways, where the terms allow it.
    virtual void notify_peers(std::string_view /*note*/) {}
    // Final answers: exactly one for each request that arrived and whose client has not left.
    virtual void completed(RequestIndex request) = 0;
    virtual void rejected(RequestIndex request, Duration retry_after, std::string_view why) = 0;
    virtual void abandoned(RequestIndex request, std::string_view why) = 0;
    // No later call refers to this request; its index may be reused.
    virtual void closed(RequestIndex request) = 0;
    virtual void log(std::string_view line) = 0;
};

// Counters since the start.
struct DispatcherCounters {
    std::uint64_t received = 0, client_left = 0, completed = 0, rejected = 0, abandoned = 0,
                  streams_broken = 0, streams_silent = 0, leases_expired = 0;
    std::uint64_t prefills = 0, decodes = 0, cancelled = 0, releases = 0, probes = 0;
    // Requests rejected by limits of their route, further attempts denied by these limits, and attempts
    // withdrawn because their connection was not made in time.
    std::uint64_t over_limit = 0, retries_denied = 0, connect_timeouts = 0, hedges = 0, hedges_won = 0;
    std::uint64_t endings[9] = {};  // indexed by Ending
};

class Dispatcher final : private Host {
  public:
    Dispatcher(const Terms& terms, DispatcherHost& host, std::uint32_t seed);

    // Sets the observer of all events from now on; null removes it. It must outlive the dispatcher or be
    // removed before it is destroyed.
    void set_observer(DispatcherObserver* observer) { observer_ = observer; }

    // Starts a shadow evaluation: counts where `terms` would lead to other decisions. Their categories, kinds
    // and client groups must be those of the dispatcher. Null ends the evaluation, and so does a change of
    // the dispatcher's own terms. Earlier server lists must be passed again.
    void evaluate_shadow_terms(const Terms* terms, std::uint32_t seed);
    const ShadowEvaluation* shadow_evaluation() const { return shadow_evaluation_.get(); }

    // Returns an index for a request that is about to arrive; request_arrived must follow. `key` is the name
    // of the request in the hold ledger; 0 assigns a new one.
    RequestIndex open(RequestKey key = 0);
    RequestKey key_of(RequestIndex request) const { return requests_[request].key; }
    // Rejects the request at once if limits of its route are used up. The request keeps these limits even if
    // the terms change meanwhile.
    void request_arrived(RequestIndex request, RequestInfo info, RouteIndex route = 0,
                         const RouteLimits& limits = {}, bool is_repeat = false);
    void client_left(RequestIndex request);

    // Applies other terms from now on. Categories, kinds and client groups may only have been added.
    void terms_changed(const Terms& terms, std::span<const RouteLimits> routes);

    // Applies the limits of the routes alone, as at the start.
    void limits_changed(std::span<const RouteLimits> routes, int gateways);

    // Whether this gateway's share of limits that are stated for the fleet is learned from load reports;
    // otherwise all gateways have equal shares.
    void set_share_is_learned(bool learned);
    // The current share of this gateway.
    double share() const;

    void list_arrived(std::span<const ServerListing> entries, bool is_snapshot);
    void list_fetch_failed();

    // Reports a token of an attempt's answer. Returns true if it belongs to the stream of the client's
    // request, which is stored in `request`, and false if it must be dropped.
    bool token_received(AttemptId attempt, RequestIndex& request);
    // Reports that more bytes of an attempt's stream have arrived, though no complete event.
    void stream_progressed(AttemptId attempt);
    // Reports the end of an attempt, once per attempt. It is ignored if the attempt has already ended. The
    // dispatcher fills in the fields `duration` and `request_answered` of the outcome.
    void attempt_ended(AttemptId attempt, AttemptOutcome outcome);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void peer_note_received(std::string_view note);
    void run_due_timers();
    // Abandons every open request, for a shutdown that has taken too long.
    void abandon_all(std::string_view why);

    // Whether an attempt that waits for its connection may still be sent. Called right before its first byte.
    Denial may_still_send(AttemptId attempt, bool client_gone, Duration stated_time_left);
    SendGuard& guard() { return guard_; }
    const SendGuard& guard() const { return guard_; }
    HoldLedger& ledger() { return ledger_; }
    const HoldLedger& ledger() const { return ledger_; }
    // Reports that a part of an answer has arrived, which need not be a token.
    void answer_began(AttemptId attempt);

    std::size_t open_requests() const { return open_count_; }
    // Closes the requests that have ended and frees what is kept of them. Otherwise done when the next
    // request is opened. Not to be called from within another call.
    void recycle_indexes();
    std::size_t timers() const { return timers_.size(); }
    std::size_t attempts_out() const { return attempts_.size(); }
    Router::Waiting waiting() const { return router_.waiting(); }
    const DispatcherCounters& counters() const { return counters_; }
    const Admission& admission() const { return admission_; }
    // Whether the dispatcher has ever created an attempt with this id.
    bool was_made(AttemptId attempt) const { return attempt > 0 && attempt < next_attempt_; }

  private:
    static constexpr RequestIndex kNoRequest = ~RequestIndex{0};
    struct TrackedRequest {
        RequestKey key = 0;  // name in the hold ledger
        bool in_use = false, ended = false, streams = true, queued = false;
        Duration max_silence;  // longest time without a token once the stream has begun
        // Whether the first attempt of each stage was made.
        bool prefill_attempted = false, decode_attempted = false;
        // The router sees a hedge as a request of its own, under an index that is not visible outside.
        // `partner` is the other of the two requests. `routing_done`: the router has finished with this
        // request, while its partner may still be answered.
        bool is_hedge = false, routing_done = false;
        RequestIndex partner = kNoRequest;
        RequestInfo info;  // set if the request may be hedged
        RouteIndex route = 0;
        Effect effect = Effect::pure;
        bool may_have_run = false;  // whether an attempt may have had the request's effect
        double prompt_tokens = 0;
        Duration total_limit, hedge_after, connect_limit;
        Instant arrived_at, deadline;
        std::uint32_t retries[kRetryCauses] = {}, max_retries[kRetryCauses] = {};
        std::uint32_t attempts_made = 0, in_flight = 0;
        AttemptId streaming_attempt = 0;  // the attempt whose stream the client receives
        AttemptId state = 0;              // the state that the next decode takes; 0: none
        ServerIndex state_server = 0;
        RequestSummary summary;           // kept for the observer
        const char* reason = nullptr;     // the latest reason given by the router
        std::vector<AttemptId> attempts;  // by attempt number
    };
    struct Attempt {
        RequestIndex request = 0;
        ServerIndex server = 0;
        Instant sent_at, last_token_at;
        Instant last_byte_at;      // of its stream, which need not complete an event
        Instant send_by;           // the attempt must not be sent later than this
        AttemptId state = 0;       // decode: the state that it takes
        double memory_tokens = 0;  // decode: memory that it takes on its server, in tokens
        bool is_prefill = false, streaming = false, cancelled = false;
        bool never_sent = false;  // it was not sent, and its outcome is about to be reported to the router
        // Of a cancelled attempt: reported once its close has reached the server.
        AttemptOutcome pending_outcome;
        const char* pending_reason = "";
    };
    enum class TimerKind {
        router,
        shadow_evaluation,
        attempt_limit,
        connect_limit,
        cancel_delivered,
        lease,
        stream_silence,
        total_limit,
        hedge
    };
    struct Timer {
        Instant due;
        std::uint64_t sequence = 0;
        TimerKind kind = TimerKind::router;
        std::uint64_t key = 0;
        bool operator>(const Timer& other) const {
            return due != other.due ? due > other.due : sequence > other.sequence;
        }
    };
    class EventScope;

    Instant now() const override { return host_.now(); }
    void start_attempt(RequestIndex request, ServerIndex server, const AttemptLimits& limits) override;
    void cancel_attempt(RequestIndex request, std::uint32_t number) override;
    void reject(RequestIndex request, Duration retry_after) override;
    void abandon(RequestIndex request) override;
    void release(RequestIndex request) override;
    bool may_attempt_again(RequestIndex request, Ending after) override;
    void probe(ServerIndex server) override;
    void subscribe() override { host_.subscribe(); }
    void notify_peers(std::string_view note) override { host_.notify_peers(note); }
    void set_timer(Duration from_now, TimerKey key) override {
        schedule_timer(from_now, TimerKind::router, key);
    }
    void log(std::string_view line) override { host_.log(line); }

    void record_load_report(ServerIndex server, const LoadReport& report);
    bool is_tracing() const override { return observer_ != nullptr; }
    void server_chosen(RequestIndex request, ServerIndex server, bool is_prefill, const char* why,
                       std::span<const Candidate> candidates, std::size_t candidate_count) override;
    void request_waits(RequestIndex request, const char* why) override;
    void request_ends(RequestIndex request, const char* why) override { requests_[request].reason = why; }
    void ejection_changed(ServerIndex server, bool out) override {
        if (observer_) observer_->ejection_changed(server, out);
    }

    void schedule_timer(Duration from_now, TimerKind kind, std::uint64_t key);
    void finish_attempt(AttemptId attempt, AttemptOutcome outcome, std::string_view why = "");
    void cancel_then_finish(AttemptId attempt, const AttemptOutcome& outcome, const char* why);
    void finish_after_close(Attempt& record, AttemptId attempt, const AttemptOutcome& outcome,
                            const char* why);
    void schedule_lease_timer(RequestIndex request);
    void lease_expired(RequestIndex request);
    void fire(const Timer& timer);
    bool is_obsolete(const Timer& timer) const;
    void total_limit_reached(RequestIndex request);
    void attempt_timer_fired(const Timer& timer);
    void check_stream_silence(AttemptId attempt);
    void release_states(RequestIndex request, AttemptId except);
    void end_request(RequestIndex request, RequestOutcome outcome, std::string_view why);
    RequestIndex original_of(RequestIndex request) const {
        return requests_[request].is_hedge ? requests_[request].partner : request;
    }
    RequestIndex active_partner(RequestIndex request) const;
    bool yields_to_partner(RequestIndex request);
    bool is_answered(RequestIndex request);
    void mark_routing_done(RequestIndex request);
    void cancel_partner(RequestIndex winner);
    void start_hedge(RequestIndex request);
    void update_wakeup();

    std::vector<Kind> kinds_;
    std::vector<Category> categories_;
    std::uint32_t max_attempts_;
    DispatcherHost& host_;
    std::vector<Role> roles_;  // by server
    // By server, in tokens: its memory, and the share of it taken by this gateway's decodes.
    std::vector<double> server_memory_, own_tokens_;
    std::vector<TrackedRequest> requests_;
    std::vector<RequestIndex> free_indexes_, ended_requests_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    AttemptId next_attempt_ = 1;
    std::deque<std::pair<AttemptId, AttemptOutcome>> deferred_outcomes_;
    TimerQueue<Timer> timers_;
    std::uint64_t next_sequence_ = 0;
    Instant wakeup_at_;
    bool wakeup_scheduled_ = false;
    std::size_t open_count_ = 0;
    DispatcherCounters counters_;
    DispatcherObserver* observer_ = nullptr;
    std::vector<Candidate> candidates_;  // of the current choice
    ServerChoice choice_;
    Admission admission_;
    bool share_is_learned_ = false;
    FleetShare fleet_share_;
    std::unique_ptr<ShadowEvaluation> shadow_evaluation_;  // null: no shadow evaluation is running
    SendGuard guard_;
    HoldLedger ledger_;
    RequestKey next_key_ = 1;
    Router router_;
};

}  // namespace copperfront
