// The shadow evaluation counts what other terms would have decided, and does not affect real decisions.
#include "shadow/shadow_evaluation.h"

#include <cassert>
#include <cstdio>
#include <vector>

#include "../dispatch/fake_dispatcher_host.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }

Terms base_terms() {
    Terms terms;
    terms.categories.resize(1);
    terms.categories[0].latency_goal = ms(1500);
    terms.kinds = {{Role::prefill, 100000}, {Role::decode, 100000}};
    terms.cancel = true;
    terms.max_attempts = 4;
    terms.quantum = ms(4);
    terms.release_within = ms(1000);
    terms.max_retry_after = ms(1000);
    return terms;
}

// Two prefill servers and two decode servers; the first decode server reports that nearly all of its memory
// is in use.
struct Scenario {
    FakeDispatcherHost world;
    Dispatcher dispatcher;

    explicit Scenario(const Terms* other_terms) : dispatcher(base_terms(), world, 7) {
        dispatcher.evaluate_shadow_terms(other_terms, 7);
        std::vector<ServerListing> list(4);
        for (ServerIndex s = 0; s < 4; ++s)
            list[s] = {s, static_cast<std::uint16_t>(s / 2), 0, 0, {}, ServerStatus::ready};
        dispatcher.list_arrived(list, true);
    }
    void advance(Duration duration) {
        world.clock = world.clock + duration;
        dispatcher.run_due_timers();
    }
    void run_requests(int count) {
        for (int n = 0; n < count; ++n) {
            RequestInfo info;
            info.prompt_tokens = 1000;
            info.max_output_tokens = 100;
            info.time_budget = ms(6000);
            const RequestIndex request = dispatcher.open();
            dispatcher.request_arrived(request, info);
            AttemptOutcome outcome;
            outcome.ending = Ending::prefilled;
            advance(ms(20));
            dispatcher.attempt_ended(world.sent.back().attempt, outcome);
            const Sent hand_over = world.sent.back();
            assert(hand_over.request == request && !hand_over.is_prefill);
            RequestIndex token_request = 0;
            advance(ms(20));
            dispatcher.token_received(hand_over.attempt, token_request);
            outcome.ending = Ending::completed;
            outcome.report.memory_share = hand_over.to == 2 ? 0.97 : 0.1;
            advance(ms(100));
            dispatcher.attempt_ended(hand_over.attempt, outcome);
        }
    }
};

void identical_terms_show_no_differences() {
    const Terms identical = base_terms();
    Scenario scenario(&identical);
    scenario.run_requests(50);
    const ShadowDifferences& differences = scenario.dispatcher.shadow_evaluation()->differences();
    assert(differences.same_server == 100 &&
           differences.other_prefill_server + differences.other_decode_server == 0);
    assert(differences.not_sent + differences.ended_early + differences.continued + differences.cancelled +
               differences.probes + differences.peer_notes ==
           0);
}

void use_of_load_reports_changes_the_decode_server() {
    Terms other_terms = base_terms();
    other_terms.reports_memory_share = true;
    Scenario scenario(&other_terms);
    scenario.run_requests(50);
    const ShadowDifferences& differences = scenario.dispatcher.shadow_evaluation()->differences();
    assert(differences.other_decode_server >= 10);  // the shadow router avoids the full decode server
    assert(differences.ended_early + differences.continued == 0);
}

void probes_and_peer_notes_are_counted_and_not_sent() {
    Terms other_terms = base_terms();
    other_terms.reports_memory_share = other_terms.reports_queued_tokens = other_terms.probes =
        other_terms.peers = true;
    Scenario scenario(&other_terms);
    scenario.run_requests(30);
    const ShadowDifferences& differences = scenario.dispatcher.shadow_evaluation()->differences();
    assert(differences.probes > 0 && differences.peer_notes > 0);
    assert(scenario.world.probes == 0 && scenario.world.notes == 0);
}

void real_decisions_are_unchanged() {
    Terms other_terms = base_terms();
    other_terms.reports_memory_share = other_terms.peers = true;
    Scenario without_shadow(nullptr), with_shadow(&other_terms);
    without_shadow.run_requests(60);
    with_shadow.run_requests(60);
    assert(!without_shadow.dispatcher.shadow_evaluation());
    assert(without_shadow.world.sent.size() == with_shadow.world.sent.size());
    for (std::size_t n = 0; n < without_shadow.world.sent.size(); ++n) {
        assert(without_shadow.world.sent[n].to == with_shadow.world.sent[n].to);
        assert(without_shadow.world.sent[n].is_prefill == with_shadow.world.sent[n].is_prefill);
    }
    assert(with_shadow.world.completed_count == 60);
}

// All decode servers are full by the other terms, so the shadow router queues and rejects requests that are
// really sent.
void attempts_not_sent_are_counted() {
    Terms other_terms = base_terms();
    other_terms.reports_memory_share = true;
    Scenario scenario(&other_terms);
    scenario.run_requests(4);
    LoadReport full_report;
    full_report.memory_share = 0.99;
    for (int n = 0; n < 6; ++n) {
        for (const ServerIndex s : {2U, 3U}) scenario.dispatcher.probe_answered(s, true, full_report);
        scenario.run_requests(1);
    }
    assert(scenario.dispatcher.shadow_evaluation()->differences().not_sent > 0);
}

// Guards against classifying an attempt by its outcome: a prefill that ends in an error still counts as a
// prefill.
void failed_prefill_counts_as_a_prefill_difference() {
    Terms other_terms = base_terms();
    other_terms.reports_queued_tokens = true;
    Scenario scenario(&other_terms);
    LoadReport busy_report;
    busy_report.queued_kilotokens = 50;
    for (int n = 0; n < 20; ++n) {
        RequestInfo info;
        info.prompt_tokens = 1000;
        info.max_output_tokens = 100;
        info.time_budget = ms(6000);
        scenario.dispatcher.probe_answered(0, true, busy_report);
        scenario.dispatcher.probe_answered(1, true, {-1, 0});
        const RequestIndex request = scenario.dispatcher.open();
        scenario.dispatcher.request_arrived(request, info);
        const Sent prefill = scenario.world.sent.back();
        assert(prefill.is_prefill);
        scenario.advance(ms(20));
        AttemptOutcome outcome;
        outcome.ending = Ending::error;
        scenario.dispatcher.attempt_ended(prefill.attempt, outcome);
        scenario.dispatcher.client_left(request);
    }
    const ShadowDifferences& differences = scenario.dispatcher.shadow_evaluation()->differences();
    assert(differences.other_prefill_server > 0 && differences.other_decode_server == 0);
}

}  // namespace

int main() {
    identical_terms_show_no_differences();
    use_of_load_reports_changes_the_decode_server();
    probes_and_peer_notes_are_counted_and_not_sent();
    real_decisions_are_unchanged();
    attempts_not_sent_are_counted();
    failed_prefill_counts_as_a_prefill_difference();
}
