// A client on a plain blocking-connect socket. What it sends lies in the system at once, before the event
// loop has come to it, so that a test can put bytes or an end between two steps of the gateway.
#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <string>

#include "net/address.h"

namespace copperfront {

class RawClient {
  public:
    enum class Buffers { usual, small };

    // With small buffers and segments here, the sender's are small as well, and most of a large answer stays
    // with the gateway while nothing is read.
    explicit RawClient(const Address& to, Buffers buffers = Buffers::usual) {
        if (buffers == Buffers::small) {
            const int segment = 536, bytes = 2048;
            setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        }
        sockaddr_storage raw{};
        const int length = to.fill(&raw);
        const int connected = connect(fd_, reinterpret_cast<sockaddr*>(&raw), static_cast<socklen_t>(length));
        assert(connected == 0);
        (void)connected;
        fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;
    ~RawClient() {
        if (fd_ >= 0) close(fd_);
    }

    void say(const std::string& text) const {
        const ssize_t written = write(fd_, text.data(), text.size());
        assert(written == static_cast<ssize_t>(text.size()));
        (void)written;
    }
    // Sends an end and stays to read.
    void end_sending() const { shutdown(fd_, SHUT_WR); }
    void leave() {
        close(fd_);
        fd_ = -1;
    }
    // The peer sees a reset instead of an end.
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        leave();
    }

    // Bytes that have come since the last call; -1: the connection was reset. `ended`: its end has come.
    std::ptrdiff_t hear(bool& ended, std::size_t most = 1 << 20) {
        std::string bytes(most, 0);
        const ssize_t n = read(fd_, bytes.data(), bytes.size());
        ended = n == 0;
        if (n > 0) heard_.append(bytes, 0, static_cast<std::size_t>(n));
        if (n >= 0) return n;
        return errno == EAGAIN ? 0 : -1;
    }
    // All that has come so far, this call's included.
    const std::string& heard() {
        bool ended = false;
        while (hear(ended) > 0) {
        }
        was_reset_ = was_reset_ || (!ended && hear(ended) < 0);
        has_ended_ = has_ended_ || ended;
        return heard_;
    }
    bool has_ended() {
        heard();
        return has_ended_;
    }
    bool was_reset() {
        heard();
        return was_reset_;
    }

  private:
    int fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string heard_;
    bool has_ended_ = false, was_reset_ = false;
};

}  // namespace copperfront
