// Whether a query of a route is taken, and whether it may have one more attempt. One route's trouble does not
// become another's: each has its own budgets, and a query over one of them is declined at once, with a time
// to come back. Gateways share nothing: a limit stated for the fleet is divided by how many gateways there
// are. Free of I/O and clocks.
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

using RouteIndex = std::uint32_t;  // stays with a route's name for as long as the process runs

enum class Refusal { none, closed, rate, in_hand, held, prompt_tokens, answer_rate, adaptive };
const char* text_of(Refusal why);

struct Verdict {
    Refusal why = Refusal::none;
    Span come_back;
};

// What a route has in hand and has done, for status and for the log.
struct RouteCounts {
    std::uint64_t taken = 0, refused = 0, over = 0, further_refused = 0, copies = 0;
    double in_hand = 0, held = 0, prompt_tokens = 0, limit = 0;
};

class Admission {
  public:
    Admission(int gateways, Instant now);

    // The routes from now on, by index; an index that is missing is a route that is gone and drains. Budgets
    // carry over: neither a reload nor a route that comes back frees what was spent. Queries in hand go on.
    void change(std::span<const RouteLimits> routes, int gateways, Instant now);

    // This gateway's part of all that is stated for the fleet, in place of an even one; 0: even again.
    void part_is(double share) { learned_ = share; }

    // Taken if the verdict says so; query_over must then follow, once.
    Verdict query_came(RouteIndex route, double prompt_tokens, bool again, Instant now);
    void query_over(RouteIndex route, double prompt_tokens, bool began, Instant now);
    // A query waits for its read, or no longer does.
    void held(RouteIndex route, int change);
    void first_attempt_started(RouteIndex route, Instant now);
    bool may_attempt_again(RouteIndex route, Instant now);
    // How long after a query came a second copy may be thought of; 0: never.
    Span copy_after(RouteIndex route) const;
    // Takes one second copy out of its budget and out of that of further attempts; false: there is none left.
    bool may_copy(RouteIndex route, Instant now);
    void began(RouteIndex route, Span first_token, Instant now);
    void tokens_came(RouteIndex route, double tokens, Instant now);

    RouteCounts counts(RouteIndex route) const;
    std::size_t size() const { return routes_.size(); }

  private:
    struct Bucket {
        double level = 0, rate = kNoLimit, most = 0;
        Instant filled;
        void change(double r, double m, Instant now, bool fresh);
        void fill(Instant now);
        Span until(double wanted) const;
    };
    struct Route {
        RouteLimits limits;
        Bucket queries, answers;
        std::unique_ptr<RetryBudget> retries, copies;
        LearnedQuantile first_tokens{0.95};
        AdaptiveLimit adaptive;
        RouteCounts counts;
        double tuned = 0;  // the part that its buckets are filled by
    };
    double share() const { return learned_ > 0 ? learned_ : 1.0 / gateways_; }
    double part(double of_fleet) const;
    void tune(Route& r, Instant now, bool fresh);

    int gateways_;
    double learned_ = 0;
    std::vector<Route> routes_;
};

}  // namespace copperfront
