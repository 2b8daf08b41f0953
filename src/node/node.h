// The HTTP gateway of the platform: connects clients, model servers and discovery to the dispatcher, and so
// to the router. Socket events become calls of the dispatcher, and actions of the dispatcher become bytes. No
// routing decision is made here.
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
    // Listens at once; throws NetTrouble if it cannot.
    Node(Loop& loop, platform::NodeTerms terms, Log& log);
    ~Node() override;

    Address address() const { return listener_->address(); }
    // Replaces the terms, as a whole or not at all.
    void change(platform::NodeTerms terms);
    // Starts a graceful shutdown: accepts new requests for a short time, completes the open ones, sends the
    // releases that are owed, and then stops the loop.
    void stop();
    const Desk& desk() const { return *dispatcher_; }
    const UpstreamPool& upstreams() const { return *upstreams_; }
    const ClientConnections& clients() const { return *clients_; }
    // Whether this server is in the present list.
    bool knows(const std::string& name) const { return membership_->has(name); }
    // The number of server indices that were ever in use at once.
    std::size_t server_indices() const { return membership_->indices(); }

  private:
    struct OpenRequest {
        ClientId client = 0;
        std::string id, method, target, body;
        std::string forwarded_fields;  // header lines that are forwarded to the model server unchanged
        bool used = false, streaming = false;
        AttemptId streaming_attempt = 0;  // the attempt whose stream is sent to the client
        struct Attempt {
            AttemptId id = 0;
            ServerIndex server = 0;
            bool prefill = false;
        };
        std::vector<Attempt> attempts;
    };

    Span held_for(const HoldLedger::ReleaseResult& result) const;
    Instant now() const override { return loop_.now(); }
    void wake_at(Instant at) override { wake_timer_.set(at - loop_.now()); }
    void send_read(AttemptId attempt, ServerIndex to, QueryIndex request, Span limit) override;
    void send_write(AttemptId attempt, ServerIndex to, QueryIndex request, AttemptId state, ServerIndex from,
                    Span limit) override;
    void call_off(AttemptId attempt, ServerIndex at) override;
    bool unsend(AttemptId attempt, ServerIndex at) override;
    bool releases_are_answered() const override { return true; }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex) override {}
    void subscribe() override {}
    void settled(QueryIndex request) override;
    void declined(QueryIndex request, Span retry_after, std::string_view why) override;
    void given_up(QueryIndex request, std::string_view why) override;
    void closed(QueryIndex request) override;
    void log(std::string_view line) override;

    void request_received(ClientId client, const http::Head& head, std::string body, Span waited) override;
    void client_disconnected(ClientId client) override;
    void write_buffer_drained(ClientId client) override;

    void attempt_over(AttemptId attempt, const Outcome& outcome, const std::string& what) override;
    RequestLog::Attempt describe(QueryIndex request, AttemptId attempt) const;
    void events_came(AttemptId attempt, std::string_view events, std::size_t count) override;
    Denial may_write(AttemptId attempt, Span remaining) override;
    void answer_began(AttemptId attempt) override { dispatcher_->answer_began(attempt); }
    void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    void release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    SendGuard& guard() override { return dispatcher_->guard(); }
    HoldLedger& ledger() override { return dispatcher_->ledger(); }
    SendGuard::Shutdown shutdown_facts() const;

    void servers_changed(std::span<const Listing> listings, bool whole) override;

    void send(AttemptId attempt, ServerIndex to, QueryIndex request, Span limit, bool prefill);
    OpenRequest& mark_answered(QueryIndex request);
    void poll_shutdown();
    void log_status();
    RouteLimits limits() const;

    Loop& loop_;
    platform::NodeTerms terms_;
    Log& log_;
    RequestLog request_log_;
    StatusLog status_log_;
    std::size_t max_open_requests_ = 0;
    std::vector<OpenRequest> open_requests_;  // by request index
    std::unordered_map<std::string, QueryIndex> request_of_id_;
    std::unordered_map<ClientId, QueryIndex> request_of_client_;
    std::unordered_map<AttemptId, QueryIndex> request_of_attempt_;  // until the request is closed
    bool stopping_ = false, stopped_ = false;
    Instant stop_requested_at_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<ClientConnections> clients_;
    std::unique_ptr<UpstreamPool> upstreams_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<Discovery> discovery_;
    std::unique_ptr<Desk> dispatcher_;
    Instant last_status_at_;
    Timer wake_timer_, stop_timer_, status_timer_;
};

}  // namespace copperfront
