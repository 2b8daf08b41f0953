// A connection that carries one message per line, and a listener for incoming connections. The connection
// bounds its memory: neither an endless line nor a peer that never reads can exceed the configured limits.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/loop.h"
#include "net/stream.h"

struct evconnlistener;

namespace copperfront {

struct LineLimits {
    std::size_t line_bytes = 1 << 20;    // longest line that is accepted
    std::size_t unsent_bytes = 4 << 20;  // most that may be queued for a peer that does not read
};

class LineConnection : public DeferredDelete, private Stream::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // Only after dial().
        virtual void connection_opened(LineConnection&) {}
        // The view is valid only during the call, within which the owner may schedule the deletion of the
        // connection.
        virtual void line_received(LineConnection&, std::string_view line) = 0;
        // Called once, as the last call, and never from within send(). `what` is the reason in plain words.
        virtual void connection_closed(LineConnection&, CloseReason why, const std::string& what) = 0;
    };

    static std::unique_ptr<LineConnection> accepted(Loop& loop, int fd, const LineLimits& bounds,
                                                    Owner& owner);
    // Either connection_opened() or connection_closed(connect_failed) follows, never from within this call.
    static std::unique_ptr<LineConnection> dial(Loop& loop, const Address& to, const LineLimits& bounds,
                                                Owner& owner);
    ~LineConnection() override { *alive_ = false; }

    // Queues a line, given without its newline. Does nothing once the connection is closed; closes the
    // connection if the limit on unsent bytes is exceeded.
    void send(std::string_view line);
    std::size_t unsent() const;
    // Stops all calls to the owner, writes queued bytes if `flush` is set and the peer takes them within a
    // second, and closes. Takes over the deletion of the connection.
    static void detach_and_close(Loop& loop, std::unique_ptr<LineConnection> connection, bool flush);
    // Resets the connection instead of closing it in order, as a peer sees it when a process dies.
    static void reset(Loop& loop, std::unique_ptr<LineConnection> connection);
    void pause_reading(bool pause);

  private:
    LineConnection(const LineLimits& bounds, Owner& owner);
    void stream_connected(Stream&) override { owner_->connection_opened(*this); }
    void bytes_received(Stream&) override;
    void stream_closed(Stream&, CloseReason why, const std::string& what) override;
    void close(CloseReason why, const std::string& what);

    LineLimits bounds_;
    Owner* owner_;
    std::unique_ptr<Stream> stream_;
    std::size_t scanned_ = 0;
    bool closed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Listener {
  public:
    // Throws NetworkError. `on_accept` gets the descriptor of each new connection.
    Listener(Loop& loop, const Address& at, std::function<void(int fd)> on_accept);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    Address address() const;
    // Called on errors such as too many open files; accepting resumes on its own after a pause.
    std::function<void(const std::string&)> on_accept_error;

  private:
    void bind();
    void enable_accepting();

    Loop& loop_;
    const Address requested_address_;
    std::function<void(int)> on_accept_;
    evconnlistener* listener_ = nullptr;
    Timer retry_timer_;
};

}  // namespace copperfront
