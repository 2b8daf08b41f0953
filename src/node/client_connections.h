// Connections of clients: whole calls come out of them, answers and streams go in. Everything that a client
// may send, hold back or never read is bounded here; which query goes where is not of concern.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/send_guard.h"
#include "http/message.h"
#include "net/link.h"
#include "net/stream.h"

namespace copperfront {

using ClientId = std::uint64_t;

class ClientConnections {
  public:
    struct Bounds {
        std::size_t connections = 256;
        std::size_t body_bytes = 16 << 20;    // of all bodies that are being read
        std::size_t unsent_bytes = 64 << 10;  // past it a stream's source is asked to wait
        http::Bounds message;
        Span message_within{2500000};  // a call as a whole, from its first byte, or from connecting
        Span idle{5000000};            // a kept connection without an open call
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // One at a time on a connection: the next comes after the answer to this one. `waited`: how long ago
        // its last byte came, where it had to wait behind an earlier one.
        virtual void asked(ClientId client, const http::Head& head, std::string body, Span waited) = 0;
        // The connection has closed under an open call.
        virtual void left(ClientId client) = 0;
        // What had to wait for the client to read has been written.
        virtual void may_go_on(ClientId client) = 0;
        virtual SendGuard& guard() = 0;
    };

    ClientConnections(Loop& loop, const Bounds& bounds, Owner& owner);
    ~ClientConnections();

    void came(int fd);
    // A whole answer to the open call. `more`: further head lines, each with its line end.
    void answer(ClientId client, int status, std::string_view more, std::string_view body);
    // A stream of events as the answer. False: the client reads too slowly, so its source should wait for
    // may_go_on().
    void begin_stream(ClientId client);
    bool pass_on(ClientId client, std::string_view events);
    void end_stream(ClientId client);
    // Whether the client has closed its connection, also where the loop has not come to that yet.
    bool has_left(ClientId client) const;
    // The connection ends without the stream's end.
    void break_off(ClientId client);

    // From now on connections close after their answers, and idle ones at once; those that have said nothing
    // yet are waited for until close_unasked().
    void wind_up();
    void close_unasked();
    void close_all();
    std::size_t size() const { return sessions_.size(); }
    // Of all connections: what waits to be read by their clients.
    std::size_t unsent() const;

  private:
    class Session;
    friend class Session;
    Session* find(ClientId client);
    void drop(Session& session, bool polite);
    bool is_full() const;
    bool may_close(const Session& session);
    void make_room();
    void pass_over();

    Loop& loop_;
    Bounds bounds_;
    Owner& owner_;
    ClientId next_ = 1;
    std::size_t body_bytes_ = 0, pipelined_bytes_ = 0;
    bool winding_up_ = false;
    std::unordered_map<ClientId, std::unique_ptr<Session>> sessions_;
    // Without an open call, the longest so first; entries whose session has moved on are stale.
    std::deque<std::pair<ClientId, std::uint64_t>> idle_;
};

}  // namespace copperfront
