#include "node/client_connections.h"

#include <unistd.h>

#include <cstdio>
#include <vector>

#include "node/arrival_times.h"

namespace copperfront {
namespace {

constexpr std::size_t kMostUnsent = 1 << 20;  // of a stream whose source did not wait

const char* reason_of(int status) {
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
    enum class Stage { quiet, calling, open, streaming };

    Session(ClientConnections& all, ClientId id, int fd)
        : all_(all), id_(id), patience_(all.loop_, [this] { too_slow(); }) {
        stream_ = Stream::accepted(all.loop_, fd, {kMostUnsent, 0}, *this);
        rest(all.bounds_.message_within);
    }
    ~Session() override {
        all_.body_bytes_ -= body_.size();
        all_.pipelined_bytes_ -= pipelined_;
    }

    ClientId id() const { return id_; }
    Stage stage() const { return stage_; }
    bool has_open_request() const { return stage_ == Stage::open || stage_ == Stage::streaming; }
    bool has_asked() const { return has_asked_; }
    bool has_left() const { return stream_->peer_has_ended(); }
    std::size_t unsent() const { return stream_->unsent(); }
    std::uint64_t turn() const { return turn_; }
    std::unique_ptr<Stream> take_stream() {
        patience_.off();
        return std::move(stream_);
    }

    void bytes_came(Stream&) override {
        if (taken_ + stream_->held() > arrivals_.newest())
            arrivals_.note(taken_ + stream_->held(), all_.loop_.now() - stream_->since_received());
        // Within a call more may come to an end than one message; each goes its way before the next is read.
        while (stage_ == Stage::quiet || stage_ == Stage::calling) {
            const std::string_view bytes = stream_->front();
            if (bytes.empty()) return;
            if (stage_ == Stage::quiet) {
                stage_ = Stage::calling;
                stand_last();
                if (has_asked_) patience_.set(all_.bounds_.message_within);
                message_ = std::make_unique<http::Message>(http::Sort::call, all_.bounds_.message,
                                                           [this](std::string_view piece) { gather(piece); });
            }
            const std::size_t took = message_->take(bytes);
            take_out(took);
            if (overfull_) return refuse(503, "too much is being read; come back later");
            if (message_->trouble() != http::Trouble::none) {
                const int status = message_->trouble() == http::Trouble::body_too_long   ? 413
                                   : message_->trouble() == http::Trouble::head_too_long ? 431
                                                                                         : 400;
                return refuse(status, message_->what());
            }
            if (message_->head_done() && !told_to_go_on_ && message_->head().count("Expect") > 0) {
                told_to_go_on_ = true;
                if (!message_->done()) stream_->send("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (message_->done()) return call();
        }
        // Never paused: the client's end would go unseen behind what is not read. What is more than one call
        // behind the open one is not kept, and the connection ends after the answer.
        if (!discards_ && note_pipelined() && pipelined_ <= all_.bounds_.message.body_bytes) return;
        discards_ = closes_ = true;
        take_out(stream_->held());
        note_pipelined();
    }
    void all_sent(Stream&) override {
        if (stage_ == Stage::streaming && waits_) {
            waits_ = false;
            all_.owner_.may_go_on(id_);
        }
    }
    void stream_closed(Stream&, Closing, const std::string&) override {
        const bool open = stage_ == Stage::open || stage_ == Stage::streaming;
        ClientConnections& all = all_;
        const ClientId id = id_;
        all.drop(*this, false);
        if (open) all.owner_.left(id);
    }

    // A call that can't be taken: the answer, and nothing of what follows it is read.
    void refuse(int status, const std::string& why) {
        closes_ = true;
        send(status, "", why);
        all_.drop(*this, true);
    }

    void answer(int status, std::string_view more, std::string_view body) {
        send(status, more, body);
        over();
    }
    void begin() {
        stage_ = Stage::streaming;
        last_ = closes();
        stream_->send(last_ ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
    }
    bool pass_on(std::string_view events) {
        if (events.empty()) return true;
        char size[24];
        const int length = std::snprintf(size, sizeof size, "%zx\r\n", events.size());
        std::string chunk;
        chunk.reserve(events.size() + 26);
        chunk.append(size, static_cast<std::size_t>(length)).append(events).append("\r\n");
        stream_->send(chunk);
        waits_ = stream_->unsent() > all_.bounds_.unsent_bytes;
        return !waits_;
    }
    void finish() {
        stream_->send("0\r\n\r\n");
        over();
    }

  private:
    void take_out(std::size_t bytes) {
        stream_->drain(bytes);
        taken_ += bytes;
    }

    // Winding up, what lies behind the open call is served before the connection ends.
    bool closes() const { return closes_ || (all_.winding_up_ && stream_->held() == 0); }

    // False: more is kept for all clients together than there is room for.
    bool note_pipelined() {
        const std::size_t now = stage_ == Stage::open || stage_ == Stage::streaming ? stream_->held() : 0;
        all_.pipelined_bytes_ += now - pipelined_;
        pipelined_ = now;
        return all_.pipelined_bytes_ <= all_.bounds_.body_bytes;
    }

    void gather(std::string_view piece) {
        if (all_.body_bytes_ + piece.size() > all_.bounds_.body_bytes) {
            overfull_ = true;
            return;
        }
        if (body_.empty() && message_->head().has_length)
            body_.reserve(static_cast<std::size_t>(message_->head().length));
        body_.append(piece);
        all_.body_bytes_ += piece.size();
    }

    void call() {
        patience_.off();
        stage_ = Stage::open;
        has_asked_ = true;
        ++turn_;
        closes_ = !message_->head().keeps_open;
        told_to_go_on_ = false;
        const std::unique_ptr<http::Message> message = std::move(message_);
        all_.body_bytes_ -= body_.size();
        std::string body = std::move(body_);
        body_ = {};
        const Span waited = all_.loop_.now() - arrivals_.arrived(taken_);
        all_.owner_.asked(id_, message->head(), std::move(body), waited);
    }

    void send(int status, std::string_view more, std::string_view body) {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_of(status) +
                           "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n";
        text.append(more);
        last_ = closes();
        text.append(last_ ? "Connection: close\r\n\r\n" : "\r\n").append(body);
        stream_->send(text);
    }

    void over() {
        if (last_ || closes()) return all_.drop(*this, true);
        stage_ = Stage::quiet;
        note_pipelined();
        rest(all_.bounds_.idle);
        // What came behind the call is read after whatever answered it is through.
        if (stream_->held() > 0) {
            ClientConnections* const all = &all_;
            all_.loop_.post([all, id = id_] {
                if (Session* mine = all->find(id)) mine->bytes_came(*mine->stream_);
            });
        }
    }

    void rest(Span most) {
        patience_.set(most);
        stand_last();
    }
    void stand_last() { all_.idle_.emplace_back(id_, ++turn_); }

    void too_slow() {
        // Against half a call and then nothing: what has begun is owed a word, what has not a close.
        if (stage_ == Stage::calling) return refuse(408, "the call did not end in time");
        all_.drop(*this, true);
    }

    ClientConnections& all_;
    const ClientId id_;
    std::unique_ptr<Stream> stream_;
    Stage stage_ = Stage::quiet;
    std::uint64_t turn_ = 0;
    std::unique_ptr<http::Message> message_;
    std::string body_;
    bool closes_ = false, has_asked_ = false, waits_ = false, overfull_ = false, told_to_go_on_ = false;
    bool discards_ = false, last_ = false;  // what comes is not kept; the answer says that it is the last
    std::size_t pipelined_ = 0;
    std::uint64_t taken_ = 0;  // bytes of this connection, in all
    ArrivalTimes arrivals_;
    Timer patience_;
};

ClientConnections::ClientConnections(Loop& loop, const Bounds& bounds, Owner& owner)
    : loop_(loop), bounds_(bounds), owner_(owner) {}

ClientConnections::~ClientConnections() = default;

bool ClientConnections::is_full() const { return sessions_.size() + loop_.adopted() >= bounds_.connections; }

ClientConnections::Session* ClientConnections::find(ClientId client) {
    const auto it = sessions_.find(client);
    return it == sessions_.end() ? nullptr : it->second.get();
}

void ClientConnections::came(int fd) {
    while (is_full() && loop_.bury_oldest_adopted()) continue;
    if (is_full()) make_room();
    if (is_full()) {
        ::close(fd);
        return;
    }
    const ClientId id = next_++;
    sessions_.emplace(id, std::make_unique<Session>(*this, id, fd));
}

// Against connections by the hundreds that say nothing: the one that has been without an open call for
// longest makes room.
void ClientConnections::make_room() {
    pass_over();
    if (idle_.empty()) return;
    Session& oldest = *find(idle_.front().first);
    if (may_close(oldest)) drop(oldest, false);
}

bool ClientConnections::may_close(const Session& session) {
    SendGuard::ClientConnection facts;
    facts.request_open = session.has_open_request();
    return owner_.guard().may_close(facts) == Denial::none;
}

// What has moved on must not pile up where room is never short.
void ClientConnections::pass_over() {
    const auto stale = [&](const std::pair<ClientId, std::uint64_t>& entry) {
        const Session* session = find(entry.first);
        return !session || session->turn() != entry.second;
    };
    while (!idle_.empty() && stale(idle_.front())) idle_.pop_front();
}

void ClientConnections::drop(Session& session, bool polite) {
    const auto it = sessions_.find(session.id());
    if (it == sessions_.end()) return;
    // It may be on the call stack.
    loop_.bury(std::move(it->second));
    sessions_.erase(it);
    // Those that linger hold descriptors too, and count.
    if (polite)
        Stream::hand_off_politely(loop_, session.take_stream());
    else
        Stream::hand_off(loop_, session.take_stream(), false);
    pass_over();
}

void ClientConnections::answer(ClientId client, int status, std::string_view more, std::string_view body) {
    if (Session* s = find(client)) s->answer(status, more, body);
}

void ClientConnections::begin_stream(ClientId client) {
    if (Session* s = find(client)) s->begin();
}

bool ClientConnections::pass_on(ClientId client, std::string_view events) {
    Session* s = find(client);
    return !s || s->pass_on(events);
}

void ClientConnections::end_stream(ClientId client) {
    if (Session* s = find(client)) s->finish();
}

std::size_t ClientConnections::unsent() const {
    std::size_t bytes = 0;
    for (const auto& [id, session] : sessions_) bytes += session->unsent();
    return bytes;
}

bool ClientConnections::has_left(ClientId client) const {
    const auto it = sessions_.find(client);
    return it == sessions_.end() || it->second->has_left();
}

void ClientConnections::break_off(ClientId client) {
    if (Session* s = find(client)) drop(*s, true);
}

void ClientConnections::wind_up() {
    winding_up_ = true;
    std::vector<Session*> idle;
    for (const auto& [id, session] : sessions_)
        if (session->stage() == Session::Stage::quiet && session->has_asked() && may_close(*session))
            idle.push_back(session.get());
    for (Session* session : idle) drop(*session, true);
}

void ClientConnections::close_unasked() {
    std::vector<Session*> unasked;
    for (const auto& [id, session] : sessions_)
        if (session->stage() == Session::Stage::quiet && may_close(*session))
            unasked.push_back(session.get());
    for (Session* session : unasked) drop(*session, true);
}

void ClientConnections::close_all() {
    while (!sessions_.empty()) {
        Session& session = *sessions_.begin()->second;
        if (!may_close(session)) owner_.guard().violated(Invariant::answered_before_close);
        drop(session, true);
    }
}

}  // namespace copperfront
