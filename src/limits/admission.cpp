#include "limits/admission.h"

#include <algorithm>
#include <cmath>

namespace copperfront {
namespace {

// A bucket of answer tokens may run this far ahead: an answer's length is known only at its end, so what a
// query spends is paid back by those that come after it.
constexpr double kAnswerBurstS = 2;
constexpr double kQueryBurstS = 1;             // where no burst is stated
constexpr std::uint64_t kFewFirstTokens = 50;  // learned from no fewer
constexpr double kTuneFrom = 0.02;
constexpr Span kSoon{100000};  // to come back when something in hand has ended

double seconds(Span s) { return static_cast<double>(s.us) / 1e6; }

}  // namespace

const char* text_of(Refusal why) {
    switch (why) {
        case Refusal::none:
            return "";
        case Refusal::closed:
            return "the route is closed";
        case Refusal::rate:
            return "too many queries a second on this route";
        case Refusal::in_hand:
            return "too many queries in hand on this route";
        case Refusal::held:
            return "too many queries held on this route";
        case Refusal::prompt_tokens:
            return "too many prompt tokens in hand on this route";
        case Refusal::answer_rate:
            return "too many answer tokens a second on this route";
        case Refusal::adaptive:
            return "first tokens lengthen on this route";
    }
    return "";
}

void Admission::Bucket::fill(Instant now) {
    // A clock that goes back fills nothing, and one that jumps fills the bucket once.
    const double passed = std::max(0.0, seconds(now - filled));
    filled = std::max(filled, now);
    if (rate >= kNoLimit) return;
    level = std::min(most, level + rate * std::min(passed, 3600.0));
}

void Admission::Bucket::change(double r, double m, Instant now, bool fresh) {
    if (fresh) filled = now;
    fill(now);
    // No burst is won by a reload: a bucket is full only when it is new, and one that grows keeps its level.
    level = fresh || rate >= kNoLimit ? m : std::min(level, m);
    rate = r;
    most = m;
}

Span Admission::Bucket::until(double wanted) const {
    if (rate <= 0) return Span{3600000000};
    return {static_cast<std::int64_t>(std::min(3600.0, std::max(0.0, wanted - level) / rate) * 1e6)};
}

Admission::Admission(int gateways, Instant) : gateways_(std::max(1, gateways)) {}

// Each gateway's part of a limit of the fleet, never under one where the whole is not: what all gateways
// together let through is at most the limit, or one for each gateway where there are more gateways than that.
double Admission::part(double of_fleet) const {
    if (of_fleet >= kNoLimit || of_fleet <= 0) return of_fleet;
    return std::max(1.0, of_fleet * share());
}

void Admission::change(std::span<const RouteLimits> routes, int gateways, Instant now) {
    gateways_ = std::max(1, gateways);
    const std::size_t before = routes_.size();
    if (routes.size() > before) routes_.resize(routes.size());
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        Route& r = routes_[i];
        const bool fresh = i >= before;
        if (i >= routes.size()) {
            r.limits.closed = true;
            continue;
        }
        r.limits = routes[i];
        const RouteLimits& l = r.limits;
        tune(r, now, fresh);
        if (!r.copies)
            r.copies = std::make_unique<RetryBudget>(l.second_share, 0, l.retry_window, now);
        else
            r.copies->change(l.second_share, 0, l.retry_window, now);
        if (!r.retries)
            r.retries =
                std::make_unique<RetryBudget>(l.retry_share, l.retry_floor / gateways_, l.retry_window, now);
        else
            r.retries->change(l.retry_share, l.retry_floor / gateways_, l.retry_window, now);
    }
}

// Rates are divided to the last bit; a part of less than one a second is no reason to let one a second in.
void Admission::tune(Route& r, Instant now, bool fresh) {
    const RouteLimits& l = r.limits;
    r.tuned = share();
    const double rate = l.rate >= kNoLimit ? l.rate : l.rate * r.tuned;
    const double burst = l.burst > 0 ? part(l.burst) : std::max(1.0, rate * kQueryBurstS);
    r.queries.change(rate, burst, now, fresh);
    const double answers = l.answer_rate >= kNoLimit ? l.answer_rate : l.answer_rate * r.tuned;
    r.answers.change(answers, answers >= kNoLimit ? 0 : answers * kAnswerBurstS, now, fresh);
}

Verdict Admission::query_came(RouteIndex route, double prompt_tokens, bool again, Instant now) {
    Route& r = routes_.at(route);
    const RouteLimits& l = r.limits;
    RouteCounts& c = r.counts;
    // A learned part moves a little with every report; what it moves by less than this is left to the next
    // one.
    if (std::abs(r.tuned - share()) > kTuneFrom * r.tuned) tune(r, now, false);
    r.queries.fill(now);
    r.answers.fill(now);
    Verdict v;
    const auto refuse = [&](Refusal why, Span come_back) {
        ++c.refused;
        v = {why, std::max(come_back, Span{1000})};
        return v;
    };
    if (l.closed) return refuse(Refusal::closed, l.stay_away);
    if (c.in_hand + 1 > part(l.in_hand)) return refuse(Refusal::in_hand, std::min(kSoon, l.stay_away));
    if (c.held + 1 > part(l.held)) return refuse(Refusal::held, std::min(kSoon, l.stay_away));
    // One query larger than the limit passes when nothing else is in hand, or it could never be.
    if (c.in_hand > 0 && c.prompt_tokens + prompt_tokens > part(l.prompt_tokens))
        return refuse(Refusal::prompt_tokens, std::min(kSoon, l.stay_away));
    if (l.adapts && c.in_hand + 1 > r.adaptive.limit())
        return refuse(Refusal::adaptive, std::min(kSoon, l.stay_away));
    if (l.answer_rate < kNoLimit && r.answers.level <= 0)
        return refuse(Refusal::answer_rate, r.answers.until(1));
    if (l.rate < kNoLimit) {
        if (r.queries.level < 1) return refuse(Refusal::rate, r.queries.until(1));
        r.queries.level -= 1;
    }
    ++c.taken;
    c.in_hand += 1;
    c.prompt_tokens += prompt_tokens;
    if (again) r.retries->repeated_by_caller(now);
    r.copies->first_attempt_started(now);  // their share is one of queries
    return v;
}

void Admission::query_over(RouteIndex route, double prompt_tokens, bool began, Instant now) {
    Route& r = routes_.at(route);
    ++r.counts.over;
    r.counts.in_hand = std::max(0.0, r.counts.in_hand - 1);
    r.counts.prompt_tokens = std::max(0.0, r.counts.prompt_tokens - prompt_tokens);
    if (!began) r.adaptive.lost(now);
}

void Admission::held(RouteIndex route, int change) {
    RouteCounts& c = routes_.at(route).counts;
    c.held = std::max(0.0, c.held + change);
}

void Admission::first_attempt_started(RouteIndex route, Instant now) {
    routes_.at(route).retries->first_attempt_started(now);
}

Span Admission::copy_after(RouteIndex route) const {
    const Route& r = routes_.at(route);
    if (!r.limits.second_copies) return {};
    if (r.limits.second_after.us > 0) return r.limits.second_after;
    if (r.first_tokens.samples() < kFewFirstTokens) return {};
    return {std::max<std::int64_t>(1, static_cast<std::int64_t>(r.first_tokens.value() * 1000))};
}

bool Admission::may_copy(RouteIndex route, Instant now) {
    Route& r = routes_.at(route);
    if (!r.limits.second_copies) return false;
    const bool budgeted = r.limits.retry_share < kNoLimit;
    if ((budgeted && r.retries->left(now) < 1) || !r.copies->take(now)) return false;
    if (budgeted) r.retries->take(now);
    ++r.counts.copies;
    return true;
}

bool Admission::may_attempt_again(RouteIndex route, Instant now) {
    Route& r = routes_.at(route);
    if (r.limits.retry_share >= kNoLimit || r.retries->take(now)) return true;
    ++r.counts.further_refused;
    return false;
}

void Admission::began(RouteIndex route, Span first_token, Instant now) {
    Route& r = routes_.at(route);
    r.adaptive.first_token(first_token, r.counts.in_hand, now);
    r.first_tokens.add(first_token.ms());
}

void Admission::tokens_came(RouteIndex route, double tokens, Instant now) {
    Route& r = routes_.at(route);
    if (r.answers.rate >= kNoLimit) return;
    r.answers.fill(now);
    r.answers.level -= tokens;
}

RouteCounts Admission::counts(RouteIndex route) const {
    RouteCounts c = routes_.at(route).counts;
    const Route& r = routes_.at(route);
    c.limit = r.limits.adapts ? r.adaptive.limit() : part(r.limits.in_hand);
    return c;
}

}  // namespace copperfront
