// Streams of bytes at the edges of what the system tells about a connection.
#include "net/stream.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "net/link.h"
#include "tests/node/raw_client.h"

namespace copperfront {
namespace {

// Takes one connection and keeps what comes on it.
struct Receiver : Stream::Owner {
    Loop loop;
    std::unique_ptr<Stream> stream;
    std::string heard;
    std::optional<Closing> closed;
    Listener listener{loop, Address::parse("127.0.0.1:0"), [this](int fd) {
                          stream = Stream::accepted(loop, fd, {0, 0}, *this);
                      }};

    ~Receiver() override { Stream::hand_off(loop, std::move(stream), false); }
    void bytes_came(Stream& s) override {
        while (s.held() > 0) {
            heard.append(s.front());
            s.drain(s.front().size());
        }
    }
    void stream_closed(Stream&, Closing why, const std::string&) override {
        closed = why;
        loop.stop();
    }
    void run_until_closed() {
        Timer patience(loop, [this] { loop.stop(); });
        patience.set(Span{5000000});
        loop.run();
    }
};

// Against an answer without a length that is cut by a reset and taken for whole: the system tells a reset
// once, and then an end.
TEST(Stream, ResetBehindManyBytesIsNoOrderlyEnd) {
    for (const std::size_t bytes : {std::size_t{100}, std::size_t{20000}}) {
        Receiver receiver;
        RawClient peer(receiver.listener.address());
        peer.say(std::string(bytes, 'x'));
        peer.reset();
        receiver.run_until_closed();
        ASSERT_TRUE(receiver.closed.has_value());
        EXPECT_EQ(*receiver.closed, Closing::broken) << bytes << " bytes";
    }
}

TEST(Stream, EndBehindManyBytesIsAnOrderlyEnd) {
    Receiver receiver;
    RawClient peer(receiver.listener.address());
    peer.say(std::string(20000, 'x'));
    peer.leave();
    receiver.run_until_closed();
    ASSERT_TRUE(receiver.closed.has_value());
    EXPECT_EQ(*receiver.closed, Closing::peer_ended);
    EXPECT_EQ(receiver.heard.size(), 20000u);
}

}  // namespace
}  // namespace copperfront
