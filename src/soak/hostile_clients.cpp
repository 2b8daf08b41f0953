#include "soak/hostile_clients.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <random>

namespace copperfront::soak {
namespace {

constexpr Duration kTick{10000};
constexpr Duration kReconnectDelay{100000};
constexpr std::size_t kWriteBytes = 64 << 10;  // in one tick, unless the behavior writes slowly
constexpr std::int64_t kSlowBytesPerMs = 40;   // of a body that is written slowly
constexpr std::size_t kSlowReadBytes = 8;      // in one tick
constexpr int kSlowReaderBufferBytes = 2048;   // of its socket
constexpr std::size_t kSmallBodyBytes = 200;
constexpr std::size_t kBodyStartBytes = 500;          // of a body that is not continued
constexpr std::size_t kManyFields = 80;               // within the gateway's limit of fields
constexpr std::size_t kEndlessHeadBytes = 8000;       // within the gateway's limit of a head
constexpr std::size_t kSingleByteChunkCount = 60000;  // of one request

std::string body_of(std::size_t bytes) {
    const std::string before = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")";
    const std::string after = R"("}]})";
    const std::size_t framing = before.size() + after.size();
    return before + std::string(bytes > framing ? bytes - framing : 0, 'a') + after;
}

}  // namespace

const char* text_of(HostileBehavior behavior) {
    switch (behavior) {
        case HostileBehavior::large_request_behind_another:
            return "large_request_behind_another";
        case HostileBehavior::many_header_fields:
            return "many_header_fields";
        case HostileBehavior::half_body:
            return "half_body";
        case HostileBehavior::slow_body:
            return "slow_body";
        case HostileBehavior::single_byte_chunks:
            return "single_byte_chunks";
        case HostileBehavior::head_without_end:
            return "head_without_end";
        case HostileBehavior::slow_reader:
            return "slow_reader";
        case HostileBehavior::mixed:
            return "mixed";
    }
    return "";
}

class HostileClients::Connection {
  public:
    Connection(HostileClients& parent, std::uint32_t seed) : parent_(parent), random_(seed) { open(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close_socket(); }

    void advance(Instant now) {
        if (socket_ < 0) {
            if (now >= reconnect_at_) open();
            return;
        }
        write_some(now);
        read_some(now);
    }

  private:
    void open() {
        behavior_ = draw_behavior();
        text_ = request_text();
        written_ = 0;
        opened_at_ = parent_.loop_.now();
        socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (socket_ < 0) return end(opened_at_);
        if (behavior_ == HostileBehavior::slow_reader) {
            const int bytes = kSlowReaderBufferBytes;
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        }
        sockaddr_storage raw{};
        const int length = parent_.gateway_.fill_sockaddr(&raw);
        const int connected =
            connect(socket_, reinterpret_cast<sockaddr*>(&raw), static_cast<socklen_t>(length));
        if (connected != 0 && errno != EINPROGRESS) end(opened_at_);
    }

    HostileBehavior draw_behavior() {
        if (parent_.options_.behavior != HostileBehavior::mixed) return parent_.options_.behavior;
        const int last = static_cast<int>(HostileBehavior::mixed) - 1;
        return static_cast<HostileBehavior>(std::uniform_int_distribution<int>(0, last)(random_));
    }

    std::string head(const std::string& more_fields) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: hostile-" +
               std::to_string(parent_.options_.seed) + "-" + std::to_string(++parent_.next_id_) +
               "\r\nX-Service-Class: " + parent_.options_.service_class +
               "\r\nX-Account: acme\r\nX-Session-Key: h\r\nX-Time-Left-Ms: 2000\r\n"
               "X-Facts: prompt_len=20,max_out=50\r\n" +
               more_fields;
    }
    std::string request(std::size_t body_bytes, const std::string& more_fields = "") {
        const std::string body = body_of(body_bytes);
        return head(more_fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string request_text() {
        const std::size_t large = parent_.options_.body_bytes;
        std::string text;
        switch (behavior_) {
            case HostileBehavior::large_request_behind_another:
                text = request(kSmallBodyBytes) + request(large);
                text.pop_back();
                return text;
            case HostileBehavior::many_header_fields: {
                std::string fields;
                for (std::size_t n = 0; n < kManyFields; ++n) fields += "F" + std::to_string(n) + ": 1\r\n";
                text = request(large, fields);
                text.resize(text.size() - large + kBodyStartBytes);
                return text;
            }
            case HostileBehavior::half_body:
                text = request(large);
                text.resize(text.size() - large / 2);
                return text;
            case HostileBehavior::slow_body:
                return request(large);
            case HostileBehavior::single_byte_chunks:
                text = head("") + "Transfer-Encoding: chunked\r\n\r\n";
                for (std::size_t n = 0; n < kSingleByteChunkCount; ++n) text += "1\r\na\r\n";
                return text;
            case HostileBehavior::head_without_end:
                text = head("") + "X-Long: ";
                text.resize(kEndlessHeadBytes, 'a');
                return text;
            case HostileBehavior::slow_reader:
            case HostileBehavior::mixed:
                return request(kSmallBodyBytes);
        }
        return text;
    }

    void write_some(Instant now) {
        std::size_t bytes = std::min(text_.size() - written_, kWriteBytes);
        if (behavior_ == HostileBehavior::slow_body) {
            const std::int64_t due = (now - opened_at_).us / 1000 * kSlowBytesPerMs;
            const std::int64_t left = due - static_cast<std::int64_t>(written_);
            bytes = std::min(bytes, static_cast<std::size_t>(std::max<std::int64_t>(0, left)));
        }
        if (bytes == 0) return;
        const ssize_t sent = ::send(socket_, text_.data() + written_, bytes, MSG_NOSIGNAL);
        if (sent > 0) written_ += static_cast<std::size_t>(sent);
        if (sent < 0 && errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) end(now);
    }

    void read_some(Instant now) {
        if (socket_ < 0) return;
        std::array<char, 16384> bytes{};
        const std::size_t most = behavior_ == HostileBehavior::slow_reader ? kSlowReadBytes : bytes.size();
        const ssize_t received = recv(socket_, bytes.data(), most, 0);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != ENOTCONN)) end(now);
    }

    void end(Instant now) {
        ++parent_.ended_;
        close_socket();
        reconnect_at_ = now + kReconnectDelay;
    }
    void close_socket() {
        if (socket_ >= 0) close(socket_);
        socket_ = -1;
    }

    HostileClients& parent_;
    std::minstd_rand random_;
    HostileBehavior behavior_ = HostileBehavior::mixed;
    int socket_ = -1;
    std::string text_;
    std::size_t written_ = 0;
    Instant opened_at_, reconnect_at_;
};

HostileClients::HostileClients(Loop& loop, const Address& gateway, const Options& options)
    : loop_(loop), gateway_(gateway), options_(options), timer_(loop, [this] { advance(); }) {
    for (std::size_t n = 0; n < options.clients; ++n) {
        const auto seed = options.seed * 1009 + static_cast<std::uint32_t>(n) + 1;
        connections_.push_back(std::make_unique<Connection>(*this, seed));
    }
    timer_.set(kTick);
}

HostileClients::~HostileClients() = default;

void HostileClients::advance() {
    const Instant now = loop_.now();
    for (const auto& connection : connections_) connection->advance(now);
    timer_.set(kTick);
}

}  // namespace copperfront::soak
