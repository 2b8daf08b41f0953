#include "node/client_connections.h"

#include <unistd.h>

#include <cstdio>
#include <vector>

#include "node/arrival_times.h"

namespace copperfront {
namespace {

constexpr std::size_t kMaxUnsentBytes = 1 << 20;  // of a stream whose source does not pause

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
    }
    return "Other";
}

}  // namespace

class ClientConnections::Session : public Stream::Owner {
  public:
    enum class Stage { idle, receiving, open, streaming };

    Session(ClientConnections& parent, ClientId id, int fd)
        : parent_(parent), id_(id), timeout_(parent.loop_, [this] { timed_out(); }) {
        stream_ = Stream::accepted(parent.loop_, fd, {kMaxUnsentBytes, 0}, *this);
        await_request(parent.bounds_.request_timeout);
    }
    ~Session() override {
        parent_.body_bytes_ -= body_.size();
        parent_.pipelined_bytes_ -= pipelined_;
    }

    ClientId id() const { return id_; }
    Stage stage() const { return stage_; }
    bool has_open_request() const { return stage_ == Stage::open || stage_ == Stage::streaming; }
    bool has_sent_request() const { return has_sent_request_; }
    bool has_disconnected() const { return stream_->peer_has_closed(); }
    std::size_t unsent() const { return stream_->unsent(); }
    std::uint64_t generation() const { return generation_; }
    std::unique_ptr<Stream> take_stream() {
        timeout_.cancel();
        return std::move(stream_);
    }

    void bytes_received(Stream&) override {
        if (consumed_bytes_ + stream_->buffered() > arrivals_.highest_noted())
            arrivals_.note(consumed_bytes_ + stream_->buffered(),
                           parent_.loop_.now() - stream_->since_received());
        // Reads at most one request. The bytes of further requests stay buffered until response_complete()
        // posts the next read.
        while (stage_ == Stage::idle || stage_ == Stage::receiving) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            if (stage_ == Stage::idle) {
                stage_ = Stage::receiving;
                requeue_without_request();
                if (has_sent_request_) timeout_.set(parent_.bounds_.request_timeout);
                message_ = std::make_unique<http::Message>(
                    http::MessageKind::request, parent_.bounds_.message,
                    [this](std::string_view piece) { append_to_body(piece); });
            }
            const std::size_t took = message_->take(bytes);
            consume(took);
            if (over_memory_limit_) return refuse(503, "too much is being read; come back later");
            if (message_->error() != http::ParseError::none) {
                const int status = message_->error() == http::ParseError::body_too_long   ? 413
                                   : message_->error() == http::ParseError::head_too_long ? 431
                                                                                          : 400;
                return refuse(status, message_->what());
            }
            if (message_->head_done() && !continue_sent_ && message_->head().count("Expect") > 0) {
                continue_sent_ = true;
                if (!message_->done()) stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (message_->done()) return deliver_request();
        }
        // Reading is never paused: the client's close would go unseen behind unread bytes. While a request is
        // open, the buffered input is limited, for this connection to the size of one request body and for
        // all connections to Bounds::body_bytes. Beyond either limit it is discarded, and the connection
        // closes after the response.
        if (!discards_input_ && note_pipelined() && pipelined_ <= parent_.bounds_.message.body_bytes) return;
        discards_input_ = close_after_response_ = true;
        consume(stream_->buffered());
        note_pipelined();
    }
    void all_sent(Stream&) override {
        if (stage_ == Stage::streaming && source_paused_) {
            source_paused_ = false;
            parent_.owner_.write_buffer_drained(id_);
        }
    }
    void stream_closed(Stream&, CloseReason, const std::string&) override {
        const bool open = stage_ == Stage::open || stage_ == Stage::streaming;
        ClientConnections& parent = parent_;
        const ClientId id = id_;
        parent.drop(*this, false);
        if (open) parent.owner_.client_disconnected(id);
    }

    // Rejects a request that cannot be accepted; nothing after it is read from the connection.
    void refuse(int status, const std::string& why) {
        close_after_response_ = true;
        send(status, "", why);
        parent_.drop(*this, true);
    }

    void answer(int status, std::string_view extra_headers, std::string_view body) {
        send(status, extra_headers, body);
        response_complete();
    }
    void begin_stream() {
        stage_ = Stage::streaming;
        close_announced_ = should_close();
        stream_->send(close_announced_ ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                                       : "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n");
    }
    bool send_events(std::string_view events) {
        if (events.empty()) return true;
        char size[24];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", events.size());
        std::string chunk;
        chunk.reserve(events.size() + 26);
        chunk.append(size, static_cast<std::size_t>(length)).append(events).append("\r\n");
        stream_->send(chunk);
        source_paused_ = stream_->unsent() > parent_.bounds_.unsent_bytes;
        return !source_paused_;
    }
    void finish() {
        stream_->send("0\r\n\r\n");
        response_complete();
    }

  private:
    void consume(std::size_t bytes) {
        stream_->drain(bytes);
        consumed_bytes_ += bytes;
    }

    // While draining, requests pipelined behind the open one are served before the connection closes.
    bool should_close() const {
        return close_after_response_ || (parent_.draining_ && stream_->buffered() == 0);
    }

    // Returns false if the pipelined bytes of all clients together exceed their limit.
    bool note_pipelined() {
        const std::size_t now = stage_ == Stage::open || stage_ == Stage::streaming ? stream_->buffered() : 0;
        parent_.pipelined_bytes_ += now - pipelined_;
        pipelined_ = now;
        return parent_.pipelined_bytes_ <= parent_.bounds_.body_bytes;
    }

    void append_to_body(std::string_view piece) {
        if (parent_.body_bytes_ + piece.size() > parent_.bounds_.body_bytes) {
            over_memory_limit_ = true;
            return;
        }
        if (body_.empty() && message_->head().has_length)
            body_.reserve(static_cast<std::size_t>(message_->head().length));
        body_.append(piece);
        parent_.body_bytes_ += piece.size();
    }

    void deliver_request() {
        timeout_.cancel();
        stage_ = Stage::open;
        has_sent_request_ = true;
        ++generation_;
        close_after_response_ = !message_->head().keep_alive;
        continue_sent_ = false;
        const std::unique_ptr<http::Message> message = std::move(message_);
        parent_.body_bytes_ -= body_.size();
        std::string body = std::move(body_);
        body_ = {};
        const Duration waited = parent_.loop_.now() - arrivals_.take_arrival_time(consumed_bytes_);
        parent_.owner_.request_received(id_, message->head(), std::move(body), waited);
    }

    void send(int status, std::string_view extra_headers, std::string_view body) {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
                           "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n";
        text.append(extra_headers);
        close_announced_ = should_close();
        text.append(close_announced_ ? "Connection: close\r\n\r\n" : "\r\n").append(body);
        stream_->send(text);
    }

    void response_complete() {
        if (close_announced_ || should_close()) return parent_.drop(*this, true);
        stage_ = Stage::idle;
        note_pipelined();
        await_request(parent_.bounds_.idle_timeout);
        // Pipelined bytes are read once the code that sent this response has returned.
        if (stream_->buffered() > 0) {
            ClientConnections* const parent = &parent_;
            parent_.loop_.post([parent, id = id_] {
                if (Session* session = parent->find(id)) session->bytes_received(*session->stream_);
            });
        }
    }

    void await_request(Duration limit) {
        timeout_.set(limit);
        requeue_without_request();
    }
    void requeue_without_request() { parent_.without_request_.emplace_back(id_, ++generation_); }

    void timed_out() {
        // A client may send part of a request and then nothing. It gets a 408; a connection on which no
        // request has started is only closed.
        if (stage_ == Stage::receiving) return refuse(408, "the call did not end in time");
        parent_.drop(*this, true);
    }

    ClientConnections& parent_;
    const ClientId id_;
    std::unique_ptr<Stream> stream_;
    Stage stage_ = Stage::idle;
    std::uint64_t generation_ = 0;
    std::unique_ptr<http::Message> message_;
    std::string body_;
    bool close_after_response_ = false, has_sent_request_ = false, source_paused_ = false,
         over_memory_limit_ = false, continue_sent_ = false;
    bool discards_input_ = false,
         close_announced_ = false;  // the response carries Connection: close
    std::size_t pipelined_ = 0;
    std::uint64_t consumed_bytes_ = 0;  // since the connection was opened
    ArrivalTimes arrivals_;
    Timer timeout_;
};

ClientConnections::ClientConnections(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop), bounds_(bounds), owner_(owner) {}

ClientConnections::~ClientConnections() = default;

bool ClientConnections::is_full() const { return sessions_.size() + loop_.adopted() >= bounds_.connections; }

ClientConnections::Session* ClientConnections::find(ClientId client) {
    const auto it = sessions_.find(client);
    return it == sessions_.end() ? nullptr : it->second.get();
}

void ClientConnections::accept(int fd) {
    while (is_full() && loop_.delete_oldest_adopted()) continue;
    if (is_full()) make_room();
    if (is_full()) {
        ::close(fd);
        return;
    }
    const ClientId id = next_id_++;
    sessions_.emplace(id, std::make_unique<Session>(*this, id, fd));
}

// Hundreds of connections may be open without sending anything: the one that has been without an open request
// for longest is closed.
void ClientConnections::make_room() {
    drop_stale_entries();
    if (without_request_.empty()) return;
    Session& oldest = *find(without_request_.front().first);
    if (may_close(oldest)) drop(oldest, false);
}

bool ClientConnections::may_close(const Session& session) {
    SendGuard::ClientConnection facts;
    facts.has_open_request = session.has_open_request();
    return owner_.guard().may_close(facts) == Denial::none;
}

// Removes the stale entries at the front of the queue. Called with each drop as well, as they would
// accumulate as long as make_room() is not needed.
void ClientConnections::drop_stale_entries() {
    const auto stale = [&](const std::pair<ClientId, std::uint64_t>& entry) {
        const Session* session = find(entry.first);
        return !session || session->generation() != entry.second;
    };
    while (!without_request_.empty() && stale(without_request_.front())) without_request_.pop_front();
}

void ClientConnections::drop(Session& session, bool graceful) {
    const auto it = sessions_.find(session.id());
    if (it == sessions_.end()) return;
    // Not destroyed at once, as the session may be on the call stack.
    loop_.delete_later(std::move(it->second));
    sessions_.erase(it);
    // Connections that linger to flush their data still hold descriptors, and is_full() counts them.
    if (graceful)
        Stream::detach_and_half_close(loop_, session.take_stream());
    else
        Stream::detach_and_close(loop_, session.take_stream(), false);
    drop_stale_entries();
}

void ClientConnections::answer(ClientId client, int status, std::string_view extra_headers,
                               std::string_view body) {
    if (Session* s = find(client)) s->answer(status, extra_headers, body);
}

void ClientConnections::begin_stream(ClientId client) {
    if (Session* s = find(client)) s->begin_stream();
}

bool ClientConnections::send_events(ClientId client, std::string_view events) {
    Session* s = find(client);
    return !s || s->send_events(events);
}

void ClientConnections::end_stream(ClientId client) {
    if (Session* s = find(client)) s->finish();
}

std::size_t ClientConnections::unsent() const {
    std::size_t bytes = 0;
    for (const auto& [id, session] : sessions_) bytes += session->unsent();
    return bytes;
}

bool ClientConnections::has_disconnected(ClientId client) const {
    const auto it = sessions_.find(client);
    return it == sessions_.end() || it->second->has_disconnected();
}

void ClientConnections::abort_response(ClientId client) {
    if (Session* s = find(client)) drop(*s, true);
}

void ClientConnections::start_draining() {
    draining_ = true;
    std::vector<Session*> idle;
    for (const auto& [id, session] : sessions_)
        if (session->stage() == Session::Stage::idle && session->has_sent_request() && may_close(*session))
            idle.push_back(session.get());
    for (Session* session : idle) drop(*session, true);
}

void ClientConnections::close_idle() {
    std::vector<Session*> idle;
    for (const auto& [id, session] : sessions_)
        if (session->stage() == Session::Stage::idle && may_close(*session)) idle.push_back(session.get());
    for (Session* session : idle) drop(*session, true);
}

void ClientConnections::close_all() {
    while (!sessions_.empty()) {
        Session& session = *sessions_.begin()->second;
        if (!may_close(session)) owner_.guard().count_violation(Invariant::answered_before_close);
        drop(session, true);
    }
}

}  // namespace copperfront
