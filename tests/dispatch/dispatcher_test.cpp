// Tests of the dispatcher with the real router and a fake host.
#include "dispatch/dispatcher.h"

#include <cassert>
#include <string>
#include <vector>

#include "fake_dispatcher_host.h"

using namespace copperfront;

namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }

Terms test_terms() {
    Terms t;
    t.categories.resize(2);
    t.categories[0].latency_goal = ms(1500);
    t.categories[1].latency_goal = ms(1500);
    t.categories[1].effect = Effect::effectful;
    t.kinds = {{Role::prefill, 100000}, {Role::decode, 100000}};
    t.cancel = true;
    t.max_attempts = 4;
    t.quantum = ms(4);
    t.release_within = ms(1000);
    t.max_retry_after = ms(1000);
    return t;
}

RequestInfo arrival_of(std::uint16_t category) {
    RequestInfo a;
    a.category = category;
    a.prompt_tokens = 1000;
    a.max_output_tokens = 100;
    a.time_budget = ms(6000);
    return a;
}

struct Fixture {
    FakeDispatcherHost host;
    Dispatcher dispatcher{test_terms(), host, 7};

    Fixture() {
        std::vector<ServerListing> list(4);
        for (ServerIndex s = 0; s < 4; ++s) {
            list[s].server = s;
            list[s].kind = s < 2 ? 0 : 1;  // two prefill servers, two decode servers
            list[s].name_hash = s + 1;
        }
        dispatcher.list_arrived(list, true);
    }
    RequestIndex send_request(std::uint16_t category = 0) {
        const RequestIndex q = dispatcher.open();
        dispatcher.request_arrived(q, arrival_of(category));
        return q;
    }
    void end_attempt(AttemptId attempt, Ending ending) {
        AttemptOutcome o;
        o.ending = ending;
        dispatcher.attempt_ended(attempt, o);
    }
    void advance(Duration time) {
        const Instant until = host.clock + time;
        while (host.next_wakeup <= until) {
            host.clock = std::max(host.clock, host.next_wakeup);
            host.next_wakeup = {INT64_MAX};
            dispatcher.run_due_timers();
        }
        host.clock = until;
    }
    const Sent& last_sent() const { return host.sent.back(); }
};

void request_is_prefilled_decoded_and_completed() {
    Fixture s;
    const RequestIndex q = s.send_request();
    assert(s.last_sent().is_prefill);
    const AttemptId prefill = s.last_sent().attempt;
    s.host.clock = s.host.clock + ms(50);
    s.end_attempt(prefill, Ending::prefilled);
    assert(!s.last_sent().is_prefill && s.last_sent().state == prefill);
    RequestIndex owner = 99;
    assert(s.dispatcher.token_received(s.last_sent().attempt, owner) && owner == q);
    assert(s.dispatcher.token_received(s.last_sent().attempt, owner));
    s.end_attempt(s.last_sent().attempt, Ending::completed);
    assert(s.host.answers[q] == std::vector<std::string>{"completed"});
    assert(s.host.released.empty());  // the decode server has taken the state
    s.send_request();
    assert(s.host.closed_requests == std::vector<RequestIndex>{q});
}

// Guards against a second final answer when a server still sends something for a request that has ended.
void nothing_follows_the_final_answer() {
    Fixture s;
    const RequestIndex q = s.send_request();
    s.end_attempt(s.last_sent().attempt, Ending::prefilled);
    const AttemptId decode = s.last_sent().attempt;
    RequestIndex owner = 0;
    s.dispatcher.token_received(decode, owner);
    s.end_attempt(decode, Ending::connection_lost);
    assert(s.host.answers[q] == std::vector<std::string>{"abandoned: the stream broke"});
    assert(!s.dispatcher.token_received(decode, owner));
    s.end_attempt(decode, Ending::completed);
    s.advance(ms(20000));
    assert(s.host.answers[q].size() == 1);
    assert(s.dispatcher.open_requests() == 0 && s.dispatcher.attempts_out() == 0);
}

// Guards against an answer whose end is lost: the client would wait for ever.
void silent_stream_is_abandoned() {
    Fixture s;
    const RequestIndex q = s.send_request();
    s.end_attempt(s.last_sent().attempt, Ending::prefilled);
    const AttemptId decode = s.last_sent().attempt;
    RequestIndex owner = 0;
    s.dispatcher.token_received(decode, owner);
    s.advance(ms(5000));
    s.dispatcher.token_received(decode, owner);  // slow, but alive
    s.advance(ms(5900));
    assert(s.host.answers[q].empty());
    s.advance(ms(200));
    assert(s.host.answers[q] == std::vector<std::string>{"abandoned: the stream broke"});
    assert(s.host.cancelled == std::vector<AttemptId>{decode});
}

void departed_client_ends_its_stream() {
    Fixture s;
    const RequestIndex q = s.send_request();
    s.end_attempt(s.last_sent().attempt, Ending::prefilled);
    const AttemptId decode = s.last_sent().attempt;
    RequestIndex owner = 0;
    s.dispatcher.token_received(decode, owner);
    s.dispatcher.client_left(q);
    assert(s.host.cancelled == std::vector<AttemptId>{decode});
    assert(s.host.answers[q].empty());
    assert(s.dispatcher.attempts_out() == 0);
}

// Guards against timers that pile up until a deadline that may be an hour away, though their requests ended.
void timers_of_ended_requests_do_not_pile_up() {
    constexpr int kRequests = 20000;
    constexpr std::size_t kMaxTimers = 4096;
    Fixture s;
    RequestInfo info = arrival_of(0);
    info.time_budget = ms(3600000);
    for (int n = 0; n < kRequests; ++n) {
        const RequestIndex q = s.dispatcher.open();
        s.dispatcher.request_arrived(q, info);
        s.dispatcher.client_left(q);
        s.advance(ms(1));
    }
    assert(s.dispatcher.open_requests() == 0);
    assert(s.dispatcher.timers() <= kMaxTimers);
}

// Guards against states that stay held after a prefill whose client left or whose answer never arrived.
void state_of_a_lost_prefill_is_released() {
    Fixture s;
    const RequestIndex q = s.send_request();
    const Sent prefill = s.last_sent();
    s.dispatcher.client_left(q);
    assert(s.host.cancelled == std::vector<AttemptId>{prefill.attempt});
    assert(
        (s.host.released == std::vector<std::pair<ServerIndex, AttemptId>>{{prefill.to, prefill.attempt}}));

    Fixture other;
    other.send_request();
    const Sent lost = other.last_sent();
    other.end_attempt(lost.attempt, Ending::connection_lost);
    assert((other.host.released == std::vector<std::pair<ServerIndex, AttemptId>>{{lost.to, lost.attempt}}));
}

// Guards against the release of a state that a decode attempt is about to fetch.
void state_awaited_by_an_attempt_is_kept() {
    Fixture s;
    s.send_request();
    const AttemptId prefill = s.last_sent().attempt;
    s.end_attempt(prefill, Ending::prefilled);
    s.advance(ms(900));
    assert(s.host.released.empty());
    AttemptOutcome full;
    full.ending = Ending::refused;
    s.dispatcher.attempt_ended(s.last_sent().attempt, full);
    assert(s.last_sent().state == prefill);  // the next decode server takes it
    assert(s.host.released.empty());
}

void effectful_request_is_never_sent_twice() {
    Fixture s;
    const RequestIndex q = s.send_request(1);
    s.end_attempt(s.last_sent().attempt, Ending::prefilled);
    const std::size_t before = s.host.sent.size();
    s.end_attempt(s.last_sent().attempt, Ending::connection_lost);
    s.advance(ms(10000));
    assert(s.host.sent.size() == before);
    assert(s.host.answers[q].size() == 1 && s.host.answers[q][0].rfind("abandoned", 0) == 0);
}

void unanswered_attempts_end_by_the_deadline() {
    Fixture s;
    const RequestIndex q = s.send_request();
    s.advance(ms(5990));
    assert(s.host.answers[q].empty());
    s.advance(ms(6));
    assert(s.host.answers[q].size() == 1);
    assert(s.dispatcher.attempts_out() == 0);
}

void shutdown_abandons_open_requests() {
    Fixture s;
    const RequestIndex a = s.send_request(), b = s.send_request();
    s.dispatcher.abandon_all("the gateway stops");
    assert(s.host.answers[a].size() == 1 && s.host.answers[b].size() == 1);
    assert(s.dispatcher.open_requests() == 0);
}

// A fixture whose route allows hedging after 200 ms.
struct HedgeFixture : Fixture {
    RouteLimits limits;
    HedgeFixture() {
        limits.hedging = true;
        limits.hedge_after = ms(200);
        limits.hedge_share = 1;
        dispatcher.terms_changed(test_terms(), {{limits}});
    }
    RequestIndex send_hedged_request(std::uint16_t category = 0) {
        const RequestIndex q = dispatcher.open();
        dispatcher.request_arrived(q, arrival_of(category), 0, limits);
        return q;
    }
};

// One slow server: the hedge goes to another one, its answer becomes the answer to the request, and the slow
// attempt is cancelled.
void hedge_wins_and_the_slow_attempt_is_cancelled() {
    HedgeFixture s;
    const RequestIndex q = s.send_hedged_request();
    const Sent slow_attempt = s.last_sent();
    s.advance(ms(199));
    assert(s.host.sent.size() == 1);
    s.advance(ms(2));
    assert(s.host.sent.size() == 2);
    const Sent hedge = s.last_sent();
    assert(hedge.is_prefill && hedge.request == q && hedge.to != slow_attempt.to);
    s.end_attempt(hedge.attempt, Ending::prefilled);
    RequestIndex owner = 99;
    const AttemptId decode = s.last_sent().attempt;
    assert(s.dispatcher.token_received(decode, owner) && owner == q);
    assert(s.host.cancelled == std::vector<AttemptId>{slow_attempt.attempt});
    assert((s.host.released ==
            std::vector<std::pair<ServerIndex, AttemptId>>{{slow_attempt.to, slow_attempt.attempt}}));
    assert(s.dispatcher.token_received(decode, owner) && owner == q);
    s.end_attempt(decode, Ending::completed);
    assert(s.host.answers[q] == std::vector<std::string>{"completed"});
    s.advance(ms(10000));
    s.dispatcher.open();
    assert(s.host.answers[q].size() == 1 && s.host.closed_requests == std::vector<RequestIndex>{q});
    assert(s.dispatcher.open_requests() == 0 && s.dispatcher.attempts_out() == 0);
}

void first_attempt_may_still_win() {
    HedgeFixture s;
    const RequestIndex q = s.send_hedged_request();
    const Sent slow_attempt = s.last_sent();
    s.advance(ms(201));
    const Sent hedge = s.last_sent();
    s.end_attempt(slow_attempt.attempt, Ending::prefilled);
    RequestIndex owner = 99;
    assert(s.dispatcher.token_received(s.last_sent().attempt, owner) && owner == q);
    assert(s.host.cancelled == std::vector<AttemptId>{hedge.attempt});
    s.end_attempt(s.last_sent().attempt, Ending::completed);
    assert(s.host.answers[q] == std::vector<std::string>{"completed"});
    s.advance(ms(10000));
    assert(s.host.answers[q].size() == 1 && s.dispatcher.attempts_out() == 0);
}

// One of the two attempts may fail; the request is answered only when both have, and then once.
void hedged_request_gets_one_answer() {
    HedgeFixture s;
    const RequestIndex q = s.send_hedged_request();
    s.advance(ms(201));
    assert(s.host.sent.size() == 2);
    s.advance(ms(6000));
    assert(s.host.answers[q].size() == 1 && s.dispatcher.open_requests() == 0 &&
           s.dispatcher.attempts_out() == 0);

    HedgeFixture departed;
    const RequestIndex abandoned_request = departed.send_hedged_request();
    departed.advance(ms(201));
    departed.dispatcher.client_left(abandoned_request);
    assert(departed.host.answers[abandoned_request].empty() && departed.host.cancelled.size() == 2 &&
           departed.dispatcher.attempts_out() == 0);
}

// Rule 2: a request that is not pure never has two attempts in flight.
void only_pure_requests_are_hedged_and_only_within_the_budget() {
    HedgeFixture s;
    s.send_hedged_request(1);
    s.advance(ms(1000));
    assert(s.host.sent.size() == 1);
    HedgeFixture small_budget;
    small_budget.limits.hedge_share = 0.1;
    small_budget.dispatcher.terms_changed(test_terms(), {{small_budget.limits}});
    for (int n = 0; n < 30; ++n) small_budget.send_hedged_request();
    small_budget.advance(ms(250));
    assert(small_budget.dispatcher.counters().hedges >= 1 && small_budget.dispatcher.counters().hedges <= 3);
}

// Guards against a slow or dead connection that uses up the time for the whole prefill. An attempt that was
// never sent has not run, so even an effectful request is retried elsewhere; an attempt that was sent is left
// alone.
void attempt_is_moved_when_its_connection_takes_too_long() {
    for (std::uint16_t category = 0; category < 2; ++category) {
        Fixture s;
        RouteLimits limits;
        limits.connect = ms(50);
        s.dispatcher.terms_changed(test_terms(), {{limits}});
        const RequestIndex q = s.dispatcher.open();
        s.host.waiting_for_connection = {1, 3};
        s.dispatcher.request_arrived(q, arrival_of(category), 0, limits);
        const Sent first = s.last_sent();
        s.advance(ms(49));
        assert(s.host.sent.size() == 1);
        s.advance(ms(2));
        assert(s.host.sent.size() == 2 && s.last_sent().is_prefill && s.last_sent().to != first.to);
        assert(s.host.cancelled.empty() && s.dispatcher.counters().connect_timeouts == 1);
        s.advance(ms(200));  // this one was sent
        assert(s.host.sent.size() == 2);
        s.end_attempt(s.last_sent().attempt, Ending::prefilled);
        const Sent decode = s.last_sent();
        s.advance(ms(51));
        assert(s.last_sent().attempt != decode.attempt && !s.last_sent().is_prefill &&
               s.last_sent().to != decode.to);
        s.end_attempt(s.last_sent().attempt, Ending::completed);
        assert(s.host.answers[q] == std::vector<std::string>{"completed"});
        assert(s.dispatcher.counters().connect_timeouts == 2);
    }
}

// A gateway that causes most of the memory use reported by a decode server gets most of the fleet's limit,
// and no longer when the reports stop saying so.
void fleet_share_is_learned_from_reports() {
    Fixture s;
    Terms many = test_terms();
    many.gateways = 10;
    s.dispatcher.terms_changed(many, {{RouteLimits{}}});
    assert(s.dispatcher.share() == 0.1);
    s.dispatcher.set_share_is_learned(true);
    const auto complete_request = [&](double prefill_memory_share, double decode_memory_share) {
        s.send_request();
        AttemptOutcome prefill;
        prefill.ending = Ending::prefilled;
        prefill.report.memory_share = prefill_memory_share;
        s.dispatcher.attempt_ended(s.last_sent().attempt, prefill);
        AttemptOutcome decoded;
        decoded.ending = Ending::completed;
        decoded.report.memory_share = decode_memory_share;
        s.dispatcher.attempt_ended(s.last_sent().attempt, decoded);
    };
    complete_request(0.9, 0);  // cached prefixes on a prefill server count for no gateway
    assert(s.dispatcher.share() == 0.1);
    complete_request(-1, 0.05);  // everything on the decode server belongs to other gateways
    assert(s.dispatcher.share() < 0.03);
    // This gateway has two requests there: 2,000 of the 4,000 tokens that the server reports.
    for (int n = 0; n < 40; ++n) {
        s.send_request();
        s.end_attempt(s.last_sent().attempt, Ending::prefilled);
    }
    for (int n = 0; n < 200; ++n) {
        s.advance(ms(1));
        LoadReport report;
        report.memory_share = 0.4;
        s.dispatcher.probe_answered(2, true, report);
        s.dispatcher.probe_answered(3, true, report);
    }
    assert(s.dispatcher.share() > 0.3 && s.dispatcher.share() < 0.5);
}

// A reload while hedges run: these keep the terms with which they arrived and still yield one answer each,
// and later requests of the changed category never have two attempts in flight.
void category_becomes_effectful_while_hedges_run() {
    HedgeFixture s;
    const RequestIndex early = s.send_hedged_request(), later = s.send_hedged_request();
    s.advance(ms(201));
    assert(s.host.sent.size() == 4);
    Terms changed_terms = test_terms();
    changed_terms.categories.push_back(
        changed_terms.categories[0]);  // as a gateway does it: the same name, a new index
    changed_terms.categories[2].effect = Effect::effectful;
    s.dispatcher.terms_changed(changed_terms, {{s.limits}});
    assert(s.host.cancelled.empty());
    const RequestIndex after_change = s.send_hedged_request(2);
    s.advance(ms(1000));
    assert(s.host.sent.size() == 5);
    const AttemptId only_attempt = s.last_sent().attempt, hedge = s.host.sent[3].attempt,
                    slow_attempt = s.host.sent[0].attempt;
    for (const AttemptId prefill : {slow_attempt, hedge, only_attempt})
        s.end_attempt(prefill, Ending::prefilled);
    RequestIndex owner = 99;
    std::map<RequestIndex, int> decodes_by_request;
    for (std::size_t n = 5; n < s.host.sent.size(); ++n) {
        ++decodes_by_request[s.host.sent[n].request];
        s.dispatcher.token_received(s.host.sent[n].attempt, owner);
        s.end_attempt(s.host.sent[n].attempt, Ending::completed);
    }
    assert(decodes_by_request[after_change] == 1);
    s.advance(ms(10000));
    for (const RequestIndex q : {early, later, after_change})
        assert(s.host.answers[q] == std::vector<std::string>{"completed"});
    assert(s.dispatcher.attempts_out() == 0 && s.dispatcher.open_requests() == 0);
}

}  // namespace

int main() {
    attempt_is_moved_when_its_connection_takes_too_long();
    category_becomes_effectful_while_hedges_run();
    fleet_share_is_learned_from_reports();
    request_is_prefilled_decoded_and_completed();
    nothing_follows_the_final_answer();
    silent_stream_is_abandoned();
    departed_client_ends_its_stream();
    timers_of_ended_requests_do_not_pile_up();
    state_of_a_lost_prefill_is_released();
    state_awaited_by_an_attempt_is_kept();
    effectful_request_is_never_sent_twice();
    unanswered_attempts_end_by_the_deadline();
    shutdown_abandons_open_requests();
    hedge_wins_and_the_slow_attempt_is_cancelled();
    first_attempt_may_still_win();
    hedged_request_gets_one_answer();
    only_pure_requests_are_hedged_and_only_within_the_budget();
}
