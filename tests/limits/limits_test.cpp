// Tests of the limits with a simulated clock; each states the failure that it guards against.
#include <rapidcheck.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>

#include "../../bench/slot_fleet.h"
#include "limits/admission.h"
#include "limits/fleet_share.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr Instant kStart{1'000'000'000'000};

Admission admission_with(const RouteLimits& l, int gateways = 1) {
    Admission a(gateways, kStart);
    a.change({{l}}, gateways, kStart);
    return a;
}

void rate_limit_admits_its_burst_and_then_its_rate() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    Admission a = admission_with(l);
    int admitted = 0;
    for (int n = 0; n < 20; ++n) admitted += a.request_arrived(0, 1, false, kStart).why == RejectReason::none;
    assert(admitted == 5);
    const AdmissionDecision decision = a.request_arrived(0, 1, false, kStart);
    assert(decision.why == RejectReason::rate && decision.retry_after == ms(100));
    assert(a.request_arrived(0, 1, false, kStart + ms(100)).why == RejectReason::none);
    assert(a.request_arrived(0, 1, false, kStart + ms(101)).why == RejectReason::rate);
}

// Guards against a free burst after a reload.
void reload_restores_no_budget() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    l.retry_share = 0.1;
    Admission a = admission_with(l);
    for (int n = 0; n < 5; ++n) a.request_arrived(0, 1, false, kStart);
    for (int n = 0; n < 20; ++n) a.first_attempt_started(0, kStart);
    assert(a.may_attempt_again(0, kStart) && a.may_attempt_again(0, kStart) &&
           !a.may_attempt_again(0, kStart));
    for (int n = 0; n < 100; ++n) {
        a.change({{l}}, 1, kStart);
        assert(a.request_arrived(0, 1, false, kStart).why == RejectReason::rate);
        assert(!a.may_attempt_again(0, kStart));
    }
    l.burst = 50;
    a.change({{l}}, 1, kStart);
    assert(a.request_arrived(0, 1, false, kStart).why == RejectReason::rate);
}

// A lowered limit takes effect without ending running requests; a removed route drains.
void lowered_limit_ends_no_running_request() {
    RouteLimits l;
    l.in_flight = 10;
    Admission a = admission_with(l);
    for (int n = 0; n < 10; ++n) a.request_arrived(0, 5, false, kStart);
    l.in_flight = 3;
    a.change({{l}}, 1, kStart);
    assert(a.counts(0).in_flight == 10);
    for (int n = 0; n < 7; ++n) {
        assert(a.request_arrived(0, 5, false, kStart).why == RejectReason::in_flight);
        a.request_ended(0, 5, true, kStart);
    }
    a.request_ended(0, 5, true, kStart);
    assert(a.request_arrived(0, 5, false, kStart).why == RejectReason::none);
    a.change({}, 1, kStart);
    assert(a.request_arrived(0, 5, false, kStart).why == RejectReason::closed);
    assert(a.counts(0).in_flight == 3);
}

// Guards against retries that multiply the load when the whole fleet fails.
void retries_stay_within_their_share() {
    RouteLimits l;
    l.retry_share = 0.2;
    l.retry_floor = 1;
    l.retry_window = ms(10000);
    Admission a = admission_with(l);
    Instant now = kStart;
    int first_attempts = 0, retries = 0;
    for (int n = 0; n < 6000; ++n, now = now + ms(10)) {
        a.first_attempt_started(0, now);
        ++first_attempts;
        for (int again = 0; again < 4; ++again) retries += a.may_attempt_again(0, now);
    }
    assert(retries > 0.19 * first_attempts && retries < 0.2 * first_attempts + 60 + 20);
}

void clock_jump_grants_at_most_one_window() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    l.retry_share = 0;
    l.retry_floor = 1;
    l.retry_window = ms(10000);
    Admission a = admission_with(l);
    for (int n = 0; n < 100; ++n) a.request_arrived(0, 1, false, kStart);
    const Instant later = kStart + ms(1000LL * 86400 * 300);
    int admitted = 0, retries = 0;
    for (int n = 0; n < 100; ++n) admitted += a.request_arrived(0, 1, false, later).why == RejectReason::none;
    for (int n = 0; n < 100; ++n) retries += a.may_attempt_again(0, later);
    assert(admitted == 5 && retries == 10);
    // A clock that goes back grants nothing.
    assert(a.request_arrived(0, 1, false, kStart).why == RejectReason::rate);
}

void prompt_tokens_and_answer_tokens_are_limited() {
    RouteLimits l;
    l.prompt_tokens = 1000;
    Admission a = admission_with(l);
    // Alone, as it could never be admitted otherwise.
    assert(a.request_arrived(0, 5000, false, kStart).why == RejectReason::none);
    assert(a.request_arrived(0, 1, false, kStart).why == RejectReason::prompt_tokens);
    RouteLimits m;
    m.answer_rate = 100;
    Admission b = admission_with(m);
    assert(b.request_arrived(0, 1, false, kStart).why == RejectReason::none);
    b.tokens_received(0, 500, kStart);
    assert(b.request_arrived(0, 1, false, kStart).why == RejectReason::answer_rate);
    assert(b.request_arrived(0, 1, false, kStart + ms(2900)).why == RejectReason::answer_rate);
    assert(b.request_arrived(0, 1, false, kStart + ms(3100)).why == RejectReason::none);
}

// A limit stated for the fleet: all gateways together never admit more than the limit, however the load is
// distributed. While their number is wrong by a factor, they exceed it by that factor at most.
void fleet_stays_within_its_limit() {
    for (const int gateways : {3, 20}) {
        RouteLimits l;
        l.rate = 120;
        l.burst = 60;
        std::vector<Admission> fleet;
        for (int g = 0; g < gateways; ++g) fleet.push_back(admission_with(l, gateways));
        std::minstd_rand rng(5);
        int admitted = 0;
        for (int t = 0; t < 20000; ++t) {
            // Most of the load goes to the first gateways.
            const double u = std::uniform_real_distribution<double>(0, 1)(rng);
            const auto g = static_cast<std::size_t>(u * u * gateways);
            admitted += fleet[g].request_arrived(0, 1, false, kStart + ms(t)).why == RejectReason::none;
        }
        assert(admitted <= 120 * 20 + 60 + gateways);
    }
}

// The number of gateways doubles: until the old half knows, at most half as much again is admitted, and no
// more than the limit afterwards.
void doubled_gateway_count_overshoots_by_half_at_most() {
    RouteLimits l;
    l.rate = 120;
    l.burst = 8;
    std::vector<Admission> fleet;
    for (int g = 0; g < 8; ++g) fleet.push_back(admission_with(l, g < 4 ? 4 : 8));
    const auto admitted_in = [&](int from_ms, int to_ms) {
        int admitted = 0;
        for (int t = from_ms; t < to_ms; ++t)
            for (Admission& a : fleet)
                admitted += a.request_arrived(0, 1, false, kStart + ms(t)).why == RejectReason::none;
        return admitted;
    };
    admitted_in(0, 1000);  // the first burst
    assert(admitted_in(1000, 11000) <= 1.5 * 1200 + 8);
    for (Admission& a : fleet) a.change({{l}}, 8, kStart + ms(11000));
    assert(admitted_in(11000, 21000) <= 1200 + 8);
}

// Guards against a failure of all decode servers that twenty routes multiply independently: all together stay
// within the share.
void twenty_failing_routes_stay_within_their_retry_share() {
    RouteLimits l;
    l.retry_share = 0.2;
    l.retry_floor = 0.5;
    Admission a(1, kStart);
    a.change(std::vector<RouteLimits>(20, l), 1, kStart);
    int first_attempts = 0, retries = 0, max_retries_per_s = 0, retries_this_second = 0;
    for (int t = 0; t < 30000; ++t) {
        const Instant now = kStart + ms(t);
        for (RouteIndex r = 0; r < 20; ++r) {
            if ((t + static_cast<int>(r) * 7) % 25 != 0) continue;  // 40 per second each
            a.first_attempt_started(r, now);
            ++first_attempts;
            // Every attempt fails, and so does each retry, up to five.
            for (int again = 0; again < 5 && a.may_attempt_again(r, now); ++again) ++retries_this_second;
        }
        if (t % 1000 != 999) continue;
        retries += retries_this_second;
        if (t > 11000) max_retries_per_s = std::max(max_retries_per_s, retries_this_second);
        retries_this_second = 0;
    }
    assert(first_attempts == 24000 && retries <= 0.2 * first_attempts + 20 * 0.5 * 40);
    assert(max_retries_per_s <= 2 * (0.2 * 800 + 10));
}

void overload_of_one_route_does_not_affect_others() {
    Admission a(1, kStart);
    RouteLimits few;
    few.in_flight = 5;
    a.change(std::vector<RouteLimits>{few, RouteLimits{}}, 1, kStart);
    for (int n = 0; n < 1000; ++n) a.request_arrived(0, 1, false, kStart);
    assert(a.counts(0).in_flight == 5);
    assert(a.request_arrived(1, 1, false, kStart).why == RejectReason::none);
}

simulated_fleet::Result run_fleet(double load, double slow_from_s = 1e9, double slow_until_s = 0) {
    RouteLimits l;
    l.adaptive = true;
    return simulated_fleet::simulate(
        l, {.load_factor = load, .slow_from_s = slow_from_s, .slow_until_s = slow_until_s});
}

// Guards against congestion: at three times the capacity of the fleet, first tokens stay close to the
// unloaded time and the fleet stays busy; at half the capacity the limit is not reached; after four slow
// seconds it recovers.
void adaptive_limit_converges() {
    const auto half_load = run_fleet(0.5), overload = run_fleet(3), recovered = run_fleet(0.9, 3, 7);
    std::fprintf(
        stderr,
        "adaptive: at 0.5 x limit %.0f first %.0f ms, %.0f/s; at 3 x limit %.0f first %.0f ms, %.0f/s; "
        "after a slow spell limit %.0f first %.0f ms, %.0f/s\n",
        half_load.mean_limit, half_load.mean_first_token_ms, half_load.completed_per_s, overload.mean_limit,
        overload.mean_first_token_ms, overload.completed_per_s, recovered.mean_limit,
        recovered.mean_first_token_ms, recovered.completed_per_s);
    assert(half_load.completed_per_s > 0.99 * half_load.arrived_per_s && half_load.mean_first_token_ms < 110);
    assert(overload.completed_per_s > 0.95 * 400 && overload.mean_first_token_ms < 250);
    assert(recovered.completed_per_s > 0.95 * recovered.arrived_per_s);
}

// Guards against a fleet that returns nothing: there are no first tokens, so losses alone must lower the
// limit.
void adaptive_limit_falls_when_everything_is_lost() {
    AdaptiveLimit limit(100);
    Instant now = kStart;
    for (int n = 0; n < 400; ++n, now = now + ms(10)) limit.record_loss(now);
    assert(limit.limit() < 20);
    // It recovers within seconds once first tokens arrive.
    for (int n = 0; n < 600; ++n, now = now + ms(10)) limit.record_first_token(ms(100), limit.limit(), now);
    assert(limit.limit() > 50);
}

// Compares with the exact quantile of all samples: the median of the estimates, and how far single estimates
// deviate.
void learned_quantile_matches_the_exact_one() {
    std::minstd_rand rng(21);
    std::lognormal_distribution<double> first_tokens(4.5, 0.5);
    LearnedQuantile learned(0.95);
    std::vector<double> all, estimates;
    for (int n = 0; n < 20000; ++n) {
        const double sample = first_tokens(rng);
        all.push_back(sample);
        learned.add(sample);
        if (n >= 1000) estimates.push_back(learned.value());
    }
    std::sort(all.begin(), all.end());
    std::sort(estimates.begin(), estimates.end());
    const double exact = all[all.size() * 95 / 100], median = estimates[estimates.size() / 2];
    const double low = estimates[estimates.size() / 20], high = estimates[estimates.size() * 19 / 20];
    int samples_to_follow = 0;
    while (learned.value() > exact * 0.5 * 1.2) {
        learned.add(first_tokens(rng) * 0.5);
        ++samples_to_follow;
    }
    std::fprintf(stderr,
                 "quantile: sorted %.0f, learned median %.0f, nine of ten within %.0f to %.0f; %d samples "
                 "after a halving\n",
                 exact, median, low, high, samples_to_follow);
    assert(std::abs(median / exact - 1) < 0.1 && low > 0.8 * exact && high < 1.3 * exact);
    assert(samples_to_follow < 600);
}

// Guards against a limit that one busy gateway reaches long before the fleet does: a gateway's share of the
// limit follows its share of the load, and all shares never add up to more than one.
void learned_share_follows_the_load() {
    std::vector<FleetShare> shares(4, FleetShare(4));
    Instant now = kStart;
    double sum = 0;
    for (int n = 0; n < 100; ++n, now = now + ms(100))
        for (std::size_t g = 0; g < 4; ++g) shares[g].report(g == 0 ? 700 : 100, 1000, now);
    for (const FleetShare& s : shares) sum += s.value(now);
    assert(std::abs(shares[0].value(now) - 0.61) < 0.001 && std::abs(sum - 1) < 0.001);
    // A report below this gateway's own use is outdated.
    FleetShare mistaken(4);
    mistaken.report(500, 100, now);
    assert(mistaken.value(now) <= 1);
    // Without reports, and after a jump of the clock, the share is even again.
    assert(shares[0].value(now + ms(10001)) == 0.25 && FleetShare(5).value(now) == 0.2);
    shares[0].report(0, 0, now);
    shares[0].report(100, 1000, now + ms(3600000));
    assert(shares[0].value(now + ms(3600000)) < 0.2);
}

// A changed share applies to later requests, both ways, and many small changes do not add up to a gain.
void admission_follows_its_learned_share() {
    RouteLimits l;
    l.rate = 100;
    Admission a = admission_with(l, 10);
    const auto admitted_in = [&](int from_ms, int to_ms) {
        int admitted = 0;
        for (int t = from_ms; t < to_ms; ++t)
            admitted += a.request_arrived(0, 1, false, kStart + ms(t)).why == RejectReason::none;
        return admitted;
    };
    admitted_in(0, 1000);
    a.set_share(0.5);
    const int after_increase = admitted_in(1000, 3000);
    assert(after_increase >= 98 && after_increase <= 100);
    a.set_share(0);
    const int after_reset = admitted_in(3000, 5000);
    assert(after_reset >= 19 && after_reset <= 30);
    int jittered = 0;
    for (int n = 0; n < 100; ++n) {
        a.set_share(n % 2 ? 0.2 : 0.1);
        jittered += admitted_in(5000 + n * 20, 5020 + n * 20);
    }
    assert(jittered <= 45);
}

// Counts stay consistent under any order of events.
void counts_stay_consistent() {
    assert(rc::check("random events", [] {
        RouteLimits l;
        l.in_flight = *rc::gen::inRange(1, 20);
        l.rate = *rc::gen::inRange(1, 100);
        l.retry_share = 0.1;
        Admission a = admission_with(l, *rc::gen::inRange(1, 5));
        Instant now = kStart;
        int open = 0;
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            now = now + ms(*rc::gen::inRange(0, 500));
            const int event = *rc::gen::inRange(0, 4);
            if (event == 0) open += a.request_arrived(0, 10, false, now).why == RejectReason::none;
            if (event == 1 && open > 0) {
                a.request_ended(0, 10, true, now);
                --open;
            }
            if (event == 2) a.first_attempt_started(0, now);
            if (event == 3) a.may_attempt_again(0, now);
            RC_ASSERT(a.counts(0).in_flight == open && a.counts(0).prompt_tokens == 10 * open);
            RC_ASSERT(open <= l.in_flight);
        }
    }));
}

}  // namespace

int main() {
    rate_limit_admits_its_burst_and_then_its_rate();
    reload_restores_no_budget();
    lowered_limit_ends_no_running_request();
    retries_stay_within_their_share();
    clock_jump_grants_at_most_one_window();
    prompt_tokens_and_answer_tokens_are_limited();
    fleet_stays_within_its_limit();
    doubled_gateway_count_overshoots_by_half_at_most();
    twenty_failing_routes_stay_within_their_retry_share();
    overload_of_one_route_does_not_affect_others();
    adaptive_limit_converges();
    adaptive_limit_falls_when_everything_is_lost();
    learned_quantile_matches_the_exact_one();
    learned_share_follows_the_load();
    admission_follows_its_learned_share();
    counts_stay_consistent();
}
