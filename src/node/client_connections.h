// HTTP connections of clients: reads complete requests, and writes responses and event streams. Bounds
// everything that a client may send, withhold or leave unread. Routing is not done here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/memory_budget.h"
#include "core/send_guard.h"
#include "http/message.h"
#include "net/line_connection.h"
#include "net/stream.h"

namespace copperfront {

using ClientId = std::uint64_t;

class ClientConnections {
  public:
    struct Bounds {
        std::size_t connections = 256;
        std::size_t unsent_bytes = 64 << 10;  // beyond it the source of a stream is always asked to pause
        http::Bounds message;
        Duration request_timeout{2500000};  // for a complete request, from its first byte or from connecting
        Duration idle_timeout{5000000};     // of a keep-alive connection without an open request
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // One request at a time for each connection: the next one follows the response to this one. `waited`:
        // time since its last byte arrived, not zero where it was pipelined behind an earlier request.
        virtual void request_received(ClientId client, const http::Head& head, std::string body,
                                      Duration waited) = 0;
        // The connection closed while a request was open.
        virtual void client_disconnected(ClientId client) = 0;
        // The data that the client was slow to read has been written.
        virtual void write_buffer_drained(ClientId client) = 0;
        virtual SendGuard& guard() = 0;
    };

    ClientConnections(Loop& loop, const Bounds& bounds, MemoryBudget& budget, Owner& owner);
    ~ClientConnections();

    void accept(int fd);
    // Sends a complete response to the open request. `extra_headers`: header lines, each with its line end.
    void answer(ClientId client, int status, std::string_view extra_headers, std::string_view body);
    // Starts a response that is a stream of events.
    void begin_stream(ClientId client);
    // Returns false if the client reads too slowly; the source should then wait for write_buffer_drained().
    bool send_events(ClientId client, std::string_view events);
    void end_stream(ClientId client);
    // Whether the client has closed its connection, even if the loop has not processed the close yet.
    bool has_disconnected(ClientId client) const;
    // Closes the connection without the final chunk of the stream.
    void abort_response(ClientId client);

    // From now on connections are closed after their responses, and idle ones at once. Connections that have
    // not sent a request yet stay open until close_idle().
    void start_draining();
    void close_idle();
    void close_all();
    std::size_t size() const { return sessions_.size(); }
    // Bytes of all connections that wait to be read by their clients.
    std::size_t unsent() const;
    // Connections that were refused, or whose input was discarded, for lack of memory.
    std::uint64_t inputs_given_up() const { return inputs_given_up_; }

  private:
    class Session;
    friend class Session;
    Session* find(ClientId client);
    void drop(Session& session, bool graceful);
    bool is_full() const;
    bool may_close(const Session& session);
    void make_room();
    void reclaim_input();
    void drop_stale_entries();

    Loop& loop_;
    Bounds bounds_;
    MemoryBudget& budget_;
    Owner& owner_;
    ClientId next_id_ = 1;
    std::size_t streams_ = 0;            // responses that are streams and have not ended
    std::uint64_t inputs_given_up_ = 0;  // of connections, for lack of memory
    bool draining_ = false;
    std::unordered_map<ClientId, std::unique_ptr<Session>> sessions_;
    // Sessions without an open request, including those that are receiving one, with their generation, in
    // order of idle time, longest first. An entry is stale if the generation of its session has changed.
    std::deque<std::pair<ClientId, std::uint64_t>> without_request_;
};

}  // namespace copperfront
