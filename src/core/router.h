// The router of one gateway: admission, placement, retries, server health and slow start. Each public method
// handles one event; the router acts through the Host interface.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "helpers.h"
#include "router_host.h"
#include "server_subset.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

// What the server list says of a server.
enum class ServerStatus { ready, draining, removed };

// One entry of the server list.
struct ServerListing {
    ServerIndex server = 0;
    std::uint16_t kind = 0;
    std::uint16_t zone = 0;
    std::uint32_t cell = 0;  // cells are numbered densely from 0
    Instant started_at;      // start of the server process; 0: long ago
    ServerStatus status = ServerStatus::ready;
    std::uint64_t name_hash =
        0;  // hash of the server's name, the same at all gateways and otherwise arbitrary
};

// What the router knows about a request when it arrives.
struct RequestInfo {
    std::uint16_t category = 0;
    std::int32_t client_group = -1;   // -1: none
    std::uint64_t session = 0;        // 0: none
    std::uint64_t shared_prefix = 0;  // hash of a prompt prefix that other sessions share; 0: none
    double prompt_tokens = 0;
    double shared_prefix_tokens = 0;
    double max_output_tokens = 0;  // upper limit of the output
    Duration duration_hint;        // rough duration of the answer; 0: none
    Duration time_budget;          // until the client stops waiting; it may send the request again after that
    std::int32_t avoided_server = -1;  // server that the first attempt avoids; -1: none
    // The request's own limits; 0: only those of the terms apply.
    std::uint32_t max_attempts = 0;
    Duration prefill_timeout, hand_over_timeout, first_token_timeout;
};

// Load of a server as it reports it, with answers or to probes.
struct LoadReport {
    double memory_share = -1;  // -1: not in the report
    double queued_kilotokens = -1;
};

// How an attempt ended.
struct AttemptOutcome {
    Ending ending = Ending::error;
    Duration duration;
    double cached_tokens = 0;
    bool state_missing = false;
    bool request_answered = false;  // the request has had its final answer
    // The attempt failed on a connection reused from an earlier attempt, before any byte of the answer. That
    // says something about the connection, not the server, which most likely never saw the attempt.
    bool stale_connection = false;
    // The attempt failed because this gateway closed the connection; the server has not seen the close yet.
    bool closed_by_gateway = false;
    LoadReport report;
};

// Where a request is on its way through the gateway.
enum class Stage {
    idle,
    queued,
    queued_for_retry,
    prefilling,
    waiting_for_decode,
    decoding,
    streaming,
    finished
};

// State of a request between its arrival and its final answer. A server's incarnation counts the processes
// that have served under its index.
struct RoutedRequest {
    RequestInfo info;
    Stage stage = Stage::idle;
    std::uint32_t serial = 0;  // tells apart requests with the same index
    Instant arrived_at, goal_deadline, deadline;
    Instant probe_deadline;  // probed prefill servers may answer until then
    std::array<ServerIndex, 2> probed_servers{};
    std::uint32_t attempts = 0;
    ServerIndex server = 0;  // of the attempt in flight
    std::uint32_t server_incarnation = 0;
    bool in_flight = false;
    bool at_prefill_server = false;
    bool cancelled = false, has_first_token = false;
    bool has_state = false;
    ServerIndex state_server = 0;
    std::uint32_t state_incarnation = 0;
    Instant waiting_since, sent_at;
    double prefill_tokens = 0, stream_tokens = 0, queued_tokens = 0;
    double prefix_share = 0;  // estimated share of requests with this request's shared prefix
    std::vector<ServerIndex> avoided_servers;
    Ending last_ending = Ending::prefilled;  // of the previous attempt
    bool answer_lost = false;
    bool may_have_run = false;
    // Location of the server of the earliest attempt that may have run, or else of the newest attempt. The
    // server's index is not kept, as it may name another server by then.
    std::uint16_t ran_zone = 0;
    std::uint32_t ran_cell = 0;
    Instant ran_since;
};

// A prompt, or the shared prefix of one, that a server process is expected to have in its prefix cache.
struct CachedPrefix {
    ServerIndex server = 0;
    std::uint32_t incarnation = 0;
    double tokens = 0;
};

// A category that a server has left unanswered. The server gets none of it until `until`; only answers to
// attempts sent from `since` on count. This is a circuit breaker for one server and category, with
// exponential backoff.
struct CategorySuspension {
    Instant until, since;
    Duration backoff;  // 0: the server answers the category
};

// Shares of the fleet that a cell or a zone holds.
struct LocationShare {
    double prefill_share = 0, decode_share = 0;
    double prefill_work = 0;  // target share of all prefills that its prefill servers get
    // Of a zone: prefill work of its cells beyond their decode share, and decode share beyond their work.
    double excess = 0, spare = 0;
    std::uint16_t zone = 0;  // of a cell
};

class Router {
  public:
    Router(const Terms& terms, Host& host, std::uint32_t seed);

    // Categories, kinds and client groups may only have been added; requests in progress keep the category
    // that they arrived with.
    void terms_changed(const Terms& terms);
    void list_arrived(std::span<const ServerListing> entries, bool is_snapshot);
    void list_fetch_failed();
    void request_arrived(RequestIndex request, const RequestInfo& info);
    void client_left(RequestIndex request);
    void stream_began(RequestIndex request, Duration duration);
    void attempt_ended(RequestIndex request, ServerIndex server, const AttemptOutcome& outcome);
    // The lease of the request's state has ended: the state has been released, whichever attempt is in
    // flight.
    void lease_expired(RequestIndex request);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void timer_fired(TimerKey key);
    // Whether this timer of a request would have no effect any more, as the request has ended or streams.
    bool is_obsolete(TimerKey key) const;
    void peer_note_received(std::string_view text);
    // Requests that wait for a server, for monitoring.
    struct Waiting {
        std::size_t requests = 0;
        Instant oldest;  // arrival of the request that has waited longest; valid if there is any
    };
    Waiting waiting() const;
    // Discards the cached subsets of servers, which changes no decision. For tests that compare decisions
    // with and without the cache.
    void invalidate_server_subsets() { listed_servers_changed(); }

  private:
    bool does_prefill(ServerIndex s) const;
    bool does_decode(ServerIndex s) const;
    bool is_ready(ServerIndex s) const;
    bool is_cold(ServerIndex s) const;
    bool may_receive(ServerIndex s) const;
    const std::vector<ServerIndex>& prefill_candidates();
    const std::vector<ServerIndex>& decode_candidates();
    void listed_servers_changed();
    void availability_changed(ServerIndex s);
    void set_slow_start_credit(ServerIndex s, double credit);
    void change_unanswered(ServerIndex s, int by);
    bool is_available(ServerIndex s) const;
    Duration repeat_time_left(const RoutedRequest& q) const;
    bool may_run_on(const RoutedRequest& q, ServerIndex s) const;
    bool has_free_memory(ServerIndex s) const;
    bool any_decode_room(const RoutedRequest& q);
    bool find_decode_room(const RoutedRequest& q, const std::vector<ServerIndex>& servers);
    bool has_room(ServerIndex s) const;
    // Where this gateway expects the request's prefixes to be cached; null: unknown.
    struct CachedPrefixes {
        const CachedPrefix* session;
        const CachedPrefix* shared_prefix;
    };
    CachedPrefixes cached_prefixes_of(const RoutedRequest& q) const;
    double expected_cached_tokens(const RoutedRequest& q, const CachedPrefixes& prefixes,
                                  ServerIndex s) const;
    double estimated_stream_tokens(const RoutedRequest& q) const;
    double reported_or_average(ServerIndex s, const std::vector<double>& reported,
                               const std::vector<ExponentialAverage>& average) const;
    double share_still_running(Instant since) const;
    void note_stream_sent(ServerIndex s, double tokens);
    double stream_tokens_since_report(ServerIndex s) const;
    double queued_prompt_tokens(ServerIndex s) const;
    double decode_room(ServerIndex s) const;
    bool trace_choice(const RoutedRequest& q, ServerIndex chosen, bool is_prefill, const char* why);
    bool pick_prefill_server(const RoutedRequest& q, ServerIndex& best);
    bool pick_decode_server(const RoutedRequest& q, ServerIndex& best);
    bool is_connected(ServerIndex s) const;
    ServerIndex pick_among_ties(const RoutedRequest& q, double least_room);
    ServerIndex prefer_connected(ServerIndex picked, double least_room);

    double random_unit();
    double affinity_score(const RoutedRequest& q, ServerIndex s);
    double prefill_weight(ServerIndex s) const { return prefill_weights_[s]; }
    double compute_prefill_weight(ServerIndex s) const;
    void score_candidates(const RoutedRequest& q, double max_load);
    ServerIndex preferred_server(const RoutedRequest& q, double total_weight);
    std::size_t preferred_rank(const RoutedRequest& q, double total_weight) const;
    double decode_weight(ServerIndex s, ServerIndex prefill_server) const;
    double cached_decode_weight(ServerIndex s, ServerIndex prefill_server);
    std::size_t distance_class(ServerIndex from, ServerIndex to) const;
    void note_hand_over(const RoutedRequest& q, Duration duration);
    double hand_over_time(std::size_t distance) const;
    void compute_fleet_shares();
    void add_servers_up_to(ServerIndex s);
    void reset_server(ServerIndex s);
    void refill_slow_start();
    void note_success(ServerIndex s, double pace, bool is_prefill);
    void note_failure(ServerIndex s);
    double update_failure_rate(ServerIndex s, double sample);
    void add_evidence(ServerIndex s, double log_odds);
    void eject(ServerIndex s, bool unreachable);
    double current_pace(ServerIndex s, Duration goal) const;
    double role_pace(Duration goal) const;
    bool is_transfer_late(const RoutedRequest& q, ServerIndex s, Duration prefill_time) const;
    bool is_prefill_late(const RoutedRequest& q, double cached, ServerIndex s) const;
    void note_report(ServerIndex s, const LoadReport& report);
    void remember_cached_prefix(const RoutedRequest& q, ServerIndex s);

    void send(RequestIndex i, ServerIndex s, bool is_prefill);
    void uncount_attempt(RoutedRequest& q);
    bool try_start(RequestIndex i);
    void hand_over(RequestIndex i);
    void release_state(RequestIndex i);
    void wait_for_decode(RequestIndex i);
    void requeue(RequestIndex i);
    void retry_or_end(RequestIndex i);
    void end_request(RequestIndex i, Duration retry_after);
    void finish(RequestIndex i);
    void cancel_unanswered_hand_over(RequestIndex i);
    std::uint32_t attempt_limit(const RoutedRequest& q) const;
    Instant useful_until(const RoutedRequest& q) const;
    void serve_queues();
    void serve_queue(std::deque<std::pair<RequestIndex, std::uint32_t>>& queue, Stage stage);
    bool is_overdue(const RoutedRequest& q) const;
    void serve_waiting_for_decode();
    void schedule_sweep(Duration after);
    void check_for_silence();
    void schedule_silence_check();
    bool is_available_to(const RoutedRequest& q, ServerIndex s) const;
    void suspend_category(std::uint16_t category, ServerIndex s, bool observed_here);
    void note_category_answered(const RoutedRequest& q, ServerIndex s);
    void notify_peers(char type, ServerIndex s, double value);
    void earn_probe_credit();
    void probe(ServerIndex s);
    void probe_stalest();
    void probe_preferred_servers(RoutedRequest& q);
    bool answered_probe_quickly(const RoutedRequest& q, ServerIndex s) const;
    bool exceeds_quota(const RoutedRequest& q);

    Terms terms_;
    Host& host_;
    Instant now_;  // time of the current event
    std::minstd_rand random_;

    std::vector<RoutedRequest> requests_;
    std::deque<std::pair<RequestIndex, std::uint32_t>> new_requests_, retries_, waiting_for_decode_;
    Instant sweep_at_;
    bool silence_check_scheduled_ = false;
    GenerationalCache<CachedPrefix> session_prefixes_, shared_prefixes_;

    std::size_t server_count_ = 0;
    std::vector<Role> role_;
    std::vector<ServerStatus> status_;
    std::vector<std::uint16_t> zone_, kind_;
    bool has_prefill_servers_ = false;
    std::vector<std::uint32_t> cell_, incarnation_;
    std::vector<std::uint64_t> name_hash_;
    std::vector<ServerIndex> candidates_;  // of the current choice
    // For the current choice of a decode server: the room of each candidate, and the weights by cell.
    std::vector<double> candidate_room_;
    struct CellWeight {
        bool is_known = false;
        std::uint16_t zone = 0;
        double weight = 0;
    };
    std::vector<CellWeight> cell_weights_;
    // Ready servers by role (mixed ones are in both lists), those of them in slow start, and the subsets that
    // may receive a request now.
    std::vector<ServerIndex> ready_prefill_, ready_decode_, cold_servers_;
    ServerSubset prefill_candidates_, decode_candidates_, servers_with_room_;
    bool room_holds_for_all_requests_ = false;  // whether cell_room_ and zone_room_ hold for any request
    std::vector<double> prefill_weights_;
    struct RolePace {
        Instant at;
        Duration goal;
        std::uint64_t samples = 0;
        double pace = 0;
    };
    mutable RolePace role_pace_;     // cached result of role_pace()
    std::size_t server_checks_ = 0;  // servers examined for waiting requests since server_checks_since_
    Instant server_checks_since_;
    std::vector<Host::Candidate> traced_candidates_;
    std::vector<std::pair<double, ServerIndex>> scores_;
    std::unordered_map<std::uint64_t, std::pair<double, Instant>> shared_prefix_counts_;
    std::vector<LocationShare> cells_, zones_;
    std::vector<bool> cell_room_, zone_room_;  // as of the last check
    // Sums over all zones: decode share that is left after the zone's own excess, and prefill work beyond
    // 1 / number of zones.
    double net_spare_of_zones_ = 0, prefill_above_equal_share_ = 0;
    // reported_at_: time of the last report or of the last probe sent; the latter keeps probe_stalest() from
    // probing the same server again.
    std::vector<Instant> started_at_, full_at_, ejected_until_, slow_start_refilled_at_, last_heard_at_,
        reported_at_, pace_measured_at_, probed_at_, probe_answered_at_, sent_at_, connected_at_;
    Instant role_pace_measured_at_;
    std::vector<Duration> ejection_time_, probe_duration_;
    // pace_: average time, higher is slower, see note_success(). Of a prefill: ms for each token prefilled or
    // queued ahead; of a stream: ms to its first token.
    std::vector<double> memory_tokens_, own_queued_tokens_, own_stream_tokens_, reported_memory_,
        reported_queue_, queued_since_report_, streams_since_report_, queued_since_answer_,
        streams_since_answer_, outlier_score_, failure_rate_, pace_, slow_start_credit_;
    std::vector<bool> unreachable_;
    std::vector<std::uint32_t> pace_samples_, unanswered_attempts_;

    ExponentialAverage prompt_length_, prefill_time_, tokens_per_prefill_, first_token_time_, stream_time_,
        cached_share_;
    std::vector<ExponentialAverage> memory_by_kind_, queue_by_kind_;  // averages of reported loads, by kind
    // role_failure_rates_: [0] decode and mixed servers, [1] prefill servers. log_paces_by_attempt_: [0]
    // hand-overs, [1] prefills, with streams that began without a state.
    std::array<ExponentialAverage, 2> role_failure_rates_, log_paces_by_attempt_;
    std::array<ExponentialAverage, 3> hand_over_times_;  // by distance class
    std::array<Instant, 3> last_hand_over_at_{};
    Instant shares_computed_at_;
    // Ready servers that [0] decode, [1] prefill (see does_decode() and does_prefill()).
    std::array<double, 2> role_sizes_{};
    bool memory_reported_ = false;
    double probe_credit_ = 0;
    std::vector<ExponentialAverage> work_by_category_;
    ExponentialAverage average_work_;
    double goal_usage_ = 0;
    double recent_prefills_ = 0, recent_decodes_ = 0, recent_arrivals_ = 0;
    // Pairs of requests, an earlier and a later one: with the same shared prefix, and all.
    double matching_pairs_ = 0, all_pairs_ = 0;
    Instant counts_decayed_at_;
    std::vector<std::vector<CategorySuspension>> suspensions_;  // by category, then by server
    // When the latest answered attempt was sent to each server. [0]: hand-overs; [1]: prefills.
    std::array<std::vector<Instant>, 2> answered_sent_at_;
    std::vector<double> quota_credit_;
    std::vector<Instant> quota_refilled_at_;
};

}  // namespace copperfront
