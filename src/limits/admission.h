// Decides whether a request of a route is admitted and whether it may have another attempt. Each route has
// its own budgets, so that an overload of one route does not affect others, and a request over a budget is
// rejected at once with a time after which to retry. Gateways share nothing: a limit stated for the fleet is
// divided by the number of gateways. No I/O and no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "limits/adaptive_limit.h"
#include "limits/learned_quantile.h"
#include "limits/retry_budget.h"
#include "limits/route_limits.h"

namespace copperfront {

using RouteIndex = std::uint32_t;  // stays with a route's name for the life of the process

enum class RejectReason { none, closed, rate, in_flight, queued, prompt_tokens, answer_rate, adaptive };
const char* text_of(RejectReason why);

struct AdmissionDecision {
    RejectReason why = RejectReason::none;
    Duration retry_after;
};

// Current use and totals of a route, for status and log.
struct RouteCounts {
    std::uint64_t admitted = 0, rejected = 0, ended = 0, retries_denied = 0, hedges = 0;
    double in_flight = 0, queued = 0, prompt_tokens = 0, limit = 0;
};

class Admission {
  public:
    Admission(int gateways, Instant now);

    // Sets the routes, by index. A route whose index is missing is removed and drains. Budgets carry over:
    // neither a reload nor a route that is added again restores what was spent. Requests in flight continue.
    void change(std::span<const RouteLimits> routes, int gateways, Instant now);

    // Sets this gateway's share of all limits that are stated for the fleet; 0: an equal share for each
    // gateway.
    void set_share(double share) { learned_share_ = share; }

    // Admits the request if the decision says so; request_ended must then follow once.
    AdmissionDecision request_arrived(RouteIndex route, double prompt_tokens, bool is_repeat, Instant now);
    void request_ended(RouteIndex route, double prompt_tokens, bool had_first_token, Instant now);
    // A request starts or stops waiting for its prefill.
    void queued(RouteIndex route, int change);
    void first_attempt_started(RouteIndex route, Instant now);
    bool may_attempt_again(RouteIndex route, Instant now);
    // How long after its arrival a request may be hedged; 0: never.
    Duration hedge_after(RouteIndex route) const;
    // Takes one hedge from the budget of hedges and from that of retries. Returns false if one of them is
    // used up.
    bool may_hedge(RouteIndex route, Instant now);
    void stream_began(RouteIndex route, Duration first_token, Instant now);
    void tokens_received(RouteIndex route, double tokens, Instant now);

    RouteCounts counts(RouteIndex route) const;
    std::size_t size() const { return routes_.size(); }

  private:
    struct TokenBucket {
        double level = 0, rate = kNoLimit, capacity = 0;
        Instant refilled_at;
        void configure(double new_rate, double new_capacity, Instant now, bool is_new);
        void refill(Instant now);
        Duration time_until(double target) const;
    };
    struct Route {
        RouteLimits limits;
        TokenBucket request_bucket, answer_token_bucket;
        std::unique_ptr<RetryBudget> retry_budget, hedge_budget;
        LearnedQuantile first_token_ms{0.95};
        AdaptiveLimit adaptive_limit;
        RouteCounts counts;
        double applied_share = 0;  // the share that the rates of its buckets include
    };
    double share() const { return learned_share_ > 0 ? learned_share_ : 1.0 / gateways_; }
    double share_of(double fleet_limit) const;
    void apply_share(Route& entry, Instant now, bool is_new);

    int gateways_;
    double learned_share_ = 0;
    std::vector<Route> routes_;
};

}  // namespace copperfront
