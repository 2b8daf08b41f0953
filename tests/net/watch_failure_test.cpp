// Connections that the system has no room to watch for a moment.
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>

#include "net/link.h"
#include "net/stream.h"
#include "tests/node/raw_client.h"

namespace {
int watches_to_fail = 0;  // new ones, from now on
}

// In place of the C library's, for this program alone.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
    if (operation != EPOLL_CTL_DEL && watches_to_fail > 0) {
        --watches_to_fail;
        errno = ENOSPC;
        return -1;
    }
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace copperfront {
namespace {

constexpr Span kPatience{2000000};

// Takes a connection, of which so many watches fail, and stops the loop at its first bytes.
struct Receiver : Stream::Owner {
    Loop loop;
    std::unique_ptr<Stream> stream;
    std::string heard;
    std::unique_ptr<Listener> listener;

    explicit Receiver(int failures_of_connection) {
        listener = std::make_unique<Listener>(loop, Address::parse("127.0.0.1:0"),
                                              [this, failures_of_connection](int fd) {
                                                  watches_to_fail = failures_of_connection;
                                                  stream = Stream::accepted(loop, fd, {0, 0}, *this);
                                              });
    }
    ~Receiver() override { Stream::hand_off(loop, std::move(stream), false); }
    void bytes_came(Stream& from) override {
        heard.append(from.front());
        from.drain(from.held());
        loop.stop();
    }
    void stream_closed(Stream&, Closing, const std::string&) override { loop.stop(); }
    void run_until_heard() {
        Timer patience(loop, [this] { loop.stop(); });
        patience.set(kPatience);
        loop.run();
    }
};

// Against a request that is never read.
TEST(WatchFailure, OfAConnectionIsTriedAgain) {
    for (const int failures : {1, 3}) {
        Receiver receiver(failures);
        RawClient peer(receiver.listener->address());
        peer.say("hello");
        receiver.run_until_heard();
        EXPECT_EQ(receiver.heard, "hello") << failures;
        EXPECT_EQ(watches_to_fail, 0);
    }
}

// Against a gateway that starts and never takes a connection.
TEST(WatchFailure, OfAListenerIsTriedAgain) {
    watches_to_fail = 2;
    Receiver receiver(0);
    RawClient peer(receiver.listener->address());
    peer.say("hello");
    receiver.run_until_heard();
    EXPECT_EQ(receiver.heard, "hello");
}

}  // namespace
}  // namespace copperfront
