#include "net/stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <new>
#include <utility>

namespace copperfront {
namespace {

constexpr Duration kFlushTimeout{1000000};       // time for a peer to take queued bytes at a close
constexpr int kMaxStalledChecks = 5;             // consecutive checks in which the peer took nothing
constexpr Duration kMaxHalfCloseTime{20000000};  // total time of a half-close
// Most bytes read and discarded from a peer after a half-close; past it the connection closes immediately.
constexpr std::size_t kMaxDiscardedBytes = 4 << 20;

constexpr std::size_t kTypicalReadBytes = 4096;  // from this size on, the socket is likely to hold more
constexpr Duration kMaxCredibleAge{10000000};    // longer reported ages are considered invalid
// The library allocates its buffers in pieces of this size.
constexpr std::size_t kBufferPieceBytes = 8 << 10;
constexpr Duration kWriteBatchInterval{1000};  // between writes; output within it is batched
constexpr Duration kRetryDelay{5000};          // after a read or write that failed for lack of memory

std::size_t allocated_for(std::size_t bytes) {
    return (bytes + kBufferPieceBytes - 1) / kBufferPieceBytes * kBufferPieceBytes;
}

void release_text(const void*, std::size_t, void* text) {
    delete static_cast<std::shared_ptr<const std::string>*>(text);
}

// Errors that a system call may return temporarily on a healthy connection.
bool is_transient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOMEM || error == ENOBUFS;
}

void set_no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

const char* text_of(CloseReason why) {
    switch (why) {
        case CloseReason::peer_closed:
            return "closed by the peer";
        case CloseReason::broken:
            return "broken";
        case CloseReason::connect_failed:
            return "not made";
        case CloseReason::line_too_long:
            return "line too long";
        case CloseReason::peer_too_slow:
            return "peer reads too slowly";
    }
    return "";
}

Stream::Stream(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop), bounds_(bounds), owner_(&owner) {}

Stream::~Stream() {
    *alive_ = false;
    cancel_scheduled_write();
    if (buffer_event_) bufferevent_free(buffer_event_);
}

void Stream::set_callbacks() {
    bufferevent_setcb(buffer_event_, on_readable, on_output_drained, on_event, this);
    // libevent writes only after the socket buffer was full.
    bufferevent_disable(buffer_event_, EV_WRITE);
    if (bounds_.buffered_bytes > 0)
        bufferevent_setwatermark(buffer_event_, EV_READ, 0, bounds_.buffered_bytes);
}

std::unique_ptr<Stream> Stream::accepted(Loop& loop, int fd, const Bounds& bounds, Owner& owner) {
    std::unique_ptr<Stream> stream(new Stream(loop, bounds, owner));
    set_no_delay(fd);
    stream->buffer_event_ = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    if (!stream->buffer_event_) throw std::bad_alloc();
    stream->connected_ = true;
    stream->set_callbacks();
    stream->enable(EV_READ);
    return stream;
}

std::unique_ptr<Stream> Stream::dial(Loop& loop, const Address& to, const Bounds& bounds, Owner& owner) {
    std::unique_ptr<Stream> stream(new Stream(loop, bounds, owner));
    sockaddr_storage raw{};
    const int length = to.fill_sockaddr(&raw);
    stream->buffer_event_ =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (!stream->buffer_event_) throw std::bad_alloc();
    stream->set_callbacks();
    if (bufferevent_socket_connect(stream->buffer_event_, reinterpret_cast<sockaddr*>(&raw), length) != 0) {
        const std::string what = std::strerror(errno);
        Stream* raw_stream = stream.get();
        loop.post([raw_stream, what, alive = stream->alive_] {
            if (*alive) raw_stream->close(CloseReason::connect_failed, what);
        });
    }
    return stream;
}

std::size_t Stream::buffered() const { return evbuffer_get_length(bufferevent_get_input(buffer_event_)); }

std::string_view Stream::front() const {
    evbuffer_iovec piece{};
    if (evbuffer_peek(bufferevent_get_input(buffer_event_), -1, nullptr, &piece, 1) < 1) return {};
    return {static_cast<const char*>(piece.iov_base), piece.iov_len};
}

std::string_view Stream::contiguous(std::size_t n) {
    const auto* data = evbuffer_pullup(bufferevent_get_input(buffer_event_), static_cast<ev_ssize_t>(n));
    return data ? std::string_view(reinterpret_cast<const char*>(data), n) : std::string_view();
}

std::ptrdiff_t Stream::find(char c, std::size_t from) const {
    evbuffer* in = bufferevent_get_input(buffer_event_);
    evbuffer_ptr start;
    if (from >= evbuffer_get_length(in) || evbuffer_ptr_set(in, &start, from, EVBUFFER_PTR_SET) != 0)
        return -1;
    return evbuffer_search(in, &c, 1, &start).pos;
}

void Stream::drain(std::size_t n) {
    evbuffer_drain(bufferevent_get_input(buffer_event_), n);
    update_charges();
}

void Stream::update_charges() {
    input_charge_.set(allocated_for(buffered()));
    output_charge_.set(unsent());
}

void Stream::send(std::string_view bytes) {
    if (!may_send()) return;
    evbuffer_add(bufferevent_get_output(buffer_event_), bytes.data(), bytes.size());
    output_queued();
}

void Stream::send(const std::shared_ptr<const std::string>& text) {
    if (!may_send() || !text || text->empty()) return;
    auto* const kept = new std::shared_ptr<const std::string>(text);
    evbuffer* const out = bufferevent_get_output(buffer_event_);
    if (evbuffer_add_reference(out, text->data(), text->size(), release_text, kept) != 0) {
        delete kept;
        throw std::bad_alloc();
    }
    output_queued();
}

void Stream::output_queued() {
    schedule_write();
    update_charges();
    if (bounds_.unsent_bytes == 0 || unsent() <= bounds_.unsent_bytes) return;
    // The owner is notified later, as it may be in the middle of the operation that sent these bytes.
    closed_ = true;
    loop_.post([this, alive = alive_] {
        if (!*alive || !owner_) return;
        closed_ = false;
        close(CloseReason::peer_too_slow, "more than " + std::to_string(bounds_.unsent_bytes) +
                                              " bytes are unsent because the peer reads too slowly");
    });
}

std::size_t Stream::unsent() const { return evbuffer_get_length(bufferevent_get_output(buffer_event_)); }

// Returns what the socket holds that the loop has not processed yet, without consuming it.
Stream::Pending Stream::pending_in_socket() const {
    char next = 0;
    const ssize_t received = recv(bufferevent_getfd(buffer_event_), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) return Pending::bytes;
    // A temporary error must not count as a close: the request on the connection would go unanswered.
    return received < 0 && is_transient(errno) ? Pending::nothing : Pending::end;
}

bool Stream::peer_has_closed() const {
    if (closed_) return true;
    if (!connected_) return false;
    // A close may be queued behind unread bytes, and a socket error is reported only to the first read.
    pollfd at{bufferevent_getfd(buffer_event_), POLLRDHUP, 0};
    const int ready = poll(&at, 1, 0);
    if (ready < 0) return pending_in_socket() == Pending::end;
    return ready == 1 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Stream::has_no_pending_input() const {
    return !closed_ && connected_ && buffered() == 0 && pending_in_socket() == Pending::nothing;
}

Duration Stream::since_received() const {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(bufferevent_getfd(buffer_event_), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return {};
    const Duration since{std::int64_t{info.tcpi_last_data_recv} * 1000};
    return since < kMaxCredibleAge ? since : Duration{};
}

void Stream::pause_reading(bool pause) {
    paused_ = pause;
    if (pause)
        bufferevent_disable(buffer_event_, EV_READ);
    else
        enable(EV_READ);
}

// Reads more at once than libevent, which reads a few kilobytes per turn of the loop, so that a long message
// would take many turns.
void Stream::read_ahead() {
    std::size_t limit = owner_->read_limit(*this);
    if (bounds_.buffered_bytes > 0) limit = std::min(limit, bounds_.buffered_bytes);
    evbuffer* const in = bufferevent_get_input(buffer_event_);
    evbuffer_unfreeze(in, 0);
    int read = 1;
    while (buffered() < limit && read > 0) read = evbuffer_read(in, bufferevent_getfd(buffer_event_), -1);
    if (read < 0 && !is_transient(errno)) io_error_ = errno;
    evbuffer_freeze(in, 0);
}

bool Stream::waits_for_writable() const { return (bufferevent_get_enabled(buffer_event_) & EV_WRITE) != 0; }

// Bytes sent within one event are written with one system call; under frequent sends, bytes are batched until
// the loop polls the system again.
void Stream::schedule_write() {
    if (!connected_ || write_scheduled_ || waits_for_writable()) return;
    const bool batching = last_write_at_.us != 0 && loop_.now() - last_write_at_ < kWriteBatchInterval;
    if (batching || !loop_.in_event()) {
        enable(EV_WRITE);
        return;
    }
    write_scheduled_ = true;
    loop_.after_event(*this);
}

// Prevents bytes of a dropped stream from being written: whoever drops it counts them as never sent.
void Stream::cancel_scheduled_write() {
    if (std::exchange(write_scheduled_, false)) loop_.remove_after_event(*this);
}

void Stream::on_event_end() {
    write_scheduled_ = false;
    if (unsent() == 0 || waits_for_writable()) return;
    last_write_at_ = loop_.now();
    evbuffer* const out = bufferevent_get_output(buffer_event_);
    evbuffer_unfreeze(out, 1);
    const int written = evbuffer_write(out, bufferevent_getfd(buffer_event_));
    if (written < 0 && !is_transient(errno)) io_error_ = errno;
    evbuffer_freeze(out, 1);
    update_charges();
    // Watching for writability also detects and reports a broken connection.
    if (unsent() > 0)
        enable(EV_WRITE);
    else
        on_all_written();
}

void Stream::on_all_written() {
    if (half_close_requested_) half_close();
    if (flushing_) {
        if (!half_closing_) close_timer_->set(Duration{0});
        return;
    }
    if (owner_ && !closed_) owner_->all_sent(*this);
}

void Stream::half_close() {
    half_close_requested_ = true;
    if (unsent() == 0 && connected_) shutdown(bufferevent_getfd(buffer_event_), SHUT_WR);
}

void Stream::detach_and_close(Loop& loop, std::unique_ptr<Stream> stream, bool flush) {
    if (!stream) return;
    stream->owner_ = nullptr;
    if (!flush || stream->closed_ || !stream->connected_ || stream->unsent() == 0) {
        stream->cancel_scheduled_write();
        loop.delete_later(std::move(stream));
        return;
    }
    // The stream now lives on its own until the peer has taken the rest, or kFlushTimeout has passed.
    Stream* rest = stream.get();
    loop.adopt(std::move(stream));
    rest->flushing_ = true;
    bufferevent_disable(rest->buffer_event_, EV_READ);
    rest->close_timer_ = std::make_unique<Timer>(loop, [rest, &loop] { loop.delete_later(rest); });
    rest->close_timer_->set(kFlushTimeout);
}

void Stream::detach_and_half_close(Loop& loop, std::unique_ptr<Stream> stream) {
    if (!stream) return;
    stream->owner_ = nullptr;
    if (stream->closed_ || !stream->connected_) {
        stream->cancel_scheduled_write();
        loop.delete_later(std::move(stream));
        return;
    }
    Stream* rest = stream.get();
    loop.adopt(std::move(stream));
    rest->flushing_ = rest->half_closing_ = true;
    rest->last_queued_ = rest->unsent();
    const Instant deadline = loop.now() + kMaxHalfCloseTime;
    rest->close_timer_ = std::make_unique<Timer>(loop, [rest, &loop, deadline] {
        // A peer that reads slowly must still get the end of a stream that its source has finished.
        const std::size_t queued = rest->unsent();
        rest->stalled_checks_ = queued < rest->last_queued_ ? 0 : rest->stalled_checks_ + 1;
        if (queued == 0 || rest->stalled_checks_ >= kMaxStalledChecks || rest->peer_done_ ||
            loop.now() > deadline)
            return loop.delete_later(rest);
        rest->last_queued_ = queued;
        rest->close_timer_->set(kFlushTimeout);
    });
    rest->close_timer_->set(kFlushTimeout);
    rest->drain(rest->buffered());
    rest->enable(EV_READ);
    rest->half_close();
}

void Stream::reset(Loop& loop, std::unique_ptr<Stream> stream) {
    if (!stream) return;
    stream->owner_ = nullptr;
    stream->cancel_scheduled_write();
    const linger now{1, 0};
    if (const int fd = bufferevent_getfd(stream->buffer_event_); fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    loop.delete_later(std::move(stream));
}

void Stream::on_output_drained(bufferevent*, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const Loop::Event event(stream.loop_, "sent");
    stream.update_charges();
    // More may have been queued since.
    if (stream.unsent() > 0) return;
    bufferevent_disable(stream.buffer_event_, EV_WRITE);
    stream.on_all_written();
}

void Stream::on_readable(bufferevent*, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const Loop::Event event(stream.loop_, "received");
    if (stream.flushing_) {
        stream.discarded_bytes_ += stream.buffered();
        stream.drain(stream.buffered());
        if (stream.discarded_bytes_ <= kMaxDiscardedBytes) return;
        stream.peer_done_ = true;
        stream.close_timer_->set(Duration{0});
        return;
    }
    if (!stream.owner_ || stream.closed_) return;
    if (stream.buffered() >= kTypicalReadBytes) stream.read_ahead();
    stream.update_charges();
    stream.owner_->bytes_received(stream);
}

void Stream::on_event(bufferevent*, short what, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const int error_number = EVUTIL_SOCKET_ERROR();
    const Loop::Event event(stream.loop_, "connection");
    if (stream.connected_ && (what & BEV_EVENT_ERROR) && is_transient(error_number))
        return stream.resume_later(what);
    if (stream.flushing_) {
        stream.peer_done_ = true;
        stream.close_timer_->set(Duration{0});
        return;
    }
    if (stream.closed_ || !stream.owner_) return;
    if (what & BEV_EVENT_CONNECTED) {
        stream.connected_ = true;
        set_no_delay(bufferevent_getfd(stream.buffer_event_));
        stream.enable(EV_READ);
        if (stream.unsent() > 0) stream.schedule_write();
        stream.owner_->stream_connected(stream);
        return;
    }
    const std::string error = std::strerror(stream.io_error_ != 0 ? stream.io_error_ : error_number);
    if (!stream.connected_) return stream.close(CloseReason::connect_failed, error);
    const bool ended = (what & BEV_EVENT_EOF) != 0 && stream.io_error_ == 0;
    if (ended) return stream.close(CloseReason::peer_closed, "the peer closed the connection");
    stream.close(CloseReason::broken, error);
}

// libevent disables the direction that failed; queued bytes stay.
void Stream::resume_later(short what) { enable_later((what & BEV_EVENT_READING) ? EV_READ : EV_WRITE); }

// Retries if the connection could not be registered for lack of system resources; otherwise it would never be
// read.
void Stream::enable(short directions) {
    if (bufferevent_enable(buffer_event_, directions) != 0) enable_later(directions);
}

void Stream::enable_later(short directions) {
    stopped_directions_ = static_cast<short>(stopped_directions_ | directions);
    if (!retry_timer_) {
        retry_timer_ = std::make_unique<Timer>(loop_, [this] {
            const short wanted = std::exchange(stopped_directions_, short{0});
            if (!closed_) enable(static_cast<short>(paused_ ? wanted & ~EV_READ : wanted));
        });
    }
    retry_timer_->set(kRetryDelay);
}

void Stream::close(CloseReason why, std::string what) {
    if (closed_ || !owner_) return;
    closed_ = true;
    bufferevent_disable(buffer_event_, EV_READ);
    owner_->stream_closed(*this, why, what);
}

}  // namespace copperfront
