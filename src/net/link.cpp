#include "net/link.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

namespace copperfront {
namespace {

constexpr int kBacklog = 1024;
constexpr int kMostBinds = 50;
constexpr std::chrono::milliseconds kBindAgain{100};

// What the system may lack for a moment.
bool is_shortage(int error) {
    return error == ENOMEM || error == ENOBUFS || error == EMFILE || error == ENFILE || error == EINTR;
}

constexpr Span kAcceptAgain{20000};  // after too many open files

}  // namespace

Link::Link(const LinkBounds& bounds, Owner& owner) : bounds_(bounds), owner_(&owner) {}

std::unique_ptr<Link> Link::accepted(Loop& loop, int fd, const LinkBounds& bounds, Owner& owner) {
    std::unique_ptr<Link> link(new Link(bounds, owner));
    link->stream_ = Stream::accepted(loop, fd, {bounds.unsent_bytes, 0}, *link);
    return link;
}

std::unique_ptr<Link> Link::dial(Loop& loop, const Address& to, const LinkBounds& bounds, Owner& owner) {
    std::unique_ptr<Link> link(new Link(bounds, owner));
    link->stream_ = Stream::dial(loop, to, {bounds.unsent_bytes, 0}, *link);
    return link;
}

void Link::send(std::string_view line) {
    if (closed_ || !owner_) return;
    std::string whole;
    whole.reserve(line.size() + 1);
    whole.append(line).push_back('\n');
    stream_->send(whole);
}

std::size_t Link::unsent() const { return stream_->unsent(); }

void Link::pause_reading(bool pause) { stream_->pause_reading(pause); }

void Link::hand_off(Loop& loop, std::unique_ptr<Link> link, bool flush) {
    if (!link) return;
    link->owner_ = nullptr;
    Stream::hand_off(loop, std::move(link->stream_), flush && !link->closed_);
    loop.bury(std::move(link));
}

void Link::reset(Loop& loop, std::unique_ptr<Link> link) {
    if (!link) return;
    link->owner_ = nullptr;
    Stream::reset(loop, std::move(link->stream_));
    loop.bury(std::move(link));
}

void Link::bytes_came(Stream& stream) {
    const auto alive = alive_;
    while (*alive && owner_ && !closed_) {
        const std::size_t held = stream.held();
        if (scanned_ >= held) break;
        const std::ptrdiff_t end = stream.find('\n', scanned_);
        if (end < 0) {
            // What has been looked at once is not looked at again: a long line must cost its length, not its
            // square.
            scanned_ = held;
            if (held > bounds_.line_bytes)
                close(Closing::line_too_long,
                      "a line is longer than " + std::to_string(bounds_.line_bytes) + " bytes");
            break;
        }
        const auto length = static_cast<std::size_t>(end);
        if (length > bounds_.line_bytes) {
            close(Closing::line_too_long,
                  "a line is longer than " + std::to_string(bounds_.line_bytes) + " bytes");
            break;
        }
        std::string_view line = stream.pull(length + 1).substr(0, length);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        scanned_ = 0;
        if (line.find_first_not_of(" \t") != std::string_view::npos) owner_->line_came(*this, line);
        // A link that is handed off within the call has given its stream away, which is not gone yet.
        if (*alive && stream_) stream.drain(length + 1);
    }
}

void Link::stream_closed(Stream&, Closing why, const std::string& what) { close(why, what); }

void Link::close(Closing why, const std::string& what) {
    if (closed_ || !owner_) return;
    closed_ = true;
    stream_->pause_reading(true);
    owner_->link_closed(*this, why, what);
}

Listener::Listener(Loop& loop, const Address& at, std::function<void(int fd)> came)
    : loop_(loop), asked_(at), came_(std::move(came)), again_(loop, [this] { accept_connections(); }) {
    bind();
    // Against a process that does not start because the system lacked memory or descriptors for a moment.
    for (int tries = 1; !listener_ && is_shortage(errno) && tries < kMostBinds; ++tries) {
        std::this_thread::sleep_for(kBindAgain);
        bind();
    }
    if (!listener_) throw NetTrouble("cannot listen on " + at.text() + ": " + std::strerror(errno));
    accept_connections();
    evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* self) {
        // Too many open files, for the most part. Accepting at once again would only spin.
        Listener& mine = *static_cast<Listener*>(self);
        const std::string what = std::strerror(EVUTIL_SOCKET_ERROR());
        const Loop::Event event(mine.loop_, "accept");
        evconnlistener_disable(mine.listener_);
        mine.again_.set(kAcceptAgain);
        if (mine.on_trouble) mine.on_trouble(what);
    });
}

// Against a listener that is never watched, as the system had no room for it.
void Listener::accept_connections() {
    if (evconnlistener_enable(listener_) != 0) again_.set(kAcceptAgain);
}

void Listener::bind() {
    sockaddr_storage raw{};
    const int length = asked_.fill(&raw);
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, int fd, sockaddr*, int, void* self) {
            Listener& mine = *static_cast<Listener*>(self);
            const Loop::Event event(mine.loop_, "accept");
            mine.came_(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, kBacklog,
        reinterpret_cast<sockaddr*>(&raw), length);
}

Listener::~Listener() {
    if (listener_) evconnlistener_free(listener_);
}

Address Listener::address() const {
    sockaddr_storage raw{};
    socklen_t length = sizeof raw;
    if (getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&raw), &length) != 0)
        return asked_;
    return Address::of(reinterpret_cast<sockaddr*>(&raw));
}

}  // namespace copperfront
