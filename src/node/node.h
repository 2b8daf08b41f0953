// The gateway on the platform: joins clients, model servers and discovery to the desk, and so to the module
// that decides. What happens on the sockets becomes a call; what the desk does becomes bytes. No decision is
// taken here.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "desk/desk.h"
#include "logging/log.h"
#include "net/link.h"
#include "node/client_connections.h"
#include "node/discovery.h"
#include "node/membership.h"
#include "node/request_log.h"
#include "node/status_log.h"
#include "node/upstream_pool.h"
#include "platform/call.h"
#include "platform/node_terms.h"

namespace copperfront {

class Node : private Outside,
             private ClientConnections::Owner,
             private UpstreamPool::Owner,
             private Membership::Owner {
  public:
    // Listens at once; throws NetTrouble where it cannot.
    Node(Loop& loop, platform::NodeTerms terms, Log& log);
    ~Node() override;

    Address address() const { return listener_->address(); }
    // Other terms, as a whole or not at all.
    void change(platform::NodeTerms terms);
    // Takes what still comes for a moment, lets what is open end, sends what it owes, and then stops the
    // loop.
    void stop();
    const Desk& desk() const { return *desk_; }
    const UpstreamPool& upstreams() const { return *upstreams_; }
    const ClientConnections& clients() const { return *clients_; }
    // Whether the list has this server now, and how many indices servers have ever taken at once.
    bool knows(const std::string& name) const { return membership_->has(name); }
    std::size_t server_indices() const { return membership_->indices(); }

  private:
    struct Open {
        ClientId client = 0;
        std::string id, method, target, body;
        std::string forwarded_fields;  // header lines that go on to the model server as they came
        bool used = false, streams = false;
        AttemptId bound = 0;  // the attempt whose stream the client gets
        struct Attempt {
            AttemptId id = 0;
            ServerIndex server = 0;
            bool prefill = false;
        };
        std::vector<Attempt> attempts;
    };

    Span held_for(const HoldLedger::ReleaseResult& result) const;
    Instant now() const override { return loop_.now(); }
    void wake_at(Instant at) override { wake_.set(at - loop_.now()); }
    void send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) override;
    void send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId state, ServerIndex from,
                    Span limit) override;
    void call_off(AttemptId attempt, ServerIndex at) override;
    bool unsend(AttemptId attempt, ServerIndex at) override;
    bool releases_are_answered() const override { return true; }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex) override {}
    void subscribe() override {}
    void settled(QueryIndex query) override;
    void declined(QueryIndex query, Span stay_away, std::string_view why) override;
    void given_up(QueryIndex query, std::string_view why) override;
    void closed(QueryIndex query) override;
    void log(std::string_view line) override;

    void asked(ClientId client, const http::Head& head, std::string body, Span waited) override;
    void left(ClientId client) override;
    void may_go_on(ClientId client) override;

    void attempt_over(AttemptId attempt, const Outcome& outcome, const std::string& what) override;
    RequestLog::Attempt described(QueryIndex query, AttemptId attempt) const;
    void events_came(AttemptId attempt, std::string_view events, std::size_t count) override;
    Denial may_write(AttemptId attempt, Span told) override;
    void answer_began(AttemptId attempt) override { desk_->answer_began(attempt); }
    void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    void release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    SendGuard& guard() override { return desk_->guard(); }
    HoldLedger& ledger() override { return desk_->ledger(); }
    SendGuard::Shutdown shutdown_facts() const;

    void servers_changed(std::span<const Listing> listings, bool whole) override;

    void send(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit, bool reading);
    Open& answered(QueryIndex query);
    void look_for_end();
    void log_status();
    RouteLimits limits() const;

    Loop& loop_;
    platform::NodeTerms terms_;
    Log& log_;
    RequestLog request_log_;
    StatusLog status_log_;
    std::size_t most_open_ = 0;
    std::vector<Open> open_;  // by query
    std::unordered_map<std::string, QueryIndex> by_id_;
    std::unordered_map<ClientId, QueryIndex> by_client_;
    std::unordered_map<AttemptId, QueryIndex> of_attempt_;  // until the query is closed
    bool stopping_ = false, ended_ = false;
    Instant stop_asked_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<ClientConnections> clients_;
    std::unique_ptr<UpstreamPool> upstreams_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<Discovery> discovery_;
    std::unique_ptr<Desk> desk_;
    Instant status_at_;
    Timer wake_, stop_timer_, status_timer_;
};

}  // namespace copperfront
