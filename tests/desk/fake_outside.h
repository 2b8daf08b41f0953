// An outside that only remembers what the desk asked of it.
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
    Instant wish{INT64_MAX};
    std::vector<Sent> sent;
    std::vector<AttemptId> called_off;
    std::set<AttemptId> unsent;  // those that still wait for a connection
    std::vector<std::pair<ServerIndex, AttemptId>> released;
    std::map<QueryIndex, std::vector<std::string>> answers;
    std::vector<QueryIndex> closed_queries;
    std::size_t settled_ones = 0, probes = 0, notes = 0;

    Instant now() const override { return clock; }
    void wake_at(Instant at) override { wish = at; }
    void send_read(AttemptId l, ServerIndex to, QueryIndex q, Span) override {
        sent.push_back({l, to, q, 0, true});
    }
    void send_write(AttemptId l, ServerIndex to, QueryIndex q, AttemptId state, ServerIndex, Span) override {
        sent.push_back({l, to, q, state, false});
    }
    void call_off(AttemptId l, ServerIndex) override { called_off.push_back(l); }
    bool unsend(AttemptId l, ServerIndex) override { return unsent.count(l) > 0; }
    void release(ServerIndex at, AttemptId state) override { released.emplace_back(at, state); }
    void probe(ServerIndex) override { ++probes; }
    void subscribe() override {}
    void tell_peers(std::string_view) override { ++notes; }
    void settled(QueryIndex q) override {
        ++settled_ones;
        answers[q].push_back("settled");
    }
    void declined(QueryIndex q, Span, std::string_view) override { answers[q].push_back("declined"); }
    void given_up(QueryIndex q, std::string_view why) override {
        answers[q].push_back("given up: " + std::string(why));
    }
    void closed(QueryIndex q) override { closed_queries.push_back(q); }
    void log(std::string_view) override {}
};

}  // namespace copperfront
