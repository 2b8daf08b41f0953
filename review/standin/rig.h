// Stand-ins for the review: discovery, model servers and clients, one thread for each connection.
// They follow the platform's protocol page; nothing but loopback addresses is used.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline std::int64_t clock_us(clockid_t which) {
    timespec at{};
    clock_gettime(which, &at);
    return std::int64_t{at.tv_sec} * 1000000 + at.tv_nsec / 1000;
}
inline const std::int64_t started_us = clock_us(CLOCK_MONOTONIC);
// Milliseconds since the start of this process.
inline double now_ms() { return static_cast<double>(clock_us(CLOCK_MONOTONIC) - started_us) / 1000; }
inline std::int64_t wall_ms() { return clock_us(CLOCK_REALTIME) / 1000; }
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
}

// ---- the record

class Record {
  public:
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        if (file_ == nullptr) std::exit(2);
        setvbuf(file_, nullptr, _IOLBF, 0);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_, "%10.1f ", now_ms());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
inline Record record;

// ---- sockets

inline int listen_on(std::uint16_t& port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 1024) != 0) std::exit(2);
    socklen_t length = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
    port = ntohs(at.sin_port);
    return fd;
}
inline std::uint16_t free_port() {
    std::uint16_t port = 0;
    close(listen_on(port));
    return port;
}
inline int dial(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}
inline void reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}
inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}
// Whether the peer has closed, or ended its sending.
inline bool peer_closed(int fd) {
    pollfd at{fd, POLLRDHUP, 0};
    return poll(&at, 1, 0) == 1 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// ---- HTTP

struct Request {
    std::string method, target, id, body;
    std::map<std::string, std::string> fields;  // names in lower case
};

class Reader {
  public:
    explicit Reader(int fd) : fd_(fd) {}
    // Returns false at the end of the connection, or after `limit_ms` without bytes.
    bool fill(double limit_ms = -1) {
        pollfd at{fd_, POLLIN, 0};
        if (poll(&at, 1, limit_ms < 0 ? -1 : static_cast<int>(limit_ms)) <= 0) {
            timed_out = true;
            return false;
        }
        char piece[16384];
        const ssize_t n = recv(fd_, piece, sizeof piece, 0);
        if (n <= 0) return false;
        buffer.append(piece, static_cast<std::size_t>(n));
        return true;
    }
    bool head(std::string& text, double limit_ms = -1) {
        for (;;) {
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                text = buffer.substr(0, end + 4);
                buffer.erase(0, end + 4);
                return true;
            }
            if (!fill(limit_ms)) return false;
        }
    }
    bool take(std::size_t n, std::string& text, double limit_ms = -1) {
        while (buffer.size() < n)
            if (!fill(limit_ms)) return false;
        text = buffer.substr(0, n);
        buffer.erase(0, n);
        return true;
    }
    bool line(std::string& text, double limit_ms = -1) {
        for (;;) {
            const std::size_t end = buffer.find("\r\n");
            if (end != std::string::npos) {
                text = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return true;
            }
            if (!fill(limit_ms)) return false;
        }
    }
    std::string buffer;
    bool timed_out = false;

  private:
    int fd_;
};

inline std::map<std::string, std::string> fields_of(const std::string& head, std::string& first) {
    std::map<std::string, std::string> fields;
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const std::size_t end = head.find("\r\n", at);
        const std::string text = head.substr(at, end - at);
        at = end + 2;
        const std::size_t colon = text.find(':');
        if (colon == std::string::npos) continue;
        std::string name = text.substr(0, colon), value = text.substr(colon + 1);
        for (char& c : name) c = static_cast<char>(tolower(c));
        while (!value.empty() && value.front() == ' ') value.erase(0, 1);
        fields[name] = value;
    }
    return fields;
}

inline bool read_request(Reader& reader, Request& request) {
    std::string head, first;
    if (!reader.head(head)) return false;
    request = {};
    request.fields = fields_of(head, first);
    const std::size_t a = first.find(' '), b = first.rfind(' ');
    request.method = first.substr(0, a);
    request.target = first.substr(a + 1, b - a - 1);
    if (request.fields.count("x-correlation-id")) request.id = request.fields["x-correlation-id"];
    const std::size_t length = std::strtoull(request.fields["content-length"].c_str(), nullptr, 10);
    return length == 0 || reader.take(length, request.body);
}

inline std::string response(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
inline std::string chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
inline const char* const kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string event(const std::string& content, bool last) {
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + content + R"("},"finish_reason":)" +
           (last ? R"("stop")" : "null") + "}]}\n\n";
}
inline std::string stream_end() {
    return chunk("data: {\"choices\":[],\"usage\":{\"completion_tokens\":1}}\n\n") + chunk("data: [DONE]\n\n") +
           "0\r\n\r\n";
}

// ---- a server with a thread for each connection

class Server {
  public:
    using Serve = std::function<void(int fd)>;
    void start(Serve serve) {
        serve_ = std::move(serve);
        listener_ = listen_on(port);
        std::thread([this] {
            for (;;) {
                const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    std::lock_guard<std::mutex> lock(mutex_);
                    if (dead_) {
                        reset(fd);
                        continue;
                    }
                    open_.insert(fd);
                }
                std::thread([this, fd] {
                    serve_(fd);
                    std::lock_guard<std::mutex> lock(mutex_);
                    if (open_.erase(fd) > 0) close(fd);
                }).detach();
            }
        }).detach();
    }
    // As when a process dies: connections are reset and new ones refused.
    void die() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (dead_) return;
        dead_ = true;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        for (const int fd : open_) {
            const linger now{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            shutdown(fd, SHUT_RDWR);  // the connection's thread closes it
        }
    }
    bool is_dead() {
        std::lock_guard<std::mutex> lock(mutex_);
        return dead_;
    }
    std::uint16_t port = 0;

  private:
    Serve serve_;
    int listener_ = -1;
    std::mutex mutex_;
    std::set<int> open_;
    bool dead_ = false;
};

// ---- discovery

struct Entry {
    std::string name, address, type, status;
    std::string zone = "a";
    int group = 0;
    std::int64_t since_ms = 0;
    std::uint64_t changed = 0;
    std::string json() const {
        return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":")" + zone + R"(","type":")" + type +
               R"(","group":)" + std::to_string(group) + R"(,"status":")" + status +
               R"(","weight":1.0,"since_ms":)" + std::to_string(since_ms) + "}";
    }
};

// The list, and an agent for each gateway.
class Discovery {
  public:
    void set(const Entry& entry) {
        std::lock_guard<std::mutex> lock(mutex_);
        ++index_;
        Entry changed = entry;
        changed.changed = index_;
        entries_[entry.name] = changed;
        record.line("discovery %llu: %s %s since %lld", static_cast<unsigned long long>(index_), entry.name.c_str(),
                    entry.status.c_str(), static_cast<long long>(entry.since_ms));
        changed_.notify_all();
    }
    Entry get(const std::string& name) {
        std::lock_guard<std::mutex> lock(mutex_);
        return entries_[name];
    }
    std::string whole() {
        std::lock_guard<std::mutex> lock(mutex_);
        return list(0, true);
    }
    // When the agent of this gateway had written a list with this change; 0: not yet.
    double told_at(std::size_t gateway, const std::string& name, const std::string& status) {
        std::lock_guard<std::mutex> lock(mutex_);
        const auto it = told_.find({gateway, name + " " + status});
        return it == told_.end() ? 0 : it->second;
    }
    std::uint16_t add_agent() {
        agents_.push_back(std::make_unique<Server>());
        const std::size_t gateway = agents_.size() - 1;
        agents_.back()->start([this, gateway](int fd) { serve(fd, gateway); });
        return agents_.back()->port;
    }

  private:
    std::string list(std::uint64_t after, bool whole) {
        std::string text;
        for (const auto& [name, entry] : entries_) {
            if (whole ? entry.status == "removed" : entry.changed <= after) continue;
            text += (text.empty() ? "" : ",") + entry.json();
        }
        return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + text + "]}";
    }
    void serve(int fd, std::size_t gateway) {
        Reader reader(fd);
        Request request;
        while (read_request(reader, request)) {
            const std::size_t after_at = request.target.find("after="), wait_at = request.target.find("wait_ms=");
            const bool whole = after_at == std::string::npos;
            const std::uint64_t after = whole ? 0 : std::strtoull(request.target.c_str() + after_at + 6, nullptr, 10);
            const std::int64_t wait =
                wait_at == std::string::npos ? 0 : std::atoll(request.target.c_str() + wait_at + 8);
            std::string body;
            std::vector<std::string> told;
            {
                std::unique_lock<std::mutex> lock(mutex_);
                if (!whole)
                    changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return index_ > after; });
                body = list(after, whole);
                for (const auto& [name, entry] : entries_)
                    if (whole || entry.changed > after) told.push_back(name + " " + entry.status);
            }
            if (!send_all(fd, response(200, "Content-Type: application/json\r\n", body))) return;
            std::lock_guard<std::mutex> lock(mutex_);
            for (const std::string& change : told) told_.try_emplace({gateway, change}, now_ms());
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t index_ = 1;
    std::map<std::string, Entry> entries_;
    std::map<std::pair<std::size_t, std::string>, double> told_;
    std::vector<std::unique_ptr<Server>> agents_;
};

// ---- clients

struct Call {
    std::string id;
    int prompt_tokens = 400, max_out = 100;
    int time_left_ms = 6000;
    std::string category = "help", session;
    std::string text() const {
        const std::string body = R"({"model":"chat","stream":true,"max_tokens":)" + std::to_string(max_out) +
                                 R"(,"messages":[{"role":"user","content":")" +
                                 std::string(static_cast<std::size_t>(prompt_tokens) * 4, 'x') + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
               "\r\nX-Service-Class: " + category + "\r\nX-Account: acme\r\nX-Session-Key: " +
               (session.empty() ? id : session) + "\r\nX-Time-Left-Ms: " + std::to_string(time_left_ms) +
               "\r\nX-Facts: prompt_len=" + std::to_string(prompt_tokens) + ",max_out=" + std::to_string(max_out) +
               "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }
};

struct Answer {
    int status = 0;  // 0: none
    bool whole = false, timed_out = false;
    std::string body;
};

// Reads one answer; `limit_ms` bounds each wait for bytes.
inline Answer read_answer(Reader& reader, double limit_ms) {
    Answer answer;
    std::string head, first;
    if (!reader.head(head, limit_ms)) {
        answer.timed_out = reader.timed_out;
        return answer;
    }
    auto fields = fields_of(head, first);
    answer.status = std::atoi(first.c_str() + 9);
    if (fields.count("transfer-encoding")) {
        std::string size;
        while (reader.line(size, limit_ms)) {
            const std::size_t n = std::strtoull(size.c_str(), nullptr, 16);
            std::string piece;
            if (!reader.take(n + 2, piece, limit_ms)) break;
            if (n == 0) {
                answer.whole = true;
                break;
            }
            answer.body += piece.substr(0, n);
        }
        answer.timed_out = reader.timed_out;
        return answer;
    }
    answer.whole = reader.take(std::strtoull(fields["content-length"].c_str(), nullptr, 10), answer.body, limit_ms);
    return answer;
}

inline bool wait_ready(std::uint16_t port, double limit_ms) {
    for (const double until = now_ms() + limit_ms; now_ms() < until; sleep_ms(50)) {
        const int fd = dial(port);
        if (fd < 0) continue;
        Reader reader(fd);
        send_all(fd, "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
        const int status = read_answer(reader, 1000).status;
        close(fd);
        if (status == 200) return true;
    }
    return false;
}

inline void write_file(const std::string& path, const std::string& text) {
    const std::string part = path + ".part";
    std::FILE* file = std::fopen(part.c_str(), "w");
    if (file == nullptr) std::exit(2);
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
    std::rename(part.c_str(), path.c_str());
}

}  // namespace rig
