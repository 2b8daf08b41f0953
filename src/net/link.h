// A connection that carries one message a line, and the listener that takes such connections in. Bounds are
// kept here: a line that never ends and a peer that never reads cost no more than was allowed.
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

struct LinkBounds {
    std::size_t line_bytes = 1 << 20;    // longest line that is taken
    std::size_t unsent_bytes = 4 << 20;  // most that may wait for a peer that does not read
};

class Link : public Buried, private Stream::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // After a dial only.
        virtual void link_made(Link&) {}
        // The view is gone after the call. The owner may bury the link within it.
        virtual void line_came(Link&, std::string_view line) = 0;
        // Once, and nothing after it. `what` is a plain reason. Never from within send().
        virtual void link_closed(Link&, Closing why, const std::string& what) = 0;
    };

    static std::unique_ptr<Link> accepted(Loop& loop, int fd, const LinkBounds& bounds, Owner& owner);
    // link_made or link_closed (not_made) follows, never from within this call.
    static std::unique_ptr<Link> dial(Loop& loop, const Address& to, const LinkBounds& bounds, Owner& owner);
    ~Link() override { *alive_ = false; }

    // Queues a line without its newline. Nothing is sent once the link has been closed; where the bound on
    // what is unsent is passed, the link closes.
    void send(std::string_view line);
    std::size_t unsent() const;
    // Stops all calls to the owner, writes out what is queued if `flush` and the peer takes it within a
    // second, and closes. The link may be buried at once with hand_off().
    static void hand_off(Loop& loop, std::unique_ptr<Link> link, bool flush);
    // Resets the connection (no orderly end): what a peer sees when a process dies.
    static void reset(Loop& loop, std::unique_ptr<Link> link);
    void pause_reading(bool pause);

  private:
    Link(const LinkBounds& bounds, Owner& owner);
    void stream_made(Stream&) override { owner_->link_made(*this); }
    void bytes_came(Stream&) override;
    void stream_closed(Stream&, Closing why, const std::string& what) override;
    void close(Closing why, const std::string& what);

    LinkBounds bounds_;
    Owner* owner_;
    std::unique_ptr<Stream> stream_;
    std::size_t scanned_ = 0;
    bool closed_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class Listener {
  public:
    // Throws NetTrouble. `came` gets the descriptor of each new connection.
    Listener(Loop& loop, const Address& at, std::function<void(int fd)> came);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    Address address() const;
    // Told of troubles such as too many open files; accepting goes on by itself after a pause.
    std::function<void(const std::string&)> on_trouble;

  private:
    void bind();
    void accept_connections();

    Loop& loop_;
    const Address asked_;
    std::function<void(int)> came_;
    evconnlistener* listener_ = nullptr;
    Timer again_;
};

}  // namespace copperfront
