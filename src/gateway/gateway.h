// The gateway daemon: connects clients, model servers and the roster to the dispatcher, and so to the router.
// Events on the sockets become calls; actions of the dispatcher become messages. Takes no routing decisions.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "gateway/peer_notes.h"
#include "gateway/roster_client.h"
#include "gateway/rpc_client_connections.h"
#include "gateway/server_connections.h"
#include "gateway/trace_observer.h"
#include "logging/log.h"
#include "net/line_connection.h"
#include "terms/terms_file.h"

namespace copperfront {

class Gateway : private DispatcherHost,
                private RpcClientConnections::Owner,
                private ServerConnections::Owner {
  public:
    // Starts to listen; throws NetworkError or std::runtime_error if that fails.
    // `make_dispatcher` is for tests that break a rule on purpose, to check that the violation is detected.
    using MakeDispatcher =
        std::function<std::unique_ptr<Dispatcher>(const Terms&, DispatcherHost&, std::uint32_t seed)>;
    Gateway(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log,
            const MakeDispatcher& make_dispatcher = {});
    ~Gateway() override;

    Address address(std::uint32_t listener = 0) const { return listeners_.at(listener)->address(); }
    // Applies new terms, all or none: returns false, with all errors in `diagnostics`, and keeps the old
    // terms. Open requests keep the terms under which they arrived.
    bool change_terms(GatewayTerms terms, std::vector<Diagnostic>& diagnostics);
    // The same from a file; errors are logged and reported by the status call.
    bool reload(const std::string& path, const Overrides& overrides);
    // The same, but reads and checks the file on a separate thread, so that a file of thousands of routes
    // delays no answer. A reload that is requested while another is running starts when that one is done.
    void reload_in_background(const std::string& path, const Overrides& overrides);
    // Shadow evaluation: counts where other terms would decide differently; the gateway still decides by its
    // own. Returns false, with the errors in `diagnostics`, unless the other terms have the same categories,
    // kinds, client groups and zones and the terms have not changed since the start.
    bool start_shadow_evaluation(const GatewayTerms& other, std::vector<Diagnostic>& diagnostics,
                                 std::uint32_t seed);
    PeerNotes* peers() { return peers_.get(); }
    std::uint64_t generation() const { return generation_; }
    // Accepts no new requests, lets open requests end and then stops the loop. A second call abandons the
    // open requests.
    void stop();
    const Dispatcher& dispatcher() const { return *dispatcher_; }

  protected:
    // Both are hooks for tests that break a rule on purpose.
    virtual std::string rewrite_final_line(const std::string& line) { return line; }
    virtual void list_received(const std::vector<rpc::RosterEntry>& entries, bool is_snapshot, bool stale);

  private:
    struct OpenRequest {
        ClientId client = 0;
        rpc::Id id;
        rpc::GenerateRequest params;
        std::string name;  // in logs, in the trace and at servers
        double tokens = 0;
        std::string text;
        bool is_streamed = true;
    };

    Instant now() const override { return loop_.now(); }
    void schedule_wakeup(Instant at) override;
    void send_prefill(AttemptId attempt, ServerIndex to, RequestIndex query, Duration limit) override;
    void send_decode(AttemptId attempt, ServerIndex to, RequestIndex query, AttemptId state, ServerIndex from,
                     Duration limit) override;
    void cancel_attempt(AttemptId attempt, ServerIndex at) override;
    bool cancel_if_unsent(AttemptId attempt, ServerIndex) override {
        return server_connections_->cancel_if_unsent(attempt);
    }
    void release(ServerIndex at, AttemptId state) override;
    void probe(ServerIndex server) override;
    void subscribe() override;
    void notify_peers(std::string_view note) override {
        if (peers_) peers_->send(note);
    }
    void completed(RequestIndex query) override;
    void rejected(RequestIndex query, Duration retry_after, std::string_view why) override;
    void abandoned(RequestIndex query, std::string_view why) override;
    void closed(RequestIndex query) override;
    void log(std::string_view line) override;

    std::string request_received(ClientId client, const rpc::Id& id, const rpc::GenerateRequest& params,
                                 std::uint32_t listener) override;
    rpc::Json status() const override;
    rpc::Json peer_status() const;
    rpc::Json shadow_status() const;
    void client_left(ClientId client, const rpc::Id& id) override;

    void attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, double tokens,
                       const std::string& text) override;
    void token_received(AttemptId attempt, std::string_view text) override;
    void probe_ended(ServerIndex server, bool answered, const LoadReport& report) override;

    struct LoadedTerms {
        bool ok = false;
        GatewayTerms terms;
        std::vector<Diagnostic> diagnostics;
    };
    static LoadedTerms load_terms(const std::string& path, const Overrides& overrides);
    bool apply_loaded(const std::string& path, LoadedTerms loaded);
    void poll_reload();
    Terms to_core_terms(const GatewayTerms& terms);
    std::vector<RouteLimits> route_limits() const;
    std::string state_name(AttemptId attempt) const;
    rpc::AttemptRequest make_attempt_request(const OpenRequest& open_request, Duration limit) const;
    void answer(RequestIndex query, const std::string& line, const char* outcome);
    void continue_shutdown();

    Loop& loop_;
    GatewayTerms terms_;
    Log& log_;
    const std::string instance_id_;
    std::vector<OpenRequest> open_requests_;  // by request
    std::map<std::pair<ClientId, rpc::Id>, RequestIndex> request_by_id_;
    NameTable servers_, cells_;
    std::uint64_t request_count_ = 0;
    double answer_tokens_ = 0;
    std::string answer_text_;
    bool stopping_ = false, ended_ = false;
    // Categories, client groups and routes as the router indexes them. They only grow, so that an open
    // request keeps those under which it arrived.
    std::vector<Category> categories_;
    std::vector<std::string> category_names_;
    std::vector<std::uint16_t> category_index_;     // by index in the file
    NameTable groups_, routes_;                     // routes_: by RouteIndex
    std::vector<std::int32_t> client_group_index_;  // by index in the file
    std::vector<RouteIndex> route_index_;           // by position in the route table
    std::uint64_t generation_ = 1;
    Instant terms_changed_at_;
    std::string reload_error_;  // why the last reload was refused; empty if it was applied
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::unique_ptr<RpcClientConnections> client_connections_;
    std::unique_ptr<ServerConnections> server_connections_;
    std::unique_ptr<RosterClient> roster_;
    std::unique_ptr<PeerNotes> peers_;      // null: notes between peers are not allowed
    std::unique_ptr<TraceObserver> trace_;  // null: no trace is written
    std::unique_ptr<Dispatcher> dispatcher_;
    std::future<LoadedTerms> pending_reload_;
    std::string reload_path_;
    Overrides reload_overrides_;
    bool reload_again_ = false;
    Timer wakeup_timer_, stop_timer_, reload_timer_;
    Instant stop_deadline_;
};

}  // namespace copperfront
