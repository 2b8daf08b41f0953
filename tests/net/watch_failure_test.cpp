// Connections for which epoll registration fails temporarily.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>

#include "net/line_connection.h"
#include "net/stream.h"
#include "tests/node/raw_client.h"

namespace {
int registrations_to_fail = 0;  // number of the next registrations that fail
}

// Replaces the C library's function in this program.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
    if (operation != EPOLL_CTL_DEL && registrations_to_fail > 0) {
        --registrations_to_fail;
        errno = ENOSPC;
        return -1;
    }
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace copperfront {
namespace {

constexpr Duration kTimeout{2000000};

// Accepts a connection whose first registrations fail, and stops the loop at its first bytes.
struct Receiver : Stream::Owner {
    Loop loop;
    std::unique_ptr<Stream> stream;
    std::string received;
    std::unique_ptr<Listener> listener;

    explicit Receiver(int connection_failures) {
        listener = std::make_unique<Listener>(loop, Address::parse("127.0.0.1:0"),
                                              [this, connection_failures](int fd) {
                                                  registrations_to_fail = connection_failures;
                                                  stream = Stream::accepted(loop, fd, {0, 0}, *this);
                                              });
    }
    ~Receiver() override { Stream::detach_and_close(loop, std::move(stream), false); }
    void bytes_received(Stream& from) override {
        received.append(from.front());
        from.drain(from.buffered());
        loop.stop();
    }
    void stream_closed(Stream&, CloseReason, const std::string&) override { loop.stop(); }
    void run_until_received() {
        Timer timeout(loop, [this] { loop.stop(); });
        timeout.set(kTimeout);
        loop.run();
    }
};

// Guards against a request that is never read.
TEST(RegistrationFailure, OfAConnectionIsRetried) {
    for (const int failures : {1, 3}) {
        Receiver receiver(failures);
        RawClient peer(receiver.listener->address());
        peer.send("hello");
        receiver.run_until_received();
        EXPECT_EQ(receiver.received, "hello") << failures;
        EXPECT_EQ(registrations_to_fail, 0);
    }
}

// Guards against a gateway that starts but never accepts a connection.
TEST(RegistrationFailure, OfAListenerIsRetried) {
    registrations_to_fail = 2;
    Receiver receiver(0);
    RawClient peer(receiver.listener->address());
    peer.send("hello");
    receiver.run_until_received();
    EXPECT_EQ(receiver.received, "hello");
}

}  // namespace
}  // namespace copperfront
