// The HTTP gateway of the platform: connects clients, model servers and discovery to the dispatcher, and so
// to the router. Socket events become calls of the dispatcher, and actions of the dispatcher become bytes. No
// routing decision is made here.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/memory_budget.h"
#include "core/recent_request_ids.h"
#include "dispatch/dispatcher.h"
#include "logging/log.h"
#include "net/line_connection.h"
#include "node/client_connections.h"
#include "node/discovery.h"
#include "node/membership.h"
#include "node/request_log.h"
#include "node/status_log.h"
#include "node/upstream_pool.h"
#include "platform/client_request.h"
#include "platform/node_terms.h"

namespace copperfront {

class Node : private DispatcherHost,
             private ClientConnections::Owner,
             private UpstreamPool::Owner,
             private Membership::Owner {
  public:
    // Listens at once; throws NetworkError if it cannot.
    // Throws platform::BadInput if the memory limit is too low for the servers and connections.
    Node(Loop& loop, platform::NodeTerms terms, Log& log);
    ~Node() override;

    Address address() const { return listener_->address(); }
    // Replaces the settings, all of them or none.
    void change(platform::NodeTerms terms);
    // Starts a graceful shutdown: accepts new requests for a short time, completes the open ones, sends the
    // releases that are owed, and then stops the loop.
    void stop();
    // Takes the resident memory of this process into account from now on, and has the allocator return what
    // is free. For a process that runs nothing but this gateway.
    void watch_process_memory() { check_process_memory(); }
    const MemoryBudget& memory() const { return *budget_; }
    const Dispatcher& dispatcher() const { return *dispatcher_; }
    const UpstreamPool& upstreams() const { return *upstreams_; }
    const ClientConnections& clients() const { return *clients_; }
    // Whether this server is in the present list.
    bool has_server(const std::string& name) const { return membership_->has(name); }
    // The number of server indices that were ever in use at once.
    std::size_t server_indices() const { return membership_->indices(); }

  private:
    struct OpenRequest {
        ClientId client = 0;
        std::string id, method, target;
        std::shared_ptr<const std::string> body;  // shared with the attempts that are being written
        MemoryCharge memory;                      // of the body and the header fields
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

    Duration held_for(const HoldLedger::ReleaseResult& result) const;
    Instant now() const override { return loop_.now(); }
    void schedule_wakeup(Instant at) override { wake_timer_.set(at - loop_.now()); }
    void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit) override;
    void send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId state,
                     ServerIndex from, Duration limit) override;
    void cancel_attempt(AttemptId attempt, ServerIndex at) override;
    bool cancel_if_unsent(AttemptId attempt, ServerIndex at) override;
    bool confirms_releases() const override { return true; }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex) override {}
    void subscribe() override {}
    void completed(RequestIndex request) override;
    void rejected(RequestIndex request, Duration retry_after, std::string_view why) override;
    void abandoned(RequestIndex request, std::string_view why) override;
    void closed(RequestIndex request) override;
    void log(std::string_view line) override;

    void request_received(ClientId client, const http::Head& head, std::string body,
                          Duration waited) override;
    void client_disconnected(ClientId client) override;
    void write_buffer_drained(ClientId client) override;

    void attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, const std::string& what) override;
    RequestLog::Attempt describe(RequestIndex request, AttemptId attempt) const;
    void events_received(AttemptId attempt, std::string_view events, std::size_t count) override;
    Denial may_write(AttemptId attempt, Duration remaining) override;
    void attempt_is_written(AttemptId attempt) override;
    void stream_progressed(AttemptId attempt) override { dispatcher_->stream_progressed(attempt); }
    void answer_began(AttemptId attempt) override { dispatcher_->answer_began(attempt); }
    void release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    void release_abandoned(const std::string& id, const HoldLedger::ReleaseResult& result) override;
    SendGuard& guard() override { return dispatcher_->guard(); }
    HoldLedger& ledger() override { return dispatcher_->ledger(); }
    SendGuard::Shutdown shutdown_facts() const;

    void servers_changed(std::span<const ServerListing> listings, bool is_snapshot) override;

    void send(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit, bool prefill);
    OpenRequest& mark_answered(RequestIndex request);
    static void free_message(OpenRequest& open);
    void reset(RequestIndex request);
    void poll_shutdown();
    void check_process_memory();
    void log_status();
    RouteLimits limits() const;

    Loop& loop_;
    platform::NodeTerms terms_;
    Log& log_;
    RequestLog request_log_;
    StatusLog status_log_;
    std::unique_ptr<MemoryBudget> budget_;
    std::size_t max_open_requests_ = 0;
    std::vector<OpenRequest> open_requests_;  // by request index
    std::unordered_map<std::string, RequestIndex> request_of_id_;
    RecentRequestIds recent_ids_;
    std::unordered_map<ClientId, RequestIndex> request_of_client_;
    std::unordered_map<AttemptId, RequestIndex> request_of_attempt_;  // until the request is closed
    bool stopping_ = false, stopped_ = false;
    Instant stop_requested_at_;
    std::unique_ptr<Listener> listener_;
    std::unique_ptr<ClientConnections> clients_;
    std::unique_ptr<UpstreamPool> upstreams_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<Discovery> discovery_;
    std::unique_ptr<Dispatcher> dispatcher_;
    Instant last_status_at_, next_trim_at_;
    std::uint64_t refused_for_memory_ = 0;
    Timer wake_timer_, stop_timer_, status_timer_, memory_timer_;
};

}  // namespace copperfront
