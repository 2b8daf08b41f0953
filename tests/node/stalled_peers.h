// Peers on plain sockets that hold a connection in one state: not yet established, or with a message partly
// written.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <string>
#include <vector>

namespace copperfront {

inline std::string listen_on_loopback(int fd, int backlog, sockaddr_in& at) {
    at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof at;
    auto* const raw = reinterpret_cast<sockaddr*>(&at);
    const bool listens = bind(fd, raw, length) == 0 && listen(fd, backlog) == 0;
    assert(listens);
    (void)listens;
    getsockname(fd, raw, &length);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

// An unreachable machine: connections to it are not established, as its accept queue is full and the kernel
// drops further SYNs. Once it accepts, the kernel's next SYN retransmission succeeds, within about a second.
class StalledListener {
  public:
    StalledListener() {
        sockaddr_in at{};
        address_ = listen_on_loopback(listener_, 0, at);
        for (int n = 0; n < 4; ++n) {
            fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            (void)connect(fillers_.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
        }
    }
    StalledListener(const StalledListener&) = delete;
    StalledListener& operator=(const StalledListener&) = delete;
    ~StalledListener() {
        for (const auto* fds : {&fillers_, &accepted_}) {
            for (const int fd : *fds) close(fd);
        }
        close(listener_);
    }

    const std::string& address() const { return address_; }
    void accept_all() {
        for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            accepted_.push_back(fd);
        }
    }
    // All bytes received on the connections that are established so far.
    const std::string& received() {
        accept_all();
        char bytes[4096];
        for (const int fd : accepted_) {
            for (ssize_t n; (n = read(fd, bytes, sizeof bytes)) > 0;) {
                received_.append(bytes, static_cast<std::size_t>(n));
            }
        }
        return received_;
    }

  private:
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::vector<int> fillers_, accepted_;
    std::string address_, received_;
};

// Accepts connections and reads nothing. Its segments and its buffer are small, so that the sender's buffers
// are small as well and a large message stays partly written.
class NonReadingServer {
  public:
    NonReadingServer() {
        const int segment = 536, buffer = 2048;
        setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        sockaddr_in at{};
        address_ = listen_on_loopback(listener_, 16, at);
    }
    NonReadingServer(const NonReadingServer&) = delete;
    NonReadingServer& operator=(const NonReadingServer&) = delete;
    ~NonReadingServer() {
        for (const int fd : accepted_) close(fd);
        close(listener_);
    }

    const std::string& address() const { return address_; }
    bool has_bytes() {
        for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            accepted_.push_back(fd);
        }
        char next = 0;
        for (const int fd : accepted_) {
            if (recv(fd, &next, 1, MSG_PEEK) > 0) return true;
        }
        return false;
    }
    void reset() {
        const linger now{1, 0};
        for (const int fd : accepted_) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            close(fd);
        }
        accepted_.clear();
    }

  private:
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::vector<int> accepted_;
    std::string address_;
};

}  // namespace copperfront
