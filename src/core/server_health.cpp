// Health of servers: outlier ejection by failures and pace, silence, and categories that a server leaves
// unanswered.
#include <algorithm>
#include <cmath>
#include <utility>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// An ejected server gets single attempts once its ejection time is over (half-open probe); a success readmits
// it.
bool Router::is_available(ServerIndex s) const {
    return may_receive(s) &&
           (ejection_time_[s].us == 0 || (now_ >= ejected_until_[s] && unanswered_attempts_[s] == 0));
}

// Whether the server is available and not known to leave the request's category unanswered.
bool Router::is_available_to(const RoutedRequest& q, ServerIndex s) const {
    return is_available(s) && now_ >= suspensions_[q.info.category][s].until;
}

// Outlier ejection. The outlier score of a server is the log of the odds that it fails rather than behaves
// like its role, added up from each outcome against what the whole role shows now: a few samples are enough
// where they stand out, and a fleet that fails or is slow as a whole ejects no server. It handles servers
// that answer fast with errors (and would attract all traffic, as they have the fewest queued tokens), fall
// silent, or lose states or streams.
void Router::note_failure(ServerIndex s) {
    add_evidence(s, std::log(kOutlierFailureRate / update_failure_rate(s, 1.0)));
}

// Adds a sample, and returns the failure rate of the other servers of the role.
double Router::update_failure_rate(ServerIndex s, double sample) {
    ExponentialAverage& rate = role_failure_rates_[role_[s] == Role::prefill];
    const double peers = std::max(1.0, role_sizes_[role_[s] == Role::prefill]);
    const double others = peers > 1 ? (rate.mean * peers - failure_rate_[s]) / (peers - 1) : rate.mean;
    add_sample(rate, sample, std::min(kServerSampleWeight, 1 / peers));
    failure_rate_[s] += kServerSampleWeight * (sample - failure_rate_[s]);
    return std::clamp(others, kMinFailureRate, kOutlierFailureRate);
}

// Also ejects servers that run slow without failing. Each server is judged by the pace of one kind of
// attempt: prefills if it prefills, otherwise hand-overs.
void Router::note_success(ServerIndex s, double pace, bool is_prefill) {
    const double log_odds = std::log((1 - kOutlierFailureRate) / (1 - update_failure_rate(s, 0.0)));
    if (is_prefill != does_prefill(s)) return add_evidence(s, log_odds);
    ExponentialAverage& peers = log_paces_by_attempt_[is_prefill];
    const double log_pace = std::log(std::max(pace, 1e-9));
    const double slowness = peers.samples < kMinPaceSamples ? 0.0 : log_pace - peers.mean - kPaceSlack;
    if (is_prefill) role_pace_measured_at_ = now_;
    add_sample(peers, log_pace, kRoleSampleWeight);
    pace_measured_at_[s] = now_;
    ++pace_samples_[s];
    pace_[s] += std::max(kServerSampleWeight, 1.0 / pace_samples_[s]) * (pace - pace_[s]);
    add_evidence(s, log_odds + std::clamp(slowness, -kPaceSlack, kMaxSlownessEvidence));
}

void Router::add_evidence(ServerIndex s, double log_odds) {
    outlier_score_[s] = std::max(0.0, outlier_score_[s] + log_odds);
    if (outlier_score_[s] >= kEjectionScore) return eject(s, false);
    if (ejection_time_[s].us == 0) return;
    ejection_time_[s] = {};
    availability_changed(s);
    host_.ejection_changed(s, false);
    host_.log("server " + std::to_string(s) + " is let in again");
}

// The score may eject at most half of the reachable servers of a role, or the rest would be overloaded.
// Unreachable servers, for which one failed attempt is enough, count on neither side: an unreachable zone
// must not keep a failing server in.
void Router::eject(ServerIndex s, bool unreachable) {
    outlier_score_[s] = kEjectionScore;
    if (!unreachable && ejection_time_[s].us == 0) {
        double peers = 0, ejected = 0;
        for (const ServerIndex other : role_[s] == Role::prefill ? ready_prefill_ : ready_decode_) {
            if (role_[other] != role_[s] || (ejection_time_[other].us > 0 && unreachable_[other])) continue;
            ++peers;
            ejected += ejection_time_[other].us > 0;
        }
        if (ejected + 1 > peers * kMaxEjectedShare) return;
    }
    unreachable_[s] = unreachable;
    if (ejection_time_[s].us == 0) host_.log("server " + std::to_string(s) + " is shut out after failures");
    host_.ejection_changed(s, true);
    ejection_time_[s] =
        ejection_time_[s].us == 0 ? kFirstEjectionTime : std::min(kMaxEjectionTime, ejection_time_[s] * 2);
    ejected_until_[s] = now_ + ejection_time_[s];
    availability_changed(s);
}

// Called when the lease of the request's state has ended, with the state released. Cancels the unanswered
// hand-over of a pure streaming request if nothing has been heard from its server since it was sent, for
// longer than the mean first-token time + kSilenceDeviations mean deviations: without its state it can only
// be rejected. The limit follows the usual time because, where hand-overs usually take long, the attempt
// would only move from one slow server to the next.
void Router::cancel_unanswered_hand_over(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    const Category& c = terms_.categories[q.info.category];
    if (q.has_first_token || q.cancelled || last_heard_at_[q.server] > q.sent_at) return;
    if (c.effect != Effect::pure || !c.stream) return;
    const Duration limit = kMs * (first_token_time_.mean + kSilenceDeviations * first_token_time_.deviation);
    if (first_token_time_.samples < kMinPaceSamples || now_ - q.sent_at < limit) return;
    q.cancelled = true;
    note_failure(q.server);
    host_.cancel_attempt(i, q.attempts - 1);
}

void Router::schedule_silence_check() {
    if (!terms_.cancel || std::exchange(silence_check_scheduled_, true)) return;
    host_.set_timer(std::max(kSilenceCheckInterval, terms_.quantum), kSilenceCheckKey);
}

// Handles servers that fall silent. An attempt is cancelled only after far longer than usual, and only if
// nothing at all has been heard from its server since it was sent, or if an attempt sent there later has been
// answered: an overloaded server goes on answering others in their turn. A server that answers others may
// leave this category alone unanswered. Requests that may run only once stay where they are, and the next
// ones avoid the server.
void Router::check_for_silence() {
    silence_check_scheduled_ = false;
    bool any_in_flight = false;
    for (RequestIndex i = 0; i < requests_.size(); ++i) {
        RoutedRequest& q = requests_[i];
        const bool is_prefill = q.stage == Stage::prefilling;
        if (!q.in_flight || q.cancelled || (!is_prefill && q.stage != Stage::decoding)) continue;
        const Category& c = terms_.categories[q.info.category];
        const ServerIndex s = q.server;
        any_in_flight = true;
        const ExponentialAverage& usual = is_prefill ? prefill_time_ : first_token_time_;
        const bool is_responsive = last_heard_at_[s] > q.sent_at;
        if (usual.samples < kMinSilenceSamples ||
            (is_responsive && answered_sent_at_[is_prefill][s] <= q.sent_at))
            continue;
        // A server's pace is known for only one kind of attempt, see note_success().
        const double expected =
            is_prefill != does_prefill(s)
                ? 0.0
                : pace_[s] * (is_prefill ? q.queued_tokens + kMinPrefillPrompts * prompt_length_.mean : 1.0);
        double threshold =
            std::max(kSilencePaceFactor * expected, usual.mean + kSilenceDeviations * usual.deviation);
        if (!is_prefill && q.has_state) {
            const ExponentialAverage& hand_over = hand_over_times_[distance_class(q.state_server, s)];
            threshold = std::max(threshold, hand_over.mean + kSilenceDeviations * hand_over.deviation);
        }
        if (now_ - q.sent_at <
            std::max(kMs * threshold, (q.goal_deadline - q.arrived_at) * kSilenceGoalShare))
            continue;
        q.cancelled = true;
        is_responsive ? suspend_category(q.info.category, s, true) : note_failure(s);
        if (q.at_prefill_server || (c.effect == Effect::pure && c.stream))
            host_.cancel_attempt(i, q.attempts - 1);
    }
    if (any_in_flight) schedule_silence_check();
}

// Suspends a category at a server, for a time that doubles with each failure (circuit breaker with
// exponential backoff). Gateways notify each other if the terms allow it, as a request that may run only once
// is lost with each test. A note may be lost; nothing depends on it.
void Router::suspend_category(std::uint16_t category, ServerIndex s, bool observed_here) {
    CategorySuspension& suspension = suspensions_[category][s];
    if (observed_here || suspension.backoff.us == 0)
        suspension.backoff =
            suspension.backoff.us == 0 ? kFirstSuspension : std::min(kMaxSuspension, suspension.backoff * 2);
    // Jitter: gateways do not test the server all at the same time.
    suspension.until =
        std::max(suspension.until, now_ + suspension.backoff * (observed_here ? 1.0 : 1 + random_unit()));
    if (observed_here) notify_peers('u', s, category);
}

// A server that leaves a category unanswered may still answer some of its attempts, so one answer does not
// end the backoff: each divides it by 4, and below a quarter of kFirstSuspension it ends. Answers to attempts
// sent before `since` (the latest test attempt) say nothing.
void Router::note_category_answered(const RoutedRequest& q, ServerIndex s) {
    CategorySuspension& suspension = suspensions_[q.info.category][s];
    if (suspension.backoff.us == 0 || q.sent_at < suspension.since) return;
    suspension.backoff = suspension.backoff * 0.25;
    suspension.until = now_;
    if (suspension.backoff >= kFirstSuspension * 0.25) return;
    suspension.backoff = {};
    notify_peers('a', s, q.info.category);
}

}  // namespace copperfront
