#include "net/line_connection.h"

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
constexpr int kMaxBindAttempts = 50;
constexpr std::chrono::milliseconds kBindRetryDelay{100};

// Errors for resources that the system may lack temporarily.
bool is_resource_shortage(int error) {
    return error == ENOMEM || error == ENOBUFS || error == EMFILE || error == ENFILE || error == EINTR;
}

constexpr Duration kAcceptRetryDelay{20000};  // after an accept error such as too many open files

}  // namespace

LineConnection::LineConnection(const LineLimits& bounds, Owner& owner) : bounds_(bounds), owner_(&owner) {}

std::unique_ptr<LineConnection> LineConnection::accepted(Loop& loop, int fd, const LineLimits& bounds,
                                                         Owner& owner) {
    std::unique_ptr<LineConnection> connection(new LineConnection(bounds, owner));
    connection->stream_ = Stream::accepted(loop, fd, {bounds.unsent_bytes, 0}, *connection);
    return connection;
}

std::unique_ptr<LineConnection> LineConnection::dial(Loop& loop, const Address& to, const LineLimits& bounds,
                                                     Owner& owner) {
    std::unique_ptr<LineConnection> connection(new LineConnection(bounds, owner));
    connection->stream_ = Stream::dial(loop, to, {bounds.unsent_bytes, 0}, *connection);
    return connection;
}

void LineConnection::send(std::string_view line) {
    if (closed_ || !owner_) return;
    std::string message;
    message.reserve(line.size() + 1);
    message.append(line).push_back('\n');
    stream_->send(message);
}

std::size_t LineConnection::unsent() const { return stream_->unsent(); }

void LineConnection::pause_reading(bool pause) { stream_->pause_reading(pause); }

void LineConnection::detach_and_close(Loop& loop, std::unique_ptr<LineConnection> connection, bool flush) {
    if (!connection) return;
    connection->owner_ = nullptr;
    Stream::detach_and_close(loop, std::move(connection->stream_), flush && !connection->closed_);
    loop.delete_later(std::move(connection));
}

void LineConnection::reset(Loop& loop, std::unique_ptr<LineConnection> connection) {
    if (!connection) return;
    connection->owner_ = nullptr;
    Stream::reset(loop, std::move(connection->stream_));
    loop.delete_later(std::move(connection));
}

void LineConnection::bytes_received(Stream& stream) {
    const auto alive = alive_;
    while (*alive && owner_ && !closed_) {
        const std::size_t buffered = stream.buffered();
        if (scanned_ >= buffered) break;
        const std::ptrdiff_t end = stream.find('\n', scanned_);
        if (end < 0) {
            // Bytes already scanned are not scanned again, so that a long line takes linear, not quadratic,
            // time.
            scanned_ = buffered;
            if (buffered > bounds_.line_bytes)
                close(CloseReason::line_too_long,
                      "a line is longer than " + std::to_string(bounds_.line_bytes) + " bytes");
            break;
        }
        const auto length = static_cast<std::size_t>(end);
        if (length > bounds_.line_bytes) {
            close(CloseReason::line_too_long,
                  "a line is longer than " + std::to_string(bounds_.line_bytes) + " bytes");
            break;
        }
        std::string_view line = stream.contiguous(length + 1).substr(0, length);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        scanned_ = 0;
        if (line.find_first_not_of(" \t") != std::string_view::npos) owner_->line_received(*this, line);
        // If the owner detached the connection within the call, the stream is owned elsewhere by now.
        if (*alive && stream_) stream.drain(length + 1);
    }
}

void LineConnection::stream_closed(Stream&, CloseReason why, const std::string& what) { close(why, what); }

void LineConnection::close(CloseReason why, const std::string& what) {
    if (closed_ || !owner_) return;
    closed_ = true;
    stream_->pause_reading(true);
    owner_->connection_closed(*this, why, what);
}

Listener::Listener(Loop& loop, const Address& at, std::function<void(int fd)> on_accept)
    : loop_(loop),
      requested_address_(at),
      on_accept_(std::move(on_accept)),
      retry_timer_(loop, [this] { enable_accepting(); }) {
    bind();
    // Retries, so that a temporary lack of memory or descriptors doesn't keep the process from starting.
    for (int attempts = 1; !listener_ && is_resource_shortage(errno) && attempts < kMaxBindAttempts;
         ++attempts) {
        std::this_thread::sleep_for(kBindRetryDelay);
        bind();
    }
    if (!listener_) throw NetworkError("cannot listen on " + at.text() + ": " + std::strerror(errno));
    enable_accepting();
    evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* self) {
        // Usually too many open files. Accepting again immediately would busy-loop.
        Listener& listener = *static_cast<Listener*>(self);
        const std::string what = std::strerror(EVUTIL_SOCKET_ERROR());
        const Loop::Event event(listener.loop_, "accept");
        evconnlistener_disable(listener.listener_);
        listener.retry_timer_.set(kAcceptRetryDelay);
        if (listener.on_accept_error) listener.on_accept_error(what);
    });
}

// Retries if the listener could not be registered for lack of system resources; otherwise it would never
// accept.
void Listener::enable_accepting() {
    if (evconnlistener_enable(listener_) != 0) retry_timer_.set(kAcceptRetryDelay);
}

void Listener::bind() {
    sockaddr_storage raw{};
    const int length = requested_address_.fill_sockaddr(&raw);
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, int fd, sockaddr*, int, void* self) {
            Listener& listener = *static_cast<Listener*>(self);
            const Loop::Event event(listener.loop_, "accept");
            listener.on_accept_(fd);
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
        return requested_address_;
    return Address::from_sockaddr(reinterpret_cast<sockaddr*>(&raw));
}

}  // namespace copperfront
