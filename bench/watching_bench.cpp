// Measures what the shadow evaluation of other terms costs a gateway: requests pass through a dispatcher with
// and without a shadow router, in fleets of several sizes. Not a test: compare figures only within one run.
#include <benchmark/benchmark.h>

#include "../tests/dispatch/fake_dispatcher_host.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }

Terms terms(bool reports) {
    Terms t;
    t.categories.resize(1);
    t.categories[0].latency_goal = ms(1500);
    t.kinds = {{Role::prefill, 200000}, {Role::decode, 100000}};
    t.cancel = true;
    t.max_attempts = 4;
    t.quantum = ms(4);
    t.release_within = ms(1000);
    t.reports_memory_share = t.reports_queued_tokens = reports;
    return t;
}

void queries(benchmark::State& state) {
    const auto servers = static_cast<ServerIndex>(state.range(0));
    FakeDispatcherHost host;
    Dispatcher dispatcher(terms(false), host, 7);
    const Terms shadow_terms = terms(true);
    if (state.range(1) != 0) dispatcher.evaluate_shadow_terms(&shadow_terms, 7);
    std::vector<ServerListing> list(servers);
    for (ServerIndex s = 0; s < servers; ++s) {
        list[s].server = s;
        list[s].kind = s % 2;
        list[s].name_hash = s + 1;
    }
    dispatcher.list_arrived(list, true);
    std::uint64_t n = 0;
    for (auto _ : state) {
        RequestInfo info;
        info.prompt_tokens = 1000;
        info.max_output_tokens = 100;
        info.session = ++n % 50 + 1;
        info.time_budget = ms(6000);
        dispatcher.request_arrived(dispatcher.open(), info);
        AttemptOutcome outcome;
        outcome.ending = Ending::prefilled;
        outcome.report = {0.3, 1};
        dispatcher.attempt_ended(host.sent.back().attempt, outcome);
        RequestIndex request = 0;
        const AttemptId decode_attempt = host.sent.back().attempt;
        dispatcher.token_received(decode_attempt, request);
        outcome.ending = Ending::completed;
        dispatcher.attempt_ended(decode_attempt, outcome);
        host.clock = host.clock + ms(5);
        dispatcher.run_due_timers();
        if (n % 1000 == 0) {
            host.sent.clear();
            host.answers.clear();
            host.closed_requests.clear();
        }
    }
}
BENCHMARK(queries)->ArgNames({"servers", "watched"})->ArgsProduct({{10, 60}, {0, 1}});

}  // namespace

BENCHMARK_MAIN();
