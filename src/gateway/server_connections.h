// Connections to model servers: pooled, multiplexed, opened when needed and closed when idle. Distinguishes
// an attempt that was never sent (unreachable) from one whose connection was lost (it may have run). Takes no
// routing decisions.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "dispatch/dispatcher.h"
#include "logging/log.h"
#include "net/line_connection.h"
#include "rpc/wire.h"
#include "terms/terms_file.h"

namespace copperfront {

class ServerConnections {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, double tokens,
                                   const std::string& text) = 0;
        virtual void token_received(AttemptId attempt, std::string_view text) = 0;
        virtual void probe_ended(ServerIndex server, bool answered, const LoadReport& report) = 0;
    };

    ServerConnections(Loop& loop, const Bounds& bounds, rpc::Hello hello, Owner& owner, Log& log);
    ~ServerConnections();

    // Makes a server known; its address never changes afterwards.
    void set_address(ServerIndex server, const std::string& address);
    // The connections of a removed server stay until their attempts have ended; releases that it is still
    // owed are dropped.
    void remove_server(ServerIndex server);

    // The owner is notified when the attempt ends, but never from within these calls.
    void send(ServerIndex server, AttemptId attempt, std::string line, bool is_prefill);
    void cancel_attempt(ServerIndex server, AttemptId attempt);
    // Returns true if the attempt still waited for its connection and was never sent; the owner is then not
    // notified of its end.
    bool cancel_if_unsent(AttemptId attempt);
    void release(ServerIndex server, const std::string& state);
    void probe(ServerIndex server);

    // Applies to new connections and to the health checks of all connections.
    void set_bounds(const Bounds& bounds) { bounds_ = bounds; }
    const std::string& address(ServerIndex server) const;
    std::size_t connection_count() const;
    // Number of releases that wait for a connection; a shutdown waits for them.
    std::size_t owed_releases() const;

  private:
    class Connection;
    struct Endpoint;
    Connection& connection_for(Endpoint& endpoint);
    void drop(Connection& connection, CloseReason reason, const std::string& what);

    Loop& loop_;
    Bounds bounds_;
    const rpc::Hello hello_;
    Owner& owner_;
    Log& log_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    struct InFlight {
        Connection* connection = nullptr;
        bool is_prefill = false;
    };
    std::unordered_map<AttemptId, InFlight> in_flight_;
    AttemptId last_attempt_ = 0;
    std::int64_t next_probe_ = 1;
};

}  // namespace copperfront
