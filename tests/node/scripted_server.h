// A fake server that answers only on command, byte by byte if a test needs it. It replaces a model server or
// discovery where a test has to hold the server's side at a known point.
#pragma once

#include <unistd.h>

#include <cassert>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/line_connection.h"
#include "net/stream.h"

namespace copperfront {

class ScriptedServer {
  public:
    using ConnectionId = std::size_t;

    struct Request {
        ConnectionId connection = 0;
        http::Head head;
        std::string body;
        Instant received_at;
    };

    explicit ScriptedServer(Loop& loop)
        : loop_(loop), listener_(loop, Address::parse("127.0.0.1:0"), [this](int fd) { accept(fd); }) {}

    std::string address() const { return listener_.address().text(); }
    // Complete requests in the order in which their last bytes arrived.
    const std::vector<Request>& requests() const { return requests_; }
    std::size_t count(const std::string& method) const {
        std::size_t n = 0;
        for (const Request& request : requests_) {
            n += request.head.method == method;
        }
        return n;
    }
    std::size_t accepted() const { return next_; }
    bool is_open(ConnectionId id) const { return connections_.count(id) > 0; }
    // Why a connection that is no longer open was closed.
    CloseReason close_reason(ConnectionId id) const { return close_reasons_.at(id); }

    void send(ConnectionId id, const std::string& bytes) { connections_.at(id)->stream->send(bytes); }
    // Closes new connections right after accepting them, like a server at its connection limit.
    void close_new_connections(bool on) { closes_new_ = on; }
    void pause_reading(ConnectionId id, bool pause) { connections_.at(id)->stream->pause_reading(pause); }
    // Closes the connection gracefully, after all sent bytes have been written.
    void close(ConnectionId id) { Stream::detach_and_close(loop_, detach(id), true); }
    void reset(ConnectionId id) { Stream::reset(loop_, detach(id)); }

  private:
    struct Connection : Stream::Owner {
        ScriptedServer* server = nullptr;
        ConnectionId id = 0;
        std::unique_ptr<Stream> stream;
        std::unique_ptr<http::Message> message;
        std::string body;

        void bytes_received(Stream& s) override {
            while (s.buffered() > 0) {
                if (!message) {
                    message = std::make_unique<http::Message>(
                        http::MessageKind::request, http::Bounds{65536, 1 << 20},
                        [this](std::string_view piece) { body.append(piece); });
                }
                const std::size_t taken = message->take(s.front());
                s.drain(taken);
                if (message->error() != http::ParseError::none) return s.drain(s.buffered());
                if (!message->done()) continue;
                server->requests_.push_back(
                    {id, message->head(), std::exchange(body, {}), server->loop_.now()});
                message.reset();
            }
        }
        void stream_closed(Stream&, CloseReason why, const std::string&) override {
            server->close_reasons_[id] = why;
            Stream::detach_and_close(server->loop_, server->detach(id), false);
        }
    };

    void accept(int fd) {
        if (closes_new_) {
            ::close(fd);
            return;
        }
        auto connection = std::make_unique<Connection>();
        connection->server = this;
        connection->id = next_++;
        connection->stream = Stream::accepted(loop_, fd, {0, 0}, *connection);
        connections_.emplace(connection->id, std::move(connection));
    }
    std::unique_ptr<Stream> detach(ConnectionId id) {
        const auto it = connections_.find(id);
        assert(it != connections_.end());
        std::unique_ptr<Stream> stream = std::move(it->second->stream);
        loop_.delete_later(std::move(it->second));
        connections_.erase(it);
        return stream;
    }

    Loop& loop_;
    Listener listener_;
    ConnectionId next_ = 0;
    bool closes_new_ = false;
    std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
    std::map<ConnectionId, CloseReason> close_reasons_;
    std::vector<Request> requests_;
};

// Responses of the model servers' protocol.

inline std::string response_of(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string prefill_response() {
    return response_of(202, "Content-Type: application/json\r\n", R"({"cached_tokens":8})");
}
inline std::string chunk_of(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
inline std::string event_of(const std::string& content) {
    return chunk_of(R"(data: {"choices":[{"index":0,"delta":{"content":")" + content +
                    R"("},"finish_reason":null}]})" + "\n\n");
}
inline std::string stream_start() {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string stream_end() {
    return chunk_of("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n") +
           chunk_of("data: [DONE]\n\n") + "0\r\n\r\n";
}
inline std::string whole_stream(const std::string& content) {
    return stream_start() + event_of(content) + stream_end();
}

}  // namespace copperfront
