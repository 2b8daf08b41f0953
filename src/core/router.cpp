// The events of one gateway and what follows from each; router.h has a method for each event. The ordinary
// path is that of docs/design.md: a request goes to the prefill server with the fewest queued prompt tokens
// (or the one with its prefix cached), waits before its prefill while no decode server shows room, and from
// the end of the prefill goes to the decode server with the most free memory. All other code handles faults;
// each place says which. The decisions are in files of their own beside this one.
#include "router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "router_constants.h"

namespace copperfront {

Router::Router(const Terms& terms, Host& host, std::uint32_t seed)
    : terms_(terms),
      host_(host),
      now_(host.now()),
      random_(seed),
      session_prefixes_(kRememberedPrefixes),
      shared_prefixes_(kRememberedPrefixes),
      memory_by_kind_(terms.kinds.size()),
      queue_by_kind_(terms.kinds.size()),
      work_by_category_(terms.categories.size()),
      suspensions_(terms.categories.size()),
      quota_credit_(terms.quotas.size()),
      quota_refilled_at_(terms.quotas.size(), host.now()) {
    counts_decayed_at_ = now_;
    for (std::size_t g = 0; g < terms_.quotas.size(); ++g)
        quota_credit_[g] = quota_burst(terms_.quotas[g] / terms_.gateways);
    if (terms_.ask_for_list) host_.subscribe();
}

// Learned averages and spent budgets stay: a change of terms is not a restart.
void Router::terms_changed(const Terms& terms) {
    now_ = host_.now();
    terms_ = terms;
    work_by_category_.resize(terms_.categories.size());
    suspensions_.resize(terms_.categories.size(), std::vector<CategorySuspension>(server_count_));
    for (auto* averages : {&memory_by_kind_, &queue_by_kind_}) averages->resize(terms_.kinds.size());
    quota_credit_.resize(terms_.quotas.size());
    quota_refilled_at_.resize(terms_.quotas.size(), now_);
    compute_fleet_shares();
    listed_servers_changed();
    serve_queues();
}

void Router::add_servers_up_to(ServerIndex s) {
    if (s < server_count_) return;
    server_count_ = s + 1;
    role_.resize(server_count_, Role::mixed);
    status_.resize(server_count_, ServerStatus::removed);
    name_hash_.resize(server_count_);
    for (auto* ids : {&zone_, &kind_}) ids->resize(server_count_);
    for (auto* counts : {&cell_, &incarnation_, &pace_samples_, &unanswered_attempts_})
        counts->resize(server_count_);
    for (auto* durations : {&ejection_time_, &probe_duration_}) durations->resize(server_count_);
    for (auto* instants :
         {&started_at_, &full_at_, &ejected_until_, &slow_start_refilled_at_, &last_heard_at_, &reported_at_,
          &pace_measured_at_, &probed_at_, &probe_answered_at_, &sent_at_, &connected_at_})
        instants->resize(server_count_);
    for (auto& instants : answered_sent_at_) instants.resize(server_count_);
    for (auto& suspensions : suspensions_) suspensions.resize(server_count_);
    for (auto* figures :
         {&memory_tokens_, &own_queued_tokens_, &own_stream_tokens_, &reported_memory_, &reported_queue_,
          &queued_since_report_, &streams_since_report_, &queued_since_answer_, &streams_since_answer_,
          &outlier_score_, &failure_rate_, &pace_, &slow_start_credit_})
        figures->resize(server_count_);
    unreachable_.resize(server_count_);
}

// A new server process has nothing of what its predecessor was sent, cached or was judged by.
void Router::reset_server(ServerIndex s) {
    ++incarnation_[s];
    for (auto& suspensions : suspensions_) suspensions[s] = {};
    full_at_[s] = now_ - kFullBackoff * 2;
    ejected_until_[s] = now_;
    ejection_time_[s] = {};
    connected_at_[s] = {};
    reported_memory_[s] = reported_queue_[s] = -1;
    reported_at_[s] = now_ - kMs * 1000;
    own_queued_tokens_[s] = own_stream_tokens_[s] = queued_since_report_[s] = streams_since_report_[s] =
        queued_since_answer_[s] = streams_since_answer_[s] = outlier_score_[s] = failure_rate_[s] = pace_[s] =
            0;
    pace_samples_[s] = unanswered_attempts_[s] = 0;
    // A random start credit spreads the first requests of many gateways over time, so that together they send
    // what the rate allows even where the share of each is less than one request.
    slow_start_credit_[s] = random_unit();
    slow_start_refilled_at_[s] = now_;
}

void Router::list_arrived(std::span<const ServerListing> entries, bool is_snapshot) {
    now_ = host_.now();
    const std::size_t known_servers = server_count_;
    ServerIndex highest = 0;
    for (const ServerListing& e : entries) highest = std::max(highest, e.server);
    if (!entries.empty()) add_servers_up_to(highest);
    std::vector<bool> listed(server_count_, false), is_known(server_count_, false);
    std::fill_n(is_known.begin(), known_servers, true);
    for (const ServerListing& e : entries) {
        const ServerIndex s = e.server;
        listed[s] = true;
        if (!is_known[s] || started_at_[s] != e.started_at) reset_server(s);
        is_known[s] = true;
        role_[s] = terms_.kinds[e.kind].role;
        kind_[s] = e.kind;
        memory_tokens_[s] = terms_.kinds[e.kind].memory_tokens;
        zone_[s] = e.zone;
        cell_[s] = e.cell;
        name_hash_[s] = e.name_hash;
        started_at_[s] = e.started_at;
        status_[s] = e.status;
    }
    if (is_snapshot)
        for (ServerIndex s = 0; s < server_count_; ++s)
            if (!listed[s]) status_[s] = ServerStatus::removed;
    compute_fleet_shares();
    listed_servers_changed();
    serve_queues();
}

// The old list stays in use. Asking again at once would load the one list service that all gateways share.
void Router::list_fetch_failed() {
    if (!terms_.ask_for_list) return;
    std::uniform_int_distribution<std::int64_t> delay_ms(200, 1000);
    host_.set_timer(kMs * static_cast<double>(delay_ms(random_)), kListKey);
}

double Router::random_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

void Router::send(RequestIndex i, ServerIndex s, bool is_prefill) {
    RoutedRequest& q = requests_[i];
    q.stage = is_prefill ? Stage::prefilling : Stage::decoding;
    q.server = s;
    q.server_incarnation = incarnation_[s];
    q.in_flight = true;
    q.cancelled = q.has_first_token = false;
    q.at_prefill_server = role_[s] == Role::prefill;
    q.sent_at = now_;
    q.state_incarnation = is_prefill ? incarnation_[s] : q.state_incarnation;
    if (!q.may_have_run) q.ran_since = q.sent_at, q.ran_zone = zone_[s], q.ran_cell = cell_[s];
    ++q.attempts;
    change_unanswered(s, 1);
    if (is_prefill) {
        q.prefill_tokens = q.info.prompt_tokens - expected_cached_tokens(q, cached_prefixes_of(q), s);
        own_queued_tokens_[s] += q.prefill_tokens;
        queued_since_report_[s] += q.prefill_tokens;
        queued_since_answer_[s] += q.prefill_tokens;
        q.queued_tokens = queued_prompt_tokens(s);
    }
    if (does_decode(s)) {
        q.stream_tokens = estimated_stream_tokens(q);
        own_stream_tokens_[s] += q.stream_tokens;
        note_stream_sent(s, q.stream_tokens);
        notify_peers('w', s, q.stream_tokens / kTokensPerNoteUnit);
    }
    if (is_cold(s)) {
        const ExponentialAverage& category_work = work_by_category_[q.info.category];
        const double work = average_work_.mean > 0 && category_work.samples > 0
                                ? category_work.mean / average_work_.mean
                                : 1.0;
        set_slow_start_credit(s, slow_start_credit_[s] - work);
    }
    // One attempt at a time tests a suspended category (half-open probe).
    if (CategorySuspension& suspension = suspensions_[q.info.category][s]; suspension.backoff.us > 0) {
        suspension.since = q.sent_at;
        suspension.until = q.goal_deadline;
    }
    // No shorter limit than the deadline by default: under overload every attempt would run into it, and its
    // work would be asked for again.
    const Duration timeout = is_prefill ? q.info.prefill_timeout : q.info.first_token_timeout;
    const Duration time_left = q.deadline - now_;
    host_.start_attempt(i, s,
                        {timeout.us > 0 ? std::min(timeout, time_left) : time_left, repeat_time_left(q)});
    schedule_silence_check();
}

// Counts the attempts that a server has not answered yet.
void Router::change_unanswered(ServerIndex s, int by) {
    unanswered_attempts_[s] += static_cast<std::uint32_t>(by);
    // An ejected server gets one attempt at a time.
    if (ejection_time_[s].us > 0) servers_with_room_.invalidate();
}

// Takes the ended attempt out of its server's load; a process started since does not have it.
void Router::uncount_attempt(RoutedRequest& q) {
    if (!q.in_flight) return;
    q.in_flight = false;
    const ServerIndex s = q.server;
    if (q.server_incarnation == incarnation_[s]) {
        if (!q.has_first_token) change_unanswered(s, -1);
        own_queued_tokens_[s] = std::max(0.0, own_queued_tokens_[s] - q.prefill_tokens);
        own_stream_tokens_[s] = std::max(0.0, own_stream_tokens_[s] - q.stream_tokens);
    }
    q.prefill_tokens = q.stream_tokens = 0;
}

void Router::stream_began(RequestIndex i, Duration duration) {
    now_ = host_.now();
    RoutedRequest& q = requests_[i];
    const ServerIndex s = q.server;
    last_heard_at_[s] = now_;
    if (q.server_incarnation == incarnation_[s]) {
        connected_at_[s] = now_;
        change_unanswered(s, -1);
        own_queued_tokens_[s] = std::max(0.0, own_queued_tokens_[s] - q.prefill_tokens);
    }
    q.has_first_token = true;
    q.prefill_tokens = 0;
    if (q.stage == Stage::finished) return;
    q.stage = Stage::streaming;
    recent_decodes_ += 1;
    add_sample(first_token_time_, duration.ms());
    if (q.has_state) note_hand_over(q, duration);
    answered_sent_at_[false][s] = std::max(answered_sent_at_[false][s], q.sent_at);
    note_category_answered(q, s);
    note_success(s, duration.ms(), !q.has_state);
    q.has_state = false;
    goal_usage_ += 0.05 * ((now_ - q.arrived_at) / (q.goal_deadline - q.arrived_at) - goal_usage_);
}

void Router::remember_cached_prefix(const RoutedRequest& q, ServerIndex s) {
    const RequestInfo& f = q.info;
    if (f.session != 0) session_prefixes_.put(f.session, {s, incarnation_[s], f.prompt_tokens});
    if (f.shared_prefix != 0)
        shared_prefixes_.put(f.shared_prefix, {s, incarnation_[s], f.shared_prefix_tokens});
}

void Router::attempt_ended(RequestIndex i, ServerIndex s, const AttemptOutcome& outcome) {
    now_ = host_.now();
    RoutedRequest& q = requests_[i];
    const bool is_prefill = q.stage == Stage::prefilling;
    const double tokens_ahead = std::max(0.0, q.queued_tokens - q.prefill_tokens);
    if (!q.in_flight || q.server != s)
        q.state_incarnation = incarnation_[s];  // an attempt that this router did not make
    uncount_attempt(q);
    note_report(s, outcome.report);

    const Ending e = outcome.ending;
    const bool ended_locally =
        e == Ending::cancelled || e == Ending::timed_out || e == Ending::unreachable || e == Ending::unsent;
    if (!ended_locally) last_heard_at_[s] = now_;
    const bool same_process = q.server_incarnation == incarnation_[s];
    if (!ended_locally && same_process) connected_at_[s] = e == Ending::connection_lost ? Instant{} : now_;
    if (e == Ending::unreachable) eject(s, true);
    if (e == Ending::error || e == Ending::timed_out ||
        (e == Ending::connection_lost && !outcome.stale_connection))
        note_failure(s);
    if (e == Ending::refused && !outcome.state_missing) {
        full_at_[s] = now_;
        availability_changed(s);
    }
    if (e == Ending::prefilled) {
        answered_sent_at_[true][s] = std::max(answered_sent_at_[true][s], q.sent_at);
        note_category_answered(q, s);
        recent_prefills_ += 1;
        add_sample(prefill_time_, outcome.duration.ms());
        const double tokens = tokens_ahead + q.info.prompt_tokens - outcome.cached_tokens;
        add_sample(tokens_per_prefill_, tokens + kMinPrefillPrompts * prompt_length_.mean);
        note_success(s, outcome.duration.ms() / (tokens + kMinPrefillPrompts * prompt_length_.mean), true);
        if (q.info.shared_prefix_tokens > 0)
            add_sample(cached_share_, std::min(1.0, outcome.cached_tokens / q.info.shared_prefix_tokens));
        remember_cached_prefix(q, s);
    }
    if (e == Ending::completed) add_sample(stream_time_, outcome.duration.ms());
    if (e == Ending::timed_out)
        add_sample(q.at_prefill_server ? prefill_time_ : first_token_time_, outcome.duration.ms());

    if (q.stage == Stage::finished || outcome.request_answered) {
        q.stage = Stage::finished;
        host_.release(i);
        return serve_queues();
    }
    const bool may_have_run = e == Ending::error || e == Ending::timed_out || e == Ending::connection_lost ||
                              e == Ending::cancelled;
    q.may_have_run |= may_have_run && !q.at_prefill_server;
    if (e == Ending::prefilled) {
        q.has_state = true;
        q.state_server = s;
        q.waiting_since = now_;
        q.avoided_servers.clear();
        hand_over(i);
    } else {
        // A prefill server whose connection was lost during the prefill is not avoided: the prefix is likely
        // to be cached there now. Every other failed server is avoided, also after a cancellation: a silent
        // server may hang, so the prompt is prefilled elsewhere. After the lost answer of a hand-over the
        // state has probably been transferred already, so it is released.
        if (!is_prefill || e != Ending::connection_lost) q.avoided_servers.push_back(s);
        if (e == Ending::connection_lost || e == Ending::cancelled) {
            q.answer_lost = true;
            if (!is_prefill && q.has_state && !outcome.stale_connection) release_state(i);
        }
        if (e != Ending::unreachable) q.waiting_since = now_;
        q.last_ending = e;
        const bool repeat_window_over = !is_prefill && q.may_have_run && repeat_time_left(q).us <= 0;
        if (e == Ending::unsent || q.deadline <= now_ + terms_.quantum || repeat_window_over) {
            end_request(i, Duration{0});
        } else if (is_prefill || outcome.state_missing) {
            if (outcome.state_missing && q.has_state) note_failure(q.state_server);
            release_state(i);
            retry_or_end(i);
        } else if (!q.has_state) {
            retry_or_end(i);
        } else if (!host_.may_attempt_again(i, q.last_ending)) {
            end_request(i, terms_.max_retry_after * 0.25);
        } else if (e == Ending::refused && q.attempts < attempt_limit(q) && !any_decode_room(q)) {
            wait_for_decode(i);
        } else {
            hand_over(i);
        }
    }
    serve_queues();
}

void Router::lease_expired(RequestIndex i) {
    now_ = host_.now();
    RoutedRequest& q = requests_[i];
    q.has_state = false;
    if (q.stage == Stage::decoding && q.in_flight) return cancel_unanswered_hand_over(i);
    if (q.stage != Stage::waiting_for_decode) return;
    retry_or_end(i);
    serve_queues();
}

void Router::client_left(RequestIndex i) {
    now_ = host_.now();
    RoutedRequest& q = requests_[i];
    if (q.stage == Stage::finished) return;
    finish(i);
    serve_queues();
}

void Router::schedule_sweep(Duration after) {
    const Instant at = now_ + std::max(after, terms_.quantum);
    if (sweep_at_ > now_ && sweep_at_ <= at) return;
    sweep_at_ = at;
    host_.set_timer(at - now_, kSweepKey);
}

bool Router::is_obsolete(TimerKey key) const {
    if (key < kRequestKeys) return false;
    const auto i = static_cast<RequestIndex>((key - kRequestKeys) >> 30);
    const auto serial = static_cast<std::uint32_t>(key & ((1U << 30) - 1));
    if (i >= requests_.size()) return true;
    const RoutedRequest& q = requests_[i];
    return q.serial % (1U << 30) != serial || q.stage == Stage::finished || q.stage == Stage::streaming;
}

void Router::timer_fired(TimerKey key) {
    now_ = host_.now();
    if (key >= kRequestKeys) {
        const auto i = static_cast<RequestIndex>((key - kRequestKeys) >> 30);
        if (is_obsolete(key)) return;
        // No first token by the deadline counts as 1.5 latency goals; 0.05: weight of a sample.
        goal_usage_ += 0.05 * (1.5 - goal_usage_);
        end_request(i, Duration{0});
        return serve_queues();
    }
    if (key == kSweepKey) {
        if (now_ >= sweep_at_) sweep_at_ = {};
        serve_waiting_for_decode(), serve_queues();
    }
    if (key == kListKey) host_.subscribe();
    if (key == kSilenceCheckKey) check_for_silence();
}

}  // namespace copperfront
