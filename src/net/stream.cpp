#include "net/stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <new>
#include <utility>

namespace copperfront {
namespace {

constexpr Span kLastWords{1000000};       // for a peer to take what is queued at a close
constexpr int kMostStalled = 5;           // so often with none of it taken
constexpr Span kLastWordsMost{20000000};  // in all
// Most that is read and dropped of a peer that is told to go; past it the close is not waited for.
constexpr std::size_t kMostDropped = 4 << 20;

constexpr std::size_t kUsualRead = 4096;  // past it more is likely to lie in the system
constexpr Span kMostUnread{10000000};  // what is said to have lain in the system for longer is not believed
constexpr std::size_t kMostReadAtOnce = 64 << 10;
constexpr Span kFloodWithin{1000};  // between writes
constexpr Span kAgainAfter{5000};   // a read or write for which the system lacked memory

// What a system call may fail with for a while, on a connection that is as sound as before.
bool passes_by_itself(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOMEM || error == ENOBUFS;
}

void no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

const char* text_of(Closing why) {
    switch (why) {
        case Closing::peer_ended:
            return "closed by the peer";
        case Closing::broken:
            return "broken";
        case Closing::not_made:
            return "not made";
        case Closing::line_too_long:
            return "line too long";
        case Closing::reader_too_slow:
            return "peer reads too slowly";
    }
    return "";
}

Stream::Stream(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop), bounds_(bounds), owner_(&owner) {}

Stream::~Stream() {
    *alive_ = false;
    take_back_write();
    if (events_) bufferevent_free(events_);
}

void Stream::set_callbacks() {
    bufferevent_setcb(events_, readable, drained, happened, this);
    // The event library writes only where the system has had no room.
    bufferevent_disable(events_, EV_WRITE);
    if (bounds_.held_bytes > 0) bufferevent_setwatermark(events_, EV_READ, 0, bounds_.held_bytes);
}

std::unique_ptr<Stream> Stream::accepted(Loop& loop, int fd, const Bounds& bounds, Owner& owner) {
    std::unique_ptr<Stream> stream(new Stream(loop, bounds, owner));
    no_delay(fd);
    stream->events_ = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    if (!stream->events_) throw std::bad_alloc();
    stream->made_ = true;
    stream->set_callbacks();
    stream->enable(EV_READ);
    return stream;
}

std::unique_ptr<Stream> Stream::dial(Loop& loop, const Address& to, const Bounds& bounds, Owner& owner) {
    std::unique_ptr<Stream> stream(new Stream(loop, bounds, owner));
    sockaddr_storage raw{};
    const int length = to.fill(&raw);
    stream->events_ =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (!stream->events_) throw std::bad_alloc();
    stream->set_callbacks();
    if (bufferevent_socket_connect(stream->events_, reinterpret_cast<sockaddr*>(&raw), length) != 0) {
        const std::string what = std::strerror(errno);
        Stream* mine = stream.get();
        loop.post([mine, what, alive = stream->alive_] {
            if (*alive) mine->close(Closing::not_made, what);
        });
    }
    return stream;
}

std::size_t Stream::held() const { return evbuffer_get_length(bufferevent_get_input(events_)); }

std::string_view Stream::front() const {
    evbuffer_iovec piece{};
    if (evbuffer_peek(bufferevent_get_input(events_), -1, nullptr, &piece, 1) < 1) return {};
    return {static_cast<const char*>(piece.iov_base), piece.iov_len};
}

std::string_view Stream::pull(std::size_t n) {
    const auto* data = evbuffer_pullup(bufferevent_get_input(events_), static_cast<ev_ssize_t>(n));
    return data ? std::string_view(reinterpret_cast<const char*>(data), n) : std::string_view();
}

std::ptrdiff_t Stream::find(char c, std::size_t from) const {
    evbuffer* in = bufferevent_get_input(events_);
    evbuffer_ptr start;
    if (from >= evbuffer_get_length(in) || evbuffer_ptr_set(in, &start, from, EVBUFFER_PTR_SET) != 0)
        return -1;
    return evbuffer_search(in, &c, 1, &start).pos;
}

void Stream::drain(std::size_t n) { evbuffer_drain(bufferevent_get_input(events_), n); }

void Stream::send(std::string_view bytes) {
    if (closed_ || flushing_ || !owner_) return;
    evbuffer* out = bufferevent_get_output(events_);
    evbuffer_add(out, bytes.data(), bytes.size());
    write_soon();
    if (bounds_.unsent_bytes == 0 || evbuffer_get_length(out) <= bounds_.unsent_bytes) return;
    // The owner is told later: it may be in the middle of whatever made it send.
    closed_ = true;
    loop_.post([this, alive = alive_] {
        if (!*alive || !owner_) return;
        closed_ = false;
        close(Closing::reader_too_slow,
              "more than " + std::to_string(bounds_.unsent_bytes) + " bytes wait for the peer to read");
    });
}

std::size_t Stream::unsent() const { return evbuffer_get_length(bufferevent_get_output(events_)); }

// What the system holds that the loop has not come to, without taking it.
Stream::Pending Stream::pending_in_system() const {
    char next = 0;
    const ssize_t there = recv(bufferevent_getfd(events_), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (there > 0) return Pending::bytes;
    // Against a connection that is taken for closed while it is not: its request would go unanswered.
    return there < 0 && passes_by_itself(errno) ? Pending::nothing : Pending::end;
}

bool Stream::peer_has_ended() const {
    if (closed_) return true;
    if (!made_) return false;
    // An end may lie behind bytes, and an error is told to the first that reads it.
    pollfd at{bufferevent_getfd(events_), POLLRDHUP, 0};
    const int answered = poll(&at, 1, 0);
    if (answered < 0) return pending_in_system() == Pending::end;
    return answered == 1 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Stream::is_quiet() const {
    return !closed_ && made_ && held() == 0 && pending_in_system() == Pending::nothing;
}

Span Stream::since_received() const {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(bufferevent_getfd(events_), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return {};
    const Span since{std::int64_t{info.tcpi_last_data_recv} * 1000};
    return since < kMostUnread ? since : Span{};
}

void Stream::pause_reading(bool pause) {
    paused_ = pause;
    if (pause)
        bufferevent_disable(events_, EV_READ);
    else
        enable(EV_READ);
}

// The event library reads a few kilobytes for each turn of the loop, so that a long message would take as
// many turns.
void Stream::read_more() {
    const std::size_t most = bounds_.held_bytes > 0 ? bounds_.held_bytes : kMostReadAtOnce;
    evbuffer* const in = bufferevent_get_input(events_);
    evbuffer_unfreeze(in, 0);
    int read = 1;
    while (held() < most && read > 0) read = evbuffer_read(in, bufferevent_getfd(events_), -1);
    if (read < 0 && !passes_by_itself(errno)) error_ = errno;
    evbuffer_freeze(in, 0);
}

bool Stream::waits_for_room() const { return (bufferevent_get_enabled(events_) & EV_WRITE) != 0; }

// What is sent within one event goes out in one call of the system; of a flood, what is sent until the loop
// looks at the system again.
void Stream::write_soon() {
    if (!made_ || write_is_due_ || waits_for_room()) return;
    const bool flood = written_at_.us != 0 && loop_.now() - written_at_ < kFloodWithin;
    if (flood || !loop_.in_event()) {
        enable(EV_WRITE);
        return;
    }
    write_is_due_ = true;
    loop_.after_event(*this);
}

// Against bytes of what has been dropped: whoever drops it counts them as never sent.
void Stream::take_back_write() {
    if (std::exchange(write_is_due_, false)) loop_.forget(*this);
}

void Stream::event_over() {
    write_is_due_ = false;
    if (unsent() == 0 || waits_for_room()) return;
    written_at_ = loop_.now();
    evbuffer* const out = bufferevent_get_output(events_);
    evbuffer_unfreeze(out, 1);
    const int written = evbuffer_write(out, bufferevent_getfd(events_));
    if (written < 0 && !passes_by_itself(errno)) error_ = errno;
    evbuffer_freeze(out, 1);
    // It meets a connection that is broken as well, and tells of it.
    if (unsent() > 0)
        enable(EV_WRITE);
    else
        all_written();
}

void Stream::all_written() {
    if (end_wanted_) end_sending();
    if (flushing_) {
        if (!polite_) last_words_->set(Span{0});
        return;
    }
    if (owner_ && !closed_) owner_->all_sent(*this);
}

void Stream::end_sending() {
    end_wanted_ = true;
    if (unsent() == 0 && made_) shutdown(bufferevent_getfd(events_), SHUT_WR);
}

void Stream::hand_off(Loop& loop, std::unique_ptr<Stream> stream, bool flush) {
    if (!stream) return;
    stream->owner_ = nullptr;
    if (!flush || stream->closed_ || !stream->made_ || stream->unsent() == 0) {
        stream->take_back_write();
        loop.bury(std::move(stream));
        return;
    }
    // It now lives on its own until the peer has taken the rest, or a second has passed.
    Stream* rest = stream.get();
    loop.adopt(std::move(stream));
    rest->flushing_ = true;
    bufferevent_disable(rest->events_, EV_READ);
    rest->last_words_ = std::make_unique<Timer>(loop, [rest, &loop] { loop.bury(rest); });
    rest->last_words_->set(kLastWords);
}

void Stream::hand_off_politely(Loop& loop, std::unique_ptr<Stream> stream) {
    if (!stream) return;
    stream->owner_ = nullptr;
    if (stream->closed_ || !stream->made_) {
        stream->take_back_write();
        loop.bury(std::move(stream));
        return;
    }
    Stream* rest = stream.get();
    loop.adopt(std::move(stream));
    rest->flushing_ = rest->polite_ = true;
    rest->still_queued_ = rest->unsent();
    const Instant latest = loop.now() + kLastWordsMost;
    rest->last_words_ = std::make_unique<Timer>(loop, [rest, &loop, latest] {
        // Against a stream that its source has finished, and whose end is lost on a peer that reads slowly.
        const std::size_t queued = rest->unsent();
        rest->stalled_ = queued < rest->still_queued_ ? 0 : rest->stalled_ + 1;
        if (queued == 0 || rest->stalled_ >= kMostStalled || rest->done_ || loop.now() > latest)
            return loop.bury(rest);
        rest->still_queued_ = queued;
        rest->last_words_->set(kLastWords);
    });
    rest->last_words_->set(kLastWords);
    rest->drain(rest->held());
    rest->enable(EV_READ);
    rest->end_sending();
}

void Stream::reset(Loop& loop, std::unique_ptr<Stream> stream) {
    if (!stream) return;
    stream->owner_ = nullptr;
    stream->take_back_write();
    const linger now{1, 0};
    if (const int fd = bufferevent_getfd(stream->events_); fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    loop.bury(std::move(stream));
}

void Stream::drained(bufferevent*, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const Loop::Event event(stream.loop_, "sent");
    // More may have been sent since.
    if (stream.unsent() > 0) return;
    bufferevent_disable(stream.events_, EV_WRITE);
    stream.all_written();
}

void Stream::readable(bufferevent*, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const Loop::Event event(stream.loop_, "received");
    if (stream.flushing_) {
        stream.dropped_ += stream.held();
        stream.drain(stream.held());
        if (stream.dropped_ <= kMostDropped) return;
        stream.done_ = true;
        stream.last_words_->set(Span{0});
        return;
    }
    if (!stream.owner_ || stream.closed_) return;
    if (stream.held() >= kUsualRead) stream.read_more();
    stream.owner_->bytes_came(stream);
}

void Stream::happened(bufferevent*, short what, void* self) {
    Stream& stream = *static_cast<Stream*>(self);
    const int number = EVUTIL_SOCKET_ERROR();
    const Loop::Event event(stream.loop_, "connection");
    if (stream.made_ && (what & BEV_EVENT_ERROR) && passes_by_itself(number)) return stream.go_on_soon(what);
    if (stream.flushing_) {
        stream.done_ = true;
        stream.last_words_->set(Span{0});
        return;
    }
    if (stream.closed_ || !stream.owner_) return;
    if (what & BEV_EVENT_CONNECTED) {
        stream.made_ = true;
        no_delay(bufferevent_getfd(stream.events_));
        stream.enable(EV_READ);
        if (stream.unsent() > 0) stream.write_soon();
        stream.owner_->stream_made(stream);
        return;
    }
    const std::string error = std::strerror(stream.error_ != 0 ? stream.error_ : number);
    if (!stream.made_) return stream.close(Closing::not_made, error);
    const bool ended = (what & BEV_EVENT_EOF) != 0 && stream.error_ == 0;
    if (ended) return stream.close(Closing::peer_ended, "the peer closed the connection");
    stream.close(Closing::broken, error);
}

// The event library stops the direction that failed; what is queued stays.
void Stream::go_on_soon(short what) { enable_soon((what & BEV_EVENT_READING) ? EV_READ : EV_WRITE); }

// Against a connection that is never read, as the system had no room to watch it.
void Stream::enable(short directions) {
    if (bufferevent_enable(events_, directions) != 0) enable_soon(directions);
}

void Stream::enable_soon(short directions) {
    stopped_ = static_cast<short>(stopped_ | directions);
    if (!again_) {
        again_ = std::make_unique<Timer>(loop_, [this] {
            const short wanted = std::exchange(stopped_, short{0});
            if (!closed_) enable(static_cast<short>(paused_ ? wanted & ~EV_READ : wanted));
        });
    }
    again_->set(kAgainAfter);
}

void Stream::close(Closing why, std::string what) {
    if (closed_ || !owner_) return;
    closed_ = true;
    bufferevent_disable(events_, EV_READ);
    owner_->stream_closed(*this, why, what);
}

}  // namespace copperfront
