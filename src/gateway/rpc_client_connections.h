// JSON-RPC connections of clients: their requests, and the one final answer that each accepted request gets.
// A client that disconnects or violates the protocol does not affect other clients.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "logging/log.h"
#include "net/line_connection.h"
#include "rpc/wire.h"
#include "terms/terms_file.h"

namespace copperfront {

using ClientId = std::uint64_t;  // id of a client connection; never reused

class RpcClientConnections {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // Returns an empty string if the request is accepted; it then gets one final answer under this id.
        // Otherwise returns the reason for the refusal.
        virtual std::string request_received(ClientId client, const rpc::Id& id,
                                             const rpc::GenerateRequest& params, std::uint32_t listener) = 0;
        // Answer of the status call.
        virtual rpc::Json status() const = 0;
        // The client cancelled the request or its connection closed; no answer is due any more.
        virtual void client_left(ClientId client, const rpc::Id& id) = 0;
    };

    RpcClientConnections(Loop& loop, const Bounds& bounds, std::string gateway_name, Owner& owner, Log& log);
    ~RpcClientConnections();

    // `listener`: index of the listener that accepted the connection.
    void add_connection(int fd, std::uint32_t listener);
    // Applies from now on; open connections beyond a lower client limit are not closed.
    void set_bounds(const Bounds& bounds) { bounds_ = bounds; }
    // Tokens and final answers for an accepted request. Ignored if the client has disconnected.
    void tokens(ClientId client, const rpc::Id& id, std::string_view text);
    void answer(ClientId client, const rpc::Id& id, const std::string& line);
    // Closes all connections after their last lines are sent.
    void close_all();
    std::size_t size() const { return connections_.size(); }

  private:
    class Connection;
    void drop(Connection& connection, const std::string& why);

    Loop& loop_;
    Bounds bounds_;
    const std::string gateway_name_;
    Owner& owner_;
    Log& log_;
    ClientId next_id_ = 1;
    std::unordered_map<ClientId, std::unique_ptr<Connection>> connections_;
};

}  // namespace copperfront
