// Measures what limits cost per request, and their effect compared with the same load without them; a fleet
// is simulated where one is needed. Not a test: compare figures only within one run.
#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <random>

#include "limits/admission.h"
#include "routes/route_table.h"

using namespace copperfront;

namespace {

constexpr Instant kStart{1'000'000'000'000};

std::vector<RouteMatch> routes(std::size_t count) {
    std::minstd_rand chance(3);
    std::vector<RouteMatch> out(1);
    while (out.size() < count) {
        RouteMatch r;
        const auto n = static_cast<std::uint32_t>(out.size());
        r.category = n % 7 == 0 ? kAny : n % 20;
        r.client_group = n / 20;
        if (n % 3 == 0) r.attributes = {n % 50};
        if (n % 11 == 0) r.min_prompt_tokens = 1000;
        out.push_back(r);
    }
    return out;
}

RouteRequest random_request(std::minstd_rand& chance, std::size_t count) {
    RouteRequest q;
    q.category = static_cast<std::uint32_t>(chance() % 20);
    q.client_group = static_cast<std::uint32_t>(chance() % (count / 20 + 1));
    q.listener = 0;
    q.attributes = {static_cast<std::uint32_t>(chance() % 50), 60};
    q.prompt_tokens = static_cast<double>(chance() % 3000);
    return q;
}

void find(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const RouteTable table(routes(count));
    std::minstd_rand chance(5);
    for (auto _ : state) benchmark::DoNotOptimize(table.find(random_request(chance, count)));
}
void scan(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const RouteTable table(routes(count));
    std::minstd_rand chance(5);
    for (auto _ : state) benchmark::DoNotOptimize(table.scan(random_request(chance, count)));
}
void build(benchmark::State& state) {
    const auto all_routes = routes(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) benchmark::DoNotOptimize(RouteTable(all_routes).size());
}
void admission(benchmark::State& state) {
    RouteLimits l;
    l.rate = 1e9;
    l.burst = 1e9;
    l.in_flight = 1000;
    l.answer_rate = 1e9;
    l.adaptive = true;
    l.retry_share = 0.2;
    Admission a(3, kStart);
    a.change({{l}}, 3, kStart);
    Instant now = kStart;
    for (auto _ : state) {
        now = now + Duration{100};
        benchmark::DoNotOptimize(a.request_arrived(0, 500, false, now).why);
        a.first_attempt_started(0, now);
        a.first_attempt_started(0, now);
        a.stream_began(0, Duration{50000}, now);
        a.tokens_received(0, 20, now);
        a.request_ended(0, 500, true, now);
    }
}

// A fleet with a capacity of 400 attempts a second, of which half fail and take as long as a successful one.
// A request may have six attempts. Requests arrive at 320 a second, and are useful for one second. Returns
// the share of requests that complete.
double goodput(double retry_share) {
    RouteLimits l;
    l.retry_share = retry_share;
    l.retry_floor = 2;
    Admission a(1, kStart);
    a.change({{l}}, 1, kStart);
    std::minstd_rand chance(11);
    struct Request {
        Instant arrived_at;
        int attempts = 0;
    };
    std::deque<Request> queue;
    double due = 0, arrived = 0, completed = 0, capacity = 0;
    for (int t = 0; t < 60000; ++t) {
        const Instant now = kStart + Duration{t * 1000};
        for (due += 0.32; due >= 1; due -= 1) {
            queue.push_back({now, 0});
            a.first_attempt_started(0, now);
            arrived += 1;
        }
        for (capacity += 0.4; capacity >= 1 && !queue.empty(); capacity -= 1) {
            Request q = queue.front();
            queue.pop_front();
            // Servers also process requests whose clients no longer wait: they cannot know.
            const bool late = now - q.arrived_at > Duration{1000000};
            if (chance() % 2 == 0) {
                completed += !late;
            } else if (!late && ++q.attempts < 6 && a.may_attempt_again(0, now)) {
                queue.push_back(q);
            }
        }
        capacity = std::min(capacity, 1.0);
    }
    return completed / arrived;
}
void half_fails(benchmark::State& state) {
    const double share = state.range(0) < 0 ? kNoLimit : static_cast<double>(state.range(0)) / 100;
    for (auto _ : state) state.counters["settled"] = goodput(share);
}

}  // namespace

BENCHMARK(find)->Arg(10)->Arg(1000)->Arg(10000);
BENCHMARK(scan)->Arg(10)->Arg(1000)->Arg(10000);
BENCHMARK(build)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(admission);
BENCHMARK(half_fails)
    ->Arg(-1)
    ->Arg(50)
    ->Arg(20)
    ->Arg(10)
    ->Arg(0)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
