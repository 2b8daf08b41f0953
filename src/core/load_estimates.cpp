// Load of a server: queued prompt tokens, free memory and cached prefixes, from load reports and from what
// this gateway has sent.
#include <algorithm>
#include <cmath>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// A server may be asked for its report more often than it makes one. An unchanged figure counts as the same
// report. The time of a new report is unknown: it is taken to cover only what was sent before the last answer
// that carried the old figure, and what was sent since then is added to it.
void Router::note_report(ServerIndex s, const LoadReport& report) {
    const auto take_figure = [](double figure, double& last_reported, ExponentialAverage& average,
                                double& since_report, double& since_answer) {
        if (figure < 0) return;
        if (figure != last_reported) since_report = since_answer;
        last_reported = figure;
        since_answer = 0;
        add_sample(average, figure, kRoleSampleWeight);
    };
    // Figures that the terms do not promise are ignored.
    const double memory = terms_.reports_memory_share ? report.memory_share : -1;
    const double queued = terms_.reports_queued_tokens ? report.queued_kilotokens * 1000 : -1;
    take_figure(memory, reported_memory_[s], memory_by_kind_[kind_[s]], streams_since_report_[s],
                streams_since_answer_[s]);
    take_figure(queued, reported_queue_[s], queue_by_kind_[kind_[s]], queued_since_report_[s],
                queued_since_answer_[s]);
    if (memory >= 0 || queued >= 0) reported_at_[s] = now_;
    memory_reported_ |= memory >= 0 && does_decode(s);
}

Router::CachedPrefixes Router::cached_prefixes_of(const RoutedRequest& q) const {
    return {session_prefixes_.find(q.info.session), shared_prefixes_.find(q.info.shared_prefix)};
}

double Router::expected_cached_tokens(const RoutedRequest& q, const CachedPrefixes& prefixes,
                                      ServerIndex s) const {
    double cached = 0;
    if (const CachedPrefix* entry = prefixes.session)
        if (entry->server == s && entry->incarnation == incarnation_[s]) cached = entry->tokens;
    if (const CachedPrefix* entry = prefixes.shared_prefix)
        if (entry->server == s && entry->incarnation == incarnation_[s])
            cached = std::max(cached, q.info.shared_prefix_tokens);
    return std::min(cached, q.info.prompt_tokens);
}

// The output estimate is the client's hint, or half of the request's upper limit.
double Router::estimated_stream_tokens(const RoutedRequest& q) const {
    const Category& c = terms_.categories[q.info.category];
    const double answer = q.info.duration_hint.us > 0 && c.token_gap.us > 0
                              ? q.info.duration_hint / c.token_gap
                              : q.info.max_output_tokens / 2;
    return q.info.prompt_tokens + answer;
}

// Servers without a report count as the average of their kind: one average for all kinds would send
// everything to the kind with the largest memory. A report fades into that average as the streams that it
// counted end; otherwise gateways that rarely hear from a server would all act on outdated figures.
double Router::reported_or_average(ServerIndex s, const std::vector<double>& reported,
                                   const std::vector<ExponentialAverage>& average) const {
    const double mean = average[kind_[s]].mean;
    return reported[s] < 0 ? mean : mean + (reported[s] - mean) * share_still_running(reported_at_[s]);
}

double Router::share_still_running(Instant since) const {
    const double stream_seconds = stream_time_.mean > 0 ? stream_time_.mean / 1000 : kRateTimeConstantS;
    return std::exp(-seconds(now_ - since) / stream_seconds);
}

// Streams sent since the last report end too; otherwise notes of peers alone would mark a server as full for
// good.
void Router::note_stream_sent(ServerIndex s, double tokens) {
    for (auto* tokens_sent : {&streams_since_report_, &streams_since_answer_})
        (*tokens_sent)[s] = (*tokens_sent)[s] * share_still_running(sent_at_[s]) + tokens;
    sent_at_[s] = now_;
}

double Router::stream_tokens_since_report(ServerIndex s) const {
    return streams_since_report_[s] * share_still_running(sent_at_[s]);
}

double Router::queued_prompt_tokens(ServerIndex s) const {
    if (queue_by_kind_[kind_[s]].samples == 0) return own_queued_tokens_[s];
    // Own tokens whose prefill has ended wait no longer, even if an idle prefill server's report stays the
    // same.
    return reported_or_average(s, reported_queue_, queue_by_kind_) +
           std::min(queued_since_report_[s], own_queued_tokens_[s]);
}

// A kind without any report counts as empty, so that it is tried.
double Router::decode_room(ServerIndex s) const {
    if (!memory_reported_) return -own_stream_tokens_[s];
    return (1 - reported_or_average(s, reported_memory_, memory_by_kind_)) * memory_tokens_[s] -
           stream_tokens_since_report(s);
}

bool Router::has_free_memory(ServerIndex s) const {
    if (reported_memory_[s] >= 0 && memory_tokens_[s] > 0 &&
        reported_or_average(s, reported_memory_, memory_by_kind_) +
                stream_tokens_since_report(s) / memory_tokens_[s] >
            kMaxMemoryShare)
        return false;
    return now_ - full_at_[s] >= kFullBackoff;
}

bool Router::has_room(ServerIndex s) const { return is_available(s) && has_free_memory(s); }

bool Router::any_decode_room(const RoutedRequest& q) {
    const bool runs_anywhere = !q.may_have_run || terms_.categories[q.info.category].effect == Effect::pure;
    if (!runs_anywhere) return find_decode_room(q, ready_decode_);
    // Reported loads fade continuously, so the subset is not reused with them.
    const bool is_current = !memory_reported_ && servers_with_room_.is_valid(now_);
    if (!is_current) {
        servers_with_room_.rebuild(ready_decode_, [this](ServerIndex s) {
            if (ejected_until_[s] > now_) servers_with_room_.limit_validity(ejected_until_[s]);
            if (full_at_[s] + kFullBackoff > now_)
                servers_with_room_.limit_validity(full_at_[s] + kFullBackoff);
            if (is_cold(s)) servers_with_room_.limit_validity(started_at_[s] + terms_.warm_up_time);
            return has_room(s);
        });
    }
    if (!is_current || !room_holds_for_all_requests_) find_decode_room(q, servers_with_room_.servers());
    room_holds_for_all_requests_ = true;
    return !servers_with_room_.empty();
}

// Records in which cells and zones this request may find room.
bool Router::find_decode_room(const RoutedRequest& q, const std::vector<ServerIndex>& servers) {
    cell_room_.assign(cells_.size(), false);
    zone_room_.assign(zones_.size(), false);
    room_holds_for_all_requests_ = false;
    bool any = false;
    for (const ServerIndex s : servers)
        if (may_run_on(q, s) && has_room(s)) any = cell_room_[cell_[s]] = zone_room_[zone_[s]] = true;
    return any;
}

// Prefill servers that may receive a request: ready, not recently full, and within their slow-start budget.
const std::vector<ServerIndex>& Router::prefill_candidates() {
    if (!prefill_candidates_.is_valid(now_)) {
        prefill_candidates_.rebuild(ready_prefill_, [this](ServerIndex s) {
            const Instant full_until = full_at_[s] + kFullBackoff;
            if (full_until > now_) prefill_candidates_.limit_validity(full_until);
            if (is_cold(s)) prefill_candidates_.limit_validity(started_at_[s] + terms_.warm_up_time);
            return may_receive(s) && full_until <= now_;
        });
    }
    return prefill_candidates_.servers();
}

const std::vector<ServerIndex>& Router::decode_candidates() {
    if (!decode_candidates_.is_valid(now_)) {
        decode_candidates_.rebuild(ready_decode_, [this](ServerIndex s) {
            if (is_cold(s)) decode_candidates_.limit_validity(started_at_[s] + terms_.warm_up_time);
            return may_receive(s);
        });
    }
    return decode_candidates_.servers();
}

// Expected prefill time per queued token. Servers that report their queue: the mean of all prefills, as a
// single report is inaccurate and the queue itself shows an overload. Other servers: the pace measured at
// this server from recent prefills and the tokens that this gateway had queued. It decays towards the pace of
// the role, which decays towards 0; otherwise an overload that has ended would still count.
double Router::current_pace(ServerIndex s, Duration goal) const {
    if (queue_by_kind_[kind_[s]].samples > 0)
        return tokens_per_prefill_.samples < kMinPaceSamples ? 0.0
                                                             : prefill_time_.mean / tokens_per_prefill_.mean;
    const double of_role = role_pace(goal);
    if (pace_samples_[s] == 0 || !does_prefill(s)) return of_role;
    return of_role + (pace_[s] - of_role) * std::exp((pace_measured_at_[s] - now_) / goal / kPaceFadeGoals);
}

// Pace of the whole role. The result is cached, as many servers are compared for the same request.
double Router::role_pace(Duration goal) const {
    if (log_paces_by_attempt_[1].samples == 0) return 0;
    RolePace& cached = role_pace_;
    if (cached.at != now_ || cached.goal != goal || cached.samples != log_paces_by_attempt_[1].samples) {
        const double pace = std::exp(log_paces_by_attempt_[1].mean) *
                            std::exp((role_pace_measured_at_ - now_) / goal / kPaceFadeGoals);
        cached = {now_, goal, log_paces_by_attempt_[1].samples, pace};
    }
    return cached.pace;
}

}  // namespace copperfront
