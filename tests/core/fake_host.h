// A host that only remembers what it was asked to do, and a small fleet to tell stories about.
#pragma once

#include <algorithm>
#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/rules.h"

namespace copperfront {

struct StartedAttempt {
    QueryIndex query;
    ServerIndex server;
    Span limit;
    Span write_within;
};

class FakeHost : public Host {
  public:
    Instant clock{1'000'000'000};
    std::vector<StartedAttempt> attempts;
    std::vector<QueryIndex> retracted, declined, given_up, released;
    std::vector<ServerIndex> probed;
    std::vector<std::string> notes;  // to peers
    std::multimap<Instant, TimerKey> timers;
    Span stay_away;
    int subscribed = 0;
    bool budget_spent = false;

    Instant now() const override { return clock; }
    void start_attempt(QueryIndex q, ServerIndex s, const AttemptLimits& limits) override {
        attempts.push_back({q, s, limits.answer, limits.write});
    }
    void retract(QueryIndex q, std::uint32_t) override { retracted.push_back(q); }
    void decline(QueryIndex q, Span span) override {
        declined.push_back(q);
        stay_away = span;
    }
    void give_up(QueryIndex q) override { given_up.push_back(q); }
    void release(QueryIndex q) override { released.push_back(q); }
    bool may_attempt_again(QueryIndex, Ending) override { return !budget_spent; }
    void probe(ServerIndex s) override { probed.push_back(s); }
    void subscribe() override { ++subscribed; }
    void tell_peers(std::string_view note) override { notes.emplace_back(note); }
    void set_timer(Span span, TimerKey key) override { timers.emplace(clock + span, key); }
    void log(std::string_view) override {}
};

constexpr Span ms(double v) { return {static_cast<std::int64_t>(v * 1000)}; }

// Two readers (0, 1) and two writers (2, 3), all warm; reader 0 and writer 2 share a cell and the gateway's
// zone.
struct Story {
    FakeHost host;
    Terms terms;
    std::unique_ptr<Rules> rules;
    std::vector<Listing> list;
    QueryIndex next = 0;

    explicit Story(Effect effect = Effect::pure, Group group = Group::all) {
        Category c;
        c.effect = effect;
        c.group = group;
        c.window = ms(5000);
        c.latency_goal = ms(1000);
        c.token_gap = ms(50);
        terms.categories = {c};
        terms.kinds = {{Role::reader, 200000}, {Role::writer, 100000}, {Role::mixed, 100000}};
        terms.cancel = true;
        terms.max_attempts = 6;
        terms.max_stay_away = ms(1000);
        terms.quantum = ms(4);
        terms.release_within = ms(1000);
        terms.start_capacity = 0.25;
        terms.tip_multiple = 2.5;
        terms.fall = ms(2000);
        terms.warm_within = ms(10000);
        list = {{0, 0, 0, 0, {}, Standing::ready},
                {1, 0, 1, 1, {}, Standing::ready},
                {2, 1, 0, 0, {}, Standing::ready},
                {3, 1, 1, 1, {}, Standing::ready}};
    }
    Rules& start() {
        rules = std::make_unique<Rules>(terms, host, 7);
        rules->list_arrived(list, true);
        return *rules;
    }
    QueryIndex arrive(double prompt = 1000, std::uint64_t session = 0, Span budget = ms(5000)) {
        Arrival a;
        a.prompt_tokens = prompt;
        a.session = session;
        a.most_tokens = 200;
        a.budget = budget;
        rules->query_arrived(next, a);
        return next++;
    }
    const StartedAttempt& last() const { return host.attempts.back(); }
    std::size_t sent() const { return host.attempts.size(); }
    void ended(QueryIndex q, Ending ending, ServerIndex server, bool no_state = false, bool over = false) {
        Outcome o;
        o.ending = ending;
        o.took = ms(20);
        o.no_state = no_state;
        o.over = over;
        rules->attempt_ended(q, server, o);
    }
    void ended(QueryIndex q, Ending ending) { ended(q, ending, last().server); }
    QueryIndex read_one(double prompt = 1000, std::uint64_t session = 0) {
        const QueryIndex q = arrive(prompt, session);
        ended(q, Ending::read);
        return q;
    }
    void settle(QueryIndex q) {
        const ServerIndex s = last().server;
        rules->stream_began(q, ms(20));
        ended(q, Ending::settled, s, false, true);
    }
    void report(ServerIndex s, double memory, double unread = -1) {
        rules->probe_answered(s, true, {memory, unread});
    }
    void list_again(ServerIndex s, Standing standing, Instant born = {}) {
        list[s].standing = standing;
        list[s].born = born;
        rules->list_arrived(std::vector<Listing>{list[s]}, false);
    }
    void pass(Span span) {
        const Instant until = host.clock + span;
        while (!host.timers.empty() && host.timers.begin()->first <= until) {
            const auto [at, key] = *host.timers.begin();
            host.timers.erase(host.timers.begin());
            host.clock = std::max(host.clock, at);
            rules->timer_rang(key);
        }
        host.clock = until;
    }
};

}  // namespace copperfront
