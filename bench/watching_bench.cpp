// Measures what the shadow evaluation of other terms costs a gateway: requests pass through a dispatcher with
// and without a shadow router, in fleets of several sizes. Not a test: compare figures only within one run.
#include <benchmark/benchmark.h>

#include "../tests/desk/fake_outside.h"

using namespace copperfront;

namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }

Terms terms(bool reports) {
    Terms t;
    t.categories.resize(1);
    t.categories[0].latency_goal = ms(1500);
    t.kinds = {{Role::reader, 200000}, {Role::writer, 100000}};
    t.cancel = true;
    t.max_attempts = 4;
    t.quantum = ms(4);
    t.release_within = ms(1000);
    t.reports_memory = t.reports_unread = reports;
    return t;
}

void queries(benchmark::State& state) {
    const auto servers = static_cast<ServerIndex>(state.range(0));
    FakeOutside outside;
    Desk desk(terms(false), outside, 7);
    const Terms shadow_terms = terms(true);
    if (state.range(1) != 0) desk.watch(&shadow_terms, 7);
    std::vector<Listing> list(servers);
    for (ServerIndex s = 0; s < servers; ++s) {
        list[s].server = s;
        list[s].kind = s % 2;
        list[s].mark = s + 1;
    }
    desk.list_arrived(list, true);
    std::uint64_t n = 0;
    for (auto _ : state) {
        Arrival info;
        info.prompt_tokens = 1000;
        info.most_tokens = 100;
        info.session = ++n % 50 + 1;
        info.budget = ms(6000);
        desk.query_came(desk.open(), info);
        Outcome outcome;
        outcome.ending = Ending::read;
        outcome.report = {0.3, 1};
        desk.attempt_ended(outside.sent.back().attempt, outcome);
        QueryIndex request = 0;
        const AttemptId decode_attempt = outside.sent.back().attempt;
        desk.token_came(decode_attempt, request);
        outcome.ending = Ending::settled;
        desk.attempt_ended(decode_attempt, outcome);
        outside.clock = outside.clock + ms(5);
        desk.time_came();
        if (n % 1000 == 0) {
            outside.sent.clear();
            outside.answers.clear();
            outside.closed_queries.clear();
        }
    }
}
BENCHMARK(queries)->ArgNames({"servers", "watched"})->ArgsProduct({{10, 60}, {0, 1}});

}  // namespace

BENCHMARK_MAIN();
