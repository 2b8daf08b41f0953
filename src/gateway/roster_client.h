// Client of the roster (the service that announces the list of servers): keeps the connection open, requests
// a full snapshot when a version is missing, and stores the last list for the next start.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/server_list_store.h"
#include "logging/log.h"
#include "net/line_connection.h"
#include "rpc/wire.h"
#include "terms/terms_file.h"

namespace copperfront {

class RosterClient : public LineConnection::Owner {
  public:
    // Called for each update, in version order. `stale`: the list is the stored one of the last run, or the
    // connection to the roster is lost.
    using OnList = std::function<void(const std::vector<rpc::RosterEntry>&, bool is_snapshot, bool stale)>;

    RosterClient(Loop& loop, const GatewayTerms& terms, rpc::Hello hello, OnList on_list,
                 std::function<void()> on_list_failed, Log& log);
    ~RosterClient() override;

    // Reports the stored list of the last run and connects to the roster.
    void start();
    // Called when the router requests the list (if the terms make it request the list).
    void request_list();
    void stop();
    // Reports the current list again, as a snapshot, for a listener that was added later.
    void replay_list();
    bool is_synced() const { return synced_; }
    std::size_t size() const { return list_.size(); }

    void connection_opened(LineConnection&) override;
    void line_received(LineConnection&, std::string_view line) override;
    void connection_closed(LineConnection&, CloseReason, const std::string& what) override;

  private:
    void connect_to_roster();
    void handle_lost_connection(const std::string& why);
    void apply(const rpc::RosterUpdate& update);
    void send_watch();

    Loop& loop_;
    const std::string address_;
    const LineLimits bounds_;
    const Duration reconnect_delay_, answer_timeout_;
    const bool list_on_request_;
    const rpc::Hello hello_;
    OnList on_list_;
    std::function<void()> on_list_failed_;
    Log& log_;
    ServerListStore store_;
    std::unique_ptr<LineConnection> connection_;
    Timer reconnect_timer_, answer_timer_, store_timer_;
    bool initialized_ = false, synced_ = false, list_requested_ = false;
    std::uint64_t version_ = 0;
    std::map<std::string, rpc::RosterEntry> list_;
    std::int64_t last_watch_id_ = 0;
};

}  // namespace copperfront
