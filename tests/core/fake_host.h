// A host that only records what it was asked to do, and a small fleet for scenarios.
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
    QueryIndex request;
    ServerIndex server;
    Span limit;
    Span write_within;
};

class FakeHost : public Host {
  public:
    Instant clock{1'000'000'000};
    std::vector<StartedAttempt> attempts;
    std::vector<QueryIndex> cancelled, rejected, abandoned, released;
    std::vector<ServerIndex> probed;
    std::vector<std::string> peer_notes;
    std::multimap<Instant, TimerKey> timers;
    Span stay_away;
    int subscriptions = 0;
    bool retry_budget_spent = false;

    Instant now() const override { return clock; }
    void start_attempt(QueryIndex request, ServerIndex s, const AttemptLimits& limits) override {
        attempts.push_back({request, s, limits.answer, limits.write});
    }
    void retract(QueryIndex request, std::uint32_t) override { cancelled.push_back(request); }
    void decline(QueryIndex request, Span duration) override {
        rejected.push_back(request);
        stay_away = duration;
    }
    void give_up(QueryIndex request) override { abandoned.push_back(request); }
    void release(QueryIndex request) override { released.push_back(request); }
    bool may_attempt_again(QueryIndex, Ending) override { return !retry_budget_spent; }
    void probe(ServerIndex s) override { probed.push_back(s); }
    void subscribe() override { ++subscriptions; }
    void tell_peers(std::string_view note) override { peer_notes.emplace_back(note); }
    void set_timer(Span duration, TimerKey key) override { timers.emplace(clock + duration, key); }
    void log(std::string_view) override {}
};

constexpr Span ms(double v) { return {static_cast<std::int64_t>(v * 1000)}; }

// Two prefill servers (0, 1) and two decode servers (2, 3), all warm; servers 0 and 2 share a cell and the
// gateway's zone.
struct RouterFixture {
    FakeHost host;
    Terms terms;
    std::unique_ptr<Rules> router;
    std::vector<Listing> list;
    QueryIndex next = 0;

    explicit RouterFixture(Effect effect = Effect::pure, Group group = Group::all) {
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
        router = std::make_unique<Rules>(terms, host, 7);
        router->list_arrived(list, true);
        return *router;
    }
    QueryIndex arrive(double prompt_tokens = 1000, std::uint64_t session = 0, Span budget = ms(5000)) {
        Arrival a;
        a.prompt_tokens = prompt_tokens;
        a.session = session;
        a.most_tokens = 200;
        a.budget = budget;
        router->query_arrived(next, a);
        return next++;
    }
    const StartedAttempt& last_attempt() const { return host.attempts.back(); }
    std::size_t attempts_sent() const { return host.attempts.size(); }
    void end_attempt(QueryIndex request, Ending ending, ServerIndex server, bool no_state = false,
                     bool request_answered = false) {
        Outcome o;
        o.ending = ending;
        o.took = ms(20);
        o.no_state = no_state;
        o.over = request_answered;
        router->attempt_ended(request, server, o);
    }
    void end_attempt(QueryIndex request, Ending ending) {
        end_attempt(request, ending, last_attempt().server);
    }
    QueryIndex prefill_one(double prompt_tokens = 1000, std::uint64_t session = 0) {
        const QueryIndex request = arrive(prompt_tokens, session);
        end_attempt(request, Ending::read);
        return request;
    }
    void complete(QueryIndex request) {
        const ServerIndex s = last_attempt().server;
        router->stream_began(request, ms(20));
        end_attempt(request, Ending::settled, s, false, true);
    }
    void report(ServerIndex s, double memory, double queued_kilotokens = -1) {
        router->probe_answered(s, true, {memory, queued_kilotokens});
    }
    void update_server(ServerIndex s, Standing standing, Instant born = {}) {
        list[s].standing = standing;
        list[s].born = born;
        router->list_arrived(std::vector<Listing>{list[s]}, false);
    }
    void advance(Span duration) {
        const Instant until = host.clock + duration;
        while (!host.timers.empty() && host.timers.begin()->first <= until) {
            const auto [at, key] = *host.timers.begin();
            host.timers.erase(host.timers.begin());
            host.clock = std::max(host.clock, at);
            router->timer_rang(key);
        }
        host.clock = until;
    }
};

}  // namespace copperfront
