// A client on a plain socket that connects synchronously. What it sends is in the kernel's buffers at once,
// before the event loop runs, so that a test can place bytes or a close between two steps of the gateway.
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
    enum class Buffers { normal, small };

    // Small buffers and segments here keep the sender's small as well, so that most of a large answer stays
    // with the gateway while nothing is read.
    explicit RawClient(const Address& to, Buffers buffers = Buffers::normal) {
        if (buffers == Buffers::small) {
            const int segment = 536, bytes = 2048;
            setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        }
        sockaddr_storage raw{};
        const int length = to.fill_sockaddr(&raw);
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

    void send(const std::string& text) const {
        const ssize_t written = write(fd_, text.data(), text.size());
        assert(written == static_cast<ssize_t>(text.size()));
        (void)written;
    }
    // Closes the sending direction; answers can still be read.
    void half_close() const { shutdown(fd_, SHUT_WR); }
    void disconnect() {
        close(fd_);
        fd_ = -1;
    }
    // Closes the connection so that the peer sees a reset instead of a graceful close.
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        disconnect();
    }

    // Returns the number of bytes received since the last call, or -1 if the connection was reset. `ended`:
    // the peer has closed the connection.
    std::ptrdiff_t receive(bool& ended, std::size_t max_bytes = 1 << 20) {
        std::string bytes(max_bytes, 0);
        const ssize_t n = read(fd_, bytes.data(), bytes.size());
        ended = n == 0;
        if (n > 0) received_.append(bytes, 0, static_cast<std::size_t>(n));
        if (n >= 0) return n;
        return errno == EAGAIN ? 0 : -1;
    }
    // All bytes received so far, including what this call reads.
    const std::string& received() {
        bool ended = false;
        while (receive(ended) > 0) {
        }
        was_reset_ = was_reset_ || (!ended && receive(ended) < 0);
        has_ended_ = has_ended_ || ended;
        return received_;
    }
    bool has_ended() {
        received();
        return has_ended_;
    }
    bool was_reset() {
        received();
        return was_reset_;
    }

  private:
    int fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string received_;
    bool has_ended_ = false, was_reset_ = false;
};

}  // namespace copperfront
