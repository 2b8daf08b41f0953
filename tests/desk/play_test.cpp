// Any terms file that is accepted, played against random events: whatever engines answer, lose or forget,
// whoever leaves and whenever the terms change, the rules hold. A file that would break one is refused
// (tests/terms).
#include <rapidcheck.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

#include "desk/desk.h"
#include "terms/terms_file.h"

using namespace copperfront;

namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }
constexpr ServerIndex kServers = 8;  // four readers, three writers, one that does both
constexpr std::uint16_t kKinds[kServers] = {0, 0, 0, 0, 1, 1, 1, 2};

// Terms of one shape, and of another: load reports, probes and notes of peers.
const char* const kPlain = "(allow (cancel yes) (second-copies yes))";
const char* const kTold =
    R"((allow (cancel yes) (second-copies yes) (probes yes) (peers yes) (writers-read yes))
  (peer "h" (at "127.0.0.1:9")) (reports (how inline) (memory yes) (unread yes)))";

const char* const kBase = R"((copperfront
  (gateway (name "g") (zone "z")) (fleet (quantum 4ms)) (zone "z")
  (kind "reader" (role reader)) (kind "writer" (role writer) (memory-tokens 3000))
  (kind "mixed" (role mixed) (memory-tokens 3000))
  (category "pure" (latency-goal 500ms) (token-gap 20ms) (hard-stop 2s))
  (category "receipt" (effect receipted) (window 1s) (latency-goal 500ms) (hard-stop 2s))
  (category "once" (effect effectful) (latency-goal 500ms) (hard-stop 2s))
  (rules (drain-grace 250ms) (start-capacity 0.3) (tip-multiple 2.5) (fall 3s) (warm-within 14s) (release-within 1s)
    (most-launches 5)))";

// Most values are such that a file is accepted; one in many is not, alone or with the others.
std::string drawn_route(int n) {
    const std::string category = *rc::gen::element<std::string>("pure", "pure", "receipt", "once");
    std::string out = "(route \"r" + std::to_string(n) + "\" (category \"" + category + "\") (prompt-from " +
                      std::to_string(n * 100) + ")";
    const auto maybe = [&](const std::string& key, const std::vector<std::string>& good,
                           const std::string& bad) {
        if (*rc::gen::inRange(0, 3) != 0) return;
        out += " (" + key + " " + (*rc::gen::inRange(0, 60) == 0 ? bad : *rc::gen::elementOf(good)) + ")";
    };
    maybe("connect", {"10ms", "40ms"}, "2s");
    maybe("read", {"100ms", "500ms"}, "3s");
    maybe("hand-over", {"50ms", "400ms"}, "2s");
    maybe("first-token", {"100ms", "900ms"}, "3s");
    maybe("gap", {"50ms", "1s"}, "0");
    maybe("whole", {"1s", "5s"}, "10ms");
    maybe("most-launches", {"2", "3", "5"}, "9");
    maybe("after-unreachable", {"0", "1", "3"}, "-1");
    maybe("after-full", {"0", "1", "3"}, "x");
    if (category != "once") {
        maybe("after-failed", {"0", "1", "3"}, "1.5");
        maybe("after-silent", {"0", "1", "3"}, "99");
    }
    maybe("retry-share", {"0", "0.2", "1"}, "11");
    maybe("rate", {"5", "50"}, "0");
    maybe("in-hand", {"1", "4", "20"}, "0");
    maybe("held", {"1", "10"}, "0");
    maybe("adapts", {"yes"}, "maybe");
    if (category != "pure") {
        out += " (second-copies no)";
    } else {
        maybe("second-copies", {"yes"}, "always");
        maybe("second-after", {"20ms", "200ms"}, "4s");
        maybe("second-share", {"0.1", "1"}, "2");
    }
    return out + ")";
}

struct World : Outside {
    struct Out {
        ServerIndex at;
        QueryIndex query;
        bool reading, called_off = false;
        AttemptId state;
    };
    struct State {
        ServerIndex at;
        std::uint64_t asked;  // the query's number
        Instant free_since;
    };
    struct Asked {
        Instant came;
        Span budget;
        Effect effect = Effect::pure;
        int answers = 0, out = 0;
        bool begun = false, left = false, over = false, may_have_run = false;
    };

    Instant clock{1'000'000'000'000};
    Instant wish{INT64_MAX};
    std::map<AttemptId, Out> out;
    std::map<std::pair<ServerIndex, AttemptId>, State> states;
    std::map<QueryIndex, std::uint64_t> number;
    std::vector<Asked> asked;
    std::set<ServerIndex> barred;
    std::string broken;
    std::vector<ServerIndex> asked_of;  // probes that nothing has come back of
    std::vector<std::string> notes;
    std::uint64_t probes = 0;

    void wrong(const std::string& what) {
        if (broken.empty()) broken = what;
    }
    Asked& of(QueryIndex q) { return asked[number.at(q)]; }

    Instant now() const override { return clock; }
    void wake_at(Instant at) override { wish = at; }
    void sent(AttemptId l, ServerIndex to, QueryIndex q, bool reading, AttemptId state) {
        Asked& a = of(q);
        if (a.over) wrong("a launch for a query that is over");
        if (barred.count(to)) wrong("a launch to a draining server");
        if (a.effect != Effect::pure && a.out > 0) wrong("two launches out of a query that is not pure");
        if (!reading && a.effect == Effect::effectful && a.may_have_run)
            wrong("an effectful query sent again");
        ++a.out;
        out[l] = {to, q, reading, false, state};
    }
    void send_read(AttemptId l, ServerIndex to, QueryIndex q, Span) override { sent(l, to, q, true, 0); }
    void send_write(AttemptId l, ServerIndex to, QueryIndex q, AttemptId state, ServerIndex, Span) override {
        sent(l, to, q, false, state);
    }
    void call_off(AttemptId l, ServerIndex) override {
        const auto it = out.find(l);
        if (it == out.end() || it->second.called_off) return wrong("called off what is not out");
        it->second.called_off = true;
        ended(l, !it->second.reading);
    }
    // Every third still waited for its connection, so it has not run.
    bool unsend(AttemptId l, ServerIndex) override {
        const auto it = out.find(l);
        if (it == out.end() || it->second.called_off || l % 3 != 0) return false;
        ended(l, false);
        out.erase(it);
        return true;
    }
    // The gateway waits for it no longer.
    void ended(AttemptId l, bool may_have_run) {
        Asked& a = of(out.at(l).query);
        --a.out;
        a.may_have_run |= may_have_run;
        const std::uint64_t n = number.at(out.at(l).query);
        if (a.out == 0)
            for (auto& [key, s] : states)
                if (s.asked == n) s.free_since = clock;
    }
    void release(ServerIndex at, AttemptId state) override { states.erase({at, state}); }
    void probe(ServerIndex server) override {
        ++probes;
        asked_of.push_back(server);
    }
    void tell_peers(std::string_view note) override { notes.emplace_back(note); }
    void subscribe() override {}
    void answered(QueryIndex q, bool declined) {
        Asked& a = of(q);
        if (++a.answers > 1 || a.left) wrong("a second final answer, or one after the query left");
        if (declined && a.effect == Effect::effectful && (a.may_have_run || a.out > 0))
            wrong("declined what may have run, or is still out");
        if (!a.begun && clock > a.came + a.budget) wrong("a final answer after the hard stop");
        a.over = true;
    }
    void settled(QueryIndex q) override { answered(q, false); }
    void declined(QueryIndex q, Span, std::string_view) override { answered(q, true); }
    void given_up(QueryIndex q, std::string_view) override { answered(q, false); }
    void closed(QueryIndex q) override {
        if (of(q).out > 0) wrong("closed with launches out");
        number.erase(q);
    }
    void log(std::string_view) override {}

    void look_at_pins() {
        for (const auto& [key, s] : states)
            if (asked[s.asked].out == 0 && clock - s.free_since > ms(1000)) wrong("a state lay pinned");
    }
};

struct Play {
    World world;
    GatewayTerms terms, others;
    bool watches = false;
    std::unique_ptr<Desk> desk;
    std::minstd_rand chance;

    double draw() { return std::uniform_real_distribution<double>(0, 1)(chance); }

    std::vector<RouteLimits> limits() const {
        std::vector<RouteLimits> out;
        for (const RouteTerms& r : terms.routes) out.push_back(r.limits);
        return out;
    }
    void start() {
        desk = std::make_unique<Desk>(terms.core, world, 5);
        desk->terms_changed(terms.core, limits());
        if (watches) desk->watch(&others.core, 5);
        std::vector<Listing> list(kServers);
        for (ServerIndex s = 0; s < kServers; ++s) {
            list[s].server = s;
            list[s].kind = kKinds[s];
            list[s].mark = s + 1;
        }
        desk->list_arrived(list, true);
    }
    void ask() {
        Arrival a;
        a.category = static_cast<std::uint16_t>(draw() * 3);
        a.prompt_tokens = std::floor(draw() * 600);
        a.most_tokens = 50;
        a.session = static_cast<std::uint64_t>(draw() * 5);
        a.budget = ms(200 + static_cast<std::int64_t>(draw() * 1800));
        RouteQuery wanted;
        wanted.category = a.category;
        wanted.listener = 0;
        wanted.prompt_tokens = a.prompt_tokens;
        const std::uint32_t place = terms.table.find(wanted);
        const QueryIndex q = desk->open();
        World::Asked asked;
        asked.came = world.clock;
        asked.budget = a.budget;
        asked.effect = terms.core.categories[a.category].effect;
        world.number[q] = world.asked.size();
        world.asked.push_back(asked);
        desk->query_came(q, a, place, terms.routes[place].limits);
    }
    LoadReport report() { return {draw() < 0.8 ? draw() : -1, draw() < 0.5 ? 0 : draw() * 5}; }
    // What comes of a probe, or of a note that is told again, changed or made up.
    void hear() {
        if (!world.asked_of.empty()) {
            const ServerIndex s = world.asked_of.back();
            world.asked_of.pop_back();
            if (draw() < 0.8) desk->probe_answered(s, draw() < 0.8, report());
        }
        std::string note = world.notes.empty() ? "u000010" : world.notes.back();
        if (draw() < 0.5)
            note[static_cast<std::size_t>(draw() * 0.999 * static_cast<double>(note.size()))] =
                "uawz0f9"[static_cast<int>(draw() * 7)];
        desk->peer_told(note);
    }
    // Something comes back of one attempt, or is lost for ever.
    void answer(AttemptId id) {
        World::Out& o = world.out.at(id);
        const std::uint64_t n = world.number.count(o.query) ? world.number.at(o.query) : 0;
        const bool off = o.called_off;
        const double u = draw();
        Outcome outcome;
        outcome.report = report();
        if (o.reading) {
            outcome.ending = u < 0.7   ? Ending::read
                             : u < 0.8 ? Ending::full
                             : u < 0.9 ? Ending::broken
                                       : Ending::error;
            // The state may lie there whatever the answer came to, but not where a cancel came first.
            if (!off && (u < 0.7 || (u >= 0.8 && u < 0.85)))
                world.states[{o.at, id}] = {o.at, n, world.clock};
        } else if (u < 0.5 && !off) {
            QueryIndex q = 0;
            if (desk->token_came(id, q)) {
                world.states.erase({state_at(o.state), o.state});
                World::Asked& a = world.of(q);
                if (a.over) world.wrong("a token after the final answer");
                if (!a.begun && world.clock > a.came + a.budget)
                    world.wrong("a first token after the hard stop");
                a.begun = true;
            }
            if (!world.out.count(id) || world.out.at(id).called_off || draw() < 0.5) return;
            outcome.ending = Ending::settled;
        } else {
            outcome.ending = u < 0.6    ? Ending::full
                             : u < 0.7  ? Ending::unreachable
                             : u < 0.85 ? Ending::broken
                                        : Ending::error;
            outcome.no_state = u >= 0.55 && u < 0.6;
        }
        if (!off) {
            const bool ran =
                !o.reading && outcome.ending != Ending::full && outcome.ending != Ending::unreachable;
            world.ended(id, ran);
        }
        world.out.erase(id);
        desk->attempt_ended(id, outcome);
    }
    ServerIndex state_at(AttemptId state) const {
        for (const auto& [key, s] : world.states)
            if (key.second == state) return key.first;
        return 0;
    }
    void pass(Span span) {
        const Instant until = world.clock + span;
        while (world.wish <= until) {
            world.clock = std::max(world.clock, world.wish);
            world.wish = {INT64_MAX};
            desk->time_came();
            world.look_at_pins();
        }
        world.clock = until;
        world.look_at_pins();
    }
    void step() {
        const double u = draw();
        if (u < 0.25) {
            ask();
        } else if (u < 0.7 && !world.out.empty()) {
            auto it = world.out.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(draw() * static_cast<double>(world.out.size())));
            answer(it->first);
        } else if (u < 0.74 && !world.number.empty()) {
            auto it = world.number.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(draw() * static_cast<double>(world.number.size())));
            World::Asked& a = world.asked[it->second];
            if (!a.over) {
                a.left = a.over = true;
                desk->query_left(it->first);
            }
        } else if (u < 0.76) {
            Listing l;
            l.server = static_cast<ServerIndex>(draw() * kServers);
            l.kind = kKinds[l.server];
            l.mark = l.server + 1;
            const bool drains = draw() < 0.5 && world.barred.size() < 3;
            l.standing = drains ? Standing::draining : Standing::ready;
            if (drains)
                world.barred.insert(l.server);
            else
                world.barred.erase(l.server);
            desk->list_arrived({{l}}, false);
        } else if (u < 0.765) {
            desk->terms_changed(terms.core, limits());
        } else if (u < 0.8) {
            hear();
        } else {
            pass(ms(static_cast<std::int64_t>(draw() * draw() * 120)));
        }
    }
};

}  // namespace

int main() {
    int played = 0, refused = 0;
    std::uint64_t copies = 0, queries = 0, not_again = 0, over_limit = 0, probes = 0, compared = 0;
    const bool well = rc::check("accepted files keep the rules", [&] {
        std::string text;
        if (*rc::gen::arbitrary<bool>())
            text += R"((route "default" (second-copies yes) (second-share 1) (second-after 30ms)))";
        const int routes = *rc::gen::inRange(0, 5);
        for (int n = 0; n < routes; ++n) text += drawn_route(n);
        Play play;
        std::vector<Fault> faults;
        Overrides o;
        o.peer_listen = "127.0.0.1:8";
        const bool told = *rc::gen::arbitrary<bool>();
        play.watches = *rc::gen::arbitrary<bool>();
        const auto whole = [&](bool of) { return kBase + std::string(of ? kTold : kPlain) + text + ")"; };
        if (!read_terms(whole(told), o, play.terms, faults) ||
            !read_terms(whole(!told), o, play.others, faults)) {
            ++refused;
            return;
        }
        ++played;
        play.chance.seed(static_cast<std::uint32_t>(*rc::gen::inRange(1, 1 << 30)));
        play.start();
        for (int n = 0; n < 400 && play.world.broken.empty(); ++n) play.step();
        // Then nothing comes back any more: all ends by itself.
        play.pass(ms(12000));
        const Tally& t = play.desk->tally();
        copies += t.copies;
        queries += t.came;
        not_again += t.not_again;
        over_limit += t.over_limit;
        probes += play.world.probes;
        if (const Watching* w = play.desk->watching()) {
            const Differences& d = w->differences();
            compared += d.alike + d.reader + d.writer + d.held;
        }
        if (!play.world.broken.empty()) RC_FAIL(play.world.broken + "\n" + whole(told));
        RC_ASSERT(play.desk->open_queries() == 0);
        RC_ASSERT(play.desk->attempts_out() == 0);
        RC_ASSERT(play.world.states.empty());
        for (const World::Asked& a : play.world.asked) RC_ASSERT(a.answers == (a.left ? 0 : 1));
    });
    std::printf(
        "%d files played, %d refused; %llu queries, %llu copies, %llu over a limit, %llu launches not left\n",
        played, refused, static_cast<unsigned long long>(queries), static_cast<unsigned long long>(copies),
        static_cast<unsigned long long>(over_limit), static_cast<unsigned long long>(not_again));
    std::fflush(stdout);
    assert(well);
    assert(played > 10 && copies > 0 && over_limit > 0 && not_again > 0 && probes > 0 && compared > 0);
}
