#include "limits/admission.h"

#include <algorithm>
#include <cmath>

namespace copperfront {
namespace {

// Burst of answer tokens, in seconds of their rate. The length of an answer is known only at its end, so the
// bucket may be overdrawn, and later requests pay that back.
constexpr double kAnswerBurstS = 2;
constexpr double kRequestBurstS = 1;                 // where the route states no burst
constexpr std::uint64_t kMinFirstTokenSamples = 50;  // smallest number of samples for a learned hedge delay
constexpr double kMinShareChange = 0.02;
constexpr Duration kShortRetryAfter{100000};  // while a request in flight is likely to end

double seconds(Duration s) { return static_cast<double>(s.us) / 1e6; }

}  // namespace

const char* text_of(RejectReason why) {
    switch (why) {
        case RejectReason::none:
            return "";
        case RejectReason::closed:
            return "the route is closed";
        case RejectReason::rate:
            return "too many queries a second on this route";
        case RejectReason::in_flight:
            return "too many queries in hand on this route";
        case RejectReason::queued:
            return "too many queries held on this route";
        case RejectReason::prompt_tokens:
            return "too many prompt tokens in hand on this route";
        case RejectReason::answer_rate:
            return "too many answer tokens a second on this route";
        case RejectReason::adaptive:
            return "first tokens lengthen on this route";
    }
    return "";
}

void Admission::TokenBucket::refill(Instant now) {
    // A clock that goes back adds nothing, and one that jumps forward fills the bucket at most once.
    const double elapsed_s = std::max(0.0, seconds(now - refilled_at));
    refilled_at = std::max(refilled_at, now);
    if (rate >= kNoLimit) return;
    level = std::min(capacity, level + rate * std::min(elapsed_s, 3600.0));
}

void Admission::TokenBucket::configure(double new_rate, double new_capacity, Instant now, bool is_new) {
    if (is_new) refilled_at = now;
    refill(now);
    // A reload grants no burst: only a new bucket starts full, and one that grows keeps its level.
    level = is_new || rate >= kNoLimit ? new_capacity : std::min(level, new_capacity);
    rate = new_rate;
    capacity = new_capacity;
}

Duration Admission::TokenBucket::time_until(double target) const {
    if (rate <= 0) return Duration{3600000000};
    return {static_cast<std::int64_t>(std::min(3600.0, std::max(0.0, target - level) / rate) * 1e6)};
}

Admission::Admission(int gateways, Instant) : gateways_(std::max(1, gateways)) {}

// This gateway's share of a limit of the fleet, but at least 1 if the whole limit is not below 1. All
// gateways together admit at most the limit, or one request each where there are more gateways than the
// limit.
double Admission::share_of(double fleet_limit) const {
    if (fleet_limit >= kNoLimit || fleet_limit <= 0) return fleet_limit;
    return std::max(1.0, fleet_limit * share());
}

void Admission::change(std::span<const RouteLimits> routes, int gateways, Instant now) {
    gateways_ = std::max(1, gateways);
    const std::size_t previous_size = routes_.size();
    if (routes.size() > previous_size) routes_.resize(routes.size());
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        Route& entry = routes_[i];
        const bool is_new = i >= previous_size;
        if (i >= routes.size()) {
            entry.limits.closed = true;
            continue;
        }
        entry.limits = routes[i];
        const RouteLimits& limits = entry.limits;
        apply_share(entry, now, is_new);
        if (!entry.hedge_budget)
            entry.hedge_budget =
                std::make_unique<RetryBudget>(limits.hedge_share, 0, limits.retry_window, now);
        else
            entry.hedge_budget->change(limits.hedge_share, 0, limits.retry_window, now);
        if (!entry.retry_budget)
            entry.retry_budget = std::make_unique<RetryBudget>(
                limits.retry_share, limits.retry_floor / gateways_, limits.retry_window, now);
        else
            entry.retry_budget->change(limits.retry_share, limits.retry_floor / gateways_,
                                       limits.retry_window, now);
    }
}

// Rates are divided exactly: a share below one per second is not rounded up to one per second.
void Admission::apply_share(Route& entry, Instant now, bool is_new) {
    const RouteLimits& limits = entry.limits;
    entry.applied_share = share();
    const double rate = limits.rate >= kNoLimit ? limits.rate : limits.rate * entry.applied_share;
    const double burst = limits.burst > 0 ? share_of(limits.burst) : std::max(1.0, rate * kRequestBurstS);
    entry.request_bucket.configure(rate, burst, now, is_new);
    const double answer_rate =
        limits.answer_rate >= kNoLimit ? limits.answer_rate : limits.answer_rate * entry.applied_share;
    entry.answer_token_bucket.configure(
        answer_rate, answer_rate >= kNoLimit ? 0 : answer_rate * kAnswerBurstS, now, is_new);
}

AdmissionDecision Admission::request_arrived(RouteIndex route, double prompt_tokens, bool is_repeat,
                                             Instant now) {
    Route& entry = routes_.at(route);
    const RouteLimits& limits = entry.limits;
    RouteCounts& totals = entry.counts;
    // A learned share changes slightly with every report. A smaller change than this is not applied yet.
    if (std::abs(entry.applied_share - share()) > kMinShareChange * entry.applied_share)
        apply_share(entry, now, false);
    entry.request_bucket.refill(now);
    entry.answer_token_bucket.refill(now);
    AdmissionDecision decision;
    const auto reject = [&](RejectReason why, Duration retry_after) {
        ++totals.rejected;
        decision = {why, std::max(retry_after, Duration{1000})};
        return decision;
    };
    if (limits.closed) return reject(RejectReason::closed, limits.retry_after);
    if (totals.in_flight + 1 > share_of(limits.in_flight))
        return reject(RejectReason::in_flight, std::min(kShortRetryAfter, limits.retry_after));
    if (totals.queued + 1 > share_of(limits.queued))
        return reject(RejectReason::queued, std::min(kShortRetryAfter, limits.retry_after));
    // A request larger than the limit is admitted when nothing else is in flight, as it could never be
    // admitted otherwise.
    if (totals.in_flight > 0 && totals.prompt_tokens + prompt_tokens > share_of(limits.prompt_tokens))
        return reject(RejectReason::prompt_tokens, std::min(kShortRetryAfter, limits.retry_after));
    if (limits.adaptive && totals.in_flight + 1 > entry.adaptive_limit.limit())
        return reject(RejectReason::adaptive, std::min(kShortRetryAfter, limits.retry_after));
    if (limits.answer_rate < kNoLimit && entry.answer_token_bucket.level <= 0)
        return reject(RejectReason::answer_rate, entry.answer_token_bucket.time_until(1));
    if (limits.rate < kNoLimit) {
        if (entry.request_bucket.level < 1)
            return reject(RejectReason::rate, entry.request_bucket.time_until(1));
        entry.request_bucket.level -= 1;
    }
    ++totals.admitted;
    totals.in_flight += 1;
    totals.prompt_tokens += prompt_tokens;
    if (is_repeat) entry.retry_budget->record_client_repeat(now);
    entry.hedge_budget->first_attempt_started(now);  // the share of hedges is one of requests
    return decision;
}

void Admission::request_ended(RouteIndex route, double prompt_tokens, bool had_first_token, Instant now) {
    Route& entry = routes_.at(route);
    ++entry.counts.ended;
    entry.counts.in_flight = std::max(0.0, entry.counts.in_flight - 1);
    entry.counts.prompt_tokens = std::max(0.0, entry.counts.prompt_tokens - prompt_tokens);
    if (!had_first_token) entry.adaptive_limit.record_loss(now);
}

void Admission::queued(RouteIndex route, int change) {
    RouteCounts& totals = routes_.at(route).counts;
    totals.queued = std::max(0.0, totals.queued + change);
}

void Admission::first_attempt_started(RouteIndex route, Instant now) {
    routes_.at(route).retry_budget->first_attempt_started(now);
}

Duration Admission::hedge_after(RouteIndex route) const {
    const Route& entry = routes_.at(route);
    if (!entry.limits.hedging) return {};
    if (entry.limits.hedge_after.us > 0) return entry.limits.hedge_after;
    if (entry.first_token_ms.samples() < kMinFirstTokenSamples) return {};
    return {std::max<std::int64_t>(1, static_cast<std::int64_t>(entry.first_token_ms.value() * 1000))};
}

bool Admission::may_hedge(RouteIndex route, Instant now) {
    Route& entry = routes_.at(route);
    if (!entry.limits.hedging) return false;
    const bool has_retry_budget = entry.limits.retry_share < kNoLimit;
    if ((has_retry_budget && entry.retry_budget->remaining(now) < 1) || !entry.hedge_budget->try_take(now))
        return false;
    if (has_retry_budget) entry.retry_budget->try_take(now);
    ++entry.counts.hedges;
    return true;
}

bool Admission::may_attempt_again(RouteIndex route, Instant now) {
    Route& entry = routes_.at(route);
    if (entry.limits.retry_share >= kNoLimit || entry.retry_budget->try_take(now)) return true;
    ++entry.counts.retries_denied;
    return false;
}

void Admission::stream_began(RouteIndex route, Duration first_token, Instant now) {
    Route& entry = routes_.at(route);
    entry.adaptive_limit.record_first_token(first_token, entry.counts.in_flight, now);
    entry.first_token_ms.add(first_token.ms());
}

void Admission::tokens_received(RouteIndex route, double tokens, Instant now) {
    Route& entry = routes_.at(route);
    if (entry.answer_token_bucket.rate >= kNoLimit) return;
    entry.answer_token_bucket.refill(now);
    entry.answer_token_bucket.level -= tokens;
}

RouteCounts Admission::counts(RouteIndex route) const {
    RouteCounts totals = routes_.at(route).counts;
    const Route& entry = routes_.at(route);
    totals.limit = entry.limits.adaptive ? entry.adaptive_limit.limit() : share_of(entry.limits.in_flight);
    return totals;
}

}  // namespace copperfront
