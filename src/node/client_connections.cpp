#include "node/client_connections.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "core/free_memory.h"
#include "node/arrival_times.h"

namespace copperfront {
namespace {

constexpr std::size_t kMaxUnsentBytes = 1 << 20;  // of a stream whose source does not pause
// What all connections together may read in one turn of the loop, so that none waits long for the others.
constexpr std::size_t kReadBytesPerTurn = 4 << 20;
constexpr std::size_t kChunkedReadBytes = 4 << 10;  // of a body in chunks, each of which takes time
constexpr std::size_t kMaxRoomChecks = 32;          // connections looked at to make room for another
constexpr std::size_t kMappedBodyBytes = 8 << 10;

// Memory that a body takes. A large one is mapped separately, so that reserved pages cost nothing until they
// are written.
std::size_t memory_of(const std::string& body) {
    return body.capacity() < kMappedBodyBytes ? body.capacity() : body.size();
}

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
        : parent_(parent),
          id_(id),
          input_(parent.budget_, MemoryUse::client_input),
          timeout_(parent.loop_, [this] { timed_out(); }) {
        stream_ = Stream::accepted(parent.loop_, fd, {kMaxUnsentBytes, 0}, *this);
        stream_->charge_input(parent.budget_, MemoryUse::client_input);
        stream_->charge_output(parent.budget_, MemoryUse::client_output);
        await_request(parent.bounds_.request_timeout);
    }
    ~Session() override {
        if (stage_ == Stage::streaming) --parent_.streams_;
    }

    ClientId id() const { return id_; }
    Stage stage() const { return stage_; }
    bool has_open_request() const { return stage_ == Stage::open || stage_ == Stage::streaming; }
    bool has_sent_request() const { return has_sent_request_; }
    bool has_disconnected() const { return stream_->peer_has_closed(); }
    bool has_no_pending_input() const { return stream_->has_no_pending_input(); }
    std::size_t unsent() const { return stream_->unsent(); }
    std::uint64_t generation() const { return generation_; }
    // Ends the session; its input is not needed any more.
    std::unique_ptr<Stream> take_stream() {
        timeout_.cancel();
        free_memory(body_);
        message_.reset();
        input_.set(0);
        return std::move(stream_);
    }

    // Bytes of this connection that are not a whole request yet, or wait behind one.
    std::size_t held_input() const { return stream_->buffered() + input_.bytes(); }
    Duration input_age() const { return parent_.loop_.now() - input_since_; }
    std::size_t read_limit(const Stream&) const override {
        const bool chunked = message_ && message_->head_done() && message_->head().chunked;
        const std::size_t turn = chunked ? kChunkedReadBytes : kReadBytesPerTurn / parent_.sessions_.size();
        return std::min(parent_.budget_.read_limit(MemoryUse::client_input, stream_->buffered()),
                        std::clamp(turn, kChunkedReadBytes, Stream::kMaxReadAtOnceBytes));
    }
    void bytes_received(Stream&) override {
        note_arrival();
        // Reads at most one request. The bytes of further requests stay buffered until response_complete()
        // posts the next read.
        while (stage_ == Stage::idle || stage_ == Stage::receiving) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) break;
            if (!receive(bytes)) return;
        }
        limit_input();
    }
    // Gives up what was received, as memory is short: an incomplete request is refused, and what is behind an
    // open one is discarded.
    void give_up_input() {
        ++parent_.inputs_given_up_;
        if (has_open_request()) return discard_input();
        refuse(503, "too much is being read; come back later");
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
        ++parent_.streams_;
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
        const std::size_t most =
            std::min(parent_.bounds_.unsent_bytes, parent_.budget_.stream_buffer(parent_.streams_));
        source_paused_ = stream_->unsent() > most;
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

    void note_arrival() {
        if (consumed_bytes_ + stream_->buffered() <= arrivals_.highest_noted()) return;
        arrivals_.note(consumed_bytes_ + stream_->buffered(),
                       parent_.loop_.now() - stream_->since_received());
    }

    // Returns false if nothing more is to be read now.
    bool receive(std::string_view bytes) {
        if (stage_ == Stage::idle) begin_request();
        consume(message_->take(bytes));
        if (message_->error() != http::ParseError::none) {
            const int status = message_->error() == http::ParseError::body_too_long   ? 413
                               : message_->error() == http::ParseError::head_too_long ? 431
                                                                                      : 400;
            refuse(status, message_->what());
            return false;
        }
        if (message_->head_done() && !continue_sent_ && message_->head().count("Expect") > 0) {
            continue_sent_ = true;
            if (!message_->done()) stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (!message_->done()) return true;
        deliver_request();
        return stream_ != nullptr && has_open_request();
    }

    void begin_request() {
        stage_ = Stage::receiving;
        requeue_without_request();
        if (has_sent_request_) timeout_.set(parent_.bounds_.request_timeout);
        message_ = std::make_unique<http::Message>(http::MessageKind::request, parent_.bounds_.message,
                                                   [this](std::string_view piece) { append_to_body(piece); });
    }

    // Reading is never paused: the client's close would go unseen behind unread bytes. Instead the buffered
    // input is limited, behind an open request to the size of one request, and for all connections by the
    // memory budget. Beyond the first limit it is discarded, and the connection closes after the response.
    void limit_input() {
        charge_input();
        const std::size_t longest = parent_.bounds_.message.head_bytes + parent_.bounds_.message.body_bytes;
        if (discards_input_ || (has_open_request() && stream_->buffered() > longest)) discard_input();
        parent_.reclaim_input();
    }

    void discard_input() {
        discards_input_ = close_after_response_ = true;
        consume(stream_->buffered());
    }

    void charge_input() {
        input_.set((message_ ? message_->memory_bytes() : 0) + memory_of(body_));
        if (held_input() == 0)
            input_since_ = {};
        else if (input_since_.us == 0)
            input_since_ = parent_.loop_.now();
    }

    void append_to_body(std::string_view piece) {
        if (body_.empty() && message_->head().has_length)
            body_.reserve(static_cast<std::size_t>(message_->head().length));
        body_.append(piece);
    }

    void deliver_request() {
        timeout_.cancel();
        stage_ = Stage::open;
        has_sent_request_ = true;
        ++generation_;
        close_after_response_ = !message_->head().keep_alive;
        continue_sent_ = false;
        const std::unique_ptr<http::Message> message = std::move(message_);
        std::string body = std::exchange(body_, std::string());
        input_since_ = {};
        charge_input();
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
        if (stage_ == Stage::streaming) --parent_.streams_;
        stage_ = Stage::idle;
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
         continue_sent_ = false;
    bool discards_input_ = false,
         close_announced_ = false;      // the response carries Connection: close
    MemoryCharge input_;                // of an incomplete request
    Instant input_since_;               // of the oldest byte that is held; zero: none is
    std::uint64_t consumed_bytes_ = 0;  // since the connection was opened
    ArrivalTimes arrivals_;
    Timer timeout_;
};

ClientConnections::ClientConnections(Loop& loop, const Bounds& bounds, MemoryBudget& budget, Owner& owner)
    : loop_(loop), bounds_(bounds), budget_(budget), owner_(owner) {}

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

// Hundreds of connections may be open without sending anything: of those without an open request, the one
// that has been so for longest is closed, unless bytes of it wait to be read.
void ClientConnections::make_room() {
    drop_stale_entries();
    Session* victim = nullptr;
    std::size_t checks = 0;
    for (auto it = without_request_.begin(); it != without_request_.end() && checks < kMaxRoomChecks; ++it) {
        Session* const session = find(it->first);
        if (session == nullptr || session->generation() != it->second || !may_close(*session)) continue;
        ++checks;
        if (victim == nullptr) victim = session;
        if (!session->has_no_pending_input()) continue;
        victim = session;
        break;
    }
    if (victim != nullptr) drop(*victim, false);
}

// Gives up the input of the connections that cost most until enough memory is free.
void ClientConnections::reclaim_input() {
    if (!budget_.is_exceeded(MemoryUse::client_input)) return;
    struct Candidate {
        double value;
        ClientId client;
    };
    std::vector<Candidate> candidates;
    for (const auto& [id, session] : sessions_) {
        const std::size_t held = session->held_input();
        if (held > 0) candidates.push_back({MemoryBudget::eviction_value(held, session->input_age()), id});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) { return a.value > b.value; });
    const std::size_t target = budget_.target(MemoryUse::client_input);
    for (const Candidate& candidate : candidates) {
        if (budget_.used(MemoryUse::client_input) <= target) return;
        if (Session* session = find(candidate.client)) session->give_up_input();
    }
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
