// Short scenarios for the router, one for each kind of fault.
#include "fake_router_host.h"

using namespace copperfront;

namespace {

bool is_prefill_server(ServerIndex s) { return s < 2; }
bool is_decode_server(ServerIndex s) { return s >= 2; }

void without_reports_least_queued_prefill_then_least_loaded_decode_server() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive(4000);
    assert(t.last_attempt().server == 0);  // a tie goes to the gateway's zone
    const RequestIndex b = t.arrive(1000);
    assert(t.last_attempt().server == 1);
    t.end_attempt(a, Ending::prefilled, 0);
    // A tie goes to the prefill server's cell.
    assert(t.last_attempt().request == a && t.last_attempt().server == 2);
    t.end_attempt(b, Ending::prefilled, 1);
    assert(t.last_attempt().request == b && t.last_attempt().server == 3);
    const RequestIndex c = t.prefill_one(500);
    // 4,100 own tokens on one, 1,100 on the other.
    assert(t.last_attempt().request == c && t.last_attempt().server == 3);
}

void with_reports_most_free_memory_less_own_streams() {
    RouterFixture t;
    t.terms.reports_memory_share = t.terms.reports_queued_tokens = true;
    t.start();
    t.report(2, 0.50);
    t.report(3, 0.40);
    t.report(0, -1, 20.0);
    t.report(1, -1, 2.0);
    const RequestIndex a = t.arrive(9000);
    assert(t.last_attempt().server == 1);
    t.end_attempt(a, Ending::prefilled);
    assert(t.last_attempt().server == 3);
    const RequestIndex b = t.arrive(1000);
    t.end_attempt(b, Ending::prefilled);
    assert(t.last_attempt().server == 3);  // 60,000 - 9,100 is still more than 50,000
    t.report(3, 0.55);
    const RequestIndex c = t.arrive(1000);
    t.end_attempt(c, Ending::prefilled);
    assert(t.last_attempt().server == 2);
}

void each_phase_uses_its_own_reports() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.start();
    t.report(2, 0.9);
    t.report(3, 0.1);
    t.arrive(4000);
    assert(t.last_attempt().server == 0);
    const RequestIndex b = t.arrive(1000);
    assert(t.last_attempt().server == 1);  // by own queued tokens, as none are reported
    t.end_attempt(b, Ending::prefilled);
    assert(t.last_attempt().server == 3);
}

void repeated_report_does_not_reset_own_streams() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.start();
    t.report(2, 0.50);
    t.report(3, 0.37);
    t.prefill_one(4000);
    assert(t.last_attempt().server == 3);
    t.report(3, 0.37);
    t.prefill_one(3000);
    assert(t.last_attempt().server == 2);
}

void session_affinity_holds_within_one_typical_prompt() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive(1000, 77);
    const ServerIndex preferred = t.last_attempt().server;
    t.end_attempt(a, Ending::prefilled);
    t.complete(a);
    t.arrive(900, 5);  // is cached at the zone's prefill server, the preferred one
    assert(t.last_attempt().server == preferred);
    t.arrive(1100, 77);
    assert(t.last_attempt().server == preferred);
    t.arrive(9000, 77);
    assert(t.last_attempt().server == preferred);
    t.arrive(1000, 77);
    // Over 9,000 tokens against none, and a typical prompt is 2,600.
    assert(t.last_attempt().server != preferred);
}

void prefix_has_the_same_preferred_server_at_all_gateways() {
    RouterFixture one, other;
    for (RouterFixture* t : {&one, &other}) {
        for (ServerIndex s = 4; s < 9; ++s) t->list.push_back({s, 0, 0, 0, {}, ServerStatus::ready});
        for (ServerListing& l : t->list) l.name_hash = 1000 + l.server;
        t->start();
    }
    for (int i = 0; i < 5; ++i) other.complete(other.prefill_one(1000, 900 + static_cast<std::uint64_t>(i)));
    std::vector<bool> used(9);
    for (std::uint64_t session = 1; session <= 30; ++session) {
        const RequestIndex a = one.arrive(1000, session), b = other.arrive(1000, session);
        const ServerIndex preferred = one.last_attempt().server;
        assert(preferred == other.last_attempt().server);
        used[preferred] = true;
        one.end_attempt(a, Ending::prefilled, preferred);
        one.complete(a);
        other.end_attempt(b, Ending::prefilled, preferred);
        other.complete(b);
    }
    assert(std::count(used.begin(), used.end(), true) >= 4);
}

// One gateway of many sees most prefixes once. Going by its own count alone would spread a prefix that is one
// of hundreds over as many prefill servers as one that is one of a few.
void shared_prefix_gets_preferred_servers_by_its_share_of_the_traffic() {
    for (const bool few : {false, true}) {
        std::vector<std::vector<bool>> used_by_prefix(200, std::vector<bool>(20, false));
        std::minstd_rand generator(5);
        for (int gateway = 0; gateway < 60; ++gateway) {
            RouterFixture t;
            t.list.clear();
            for (ServerIndex s = 0; s < 40; ++s) {
                ServerListing l;
                l.server = s;
                l.kind = s < 20 ? 0 : 1;
                l.name_hash = s + 1;
                t.list.push_back(l);
            }
            t.start();
            for (int n = 0; n < 12; ++n) {
                t.advance(ms(500));
                RequestInfo a;
                a.prompt_tokens = 1000;
                a.shared_prefix = 1 + generator() % (few ? 4 : 200);
                a.shared_prefix_tokens = 800;
                a.session = generator();
                a.max_output_tokens = 200;
                a.time_budget = ms(5000);
                const RequestIndex q = t.next++;
                t.router->request_arrived(q, a);
                used_by_prefix[a.shared_prefix - 1][t.last_attempt().server] = true;
                t.end_attempt(q, Ending::prefilled);
                t.complete(q);
            }
        }
        double servers = 0, prefixes = 0;
        for (const auto& used : used_by_prefix)
            if (const auto n = std::count(used.begin(), used.end(), true); n > 0)
                servers += static_cast<double>(n), ++prefixes;
        few ? assert(servers / prefixes > 8) : assert(servers / prefixes < 2);
    }
}

void cell_with_few_decode_servers_keeps_only_what_they_can_take() {
    RouterFixture t;
    t.list = {{0, 0, 0, 0, {}, ServerStatus::ready}, {1, 0, 0, 0, {}, ServerStatus::ready},
              {2, 0, 0, 0, {}, ServerStatus::ready}, {3, 1, 0, 0, {}, ServerStatus::ready},
              {4, 0, 0, 1, {}, ServerStatus::ready}, {5, 1, 0, 1, {}, ServerStatus::ready},
              {6, 1, 0, 1, {}, ServerStatus::ready}, {7, 1, 0, 1, {}, ServerStatus::ready}};
    t.start();
    int from_here = 0, stays_in_cell = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestIndex q = t.arrive();
        const ServerIndex prefill_server = t.last_attempt().server;
        t.end_attempt(q, Ending::prefilled, prefill_server);
        from_here += prefill_server < 3;
        stays_in_cell += prefill_server < 3 && t.last_attempt().server == 3;
        t.complete(q);
    }
    // A third: a quarter of the decode servers, three of the prefill servers.
    assert(stays_in_cell * 4 > from_here && stays_in_cell * 2 < from_here);
}

void request_waits_before_its_prefill_while_no_decode_server_has_room() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.start();
    t.report(2, 0.95);
    t.report(3, 0.95);
    const RequestIndex a = t.arrive();
    assert(t.attempts_sent() == 0);
    t.advance(ms(100));
    t.report(3, 0.5);
    assert(t.attempts_sent() == 1 && t.last_attempt().request == a &&
           is_prefill_server(t.last_attempt().server));
}

void full_decode_servers_delay_prefills_for_a_second_and_a_lost_state_does_not() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    // The state still waits: the other decode server.
    assert(t.last_attempt().request == a && is_decode_server(t.last_attempt().server));
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    const std::size_t before = t.attempts_sent();
    t.arrive();
    assert(t.attempts_sent() == before);
    t.advance(ms(1100));
    assert(t.attempts_sent() > before);

    RouterFixture u;
    u.start();
    const RequestIndex b = u.prefill_one();
    u.end_attempt(b, Ending::refused, u.last_attempt().server, true);
    assert(u.host.rejected.empty());
    u.advance(ms(10));
    // Prefilled again, as a further attempt.
    assert(u.last_attempt().request == b && is_prefill_server(u.last_attempt().server));
    const RequestIndex c = u.arrive();
    assert(u.last_attempt().request == c);  // and no decode server counts as full
}

void full_prefill_server_is_skipped_and_says_nothing_about_decode_servers() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive();
    const ServerIndex first = t.last_attempt().server;
    t.end_attempt(a, Ending::refused);
    t.advance(ms(10));
    assert(t.attempts_sent() == 2 && t.last_attempt().request == a &&
           is_prefill_server(t.last_attempt().server) && t.last_attempt().server != first);
    t.end_attempt(a, Ending::refused);
    t.advance(ms(100));
    assert(t.attempts_sent() == 2);  // both full: no immediate retries
}

void state_is_released_in_time_without_decode_room() {
    RouterFixture t;
    t.terms.max_attempts = 3;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    const Instant from = t.host.clock;
    while (t.host.released.empty()) {
        t.advance(ms(10));
        assert(t.host.clock - from < ms(900));
    }
    assert(t.host.rejected.size() == 1 && t.host.retry_after > Duration{0});
}

// A hand-over whose connection was never made does not count: the state has been waiting since its prefill.
void state_is_released_in_time_with_unreachable_decode_servers() {
    RouterFixture t;
    for (ServerIndex s = 4; s < 8; ++s) t.list.push_back({s, 1, 1, 1, {}, ServerStatus::ready});
    t.terms.categories[0].latency_goal = ms(3000);
    t.start();
    const RequestIndex q = t.prefill_one();
    const Instant prefilled_at = t.host.clock;
    while (t.host.released.empty()) {
        assert(t.host.clock - prefilled_at <= t.terms.release_within * 0.9);
        t.advance(ms(250));
        if (t.host.released.empty()) t.end_attempt(q, Ending::unreachable);
    }
    // Then the prompt is prefilled again.
    t.advance(ms(50));
    assert(t.last_attempt().request == q && is_prefill_server(t.last_attempt().server));
}

void prefill_server_restarted_before_the_hand_over_causes_a_new_prefill() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.update_server(0, ServerStatus::ready, t.host.clock);  // same id, new process
    t.end_attempt(a, Ending::error, t.last_attempt().server);
    assert(!t.host.released.empty());
    t.advance(ms(10));
    assert(t.last_attempt().request == a && t.last_attempt().server == 1);
}

void broken_stream_ends_its_request() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    const std::size_t before = t.attempts_sent();
    t.router->stream_began(a, ms(20));
    t.end_attempt(a, Ending::connection_lost, t.last_attempt().server, false, true);
    t.advance(ms(6000));
    assert(t.attempts_sent() == before && t.host.rejected.empty() && t.host.abandoned.empty());
}

void lost_answer_is_retried_where_the_prefix_is_cached() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive(1000, 7);
    const ServerIndex preferred = t.last_attempt().server;
    t.end_attempt(a, Ending::connection_lost);
    t.advance(ms(10));
    assert(t.attempts_sent() == 2 && t.last_attempt().server == preferred);
    assert(t.host.released.size() == 1);  // the prefill may have left a state
    t.end_attempt(a, Ending::prefilled);
    const ServerIndex decode_server = t.last_attempt().server;
    assert(is_decode_server(decode_server));
    t.end_attempt(a, Ending::connection_lost);
    t.advance(ms(10));
    assert(t.host.released.size() == 2 && t.last_attempt().server == preferred);
    t.end_attempt(a, Ending::prefilled);
    assert(is_decode_server(t.last_attempt().server));
}

// Servers close reused connections without notice. They must not be ejected for that, nor each prompt be
// prefilled once more.
void reset_of_a_reused_connection_does_not_count_against_its_server() {
    RouterFixture t;
    t.start();
    const auto stale = [&](RequestIndex q) {
        AttemptOutcome o;
        o.ending = Ending::connection_lost;
        o.stale_connection = true;
        t.router->attempt_ended(q, t.last_attempt().server, o);
    };
    const RequestIndex q = t.arrive();
    const ServerIndex prefill_server = t.last_attempt().server;
    // As often as would eject it if the server were at fault, the same prefill server is used again.
    for (int n = 0; n < 2; ++n) {
        stale(q);
        t.advance(ms(5));
        assert(t.last_attempt().request == q && t.last_attempt().server == prefill_server);
    }
    t.end_attempt(q, Ending::prefilled);
    const std::size_t released = t.host.released.size(), sent = t.attempts_sent();
    const ServerIndex decode_server = t.last_attempt().server;
    stale(q);
    // Its state is handed over at once, to the other decode server, and not released.
    assert(t.attempts_sent() == sent + 1 && t.host.released.size() == released);
    assert(t.last_attempt().server != decode_server && t.last_attempt().server >= 2);
    t.complete(q);
    // Without the flag the prompt is prefilled again.
    const RequestIndex other = t.prefill_one();
    t.end_attempt(other, Ending::connection_lost);
    assert(t.host.released.size() > released);
}

void state_that_arrives_after_the_client_left_is_released() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive();
    t.router->client_left(a);
    assert(t.host.cancelled.size() == 1);
    const std::size_t before = t.host.released.size();
    t.end_attempt(a, Ending::prefilled);
    assert(t.host.released.size() == before + 1 && t.attempts_sent() == 1);
}

void waiting_state_is_released_at_once_when_the_client_leaves() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    assert(t.host.released.empty());
    t.router->client_left(a);
    assert(t.host.released.size() == 1);
}

void waiting_request_is_answered_before_its_deadline() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    t.end_attempt(a, Ending::refused, t.last_attempt().server);
    const RequestIndex b = t.arrive(1000, 0, ms(300));
    const std::size_t before = t.attempts_sent();
    t.advance(ms(300));
    assert(t.attempts_sent() == before);
    assert(std::find(t.host.rejected.begin(), t.host.rejected.end(), b) != t.host.rejected.end());
}

void request_whose_attempt_timed_out_is_answered_once() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive(1000, 0, ms(500));
    t.host.clock = t.host.clock + ms(500);
    t.end_attempt(a, Ending::timed_out);
    assert(t.host.rejected.size() == 1 && t.attempts_sent() == 1);
    t.advance(ms(1000));
    assert(t.host.rejected.size() == 1);  // and only once
}

void draining_servers_get_no_new_requests_but_their_states_are_fetched() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive();
    t.update_server(0, ServerStatus::draining);
    t.update_server(2, ServerStatus::draining);
    t.end_attempt(a, Ending::prefilled, 0);
    assert(t.last_attempt().request == a && t.last_attempt().server == 3);
    for (int i = 0; i < 8; ++i) {
        t.arrive(8000);
        assert(t.last_attempt().server == 1);
    }
    t.update_server(1, ServerStatus::removed);
    const std::size_t before = t.attempts_sent();
    t.arrive();
    assert(t.attempts_sent() == before);
}

void server_missing_from_a_whole_list_is_removed() {
    RouterFixture t;
    t.start();
    t.router->list_arrived(std::vector<ServerListing>{t.list[1], t.list[3]}, true);
    t.prefill_one();
    assert(t.last_attempt().server == 3);
}

void cold_server_gets_no_more_than_this_gateways_share() {
    RouterFixture t;
    t.terms.gateways = 3;
    t.list[0].started_at = t.host.clock;
    t.start();
    for (int i = 0; i < 40; ++i) {  // knows nothing yet: all go to the warm prefill server
        const RequestIndex q = t.arrive();
        assert(t.last_attempt().server == 1);
        t.end_attempt(q, Ending::prefilled);
        t.complete(q);
    }
    int cold = 0, all = 0;
    for (int i = 0; i < 100; ++i) {
        t.advance(ms(50));
        const RequestIndex q = t.arrive();
        cold += t.last_attempt().server == 0;
        ++all;
        t.end_attempt(q, Ending::prefilled);
        t.complete(q);
    }
    // 2.5 x 0.25 of what the warm prefill server carries, less a margin
    assert(cold > 0 && cold < all * 0.625 / 1.625);
}

void restart_with_a_stale_list_keeps_nothing_of_the_old_process() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.arrive(6000, 9);
    assert(t.last_attempt().server == 0);
    t.end_attempt(a, Ending::prefilled, 0);
    t.complete(a);
    // Has restarted since, and is warm again.
    t.update_server(0, ServerStatus::ready, {t.host.clock.us - 20'000'000});
    t.arrive(9000, 3);
    const ServerIndex busy = t.last_attempt().server;
    t.arrive(6100, 9);
    assert(t.last_attempt().server != busy);  // nothing cached counts for it
}

void failing_server_is_ejected_and_tried_again() {
    RouterFixture t;
    t.start();
    int bad = 0;
    for (int i = 0; i < 20; ++i) {
        const RequestIndex q = t.arrive();
        while (is_prefill_server(t.last_attempt().server) && t.last_attempt().request == q) {
            if (t.last_attempt().server == 0) {
                ++bad;
                t.end_attempt(q, Ending::error);
                t.advance(ms(5));
            } else {
                t.end_attempt(q, Ending::prefilled);
            }
        }
        t.complete(q);
    }
    assert(bad >= 2 && bad <= 5);
    t.advance(ms(9000));
    const RequestIndex a = t.arrive();
    assert(t.last_attempt().server == 0);  // one attempt tests it
    t.arrive();
    assert(t.last_attempt().server == 1);
    t.end_attempt(a, Ending::prefilled, 0);
}

void overloaded_prefill_servers_delay_requests_that_would_be_late() {
    RouterFixture t;
    t.start();
    for (const ServerIndex s : {0U, 1U}) {
        const RequestIndex q = t.arrive(1000);
        AttemptOutcome slow;
        slow.ending = Ending::prefilled;
        slow.duration = ms(900);
        t.router->attempt_ended(q, t.last_attempt().server, slow);
        t.complete(q);
        t.update_server(s, s == 0 ? ServerStatus::draining : ServerStatus::ready);
    }
    const std::size_t before = t.attempts_sent();
    t.arrive(1000);
    assert(t.attempts_sent() == before);
    t.advance(ms(8000));  // no prefill since shows that the overload goes on
    t.arrive(1000);
    assert(t.attempts_sent() == before + 1);
}

void attempt_at_a_silent_server_is_retried_at_another() {
    RouterFixture t;
    t.start();
    for (int i = 0; i < 25; ++i) t.complete(t.prefill_one());
    const RequestIndex a = t.prefill_one();
    const ServerIndex silent = t.last_attempt().server;
    t.advance(ms(400));
    assert(t.host.cancelled.empty());
    t.advance(ms(200));
    assert(t.host.cancelled.size() == 1 && t.host.cancelled[0] == a);
    t.end_attempt(a, Ending::cancelled, silent);
    t.advance(ms(1000));  // past the latency goal, but a started request is useful until its deadline
    assert(t.last_attempt().request == a && is_prefill_server(t.last_attempt().server));
    t.end_attempt(a, Ending::prefilled);
    assert(is_decode_server(t.last_attempt().server) && t.host.rejected.empty());
}

void busy_server_is_not_taken_for_silent() {
    RouterFixture t;
    t.start();
    for (int i = 0; i < 25; ++i) t.complete(t.prefill_one());
    const RequestIndex a = t.prefill_one();
    const ServerIndex busy = t.last_attempt().server;
    t.advance(ms(400));
    t.router->probe_answered(busy, true, {});
    t.advance(ms(400));
    assert(t.host.cancelled.empty());
    t.router->stream_began(a, ms(800));
}

void unreachable_zone_does_not_keep_a_failing_server_in() {
    RouterFixture t;
    for (ServerIndex s = 4; s < 8; ++s) t.list.push_back({s, 0, 1, 1, {}, ServerStatus::ready});
    t.start();
    int sent_to_bad = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestIndex q = t.arrive();
        for (int n = 0; n < 5 && t.host.rejected.empty() && t.last_attempt().request == q; ++n) {
            const ServerIndex s = t.last_attempt().server;
            if (is_decode_server(s) && s < 4) break;
            sent_to_bad += s == 0;
            t.end_attempt(q, s >= 4 ? Ending::unreachable : s == 0 ? Ending::error : Ending::prefilled);
            t.advance(ms(5));
        }
        if (t.last_attempt().server == 2 || t.last_attempt().server == 3) t.complete(q);
        t.host.rejected.clear();
    }
    assert(sent_to_bad <= 5);
}

void overload_rejects_requests_over_a_client_groups_quota() {
    RouterFixture t;
    t.terms.quotas = {1.0};
    t.start();
    RequestInfo a;
    a.client_group = 0;
    a.prompt_tokens = 1000;
    a.time_budget = ms(5000);
    for (RequestIndex q = 0; q < 40; ++q) {
        t.next = q + 1;
        t.router->request_arrived(q, a);
        if (!t.host.rejected.empty()) break;
        t.end_attempt(q, Ending::prefilled);
        t.host.clock = t.host.clock + ms(1100);
        t.complete(q);
    }
    assert(t.host.rejected.empty());  // within its quota
    for (RequestIndex q = 40; q < 60; ++q) t.router->request_arrived(q, a);
    assert(t.host.rejected.size() >= 11 && t.host.rejected.size() <= 16);  // chance may bunch a few
}

void effectful_request_never_runs_twice() {
    RouterFixture t(Effect::effectful);
    t.start();
    const RequestIndex a = t.arrive();
    t.end_attempt(a, Ending::error);  // at a prefill server: no effect
    t.advance(ms(10));
    t.end_attempt(a, Ending::prefilled);
    const std::size_t before = t.attempts_sent();
    t.end_attempt(a, Ending::connection_lost);
    assert(t.attempts_sent() == before && t.host.abandoned.size() == 1 && t.host.rejected.empty());
    const RequestIndex b = t.prefill_one();
    t.end_attempt(b, Ending::unreachable);
    // Proves that it never ran.
    assert(t.last_attempt().request == b && is_decode_server(t.last_attempt().server));
}

void effectful_request_is_abandoned_at_its_deadline() {
    RouterFixture t(Effect::effectful);
    t.start();
    t.prefill_one();
    t.advance(ms(6000));
    assert(t.host.abandoned.size() == 1 && t.host.rejected.empty());
}

void receipted_request_stays_in_its_group_and_window() {
    RouterFixture t(Effect::receipted, DedupScope::cell);
    t.start();
    const RequestIndex a = t.prefill_one();
    const ServerIndex decode_server = t.last_attempt().server;
    t.end_attempt(a, Ending::error);
    t.advance(ms(900));
    for (const StartedAttempt& attempt : t.host.attempts)
        if (is_decode_server(attempt.server)) assert(attempt.server == decode_server);
    t.advance(ms(6000));
    assert(t.host.rejected.empty() && t.host.abandoned.size() == 1);
}

void further_attempts_wait_behind_first_ones() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.5);
    const RequestIndex a = t.arrive();
    t.report(2, 0.95);
    t.report(3, 0.95);
    t.end_attempt(a, Ending::error);
    const RequestIndex b = t.arrive();
    assert(t.attempts_sent() == 1);
    t.report(2, 0.5);
    assert(t.attempts_sent() == 3 && t.host.attempts[1].request == b && t.host.attempts[2].request == a);
}

void mixed_server_prefills_where_there_is_no_prefill_server() {
    RouterFixture t;
    t.list = {{0, 2, 0, 0, {}, ServerStatus::ready}};
    t.start();
    const RequestIndex a = t.arrive();
    assert(t.last_attempt().server == 0);
    t.complete(a);
    assert(t.attempts_sent() == 1 && t.host.rejected.empty());
}

void server_list_is_requested_again_after_a_failure() {
    RouterFixture t;
    t.terms.ask_for_list = true;
    t.start();
    assert(t.host.subscriptions == 1);
    t.router->list_fetch_failed();
    t.advance(ms(1100));
    assert(t.host.subscriptions == 2);
}

// A client's empty prompt as the first of a gateway ended the process.
void empty_prompts_are_handled_like_others() {
    RouterFixture t;
    t.start();
    for (int n = 0; n < 3; ++n) {
        const RequestIndex q = t.prefill_one(0, 1);
        t.complete(q);
    }
    assert(t.attempts_sent() == 6 && t.host.rejected.empty());
}

// Retries multiply a failure: without a further attempt left, the request ends and its state is released.
void request_without_a_further_attempt_left_ends_at_once() {
    RouterFixture t;
    t.start();
    const RequestIndex a = t.prefill_one();
    t.host.retry_budget_spent = true;
    t.end_attempt(a, Ending::error);
    assert(t.attempts_sent() == 2 && t.host.rejected == std::vector<RequestIndex>{a});
    assert(!t.host.released.empty());
    const RequestIndex b = t.arrive();
    t.end_attempt(b, Ending::unreachable);
    assert(t.attempts_sent() == 3 && t.host.rejected.back() == b);
}

void request_keeps_to_its_own_limits() {
    RouterFixture t;
    t.start();
    RequestInfo a;
    a.prompt_tokens = 1000;
    a.max_output_tokens = 200;
    a.time_budget = ms(5000);
    a.prefill_timeout = ms(300);
    a.first_token_timeout = ms(400);
    a.max_attempts = 2;
    a.avoided_server = 0;
    t.router->request_arrived(t.next, a);
    assert(t.last_attempt().server == 1 && t.last_attempt().limit == ms(300));
    t.end_attempt(t.next, Ending::prefilled);
    assert(t.last_attempt().limit == ms(400));
    t.end_attempt(t.next, Ending::error);
    t.advance(ms(1100));
    assert(t.attempts_sent() == 2 && t.host.rejected.size() == 1);
}

// No rejection while a prefill is still in flight: nothing proves yet that it had no effect.
void effectful_request_with_a_prefill_in_flight_is_abandoned_at_its_deadline() {
    RouterFixture t(Effect::effectful);
    t.start();
    t.arrive();
    t.advance(ms(6000));
    assert(t.host.abandoned.size() == 1 && t.host.rejected.empty());
}

// Mixed servers have few queued tokens and would attract prefills, which slow down all answers that they
// stream.
void mixed_server_only_decodes_while_prefill_servers_are_in_time() {
    RouterFixture t;
    t.list.push_back({4, 2, 0, 0, {}, ServerStatus::ready});
    t.start();
    bool decoded = false;
    for (int i = 0; i < 30; ++i) {
        const RequestIndex q = t.arrive(4000);
        assert(is_prefill_server(t.last_attempt().server));
        t.end_attempt(q, Ending::prefilled);
        decoded |= t.last_attempt().server == 4;
        t.complete(q);
    }
    assert(decoded);
    for (const ServerIndex s : {0U, 1U}) t.update_server(s, ServerStatus::draining);
    t.arrive();
    assert(t.last_attempt().server == 4);
}

// One average of reported memory for all kinds would send everything to the kind with the largest memory.
void kind_without_reports_is_tried() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.terms.kinds[2].memory_tokens = 300000;
    t.list.push_back({4, 2, 0, 0, {}, ServerStatus::ready});
    t.start();
    t.report(4, 0.7);
    t.prefill_one();
    assert(t.last_attempt().server == 2 || t.last_attempt().server == 3);
}

// Two categories; what is sent to server 2 in the second stays unanswered.
struct UnansweredFixture : RouterFixture {
    UnansweredFixture() : RouterFixture(Effect::effectful) {
        terms.categories.push_back(terms.categories[0]);
        for (ServerListing& l : list) l.name_hash = 1000 + l.server;
        terms.peers = true;
    }
    RequestIndex arrive_as(std::uint16_t category) {
        RequestInfo a;
        a.category = category;
        a.prompt_tokens = 1000;
        a.max_output_tokens = 200;
        a.time_budget = ms(60000);
        router->request_arrived(next, a);
        return next++;
    }
    // Returns the decode server that the request goes to.
    ServerIndex prefill_as(std::uint16_t category) {
        const RequestIndex q = arrive_as(category);
        end_attempt(q, Ending::prefilled);
        return last_attempt().server;
    }
};

// A server may leave one category unanswered and serve the others.
void server_that_leaves_a_category_unanswered_is_skipped_for_it() {
    UnansweredFixture t;
    t.start();
    for (int i = 0; i < 25; ++i) {
        t.prefill_as(0);
        t.complete(t.next - 1);
    }
    while (t.prefill_as(1) != 2) t.complete(t.next - 1);
    for (int i = 0; i < 20; ++i) {
        t.advance(ms(100));
        if (t.prefill_as(0) == 2) t.complete(t.next - 1);
    }
    assert(std::count_if(t.host.peer_notes.begin(), t.host.peer_notes.end(),
                         [](const std::string& n) { return n[0] == 'u'; }) == 1);
    assert(t.host.abandoned.empty() && t.host.cancelled.empty());  // it may still be answered
    bool other_goes_there = false;
    for (int i = 0; i < 20; ++i) {
        assert(t.prefill_as(1) == 3);
        t.complete(t.next - 1);
        other_goes_there |= t.prefill_as(0) == 2;
        t.complete(t.next - 1);
    }
    assert(other_goes_there);
}

// Without notes each gateway would lose requests of its own to the same server. A note expires, and counts
// only where the terms allow notes.
void peer_note_suspends_a_category_for_a_time() {
    UnansweredFixture t;
    t.start();
    const std::string server_hash = "003ea";  // of server 2
    t.router->peer_note_received("u" + server_hash + "1");
    for (int i = 0; i < 10; ++i) assert(t.prefill_as(1) == 3);
    for (const char* bad : {"", "u", "u003ea", "uzzzzz1", "u003ea99", "u003ea1x", "q003ea1", "ufffff1",
                            "u003ea99999999999999999999"})
        t.router->peer_note_received(bad);
    t.advance(ms(9000));
    bool again = false;
    for (int i = 0; i < 10; ++i) again |= t.prefill_as(1) == 2;
    assert(again);

    UnansweredFixture without_peers;
    without_peers.terms.peers = false;
    without_peers.start();
    without_peers.router->peer_note_received("u" + server_hash + "1");
    again = false;
    for (int i = 0; i < 10; ++i) again |= without_peers.prefill_as(1) == 2;
    assert(again && without_peers.host.peer_notes.empty());
}

// All gateways would pick the same decode server by the same old report.
void streams_that_peers_send_count_like_own_ones() {
    RouterFixture t;
    t.terms.reports_memory_share = t.terms.peers = true;
    for (ServerListing& l : t.list) l.name_hash = 1000 + l.server;
    t.start();
    t.report(2, 0.4);
    t.report(3, 0.5);
    t.prefill_one();
    assert(t.last_attempt().server == 2 && t.host.peer_notes.back() == "w003ea11");
    for (int i = 0; i < 20; ++i) t.router->peer_note_received("w003ea10");
    t.prefill_one();
    assert(t.last_attempt().server == 3);
}

// Reports may be older than a queue lasts: a probe that is answered at once shows that there is no queue.
void preferred_server_that_answers_no_probe_is_skipped_for_the_next() {
    for (const bool preferred_is_idle : {true, false}) {
        RouterFixture t;
        t.terms.probes = t.terms.reports_queued_tokens = true;
        t.start();
        const RequestIndex q = t.arrive(1000, 5);
        assert(t.attempts_sent() == 0 && t.host.probed.size() == 2);
        const ServerIndex preferred = t.host.probed[0], next = t.host.probed[1];
        t.advance(ms(1));
        t.report(next, -1, 0);
        assert(t.attempts_sent() == 0);  // the preferred server may still answer
        t.advance(ms(2));
        if (preferred_is_idle) t.report(preferred, -1, 0);
        t.advance(ms(30));
        assert(t.attempts_sent() == 1 && t.last_attempt().request == q &&
               t.last_attempt().server == (preferred_is_idle ? preferred : next));
    }
}

// Over a congested link the state would arrive too late, while a decode server beside the prefill server has
// room.
void slow_transfer_is_avoided_while_a_nearer_decode_server_has_room() {
    RouterFixture t;
    t.terms.reports_memory_share = true;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.1);
    t.update_server(1, ServerStatus::draining);
    for (int i = 0; i < 10; ++i) {
        const RequestIndex q = t.prefill_one();
        if (t.last_attempt().server != 3) break;
        t.router->stream_began(q, ms(1500));
        t.end_attempt(q, Ending::completed, 3, false, true);
    }
    t.prefill_one();
    assert(t.last_attempt().server == 2);  // although the other has more memory
}

// Notes of peers may mark every decode server as full while this gateway sends nothing and so gets no
// reports.
void decode_servers_filled_by_peer_notes_are_tried_again() {
    RouterFixture t;
    t.terms.reports_memory_share = t.terms.peers = true;
    for (ServerListing& l : t.list) l.name_hash = 1000 + l.server;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.5);
    for (int i = 0; i < 200; ++i)
        for (const char* note : {"w003ea99999999", "w003eb99999999"}) t.router->peer_note_received(note);
    t.arrive();
    assert(t.attempts_sent() == 0);
    t.advance(ms(60000));
    const RequestIndex q = t.arrive();
    assert(t.attempts_sent() == 1 && t.last_attempt().request == q);
}

// The report of an idle prefill server never changes: own tokens whose prefill has ended since do not wait
// there.
void idle_prefill_server_with_a_constant_report_stays_the_least_queued() {
    RouterFixture t;
    t.terms.reports_queued_tokens = true;
    t.start();
    for (int i = 0; i < 100; ++i) {
        t.report(0, -1, 0);
        t.report(1, -1, 30);
        const RequestIndex q = t.arrive(4000);
        assert(t.last_attempt().request == q && t.last_attempt().server == 0);
        t.advance(ms(50));
        t.end_attempt(q, Ending::prefilled);
        t.complete(q);
    }
}

// A reload may add a new kind of server, and a server of it.
void kind_added_by_a_reload_is_known() {
    RouterFixture t;
    t.terms.reports_memory_share = t.terms.reports_queued_tokens = true;
    t.start();
    for (int n = 0; n < 40; ++n) t.terms.kinds.push_back({Role::decode, 400000});
    t.router->terms_changed(t.terms);
    const auto last = static_cast<std::uint16_t>(t.terms.kinds.size() - 1);
    t.list.push_back({4, last, 0, 0, {}, ServerStatus::ready});
    t.router->list_arrived(t.list, true);
    for (const ServerIndex s : {2U, 3U}) t.report(s, 0.6);
    t.report(4, 0.2);
    t.prefill_one();
    assert(t.last_attempt().server == 4);
}

// A mixed server that cached a prompt during an overload would attract its session's prefills from then on.
void mixed_server_with_a_cached_prompt_is_not_probed_while_prefill_servers_are_in_time() {
    RouterFixture t;
    t.terms.probes = t.terms.reports_queued_tokens = true;
    t.list.push_back({4, 2, 0, 0, {}, ServerStatus::ready});
    t.start();
    for (const ServerIndex s : {0U, 1U}) t.update_server(s, ServerStatus::draining);
    const RequestIndex q = t.arrive(1000, 77);
    assert(t.last_attempt().server == 4);
    t.end_attempt(q, Ending::prefilled);
    t.complete(q);
    for (const ServerIndex s : {0U, 1U}) t.update_server(s, ServerStatus::ready);
    t.host.probed.clear();
    t.arrive(1000, 77);
    assert(t.host.probed.size() == 2);
    for (const ServerIndex s : t.host.probed) assert(is_prefill_server(s));
}

// A probe must not lead a hedged attempt back to the server that it is to avoid.
void avoided_prefill_server_is_not_probed() {
    RouterFixture t;
    t.terms.probes = t.terms.reports_queued_tokens = true;
    t.list.push_back({4, 0, 0, 0, {}, ServerStatus::ready});
    t.start();
    for (std::int32_t avoid : {0, 1, 4}) {
        RequestInfo a;
        a.prompt_tokens = 1000;
        a.session = 5;
        a.time_budget = ms(5000);
        a.avoided_server = avoid;
        t.host.probed.clear();
        t.router->request_arrived(t.next++, a);
        assert(t.host.probed.size() == 2);
        for (const ServerIndex s : t.host.probed) assert(static_cast<std::int32_t>(s) != avoid);
    }
}

// A mixed server may fall silent in a prefill of its own: its pace in decoding says nothing about that.
void silent_prefill_at_a_mixed_server_is_cancelled() {
    RouterFixture t;
    t.list.push_back({4, 2, 0, 0, {}, ServerStatus::ready});
    t.start();
    for (int i = 0; i < 60; ++i) t.complete(t.prefill_one());
    // Prefill servers that are full for a second leave the prefill to it.
    for (int i = 0; i < 3 && t.last_attempt().server != 4; ++i) {
        const RequestIndex q = t.arrive(4000);
        for (int n = 0; n < 2 && is_prefill_server(t.last_attempt().server) && t.last_attempt().request == q;
             ++n) {
            t.end_attempt(q, Ending::refused);
            t.advance(ms(5));
        }
    }
    assert(t.last_attempt().server == 4);
    t.advance(ms(900));
    assert(t.host.cancelled.size() == 1);
}

void peer_notes_round_trip() {
    for (const double value : {0.0, 7.0, 4321.9, 1e6, 1e300, -5.0}) {
        PeerNote note;
        const std::string text = PeerNote::make('w', 0x123456789abcdefULL, value).text();
        assert(PeerNote::parse(text, note) && note.type == 'w' && note.server_hash == 0xbcdef);
        assert(note.value == static_cast<std::uint32_t>(std::clamp(value, 0.0, PeerNote::kMaxValue)));
    }
    for (const char* bad : {"", "w", "wbcdef", "wbcdef-1", "wbcdef 1", "wbcdef1 ", "w+cdef1", "wBCDEG1",
                            "wbcdef100000000", "wbcdef99999999999999999999"}) {
        PeerNote note;
        assert(!PeerNote::parse(bad, note));
    }
}

}  // namespace

int main() {
    without_reports_least_queued_prefill_then_least_loaded_decode_server();
    with_reports_most_free_memory_less_own_streams();
    each_phase_uses_its_own_reports();
    repeated_report_does_not_reset_own_streams();
    session_affinity_holds_within_one_typical_prompt();
    prefix_has_the_same_preferred_server_at_all_gateways();
    shared_prefix_gets_preferred_servers_by_its_share_of_the_traffic();
    cell_with_few_decode_servers_keeps_only_what_they_can_take();
    request_waits_before_its_prefill_while_no_decode_server_has_room();
    full_decode_servers_delay_prefills_for_a_second_and_a_lost_state_does_not();
    full_prefill_server_is_skipped_and_says_nothing_about_decode_servers();
    state_is_released_in_time_without_decode_room();
    state_is_released_in_time_with_unreachable_decode_servers();
    prefill_server_restarted_before_the_hand_over_causes_a_new_prefill();
    broken_stream_ends_its_request();
    lost_answer_is_retried_where_the_prefix_is_cached();
    reset_of_a_reused_connection_does_not_count_against_its_server();
    state_that_arrives_after_the_client_left_is_released();
    waiting_state_is_released_at_once_when_the_client_leaves();
    waiting_request_is_answered_before_its_deadline();
    request_whose_attempt_timed_out_is_answered_once();
    draining_servers_get_no_new_requests_but_their_states_are_fetched();
    server_missing_from_a_whole_list_is_removed();
    cold_server_gets_no_more_than_this_gateways_share();
    restart_with_a_stale_list_keeps_nothing_of_the_old_process();
    failing_server_is_ejected_and_tried_again();
    overloaded_prefill_servers_delay_requests_that_would_be_late();
    attempt_at_a_silent_server_is_retried_at_another();
    busy_server_is_not_taken_for_silent();
    unreachable_zone_does_not_keep_a_failing_server_in();
    overload_rejects_requests_over_a_client_groups_quota();
    effectful_request_never_runs_twice();
    effectful_request_is_abandoned_at_its_deadline();
    receipted_request_stays_in_its_group_and_window();
    further_attempts_wait_behind_first_ones();
    mixed_server_prefills_where_there_is_no_prefill_server();
    server_list_is_requested_again_after_a_failure();
    empty_prompts_are_handled_like_others();
    request_without_a_further_attempt_left_ends_at_once();
    request_keeps_to_its_own_limits();
    effectful_request_with_a_prefill_in_flight_is_abandoned_at_its_deadline();
    mixed_server_only_decodes_while_prefill_servers_are_in_time();
    kind_without_reports_is_tried();
    server_that_leaves_a_category_unanswered_is_skipped_for_it();
    peer_note_suspends_a_category_for_a_time();
    streams_that_peers_send_count_like_own_ones();
    preferred_server_that_answers_no_probe_is_skipped_for_the_next();
    slow_transfer_is_avoided_while_a_nearer_decode_server_has_room();
    decode_servers_filled_by_peer_notes_are_tried_again();
    idle_prefill_server_with_a_constant_report_stays_the_least_queued();
    kind_added_by_a_reload_is_known();
    mixed_server_with_a_cached_prompt_is_not_probed_while_prefill_servers_are_in_time();
    avoided_prefill_server_is_not_probed();
    silent_prefill_at_a_mixed_server_is_cancelled();
    peer_notes_round_trip();
}
