// A host that only records what it was asked to do, and a small fleet for scenarios.
#pragma once

#include <algorithm>
#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/router.h"

namespace copperfront {

struct StartedAttempt {
    RequestIndex request;
    ServerIndex server;
    Duration limit;
    Duration write_within;
};

class FakeHost : public Host {
  public:
    Instant clock{1'000'000'000};
    std::vector<StartedAttempt> attempts;
    std::vector<RequestIndex> cancelled, rejected, abandoned, released;
    std::vector<ServerIndex> probed;
    std::vector<std::string> peer_notes;
    std::multimap<Instant, TimerKey> timers;
    Duration retry_after;
    int subscriptions = 0;
    bool retry_budget_spent = false;

    Instant now() const override { return clock; }
    void start_attempt(RequestIndex request, ServerIndex s, const AttemptLimits& limits) override {
        attempts.push_back({request, s, limits.answer, limits.write});
    }
    void cancel_attempt(RequestIndex request, std::uint32_t) override { cancelled.push_back(request); }
    void reject(RequestIndex request, Duration duration) override {
        rejected.push_back(request);
        retry_after = duration;
    }
    void abandon(RequestIndex request) override { abandoned.push_back(request); }
    void release(RequestIndex request) override { released.push_back(request); }
    bool may_attempt_again(RequestIndex, Ending) override { return !retry_budget_spent; }
    void probe(ServerIndex s) override { probed.push_back(s); }
    void subscribe() override { ++subscriptions; }
    void notify_peers(std::string_view note) override { peer_notes.emplace_back(note); }
    void set_timer(Duration duration, TimerKey key) override { timers.emplace(clock + duration, key); }
    void log(std::string_view) override {}
};

constexpr Duration ms(double v) { return {static_cast<std::int64_t>(v * 1000)}; }

// Two prefill servers (0, 1) and two decode servers (2, 3), all warm; servers 0 and 2 share a cell and the
// gateway's zone.
struct RouterFixture {
    FakeHost host;
    Terms terms;
    std::unique_ptr<Router> router;
    std::vector<ServerListing> list;
    RequestIndex next = 0;

    explicit RouterFixture(Effect effect = Effect::pure, DedupScope group = DedupScope::all) {
        Category c;
        c.effect = effect;
        c.group = group;
        c.window = ms(5000);
        c.latency_goal = ms(1000);
        c.token_gap = ms(50);
        terms.categories = {c};
        terms.kinds = {{Role::prefill, 200000}, {Role::decode, 100000}, {Role::mixed, 100000}};
        terms.cancel = true;
        terms.max_attempts = 6;
        terms.max_retry_after = ms(1000);
        terms.quantum = ms(4);
        terms.release_within = ms(1000);
        terms.start_capacity = 0.25;
        terms.overload_multiple = 2.5;
        terms.overload_window = ms(2000);
        terms.warm_up_time = ms(10000);
        list = {{0, 0, 0, 0, {}, ServerStatus::ready},
                {1, 0, 1, 1, {}, ServerStatus::ready},
                {2, 1, 0, 0, {}, ServerStatus::ready},
                {3, 1, 1, 1, {}, ServerStatus::ready}};
    }
    Router& start() {
        router = std::make_unique<Router>(terms, host, 7);
        router->list_arrived(list, true);
        return *router;
    }
    RequestIndex arrive(double prompt_tokens = 1000, std::uint64_t session = 0, Duration budget = ms(5000)) {
        RequestInfo a;
        a.prompt_tokens = prompt_tokens;
        a.session = session;
        a.max_output_tokens = 200;
        a.time_budget = budget;
        router->request_arrived(next, a);
        return next++;
    }
    const StartedAttempt& last_attempt() const { return host.attempts.back(); }
    std::size_t attempts_sent() const { return host.attempts.size(); }
    void end_attempt(RequestIndex request, Ending ending, ServerIndex server, bool state_missing = false,
                     bool request_answered = false) {
        AttemptOutcome o;
        o.ending = ending;
        o.duration = ms(20);
        o.state_missing = state_missing;
        o.request_answered = request_answered;
        router->attempt_ended(request, server, o);
    }
    void end_attempt(RequestIndex request, Ending ending) {
        end_attempt(request, ending, last_attempt().server);
    }
    RequestIndex prefill_one(double prompt_tokens = 1000, std::uint64_t session = 0) {
        const RequestIndex request = arrive(prompt_tokens, session);
        end_attempt(request, Ending::prefilled);
        return request;
    }
    void complete(RequestIndex request) {
        const ServerIndex s = last_attempt().server;
        router->stream_began(request, ms(20));
        end_attempt(request, Ending::completed, s, false, true);
    }
    void report(ServerIndex s, double memory, double queued_kilotokens = -1) {
        router->probe_answered(s, true, {memory, queued_kilotokens});
    }
    void update_server(ServerIndex s, ServerStatus status, Instant started_at = {}) {
        list[s].status = status;
        list[s].started_at = started_at;
        router->list_arrived(std::vector<ServerListing>{list[s]}, false);
    }
    void advance(Duration duration) {
        const Instant until = host.clock + duration;
        while (!host.timers.empty() && host.timers.begin()->first <= until) {
            const auto [at, key] = *host.timers.begin();
            host.timers.erase(host.timers.begin());
            host.clock = std::max(host.clock, at);
            router->timer_fired(key);
        }
        host.clock = until;
    }
};

}  // namespace copperfront
