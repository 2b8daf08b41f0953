// Stories of limits: each failure that they stand against, with a clock of the test's own.
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

constexpr Span ms(std::int64_t x) { return {x * 1000}; }
constexpr Instant kStart{1'000'000'000'000};

Admission with(const RouteLimits& l, int gateways = 1) {
    Admission a(gateways, kStart);
    a.change({{l}}, gateways, kStart);
    return a;
}

void a_rate_lets_its_burst_and_then_its_rate_through() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    Admission a = with(l);
    int taken = 0;
    for (int n = 0; n < 20; ++n) taken += a.query_came(0, 1, false, kStart).why == Refusal::none;
    assert(taken == 5);
    const Verdict v = a.query_came(0, 1, false, kStart);
    assert(v.why == Refusal::rate && v.come_back == ms(100));
    assert(a.query_came(0, 1, false, kStart + ms(100)).why == Refusal::none);
    assert(a.query_came(0, 1, false, kStart + ms(101)).why == Refusal::rate);
}

// Against a free burst by reloading.
void a_reload_frees_nothing() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    l.retry_share = 0.1;
    Admission a = with(l);
    for (int n = 0; n < 5; ++n) a.query_came(0, 1, false, kStart);
    for (int n = 0; n < 20; ++n) a.first_attempt_started(0, kStart);
    assert(a.may_attempt_again(0, kStart) && a.may_attempt_again(0, kStart) &&
           !a.may_attempt_again(0, kStart));
    for (int n = 0; n < 100; ++n) {
        a.change({{l}}, 1, kStart);
        assert(a.query_came(0, 1, false, kStart).why == Refusal::rate);
        assert(!a.may_attempt_again(0, kStart));
    }
    l.burst = 50;
    a.change({{l}}, 1, kStart);
    assert(a.query_came(0, 1, false, kStart).why == Refusal::rate);
}

// A lowered limit takes effect without ending what runs; a route taken away drains.
void what_runs_goes_on() {
    RouteLimits l;
    l.in_hand = 10;
    Admission a = with(l);
    for (int n = 0; n < 10; ++n) a.query_came(0, 5, false, kStart);
    l.in_hand = 3;
    a.change({{l}}, 1, kStart);
    assert(a.counts(0).in_hand == 10);
    for (int n = 0; n < 7; ++n) {
        assert(a.query_came(0, 5, false, kStart).why == Refusal::in_hand);
        a.query_over(0, 5, true, kStart);
    }
    a.query_over(0, 5, true, kStart);
    assert(a.query_came(0, 5, false, kStart).why == Refusal::none);
    a.change({}, 1, kStart);
    assert(a.query_came(0, 5, false, kStart).why == Refusal::closed);
    assert(a.counts(0).in_hand == 3);
}

// Against a failure of the whole fleet that multiplies its load.
void further_attempts_keep_to_their_share() {
    RouteLimits l;
    l.retry_share = 0.2;
    l.retry_floor = 1;
    l.retry_window = ms(10000);
    Admission a = with(l);
    Instant now = kStart;
    int first = 0, further = 0;
    for (int n = 0; n < 6000; ++n, now = now + ms(10)) {
        a.first_attempt_started(0, now);
        ++first;
        for (int again = 0; again < 4; ++again) further += a.may_attempt_again(0, now);
    }
    assert(further > 0.19 * first && further < 0.2 * first + 60 + 20);
}

void a_clock_that_stands_still_and_then_jumps_gives_no_more_than_a_window() {
    RouteLimits l;
    l.rate = 10;
    l.burst = 5;
    l.retry_share = 0;
    l.retry_floor = 1;
    l.retry_window = ms(10000);
    Admission a = with(l);
    for (int n = 0; n < 100; ++n) a.query_came(0, 1, false, kStart);
    const Instant later = kStart + ms(1000LL * 86400 * 300);
    int taken = 0, further = 0;
    for (int n = 0; n < 100; ++n) taken += a.query_came(0, 1, false, later).why == Refusal::none;
    for (int n = 0; n < 100; ++n) further += a.may_attempt_again(0, later);
    assert(taken == 5 && further == 10);
    // And one that goes back gives nothing.
    assert(a.query_came(0, 1, false, kStart).why == Refusal::rate);
}

void prompt_tokens_and_answer_tokens_are_bounded() {
    RouteLimits l;
    l.prompt_tokens = 1000;
    Admission a = with(l);
    assert(a.query_came(0, 5000, false, kStart).why == Refusal::none);  // alone, or it could never pass
    assert(a.query_came(0, 1, false, kStart).why == Refusal::prompt_tokens);
    RouteLimits m;
    m.answer_rate = 100;
    Admission b = with(m);
    assert(b.query_came(0, 1, false, kStart).why == Refusal::none);
    b.tokens_came(0, 500, kStart);
    assert(b.query_came(0, 1, false, kStart).why == Refusal::answer_rate);
    assert(b.query_came(0, 1, false, kStart + ms(2900)).why == Refusal::answer_rate);
    assert(b.query_came(0, 1, false, kStart + ms(3100)).why == Refusal::none);
}

// A limit stated for the fleet: all gateways together never let more through than it says, however load falls
// on them; while their number is wrong by a factor, at most that factor.
void the_fleet_keeps_to_a_stated_limit() {
    for (const int gateways : {3, 20}) {
        RouteLimits l;
        l.rate = 120;
        l.burst = 60;
        std::vector<Admission> fleet;
        for (int g = 0; g < gateways; ++g) fleet.push_back(with(l, gateways));
        std::minstd_rand chance(5);
        int taken = 0;
        for (int t = 0; t < 20000; ++t) {
            // Most of the load on the first gateways.
            const double u = std::uniform_real_distribution<double>(0, 1)(chance);
            const auto g = static_cast<std::size_t>(u * u * gateways);
            taken += fleet[g].query_came(0, 1, false, kStart + ms(t)).why == Refusal::none;
        }
        assert(taken <= 120 * 20 + 60 + gateways);
    }
}

// A fleet that doubles: while the old half has not heard of it, at most half as much again passes; then no
// more than is stated.
void a_gateway_count_that_doubles_overshoots_by_half_at_most() {
    RouteLimits l;
    l.rate = 120;
    l.burst = 8;
    std::vector<Admission> fleet;
    for (int g = 0; g < 8; ++g) fleet.push_back(with(l, g < 4 ? 4 : 8));
    const auto taken_in = [&](int from_ms, int to_ms) {
        int taken = 0;
        for (int t = from_ms; t < to_ms; ++t)
            for (Admission& a : fleet)
                taken += a.query_came(0, 1, false, kStart + ms(t)).why == Refusal::none;
        return taken;
    };
    taken_in(0, 1000);  // the first burst
    assert(taken_in(1000, 11000) <= 1.5 * 1200 + 8);
    for (Admission& a : fleet) a.change({{l}}, 8, kStart + ms(11000));
    assert(taken_in(11000, 21000) <= 1200 + 8);
}

// Against a failure of all writers that twenty routes multiply, each for itself: all together keep to the
// share.
void twenty_routes_that_all_fail_keep_to_their_share() {
    RouteLimits l;
    l.retry_share = 0.2;
    l.retry_floor = 0.5;
    Admission a(1, kStart);
    a.change(std::vector<RouteLimits>(20, l), 1, kStart);
    int first = 0, further = 0, most_in_a_second = 0, this_second = 0;
    for (int t = 0; t < 30000; ++t) {
        const Instant now = kStart + ms(t);
        for (RouteIndex r = 0; r < 20; ++r) {
            if ((t + static_cast<int>(r) * 7) % 25 != 0) continue;  // 40 a second each
            a.first_attempt_started(r, now);
            ++first;
            // Every attempt fails, and so does each that follows it, up to five.
            for (int again = 0; again < 5 && a.may_attempt_again(r, now); ++again) ++this_second;
        }
        if (t % 1000 != 999) continue;
        further += this_second;
        if (t > 11000) most_in_a_second = std::max(most_in_a_second, this_second);
        this_second = 0;
    }
    assert(first == 24000 && further <= 0.2 * first + 20 * 0.5 * 40);
    assert(most_in_a_second <= 2 * (0.2 * 800 + 10));
}

void a_flood_on_one_route_leaves_the_others_alone() {
    Admission a(1, kStart);
    RouteLimits few;
    few.in_hand = 5;
    a.change(std::vector<RouteLimits>{few, RouteLimits{}}, 1, kStart);
    for (int n = 0; n < 1000; ++n) a.query_came(0, 1, false, kStart);
    assert(a.counts(0).in_hand == 5);
    assert(a.query_came(1, 1, false, kStart).why == Refusal::none);
}

slot_fleet::Seen played(double load, double slow_from_s = 1e9, double slow_until_s = 0) {
    RouteLimits l;
    l.adapts = true;
    return slot_fleet::play(l,
                            {.of_capacity = load, .slow_from_s = slow_from_s, .slow_until_s = slow_until_s});
}

// Against jams: at three times what the fleet can do, first tokens stay near what they are unloaded, and the
// fleet stays busy; at half of it the limit is not in the way; after four slow seconds it is back.
void an_adaptive_limit_finds_its_place() {
    const auto half = played(0.5), over = played(3), recovered = played(0.9, 3, 7);
    std::fprintf(
        stderr,
        "adaptive: at 0.5 x limit %.0f first %.0f ms, %.0f/s; at 3 x limit %.0f first %.0f ms, %.0f/s; "
        "after a slow spell limit %.0f first %.0f ms, %.0f/s\n",
        half.limit, half.first_ms, half.settled, over.limit, over.first_ms, over.settled, recovered.limit,
        recovered.first_ms, recovered.settled);
    assert(half.settled > 0.99 * half.came && half.first_ms < 110);
    assert(over.settled > 0.95 * 400 && over.first_ms < 250);
    assert(recovered.settled > 0.95 * recovered.came);
}

// Against a fleet from which nothing comes back: no first token tells of it, so losses alone must.
void an_adaptive_limit_falls_when_all_is_lost() {
    AdaptiveLimit limit(100);
    Instant now = kStart;
    for (int n = 0; n < 400; ++n, now = now + ms(10)) limit.lost(now);
    assert(limit.limit() < 20);
    // And comes back within seconds once first tokens do.
    for (int n = 0; n < 600; ++n, now = now + ms(10)) limit.first_token(ms(100), limit.limit(), now);
    assert(limit.limit() > 50);
}

// Against the plain way, all samples kept and sorted: the mean of the estimate, and how far single ones
// stray.
void a_learned_quantile_is_near_the_sorted_one() {
    std::minstd_rand chance(21);
    std::lognormal_distribution<double> first_tokens(4.5, 0.5);
    LearnedQuantile learned(0.95);
    std::vector<double> all, estimates;
    for (int n = 0; n < 20000; ++n) {
        const double sample = first_tokens(chance);
        all.push_back(sample);
        learned.add(sample);
        if (n >= 1000) estimates.push_back(learned.value());
    }
    std::sort(all.begin(), all.end());
    std::sort(estimates.begin(), estimates.end());
    const double truth = all[all.size() * 95 / 100], middle = estimates[estimates.size() / 2];
    const double low = estimates[estimates.size() / 20], high = estimates[estimates.size() * 19 / 20];
    int to_fall = 0;
    while (learned.value() > truth * 0.5 * 1.2) {
        learned.add(first_tokens(chance) * 0.5);
        ++to_fall;
    }
    std::fprintf(stderr,
                 "quantile: sorted %.0f, learned median %.0f, nine of ten within %.0f to %.0f; %d samples "
                 "after a halving\n",
                 truth, middle, low, high, to_fall);
    assert(std::abs(middle / truth - 1) < 0.1 && low > 0.8 * truth && high < 1.3 * truth);
    assert(to_fall < 600);
}

// Against a limit that one busy gateway meets long before the fleet does: what a gateway has of the whole is
// its part, and the parts of all never add up to more than the whole.
void a_learned_part_follows_the_load() {
    std::vector<FleetShare> shares(4, FleetShare(4));
    Instant now = kStart;
    double sum = 0;
    for (int n = 0; n < 100; ++n, now = now + ms(100))
        for (std::size_t g = 0; g < 4; ++g) shares[g].report(g == 0 ? 700 : 100, 1000, now);
    for (const FleetShare& s : shares) sum += s.value(now);
    assert(std::abs(shares[0].value(now) - 0.61) < 0.001 && std::abs(sum - 1) < 0.001);
    // A report that shows less than this gateway has itself is an old one.
    FleetShare mistaken(4);
    mistaken.report(500, 100, now);
    assert(mistaken.value(now) <= 1);
    // Without reports, and with a clock that jumps, it is even again.
    assert(shares[0].value(now + ms(10001)) == 0.25 && FleetShare(5).value(now) == 0.2);
    shares[0].report(0, 0, now);
    shares[0].report(100, 1000, now + ms(3600000));
    assert(shares[0].value(now + ms(3600000)) < 0.2);
}

// The part is taken up by what comes next, both ways, and is not won by any number of small steps.
void an_admission_keeps_to_its_learned_part() {
    RouteLimits l;
    l.rate = 100;
    Admission a = with(l, 10);
    const auto taken_in = [&](int from_ms, int to_ms) {
        int taken = 0;
        for (int t = from_ms; t < to_ms; ++t)
            taken += a.query_came(0, 1, false, kStart + ms(t)).why == Refusal::none;
        return taken;
    };
    taken_in(0, 1000);
    a.part_is(0.5);
    const int grown = taken_in(1000, 3000);
    assert(grown >= 98 && grown <= 100);
    a.part_is(0);
    const int even = taken_in(3000, 5000);
    assert(even >= 19 && even <= 30);
    int jittered = 0;
    for (int n = 0; n < 100; ++n) {
        a.part_is(n % 2 ? 0.2 : 0.1);
        jittered += taken_in(5000 + n * 20, 5020 + n * 20);
    }
    assert(jittered <= 45);
}

// Counts never go wrong, whatever order things happen in.
void counts_stay_whole() {
    assert(rc::check("random events", [] {
        RouteLimits l;
        l.in_hand = *rc::gen::inRange(1, 20);
        l.rate = *rc::gen::inRange(1, 100);
        l.retry_share = 0.1;
        Admission a = with(l, *rc::gen::inRange(1, 5));
        Instant now = kStart;
        int open = 0;
        const int steps = *rc::gen::inRange(0, 200);
        for (int n = 0; n < steps; ++n) {
            now = now + ms(*rc::gen::inRange(0, 500));
            const int what = *rc::gen::inRange(0, 4);
            if (what == 0) open += a.query_came(0, 10, false, now).why == Refusal::none;
            if (what == 1 && open > 0) {
                a.query_over(0, 10, true, now);
                --open;
            }
            if (what == 2) a.first_attempt_started(0, now);
            if (what == 3) a.may_attempt_again(0, now);
            RC_ASSERT(a.counts(0).in_hand == open && a.counts(0).prompt_tokens == 10 * open);
            RC_ASSERT(open <= l.in_hand);
        }
    }));
}

}  // namespace

int main() {
    a_rate_lets_its_burst_and_then_its_rate_through();
    a_reload_frees_nothing();
    what_runs_goes_on();
    further_attempts_keep_to_their_share();
    a_clock_that_stands_still_and_then_jumps_gives_no_more_than_a_window();
    prompt_tokens_and_answer_tokens_are_bounded();
    the_fleet_keeps_to_a_stated_limit();
    a_gateway_count_that_doubles_overshoots_by_half_at_most();
    twenty_routes_that_all_fail_keep_to_their_share();
    a_flood_on_one_route_leaves_the_others_alone();
    an_adaptive_limit_finds_its_place();
    an_adaptive_limit_falls_when_all_is_lost();
    a_learned_quantile_is_near_the_sorted_one();
    a_learned_part_follows_the_load();
    an_admission_keeps_to_its_learned_part();
    counts_stay_whole();
}
