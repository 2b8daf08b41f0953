// Stories of the desk against one tiny outside. The rules inside are the real ones.
#include "desk/desk.h"

#include <cassert>
#include <string>
#include <vector>

#include "fake_outside.h"

using namespace copperfront;

namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }

Terms terms() {
    Terms t;
    t.categories.resize(2);
    t.categories[0].latency_goal = ms(1500);
    t.categories[1].latency_goal = ms(1500);
    t.categories[1].effect = Effect::effectful;
    t.kinds = {{Role::reader, 100000}, {Role::writer, 100000}};
    t.cancel = true;
    t.max_attempts = 4;
    t.quantum = ms(4);
    t.release_within = ms(1000);
    t.max_stay_away = ms(1000);
    return t;
}

Arrival facts(std::uint16_t category) {
    Arrival a;
    a.category = category;
    a.prompt_tokens = 1000;
    a.most_tokens = 100;
    a.budget = ms(6000);
    return a;
}

struct Story {
    FakeOutside world;
    Desk desk{terms(), world, 7};

    Story() {
        std::vector<Listing> list(4);
        for (ServerIndex s = 0; s < 4; ++s) {
            list[s].server = s;
            list[s].kind = s < 2 ? 0 : 1;  // two readers, two writers
            list[s].mark = s + 1;
        }
        desk.list_arrived(list, true);
    }
    QueryIndex ask(std::uint16_t category = 0) {
        const QueryIndex q = desk.open();
        desk.query_came(q, facts(category));
        return q;
    }
    void answer(AttemptId attempt, Ending ending) {
        Outcome o;
        o.ending = ending;
        desk.attempt_ended(attempt, o);
    }
    void pass(Span time) {
        const Instant until = world.clock + time;
        while (world.wish <= until) {
            world.clock = std::max(world.clock, world.wish);
            world.wish = {INT64_MAX};
            desk.time_came();
        }
        world.clock = until;
    }
    const Sent& last() const { return world.sent.back(); }
};

void a_query_is_read_written_and_settled() {
    Story s;
    const QueryIndex q = s.ask();
    assert(s.last().reading);
    const AttemptId read = s.last().attempt;
    s.world.clock = s.world.clock + ms(50);
    s.answer(read, Ending::read);
    assert(!s.last().reading && s.last().state == read);
    QueryIndex whose = 99;
    assert(s.desk.token_came(s.last().attempt, whose) && whose == q);
    assert(s.desk.token_came(s.last().attempt, whose));
    s.answer(s.last().attempt, Ending::settled);
    assert(s.world.answers[q] == std::vector<std::string>{"settled"});
    assert(s.world.released.empty());  // the writer has taken the state
    s.ask();
    assert(s.world.closed_queries == std::vector<QueryIndex>{q});
}

// Against a second final answer: whatever an engine says later of a query that is over.
void nothing_follows_the_final_answer() {
    Story s;
    const QueryIndex q = s.ask();
    s.answer(s.last().attempt, Ending::read);
    const AttemptId write = s.last().attempt;
    QueryIndex whose = 0;
    s.desk.token_came(write, whose);
    s.answer(write, Ending::broken);
    assert(s.world.answers[q] == std::vector<std::string>{"given up: the stream broke"});
    assert(!s.desk.token_came(write, whose));
    s.answer(write, Ending::settled);
    s.pass(ms(20000));
    assert(s.world.answers[q].size() == 1);
    assert(s.desk.open_queries() == 0 && s.desk.attempts_out() == 0);
}

// Against answers whose end is lost in silence: the caller would wait for ever.
void a_silent_stream_is_given_up() {
    Story s;
    const QueryIndex q = s.ask();
    s.answer(s.last().attempt, Ending::read);
    const AttemptId write = s.last().attempt;
    QueryIndex whose = 0;
    s.desk.token_came(write, whose);
    s.pass(ms(5000));
    s.desk.token_came(write, whose);  // slow, but alive
    s.pass(ms(5900));
    assert(s.world.answers[q].empty());
    s.pass(ms(200));
    assert(s.world.answers[q] == std::vector<std::string>{"given up: the stream broke"});
    assert(s.world.called_off == std::vector<AttemptId>{write});
}

void a_caller_that_leaves_ends_its_stream() {
    Story s;
    const QueryIndex q = s.ask();
    s.answer(s.last().attempt, Ending::read);
    const AttemptId write = s.last().attempt;
    QueryIndex whose = 0;
    s.desk.token_came(write, whose);
    s.desk.query_left(q);
    assert(s.world.called_off == std::vector<AttemptId>{write});
    assert(s.world.answers[q].empty());
    assert(s.desk.attempts_out() == 0);
}

// Against states pinned by a read whose caller left, or whose answer never came.
void what_a_lost_read_left_is_let_go() {
    Story s;
    const QueryIndex q = s.ask();
    const Sent read = s.last();
    s.desk.query_left(q);
    assert(s.world.called_off == std::vector<AttemptId>{read.attempt});
    assert((s.world.released == std::vector<std::pair<ServerIndex, AttemptId>>{{read.to, read.attempt}}));

    Story other;
    other.ask();
    const Sent lost = other.last();
    other.answer(lost.attempt, Ending::broken);
    assert((other.world.released == std::vector<std::pair<ServerIndex, AttemptId>>{{lost.to, lost.attempt}}));
}

// Against a state let go under a write that is on its way to fetch it.
void a_state_that_an_attempt_waits_for_is_kept() {
    Story s;
    s.ask();
    const AttemptId read = s.last().attempt;
    s.answer(read, Ending::read);
    s.pass(ms(900));
    assert(s.world.released.empty());
    Outcome full;
    full.ending = Ending::full;
    s.desk.attempt_ended(s.last().attempt, full);
    assert(s.last().state == read);  // the next writer takes it
    assert(s.world.released.empty());
}

void an_effectful_query_is_never_sent_twice() {
    Story s;
    const QueryIndex q = s.ask(1);
    s.answer(s.last().attempt, Ending::read);
    const std::size_t before = s.world.sent.size();
    s.answer(s.last().attempt, Ending::broken);
    s.pass(ms(10000));
    assert(s.world.sent.size() == before);
    assert(s.world.answers[q].size() == 1 && s.world.answers[q][0].rfind("given up", 0) == 0);
}

void unanswered_attempts_end_by_the_hard_stop() {
    Story s;
    const QueryIndex q = s.ask();
    s.pass(ms(5990));
    assert(s.world.answers[q].empty());
    s.pass(ms(6));
    assert(s.world.answers[q].size() == 1);
    assert(s.desk.attempts_out() == 0);
}

void a_stop_gives_up_what_is_left() {
    Story s;
    const QueryIndex a = s.ask(), b = s.ask();
    s.desk.give_up_all("the gateway stops");
    assert(s.world.answers[a].size() == 1 && s.world.answers[b].size() == 1);
    assert(s.desk.open_queries() == 0);
}

// A story in which the route allows second copies after 200 ms.
struct CopyStory : Story {
    RouteLimits limits;
    CopyStory() {
        limits.second_copies = true;
        limits.second_after = ms(200);
        limits.second_share = 1;
        desk.terms_changed(terms(), {{limits}});
    }
    QueryIndex ask_copied(std::uint16_t category = 0) {
        const QueryIndex q = desk.open();
        desk.query_came(q, facts(category), 0, limits);
        return q;
    }
};

// Against one slow engine: the copy goes elsewhere, its answer is the query's, and the slow one is called
// off.
void a_second_copy_wins_and_the_slow_one_is_called_off() {
    CopyStory s;
    const QueryIndex q = s.ask_copied();
    const Sent slow = s.last();
    s.pass(ms(199));
    assert(s.world.sent.size() == 1);
    s.pass(ms(2));
    assert(s.world.sent.size() == 2);
    const Sent copy = s.last();
    assert(copy.reading && copy.query == q && copy.to != slow.to);
    s.answer(copy.attempt, Ending::read);
    QueryIndex whose = 99;
    const AttemptId write = s.last().attempt;
    assert(s.desk.token_came(write, whose) && whose == q);
    assert(s.world.called_off == std::vector<AttemptId>{slow.attempt});
    assert((s.world.released == std::vector<std::pair<ServerIndex, AttemptId>>{{slow.to, slow.attempt}}));
    assert(s.desk.token_came(write, whose) && whose == q);
    s.answer(write, Ending::settled);
    assert(s.world.answers[q] == std::vector<std::string>{"settled"});
    s.pass(ms(10000));
    s.desk.open();
    assert(s.world.answers[q].size() == 1 && s.world.closed_queries == std::vector<QueryIndex>{q});
    assert(s.desk.open_queries() == 0 && s.desk.attempts_out() == 0);
}

void the_first_may_still_win() {
    CopyStory s;
    const QueryIndex q = s.ask_copied();
    const Sent slow = s.last();
    s.pass(ms(201));
    const Sent copy = s.last();
    s.answer(slow.attempt, Ending::read);
    QueryIndex whose = 99;
    assert(s.desk.token_came(s.last().attempt, whose) && whose == q);
    assert(s.world.called_off == std::vector<AttemptId>{copy.attempt});
    s.answer(s.last().attempt, Ending::settled);
    assert(s.world.answers[q] == std::vector<std::string>{"settled"});
    s.pass(ms(10000));
    assert(s.world.answers[q].size() == 1 && s.desk.attempts_out() == 0);
}

// One of the two may end badly; only when both have is there an answer, and then one.
void two_copies_make_one_answer() {
    CopyStory s;
    const QueryIndex q = s.ask_copied();
    s.pass(ms(201));
    assert(s.world.sent.size() == 2);
    s.pass(ms(6000));
    assert(s.world.answers[q].size() == 1 && s.desk.open_queries() == 0 && s.desk.attempts_out() == 0);

    CopyStory left;
    const QueryIndex gone = left.ask_copied();
    left.pass(ms(201));
    left.desk.query_left(gone);
    assert(left.world.answers[gone].empty() && left.world.called_off.size() == 2 &&
           left.desk.attempts_out() == 0);
}

// Rule 2: what is not pure has never two attempts out.
void only_pure_queries_are_copied_and_only_within_the_budget() {
    CopyStory s;
    s.ask_copied(1);
    s.pass(ms(1000));
    assert(s.world.sent.size() == 1);
    CopyStory few;
    few.limits.second_share = 0.1;
    few.desk.terms_changed(terms(), {{few.limits}});
    for (int n = 0; n < 30; ++n) few.ask_copied();
    few.pass(ms(250));
    assert(few.desk.tally().copies >= 1 && few.desk.tally().copies <= 3);
}

// Against a dear or dead connection that eats the time for the whole read: an attempt that was never sent has
// not run, so even an effectful query goes elsewhere, and what was sent is left alone.
void an_attempt_that_waits_too_long_for_its_connection_goes_elsewhere() {
    for (std::uint16_t category = 0; category < 2; ++category) {
        Story s;
        RouteLimits limits;
        limits.connect = ms(50);
        s.desk.terms_changed(terms(), {{limits}});
        const QueryIndex q = s.desk.open();
        s.world.unsent = {1, 3};
        s.desk.query_came(q, facts(category), 0, limits);
        const Sent first = s.last();
        s.pass(ms(49));
        assert(s.world.sent.size() == 1);
        s.pass(ms(2));
        assert(s.world.sent.size() == 2 && s.last().reading && s.last().to != first.to);
        assert(s.world.called_off.empty() && s.desk.tally().not_connected == 1);
        s.pass(ms(200));  // this one was sent
        assert(s.world.sent.size() == 2);
        s.answer(s.last().attempt, Ending::read);
        const Sent write = s.last();
        s.pass(ms(51));
        assert(s.last().attempt != write.attempt && !s.last().reading && s.last().to != write.to);
        s.answer(s.last().attempt, Ending::settled);
        assert(s.world.answers[q] == std::vector<std::string>{"settled"});
        assert(s.desk.tally().not_connected == 2);
    }
}

// A gateway that has most of what a writer reports takes most of a fleet's limit, and no more when it is told
// no more.
void a_part_of_the_fleet_is_learned_from_reports() {
    Story s;
    Terms many = terms();
    many.gateways = 10;
    s.desk.terms_changed(many, {{RouteLimits{}}});
    assert(s.desk.part() == 0.1);
    s.desk.parts_are_learned(true);
    const auto write_one = [&](double told_by_reader, double told_by_writer) {
        s.ask();
        Outcome read;
        read.ending = Ending::read;
        read.report.memory_share = told_by_reader;
        s.desk.attempt_ended(s.last().attempt, read);
        Outcome settled;
        settled.ending = Ending::settled;
        settled.report.memory_share = told_by_writer;
        s.desk.attempt_ended(s.last().attempt, settled);
    };
    write_one(0.9, 0);  // a reader's texts are nobody's share
    assert(s.desk.part() == 0.1);
    write_one(-1, 0.05);  // all of what the writer has is others'
    assert(s.desk.part() < 0.03);
    // Two that this gateway has there: 2,000 of the 4,000 tokens that it reports.
    for (int n = 0; n < 40; ++n) {
        s.ask();
        s.answer(s.last().attempt, Ending::read);
    }
    for (int n = 0; n < 200; ++n) {
        s.pass(ms(1));
        LoadReport report;
        report.memory_share = 0.4;
        s.desk.probe_answered(2, true, report);
        s.desk.probe_answered(3, true, report);
    }
    assert(s.desk.part() > 0.3 && s.desk.part() < 0.5);
}

// Against a reload that finds second copies out: those that run keep the terms that they came with and still
// make one answer; what comes afterwards under the changed category is never out twice.
void a_category_turns_effectful_while_second_copies_run() {
    CopyStory s;
    const QueryIndex early = s.ask_copied(), later = s.ask_copied();
    s.pass(ms(201));
    assert(s.world.sent.size() == 4);
    Terms turned = terms();
    turned.categories.push_back(turned.categories[0]);  // as a gateway does it: the same name, a new index
    turned.categories[2].effect = Effect::effectful;
    s.desk.terms_changed(turned, {{s.limits}});
    assert(s.world.called_off.empty());
    const QueryIndex fresh = s.ask_copied(2);
    s.pass(ms(1000));
    assert(s.world.sent.size() == 5);
    const AttemptId only = s.last().attempt, copy = s.world.sent[3].attempt, slow = s.world.sent[0].attempt;
    for (const AttemptId read : {slow, copy, only}) s.answer(read, Ending::read);
    QueryIndex whose = 99;
    std::map<QueryIndex, int> writes;
    for (std::size_t n = 5; n < s.world.sent.size(); ++n) {
        ++writes[s.world.sent[n].query];
        s.desk.token_came(s.world.sent[n].attempt, whose);
        s.answer(s.world.sent[n].attempt, Ending::settled);
    }
    assert(writes[fresh] == 1);
    s.pass(ms(10000));
    for (const QueryIndex q : {early, later, fresh})
        assert(s.world.answers[q] == std::vector<std::string>{"settled"});
    assert(s.desk.attempts_out() == 0 && s.desk.open_queries() == 0);
}

}  // namespace

int main() {
    an_attempt_that_waits_too_long_for_its_connection_goes_elsewhere();
    a_category_turns_effectful_while_second_copies_run();
    a_part_of_the_fleet_is_learned_from_reports();
    a_query_is_read_written_and_settled();
    nothing_follows_the_final_answer();
    a_silent_stream_is_given_up();
    a_caller_that_leaves_ends_its_stream();
    what_a_lost_read_left_is_let_go();
    a_state_that_an_attempt_waits_for_is_kept();
    an_effectful_query_is_never_sent_twice();
    unanswered_attempts_end_by_the_hard_stop();
    a_stop_gives_up_what_is_left();
    a_second_copy_wins_and_the_slow_one_is_called_off();
    the_first_may_still_win();
    two_copies_make_one_answer();
    only_pure_queries_are_copied_and_only_within_the_budget();
}
