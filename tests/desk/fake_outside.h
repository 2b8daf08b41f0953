// A fake host that only records the actions of the dispatcher.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "desk/desk.h"

namespace copperfront {

struct Sent {
    AttemptId attempt;
    ServerIndex to;
    QueryIndex query;
    AttemptId state;
    bool reading;
};

struct FakeOutside : Outside {
    Instant clock{1'000'000'000};
    Instant next_wakeup{INT64_MAX};
    std::vector<Sent> sent;
    std::vector<AttemptId> cancelled;
    std::set<AttemptId> waiting_for_connection;  // attempts that have not been sent yet
    std::vector<std::pair<ServerIndex, AttemptId>> released;
    std::map<QueryIndex, std::vector<std::string>> answers;
    std::vector<QueryIndex> closed_queries;
    std::size_t settled_ones = 0, probes = 0, notes = 0;

    Instant now() const override { return clock; }
    void wake_at(Instant at) override { next_wakeup = at; }
    void send_read(AttemptId attempt, ServerIndex to, QueryIndex request, Span) override {
        sent.push_back({attempt, to, request, 0, true});
    }
    void send_write(AttemptId attempt, ServerIndex to, QueryIndex request, AttemptId state, ServerIndex,
                    Span) override {
        sent.push_back({attempt, to, request, state, false});
    }
    void call_off(AttemptId attempt, ServerIndex) override { cancelled.push_back(attempt); }
    bool unsend(AttemptId attempt, ServerIndex) override { return waiting_for_connection.count(attempt) > 0; }
    void release(ServerIndex at, AttemptId state) override { released.emplace_back(at, state); }
    void probe(ServerIndex) override { ++probes; }
    void subscribe() override {}
    void tell_peers(std::string_view) override { ++notes; }
    void settled(QueryIndex request) override {
        ++settled_ones;
        answers[request].push_back("completed");
    }
    void declined(QueryIndex request, Span, std::string_view) override {
        answers[request].push_back("rejected");
    }
    void given_up(QueryIndex request, std::string_view why) override {
        answers[request].push_back("abandoned: " + std::string(why));
    }
    void closed(QueryIndex request) override { closed_queries.push_back(request); }
    void log(std::string_view) override {}
};

}  // namespace copperfront
