// A fake host that only records the actions of the dispatcher.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"

namespace copperfront {

struct Sent {
    AttemptId attempt;
    ServerIndex to;
    RequestIndex request;
    AttemptId state;
    bool is_prefill;
};

struct FakeDispatcherHost : DispatcherHost {
    Instant clock{1'000'000'000};
    Instant next_wakeup{INT64_MAX};
    std::vector<Sent> sent;
    std::vector<AttemptId> cancelled;
    std::set<AttemptId> waiting_for_connection;  // attempts that have not been sent yet
    std::vector<std::pair<ServerIndex, AttemptId>> released;
    std::map<RequestIndex, std::vector<std::string>> answers;
    std::vector<RequestIndex> closed_requests;
    std::size_t completed_count = 0, probes = 0, notes = 0;

    Instant now() const override { return clock; }
    void schedule_wakeup(Instant at) override { next_wakeup = at; }
    void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration) override {
        sent.push_back({attempt, to, request, 0, true});
    }
    void send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId state, ServerIndex,
                     Duration) override {
        sent.push_back({attempt, to, request, state, false});
    }
    void cancel_attempt(AttemptId attempt, ServerIndex) override { cancelled.push_back(attempt); }
    bool cancel_if_unsent(AttemptId attempt, ServerIndex) override {
        return waiting_for_connection.count(attempt) > 0;
    }
    void release(ServerIndex at, AttemptId state) override { released.emplace_back(at, state); }
    void probe(ServerIndex) override { ++probes; }
    void subscribe() override {}
    void notify_peers(std::string_view) override { ++notes; }
    void completed(RequestIndex request) override {
        ++completed_count;
        answers[request].push_back("completed");
    }
    void rejected(RequestIndex request, Duration, std::string_view) override {
        answers[request].push_back("rejected");
    }
    void abandoned(RequestIndex request, std::string_view why) override {
        answers[request].push_back("abandoned: " + std::string(why));
    }
    void closed(RequestIndex request) override { closed_requests.push_back(request); }
    void log(std::string_view) override {}
};

}  // namespace copperfront
