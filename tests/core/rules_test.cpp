// Short stories of what a gateway meets, one for each kind of trouble.
#include "fake_host.h"

using namespace copperfront;

namespace {

bool is_reader(ServerIndex s) { return s < 2; }
bool is_writer(ServerIndex s) { return s >= 2; }

void blind_path_goes_to_least_queued_reader_then_least_laden_writer() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive(4000);
    assert(t.last().server == 0);  // a tie goes to the gateway's zone
    const QueryIndex b = t.arrive(1000);
    assert(t.last().server == 1);
    t.ended(a, Ending::read, 0);
    assert(t.last().query == a && t.last().server == 2);  // a tie goes to the reader's cell
    t.ended(b, Ending::read, 1);
    assert(t.last().query == b && t.last().server == 3);
    const QueryIndex c = t.read_one(500);
    assert(t.last().query == c && t.last().server == 3);  // 4,100 own tokens on the one, 1,100 on the other
}

void reported_path_goes_to_most_free_memory_less_own_streams() {
    Story t;
    t.terms.reports_memory = t.terms.reports_unread = true;
    t.start();
    t.report(2, 0.50);
    t.report(3, 0.40);
    t.report(0, -1, 20.0);
    t.report(1, -1, 2.0);
    const QueryIndex a = t.arrive(9000);
    assert(t.last().server == 1);
    t.ended(a, Ending::read);
    assert(t.last().server == 3);
    const QueryIndex b = t.arrive(1000);
    t.ended(b, Ending::read);
    assert(t.last().server == 3);  // 60,000 - 9,100 is still more than 50,000
    t.report(3, 0.55);
    const QueryIndex c = t.arrive(1000);
    t.ended(c, Ending::read);
    assert(t.last().server == 2);
}

void each_stage_goes_by_its_own_reports() {
    Story t;
    t.terms.reports_memory = true;
    t.start();
    t.report(2, 0.9);
    t.report(3, 0.1);
    t.arrive(4000);
    assert(t.last().server == 0);
    const QueryIndex b = t.arrive(1000);
    assert(t.last().server == 1);  // own unread tokens, as none are reported
    t.ended(b, Ending::read);
    assert(t.last().server == 3);
}

void same_report_again_does_not_wipe_own_streams() {
    Story t;
    t.terms.reports_memory = true;
    t.start();
    t.report(2, 0.50);
    t.report(3, 0.37);
    t.read_one(4000);
    assert(t.last().server == 3);
    t.report(3, 0.37);
    t.read_one(3000);
    assert(t.last().server == 2);
}

void kept_text_draws_a_session_back_within_one_prompt() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive(1000, 77);
    const ServerIndex home = t.last().server;
    t.ended(a, Ending::read);
    t.settle(a);
    t.arrive(900, 5);  // lies at the zone's reader, which is home
    assert(t.last().server == home);
    t.arrive(1100, 77);
    assert(t.last().server == home);
    t.arrive(9000, 77);
    assert(t.last().server == home);
    t.arrive(1000, 77);
    assert(t.last().server != home);  // over 9,000 tokens against none, and a typical prompt is 2,600
}

void text_has_the_same_home_at_gateways_that_never_met_it() {
    Story one, other;
    for (Story* t : {&one, &other}) {
        for (ServerIndex s = 4; s < 9; ++s) t->list.push_back({s, 0, 0, 0, {}, Standing::ready});
        for (Listing& l : t->list) l.mark = 1000 + l.server;
        t->start();
    }
    for (int i = 0; i < 5; ++i) other.settle(other.read_one(1000, 900 + static_cast<std::uint64_t>(i)));
    std::vector<bool> used(9);
    for (std::uint64_t session = 1; session <= 30; ++session) {
        const QueryIndex a = one.arrive(1000, session), b = other.arrive(1000, session);
        const ServerIndex home = one.last().server;
        assert(home == other.last().server);
        used[home] = true;
        one.ended(a, Ending::read, home);
        one.settle(a);
        other.ended(b, Ending::read, home);
        other.settle(b);
    }
    assert(std::count(used.begin(), used.end(), true) >= 4);
}

// A gateway among many meets most texts once: counting that alone would scatter a text that is one of
// hundreds over as many readers as one that is one of a few.
void text_among_many_keeps_few_homes_and_one_of_a_few_gets_more() {
    for (const bool few : {false, true}) {
        std::vector<std::vector<bool>> at(200, std::vector<bool>(20, false));
        std::minstd_rand chance(5);
        for (int gateway = 0; gateway < 60; ++gateway) {
            Story t;
            t.list.clear();
            for (ServerIndex s = 0; s < 40; ++s) {
                Listing l;
                l.server = s;
                l.kind = s < 20 ? 0 : 1;
                l.mark = s + 1;
                t.list.push_back(l);
            }
            t.start();
            for (int n = 0; n < 12; ++n) {
                t.pass(ms(500));
                Arrival a;
                a.prompt_tokens = 1000;
                a.beginning = 1 + chance() % (few ? 4 : 200);
                a.beginning_tokens = 800;
                a.session = chance();
                a.most_tokens = 200;
                a.budget = ms(5000);
                const QueryIndex q = t.next++;
                t.rules->query_arrived(q, a);
                at[a.beginning - 1][t.last().server] = true;
                t.ended(q, Ending::read);
                t.settle(q);
            }
        }
        double readers = 0, texts = 0;
        for (const auto& text : at)
            if (const auto n = std::count(text.begin(), text.end(), true); n > 0)
                readers += static_cast<double>(n), ++texts;
        few ? assert(readers / texts > 8) : assert(readers / texts < 2);
    }
}

void cell_with_few_writers_keeps_only_what_they_can_take() {
    Story t;
    t.list = {{0, 0, 0, 0, {}, Standing::ready}, {1, 0, 0, 0, {}, Standing::ready},
              {2, 0, 0, 0, {}, Standing::ready}, {3, 1, 0, 0, {}, Standing::ready},
              {4, 0, 0, 1, {}, Standing::ready}, {5, 1, 0, 1, {}, Standing::ready},
              {6, 1, 0, 1, {}, Standing::ready}, {7, 1, 0, 1, {}, Standing::ready}};
    t.start();
    int from_here = 0, stays = 0;
    for (int i = 0; i < 200; ++i) {
        const QueryIndex q = t.arrive();
        const ServerIndex reader = t.last().server;
        t.ended(q, Ending::read, reader);
        from_here += reader < 3;
        stays += reader < 3 && t.last().server == 3;
        t.settle(q);
    }
    assert(stays * 4 > from_here &&
           stays * 2 < from_here);  // a third: a quarter of writers, three of readers
}

void hold_is_before_the_read_while_no_writer_shows_room() {
    Story t;
    t.terms.reports_memory = true;
    t.start();
    t.report(2, 0.95);
    t.report(3, 0.95);
    const QueryIndex a = t.arrive();
    assert(t.sent() == 0);
    t.pass(ms(100));
    t.report(3, 0.5);
    assert(t.sent() == 1 && t.last().query == a && is_reader(t.last().server));
}

void full_writers_hold_reads_for_a_second_and_a_lost_state_does_not() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    t.ended(a, Ending::full, t.last().server);
    assert(t.last().query == a && is_writer(t.last().server));  // the state still waits: the other writer
    t.ended(a, Ending::full, t.last().server);
    const std::size_t before = t.sent();
    t.arrive();
    assert(t.sent() == before);
    t.pass(ms(1100));
    assert(t.sent() > before);

    Story u;
    u.start();
    const QueryIndex b = u.read_one();
    u.ended(b, Ending::full, u.last().server, true);
    assert(u.host.declined.empty());
    u.pass(ms(10));
    assert(u.last().query == b && is_reader(u.last().server));  // read anew, as a further attempt
    const QueryIndex c = u.arrive();
    assert(u.last().query == c);  // and no writer counts as full
}

void full_reader_is_passed_over_and_says_nothing_of_writers() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive();
    const ServerIndex first = t.last().server;
    t.ended(a, Ending::full);
    t.pass(ms(10));
    assert(t.sent() == 2 && t.last().query == a && is_reader(t.last().server) && t.last().server != first);
    t.ended(a, Ending::full);
    t.pass(ms(100));
    assert(t.sent() == 2);  // both full: no hammering
}

void no_room_lets_go_of_the_state_in_time() {
    Story t;
    t.terms.max_attempts = 3;
    t.start();
    const QueryIndex a = t.read_one();
    t.ended(a, Ending::full, t.last().server);
    t.ended(a, Ending::full, t.last().server);
    const Instant from = t.host.clock;
    while (t.host.released.empty()) {
        t.pass(ms(10));
        assert(t.host.clock - from < ms(900));
    }
    assert(t.host.declined.size() == 1 && t.host.stay_away > Span{0});
}

// A hand-over whose connection never came up is none: the state has been waiting since its read.
void state_for_writers_out_of_reach_is_let_go_in_time() {
    Story t;
    for (ServerIndex s = 4; s < 8; ++s) t.list.push_back({s, 1, 1, 1, {}, Standing::ready});
    t.terms.categories[0].latency_goal = ms(3000);
    t.start();
    const QueryIndex q = t.read_one();
    const Instant read = t.host.clock;
    while (t.host.released.empty()) {
        assert(t.host.clock - read <= t.terms.release_within * 0.9);
        t.pass(ms(250));
        if (t.host.released.empty()) t.ended(q, Ending::unreachable);
    }
    // Then it is read anew.
    t.pass(ms(50));
    assert(t.last().query == q && is_reader(t.last().server));
}

void reader_lost_before_the_fetch_means_a_new_read() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    t.list_again(0, Standing::ready, t.host.clock);  // same id, new process
    t.ended(a, Ending::error, t.last().server);
    assert(!t.host.released.empty());
    t.pass(ms(10));
    assert(t.last().query == a && t.last().server == 1);
}

void stream_that_breaks_is_over() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    const std::size_t before = t.sent();
    t.rules->stream_began(a, ms(20));
    t.ended(a, Ending::broken, t.last().server, false, true);
    t.pass(ms(6000));
    assert(t.sent() == before && t.host.declined.empty() && t.host.given_up.empty());
}

void answer_lost_on_its_way_back_is_read_again_where_the_text_lies_now() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive(1000, 7);
    const ServerIndex home = t.last().server;
    t.ended(a, Ending::broken);
    t.pass(ms(10));
    assert(t.sent() == 2 && t.last().server == home);
    assert(t.host.released.size() == 1);  // the read may have left a state
    t.ended(a, Ending::read);
    const ServerIndex writer = t.last().server;
    assert(is_writer(writer));
    t.ended(a, Ending::broken);
    t.pass(ms(10));
    assert(t.host.released.size() == 2 && t.last().server == home);
    t.ended(a, Ending::read);
    assert(is_writer(t.last().server));
}

// Against servers that part with kept connections without a word: they would be shut out for it, and each
// state be read once more.
void reset_of_a_kept_connection_tells_nothing_of_its_server() {
    Story t;
    t.start();
    const auto stale = [&](QueryIndex q) {
        Outcome o;
        o.ending = Ending::broken;
        o.stale = true;
        t.rules->attempt_ended(q, t.last().server, o);
    };
    const QueryIndex q = t.arrive();
    const ServerIndex reader = t.last().server;
    // As often as would shut it out if the server were at fault, the same reader is asked again.
    for (int n = 0; n < 2; ++n) {
        stale(q);
        t.pass(ms(5));
        assert(t.last().query == q && t.last().server == reader);
    }
    t.ended(q, Ending::read);
    const std::size_t released = t.host.released.size(), sent = t.sent();
    const ServerIndex writer = t.last().server;
    stale(q);
    // Its state is handed over at once, to the other writer, and not let go.
    assert(t.sent() == sent + 1 && t.host.released.size() == released);
    assert(t.last().server != writer && t.last().server >= 2);
    t.settle(q);
    // Without the mark the text is read anew.
    const QueryIndex other = t.read_one();
    t.ended(other, Ending::broken);
    assert(t.host.released.size() > released);
}

void query_that_left_lets_go_of_what_its_read_brings() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive();
    t.rules->query_left(a);
    assert(t.host.retracted.size() == 1);
    const std::size_t before = t.host.released.size();
    t.ended(a, Ending::read);
    assert(t.host.released.size() == before + 1 && t.sent() == 1);
}

void query_that_left_with_a_waiting_state_lets_go_at_once() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    t.ended(a, Ending::full, t.last().server);
    t.ended(a, Ending::full, t.last().server);
    assert(t.host.released.empty());
    t.rules->query_left(a);
    assert(t.host.released.size() == 1);
}

void held_query_is_answered_before_its_hard_stop() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    t.ended(a, Ending::full, t.last().server);
    t.ended(a, Ending::full, t.last().server);
    const QueryIndex b = t.arrive(1000, 0, ms(300));
    const std::size_t before = t.sent();
    t.pass(ms(300));
    assert(t.sent() == before);
    assert(std::find(t.host.declined.begin(), t.host.declined.end(), b) != t.host.declined.end());
}

void late_attempt_without_an_answer_is_answered() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive(1000, 0, ms(500));
    t.host.clock = t.host.clock + ms(500);
    t.ended(a, Ending::late);
    assert(t.host.declined.size() == 1 && t.sent() == 1);
    t.pass(ms(1000));
    assert(t.host.declined.size() == 1);  // and once only
}

void draining_servers_get_nothing_new_but_their_states_are_fetched() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive();
    t.list_again(0, Standing::draining);
    t.list_again(2, Standing::draining);
    t.ended(a, Ending::read, 0);
    assert(t.last().query == a && t.last().server == 3);
    for (int i = 0; i < 8; ++i) {
        t.arrive(8000);
        assert(t.last().server == 1);
    }
    t.list_again(1, Standing::gone);
    const std::size_t before = t.sent();
    t.arrive();
    assert(t.sent() == before);
}

void list_left_out_is_gone() {
    Story t;
    t.start();
    t.rules->list_arrived(std::vector<Listing>{t.list[1], t.list[3]}, true);
    t.read_one();
    assert(t.last().server == 3);
}

void cold_server_gets_no_more_than_this_gateways_part() {
    Story t;
    t.terms.gateways = 3;
    t.list[0].born = t.host.clock;
    t.start();
    for (int i = 0; i < 40; ++i) {  // knows nothing yet: all go to the warm reader
        const QueryIndex q = t.arrive();
        assert(t.last().server == 1);
        t.ended(q, Ending::read);
        t.settle(q);
    }
    int cold = 0, all = 0;
    for (int i = 0; i < 100; ++i) {
        t.pass(ms(50));
        const QueryIndex q = t.arrive();
        cold += t.last().server == 0;
        ++all;
        t.ended(q, Ending::read);
        t.settle(q);
    }
    // 2.5 x 0.25 of what the warm reader carries, and then some way below it
    assert(cold > 0 && cold < all * 0.625 / 1.625);
}

void restart_with_a_stale_list_keeps_nothing_of_the_old_process() {
    Story t;
    t.start();
    const QueryIndex a = t.arrive(6000, 9);
    assert(t.last().server == 0);
    t.ended(a, Ending::read, 0);
    t.settle(a);
    t.list_again(0, Standing::ready,
                 {t.host.clock.us - 20'000'000});  // has restarted since, and is warm again
    t.arrive(9000, 3);
    const ServerIndex busy = t.last().server;
    t.arrive(6100, 9);
    assert(t.last().server != busy);  // nothing kept draws it back
}

void failing_server_is_shut_out_and_tried_again() {
    Story t;
    t.start();
    int bad = 0;
    for (int i = 0; i < 20; ++i) {
        const QueryIndex q = t.arrive();
        while (is_reader(t.last().server) && t.last().query == q) {
            if (t.last().server == 0) {
                ++bad;
                t.ended(q, Ending::error);
                t.pass(ms(5));
            } else {
                t.ended(q, Ending::read);
            }
        }
        t.settle(q);
    }
    assert(bad >= 2 && bad <= 5);
    t.pass(ms(9000));
    const QueryIndex a = t.arrive();
    assert(t.last().server == 0);  // one attempt tries it
    t.arrive();
    assert(t.last().server == 1);
    t.ended(a, Ending::read, 0);
}

void jammed_readers_hold_what_would_be_late() {
    Story t;
    t.start();
    for (const ServerIndex s : {0U, 1U}) {
        const QueryIndex q = t.arrive(1000);
        Outcome slow;
        slow.ending = Ending::read;
        slow.took = ms(900);
        t.rules->attempt_ended(q, t.last().server, slow);
        t.settle(q);
        t.list_again(s, s == 0 ? Standing::draining : Standing::ready);
    }
    const std::size_t before = t.sent();
    t.arrive(1000);
    assert(t.sent() == before);
    t.pass(ms(8000));  // nothing read since tells that the jam goes on
    t.arrive(1000);
    assert(t.sent() == before + 1);
}

void silent_server_loses_its_attempt_to_another() {
    Story t;
    t.start();
    for (int i = 0; i < 25; ++i) t.settle(t.read_one());
    const QueryIndex a = t.read_one();
    const ServerIndex silent = t.last().server;
    t.pass(ms(400));
    assert(t.host.retracted.empty());
    t.pass(ms(200));
    assert(t.host.retracted.size() == 1 && t.host.retracted[0] == a);
    t.ended(a, Ending::retracted, silent);
    t.pass(ms(1000));  // past the goal, yet an started query is of use until its hard stop
    assert(t.last().query == a && is_reader(t.last().server));
    t.ended(a, Ending::read);
    assert(is_writer(t.last().server) && t.host.declined.empty());
}

void busy_server_is_not_taken_for_silent() {
    Story t;
    t.start();
    for (int i = 0; i < 25; ++i) t.settle(t.read_one());
    const QueryIndex a = t.read_one();
    const ServerIndex busy = t.last().server;
    t.pass(ms(400));
    t.rules->probe_answered(busy, true, {});
    t.pass(ms(400));
    assert(t.host.retracted.empty());
    t.rules->stream_began(a, ms(800));
}

void dead_zone_does_not_keep_a_failing_server_in() {
    Story t;
    for (ServerIndex s = 4; s < 8; ++s) t.list.push_back({s, 0, 1, 1, {}, Standing::ready});
    t.start();
    int sent_to_bad = 0;
    for (int i = 0; i < 60; ++i) {
        const QueryIndex q = t.arrive();
        for (int n = 0; n < 5 && t.host.declined.empty() && t.last().query == q; ++n) {
            const ServerIndex s = t.last().server;
            if (is_writer(s) && s < 4) break;
            sent_to_bad += s == 0;
            t.ended(q, s >= 4 ? Ending::unreachable : s == 0 ? Ending::error : Ending::read);
            t.pass(ms(5));
        }
        if (t.last().server == 2 || t.last().server == 3) t.settle(q);
        t.host.declined.clear();
    }
    assert(sent_to_bad <= 5);
}

void late_days_decline_what_is_over_a_groups_share() {
    Story t;
    t.terms.quotas = {1.0};
    t.start();
    Arrival a;
    a.client_group = 0;
    a.prompt_tokens = 1000;
    a.budget = ms(5000);
    for (QueryIndex q = 0; q < 40; ++q) {
        t.next = q + 1;
        t.rules->query_arrived(q, a);
        if (!t.host.declined.empty()) break;
        t.ended(q, Ending::read);
        t.host.clock = t.host.clock + ms(1100);
        t.settle(q);
    }
    assert(t.host.declined.empty());  // within its share
    for (QueryIndex q = 40; q < 60; ++q) t.rules->query_arrived(q, a);
    assert(t.host.declined.size() >= 11 && t.host.declined.size() <= 16);  // chance may bunch a few
}

void effectful_query_never_runs_twice() {
    Story t(Effect::effectful);
    t.start();
    const QueryIndex a = t.arrive();
    t.ended(a, Ending::error);  // at a reader: no effect
    t.pass(ms(10));
    t.ended(a, Ending::read);
    const std::size_t before = t.sent();
    t.ended(a, Ending::broken);
    assert(t.sent() == before && t.host.given_up.size() == 1 && t.host.declined.empty());
    const QueryIndex b = t.read_one();
    t.ended(b, Ending::unreachable);
    assert(t.last().query == b && is_writer(t.last().server));  // proves that it never ran
}

void effectful_query_at_its_hard_stop_is_given_up() {
    Story t(Effect::effectful);
    t.start();
    t.read_one();
    t.pass(ms(6000));
    assert(t.host.given_up.size() == 1 && t.host.declined.empty());
}

void receipted_query_stays_in_its_group_and_window() {
    Story t(Effect::receipted, Group::cell);
    t.start();
    const QueryIndex a = t.read_one();
    const ServerIndex writer = t.last().server;
    t.ended(a, Ending::error);
    t.pass(ms(900));
    for (const StartedAttempt& l : t.host.attempts)
        if (is_writer(l.server)) assert(l.server == writer);
    t.pass(ms(6000));
    assert(t.host.declined.empty() && t.host.given_up.size() == 1);
}

void further_attempts_wait_behind_first_ones() {
    Story t;
    t.terms.reports_memory = true;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.5);
    const QueryIndex a = t.arrive();
    t.report(2, 0.95);
    t.report(3, 0.95);
    t.ended(a, Ending::error);
    const QueryIndex b = t.arrive();
    assert(t.sent() == 1);
    t.report(2, 0.5);
    assert(t.sent() == 3 && t.host.attempts[1].query == b && t.host.attempts[2].query == a);
}

void mixed_server_reads_by_itself_where_there_is_no_reader() {
    Story t;
    t.list = {{0, 2, 0, 0, {}, Standing::ready}};
    t.start();
    const QueryIndex a = t.arrive();
    assert(t.last().server == 0);
    t.settle(a);
    assert(t.sent() == 1 && t.host.declined.empty());
}

void list_that_must_be_asked_for_is_asked_for_again() {
    Story t;
    t.terms.ask_for_list = true;
    t.start();
    assert(t.host.subscribed == 1);
    t.rules->list_missed();
    t.pass(ms(1100));
    assert(t.host.subscribed == 2);
}

// Against a caller whose prompt holds nothing: the first of a gateway ended the process.
void empty_prompts_are_queries_like_others() {
    Story t;
    t.start();
    for (int n = 0; n < 3; ++n) {
        const QueryIndex q = t.read_one(0, 1);
        t.settle(q);
    }
    assert(t.sent() == 6 && t.host.declined.empty());
}

// Against a failure that all who retry multiply: without a further attempt left, the query ends and lets go.
void query_without_a_further_attempt_left_ends_at_once() {
    Story t;
    t.start();
    const QueryIndex a = t.read_one();
    t.host.budget_spent = true;
    t.ended(a, Ending::error);
    assert(t.sent() == 2 && t.host.declined == std::vector<QueryIndex>{a});
    assert(!t.host.released.empty());
    const QueryIndex b = t.arrive();
    t.ended(b, Ending::unreachable);
    assert(t.sent() == 3 && t.host.declined.back() == b);
}

void query_keeps_to_limits_of_its_own() {
    Story t;
    t.start();
    Arrival a;
    a.prompt_tokens = 1000;
    a.most_tokens = 200;
    a.budget = ms(5000);
    a.read_within = ms(300);
    a.first_token_within = ms(400);
    a.most_attempts = 2;
    a.avoid = 0;
    t.rules->query_arrived(t.next, a);
    assert(t.last().server == 1 && t.last().limit == ms(300));
    t.ended(t.next, Ending::read);
    assert(t.last().limit == ms(400));
    t.ended(t.next, Ending::error);
    t.pass(ms(1100));
    assert(t.sent() == 2 && t.host.declined.size() == 1);
}

// Against a decline while a read is still out: nothing proves yet that it came to nothing.
void effectful_query_with_a_read_out_at_its_hard_stop_is_given_up() {
    Story t(Effect::effectful);
    t.start();
    t.arrive();
    t.pass(ms(6000));
    assert(t.host.given_up.size() == 1 && t.host.declined.empty());
}

// Against mixed servers that read, by their few queued tokens, and so slow all answers that they write.
void mixed_server_writes_while_readers_are_in_time() {
    Story t;
    t.list.push_back({4, 2, 0, 0, {}, Standing::ready});
    t.start();
    bool wrote = false;
    for (int i = 0; i < 30; ++i) {
        const QueryIndex q = t.arrive(4000);
        assert(is_reader(t.last().server));
        t.ended(q, Ending::read);
        wrote |= t.last().server == 4;
        t.settle(q);
    }
    assert(wrote);
    for (const ServerIndex s : {0U, 1U}) t.list_again(s, Standing::draining);
    t.arrive();
    assert(t.last().server == 4);
}

// Against one average of reported memory for all kinds, which sends everything to the kind with the largest.
void kind_not_heard_of_yet_is_tried() {
    Story t;
    t.terms.reports_memory = true;
    t.terms.kinds[2].memory_tokens = 300000;
    t.list.push_back({4, 2, 0, 0, {}, Standing::ready});
    t.start();
    t.report(4, 0.7);
    t.read_one();
    assert(t.last().server == 2 || t.last().server == 3);
}

// Two categories; what is sent to server 2 in the second stays unanswered.
struct Unanswered : Story {
    Unanswered() : Story(Effect::effectful) {
        terms.categories.push_back(terms.categories[0]);
        for (Listing& l : list) l.mark = 1000 + l.server;
        terms.peers = true;
    }
    QueryIndex arrive_as(std::uint16_t category) {
        Arrival a;
        a.category = category;
        a.prompt_tokens = 1000;
        a.most_tokens = 200;
        a.budget = ms(60000);
        rules->query_arrived(next, a);
        return next++;
    }
    // The writer that it goes to.
    ServerIndex read_as(std::uint16_t category) {
        const QueryIndex q = arrive_as(category);
        ended(q, Ending::read);
        return last().server;
    }
};

// Against servers that leave one category unanswered and serve the others.
void category_left_unanswered_passes_its_server_over() {
    Unanswered t;
    t.start();
    for (int i = 0; i < 25; ++i) {
        t.read_as(0);
        t.settle(t.next - 1);
    }
    while (t.read_as(1) != 2) t.settle(t.next - 1);
    for (int i = 0; i < 20; ++i) {
        t.pass(ms(100));
        if (t.read_as(0) == 2) t.settle(t.next - 1);
    }
    assert(std::count_if(t.host.notes.begin(), t.host.notes.end(),
                         [](const std::string& n) { return n[0] == 'u'; }) == 1);
    assert(t.host.given_up.empty() && t.host.retracted.empty());  // it may still be answered
    bool other_goes_there = false;
    for (int i = 0; i < 20; ++i) {
        assert(t.read_as(1) == 3);
        t.settle(t.next - 1);
        other_goes_there |= t.read_as(0) == 2;
        t.settle(t.next - 1);
    }
    assert(other_goes_there);
}

// Against each gateway losing queries of its own to the same server; and a note is no rule.
void note_of_a_peer_passes_the_server_over_for_a_time() {
    Unanswered t;
    t.start();
    const std::string mark = "003ea";  // of server 2
    t.rules->peer_told("u" + mark + "1");
    for (int i = 0; i < 10; ++i) assert(t.read_as(1) == 3);
    for (const char* bad : {"", "u", "u003ea", "uzzzzz1", "u003ea99", "u003ea1x", "q003ea1", "ufffff1",
                            "u003ea99999999999999999999"})
        t.rules->peer_told(bad);
    t.pass(ms(9000));
    bool again = false;
    for (int i = 0; i < 10; ++i) again |= t.read_as(1) == 2;
    assert(again);

    Unanswered deaf;
    deaf.terms.peers = false;
    deaf.start();
    deaf.rules->peer_told("u" + mark + "1");
    again = false;
    for (int i = 0; i < 10; ++i) again |= deaf.read_as(1) == 2;
    assert(again && deaf.host.notes.empty());
}

// Against writers picked alike at all gateways by the same old report.
void streams_that_peers_send_count_like_own_ones() {
    Story t;
    t.terms.reports_memory = t.terms.peers = true;
    for (Listing& l : t.list) l.mark = 1000 + l.server;
    t.start();
    t.report(2, 0.4);
    t.report(3, 0.5);
    t.read_one();
    assert(t.last().server == 2 && t.host.notes.back() == "w003ea11");
    for (int i = 0; i < 20; ++i) t.rules->peer_told("w003ea10");
    t.read_one();
    assert(t.last().server == 3);
}

// Against reports that are older than a queue lasts: a probe that comes back at once tells that there is
// none.
void home_that_does_not_answer_a_probe_at_once_is_left_for_the_next() {
    for (const bool home_is_idle : {true, false}) {
        Story t;
        t.terms.probes = t.terms.reports_unread = true;
        t.start();
        const QueryIndex q = t.arrive(1000, 5);
        assert(t.sent() == 0 && t.host.probed.size() == 2);
        const ServerIndex home = t.host.probed[0], next = t.host.probed[1];
        t.pass(ms(1));
        t.report(next, -1, 0);
        assert(t.sent() == 0);  // the home may still answer
        t.pass(ms(2));
        if (home_is_idle) t.report(home, -1, 0);
        t.pass(ms(30));
        assert(t.sent() == 1 && t.last().query == q && t.last().server == (home_is_idle ? home : next));
    }
}

// Against links that are jammed: the state would be there too late while a writer beside the reader has room.
void way_that_takes_too_long_is_not_taken_while_a_nearer_writer_has_room() {
    Story t;
    t.terms.reports_memory = true;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.1);
    t.list_again(1, Standing::draining);
    for (int i = 0; i < 10; ++i) {
        const QueryIndex q = t.read_one();
        if (t.last().server != 3) break;
        t.rules->stream_began(q, ms(1500));
        t.ended(q, Ending::settled, 3, false, true);
    }
    t.read_one();
    assert(t.last().server == 2);  // though the other has more memory
}

// Against notes of peers that fill every writer while this gateway sends nothing and so hears of none.
void writers_that_peers_filled_are_tried_again() {
    Story t;
    t.terms.reports_memory = t.terms.peers = true;
    for (Listing& l : t.list) l.mark = 1000 + l.server;
    t.start();
    t.report(2, 0.5);
    t.report(3, 0.5);
    for (int i = 0; i < 200; ++i)
        for (const char* note : {"w003ea99999999", "w003eb99999999"}) t.rules->peer_told(note);
    t.arrive();
    assert(t.sent() == 0);
    t.pass(ms(60000));
    const QueryIndex q = t.arrive();
    assert(t.sent() == 1 && t.last().query == q);
}

// Against an idle reader's report that never changes: what it has read for us since does not wait there.
void idle_reader_with_one_report_for_ever_stays_the_least_queued() {
    Story t;
    t.terms.reports_unread = true;
    t.start();
    for (int i = 0; i < 100; ++i) {
        t.report(0, -1, 0);
        t.report(1, -1, 30);
        const QueryIndex q = t.arrive(4000);
        assert(t.last().query == q && t.last().server == 0);
        t.pass(ms(50));
        t.ended(q, Ending::read);
        t.settle(q);
    }
}

// Against a reload that names a new kind of server, and a server of it.
void kind_that_a_reload_adds_is_known() {
    Story t;
    t.terms.reports_memory = t.terms.reports_unread = true;
    t.start();
    for (int n = 0; n < 40; ++n) t.terms.kinds.push_back({Role::writer, 400000});
    t.rules->terms_changed(t.terms);
    const auto last = static_cast<std::uint16_t>(t.terms.kinds.size() - 1);
    t.list.push_back({4, last, 0, 0, {}, Standing::ready});
    t.rules->list_arrived(t.list, true);
    for (const ServerIndex s : {2U, 3U}) t.report(s, 0.6);
    t.report(4, 0.2);
    t.read_one();
    assert(t.last().server == 4);
}

// Against a text that a mixed server kept in a jam, which would draw its session's reads there ever after.
void mixed_server_that_kept_a_text_is_not_asked_while_readers_are_in_time() {
    Story t;
    t.terms.probes = t.terms.reports_unread = true;
    t.list.push_back({4, 2, 0, 0, {}, Standing::ready});
    t.start();
    for (const ServerIndex s : {0U, 1U}) t.list_again(s, Standing::draining);
    const QueryIndex q = t.arrive(1000, 77);
    assert(t.last().server == 4);
    t.ended(q, Ending::read);
    t.settle(q);
    for (const ServerIndex s : {0U, 1U}) t.list_again(s, Standing::ready);
    t.host.probed.clear();
    t.arrive(1000, 77);
    assert(t.host.probed.size() == 2);
    for (const ServerIndex s : t.host.probed) assert(is_reader(s));
}

// Against a second copy that a probe leads back to the server it was made to get away from.
void reader_to_avoid_is_not_asked() {
    Story t;
    t.terms.probes = t.terms.reports_unread = true;
    t.list.push_back({4, 0, 0, 0, {}, Standing::ready});
    t.start();
    for (std::int32_t avoid : {0, 1, 4}) {
        Arrival a;
        a.prompt_tokens = 1000;
        a.session = 5;
        a.budget = ms(5000);
        a.avoid = avoid;
        t.host.probed.clear();
        t.rules->query_arrived(t.next++, a);
        assert(t.host.probed.size() == 2);
        for (const ServerIndex s : t.host.probed) assert(static_cast<std::int32_t>(s) != avoid);
    }
}

// Against a mixed server that falls silent in a read of its own: its pace as a writer tells nothing of that.
void silent_read_at_a_mixed_server_is_called_off() {
    Story t;
    t.list.push_back({4, 2, 0, 0, {}, Standing::ready});
    t.start();
    for (int i = 0; i < 60; ++i) t.settle(t.read_one());
    // Readers that are full for a second leave the read to it.
    for (int i = 0; i < 3 && t.last().server != 4; ++i) {
        const QueryIndex q = t.arrive(4000);
        for (int n = 0; n < 2 && is_reader(t.last().server) && t.last().query == q; ++n) {
            t.ended(q, Ending::full);
            t.pass(ms(5));
        }
    }
    assert(t.last().server == 4);
    t.pass(ms(900));
    assert(t.host.retracted.size() == 1);
}

void notes_between_gateways_are_read_as_they_were_told() {
    for (const double figure : {0.0, 7.0, 4321.9, 1e6, 1e300, -5.0}) {
        PeerNote note;
        const std::string text = PeerNote::of('w', 0x123456789abcdefULL, figure).text();
        assert(PeerNote::read(text, note) && note.what == 'w' && note.mark == 0xbcdef);
        assert(note.figure == static_cast<std::uint32_t>(std::clamp(figure, 0.0, PeerNote::kMostFigure)));
    }
    for (const char* bad : {"", "w", "wbcdef", "wbcdef-1", "wbcdef 1", "wbcdef1 ", "w+cdef1", "wBCDEG1",
                            "wbcdef100000000", "wbcdef99999999999999999999"}) {
        PeerNote note;
        assert(!PeerNote::read(bad, note));
    }
}

}  // namespace

int main() {
    blind_path_goes_to_least_queued_reader_then_least_laden_writer();
    reported_path_goes_to_most_free_memory_less_own_streams();
    each_stage_goes_by_its_own_reports();
    same_report_again_does_not_wipe_own_streams();
    kept_text_draws_a_session_back_within_one_prompt();
    text_has_the_same_home_at_gateways_that_never_met_it();
    text_among_many_keeps_few_homes_and_one_of_a_few_gets_more();
    cell_with_few_writers_keeps_only_what_they_can_take();
    hold_is_before_the_read_while_no_writer_shows_room();
    full_writers_hold_reads_for_a_second_and_a_lost_state_does_not();
    full_reader_is_passed_over_and_says_nothing_of_writers();
    no_room_lets_go_of_the_state_in_time();
    state_for_writers_out_of_reach_is_let_go_in_time();
    reader_lost_before_the_fetch_means_a_new_read();
    stream_that_breaks_is_over();
    answer_lost_on_its_way_back_is_read_again_where_the_text_lies_now();
    reset_of_a_kept_connection_tells_nothing_of_its_server();
    query_that_left_lets_go_of_what_its_read_brings();
    query_that_left_with_a_waiting_state_lets_go_at_once();
    held_query_is_answered_before_its_hard_stop();
    late_attempt_without_an_answer_is_answered();
    draining_servers_get_nothing_new_but_their_states_are_fetched();
    list_left_out_is_gone();
    cold_server_gets_no_more_than_this_gateways_part();
    restart_with_a_stale_list_keeps_nothing_of_the_old_process();
    failing_server_is_shut_out_and_tried_again();
    jammed_readers_hold_what_would_be_late();
    silent_server_loses_its_attempt_to_another();
    busy_server_is_not_taken_for_silent();
    dead_zone_does_not_keep_a_failing_server_in();
    late_days_decline_what_is_over_a_groups_share();
    effectful_query_never_runs_twice();
    effectful_query_at_its_hard_stop_is_given_up();
    receipted_query_stays_in_its_group_and_window();
    further_attempts_wait_behind_first_ones();
    mixed_server_reads_by_itself_where_there_is_no_reader();
    list_that_must_be_asked_for_is_asked_for_again();
    empty_prompts_are_queries_like_others();
    query_without_a_further_attempt_left_ends_at_once();
    query_keeps_to_limits_of_its_own();
    effectful_query_with_a_read_out_at_its_hard_stop_is_given_up();
    mixed_server_writes_while_readers_are_in_time();
    kind_not_heard_of_yet_is_tried();
    category_left_unanswered_passes_its_server_over();
    note_of_a_peer_passes_the_server_over_for_a_time();
    streams_that_peers_send_count_like_own_ones();
    home_that_does_not_answer_a_probe_at_once_is_left_for_the_next();
    way_that_takes_too_long_is_not_taken_while_a_nearer_writer_has_room();
    writers_that_peers_filled_are_tried_again();
    idle_reader_with_one_report_for_ever_stays_the_least_queued();
    kind_that_a_reload_adds_is_known();
    mixed_server_that_kept_a_text_is_not_asked_while_readers_are_in_time();
    reader_to_avoid_is_not_asked();
    silent_read_at_a_mixed_server_is_called_off();
    notes_between_gateways_are_read_as_they_were_told();
}
