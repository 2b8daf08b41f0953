// Byte streams in the less common states of a connection.
#include "net/stream.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "net/line_connection.h"
#include "tests/node/raw_client.h"

namespace copperfront {
namespace {

// Accepts one connection and stores the bytes received on it.
struct Receiver : Stream::Owner {
    Loop loop;
    std::unique_ptr<Stream> stream;
    std::string received;
    std::optional<CloseReason> closed;
    Listener listener{loop, Address::parse("127.0.0.1:0"), [this](int fd) {
                          stream = Stream::accepted(loop, fd, {0, 0}, *this);
                      }};

    ~Receiver() override { Stream::detach_and_close(loop, std::move(stream), false); }
    void bytes_received(Stream& s) override {
        while (s.buffered() > 0) {
            received.append(s.front());
            s.drain(s.front().size());
        }
    }
    void stream_closed(Stream&, CloseReason why, const std::string&) override {
        closed = why;
        loop.stop();
    }
    void run_until_closed() {
        Timer timeout(loop, [this] { loop.stop(); });
        timeout.set(Duration{5000000});
        loop.run();
    }
};

// Guards against accepting a response without a length as complete although a reset truncated it: the system
// reports a reset only once, and an end of stream afterwards.
TEST(Stream, ResetAfterManyBytesIsNotAnOrderlyClose) {
    for (const std::size_t bytes : {std::size_t{100}, std::size_t{20000}}) {
        Receiver receiver;
        RawClient peer(receiver.listener.address());
        peer.send(std::string(bytes, 'x'));
        peer.reset();
        receiver.run_until_closed();
        ASSERT_TRUE(receiver.closed.has_value());
        EXPECT_EQ(*receiver.closed, CloseReason::broken) << bytes << " bytes";
    }
}

TEST(Stream, CloseAfterManyBytesIsAnOrderlyClose) {
    Receiver receiver;
    RawClient peer(receiver.listener.address());
    peer.send(std::string(20000, 'x'));
    peer.disconnect();
    receiver.run_until_closed();
    ASSERT_TRUE(receiver.closed.has_value());
    EXPECT_EQ(*receiver.closed, CloseReason::peer_closed);
    EXPECT_EQ(receiver.received.size(), 20000u);
}

// Answers each message with `reply_bytes` bytes.
struct Replier : Stream::Owner {
    Loop loop;
    const std::size_t reply_bytes;
    std::unique_ptr<Stream> stream;
    std::optional<std::size_t> unsent_after_event;
    std::optional<CloseReason> closed;
    int times_all_sent = 0;
    Listener listener{loop, Address::parse("127.0.0.1:0"), [this](int fd) {
                          stream = Stream::accepted(loop, fd, {0, 0}, *this);
                      }};

    explicit Replier(std::size_t bytes) : reply_bytes(bytes) {}
    ~Replier() override { Stream::detach_and_close(loop, std::move(stream), false); }
    void bytes_received(Stream& s) override {
        s.drain(s.buffered());
        s.send(std::string(reply_bytes / 2, 'a'));
        s.send(std::string(reply_bytes - reply_bytes / 2, 'b'));
        loop.post([this] { unsent_after_event = stream->unsent(); });
    }
    void all_sent(Stream&) override { ++times_all_sent; }
    void stream_closed(Stream&, CloseReason why, const std::string&) override { closed = why; }
    void run_for(Duration span) {
        Timer timer(loop, [this] { loop.stop(); });
        timer.set(span);
        loop.run();
    }
};

// Guards against a response that is written only in the next turn of the loop, after the other work of that
// turn.
TEST(Stream, BytesSentWithinAnEventAreWrittenByItsEnd) {
    Replier replier(1000);
    RawClient peer(replier.listener.address());
    peer.send("x");
    replier.run_for(Duration{50000});
    ASSERT_TRUE(replier.unsent_after_event.has_value());
    EXPECT_EQ(*replier.unsent_after_event, 0u);
    EXPECT_EQ(replier.times_all_sent, 1);
    EXPECT_EQ(peer.received(), std::string(500, 'a') + std::string(500, 'b'));
}

TEST(Stream, BytesBeyondTheSocketBufferFollowInOrder) {
    constexpr std::size_t kBytes = 32 << 20;
    Replier replier(kBytes);
    RawClient peer(replier.listener.address());
    peer.send("x");
    replier.run_for(Duration{50000});
    ASSERT_TRUE(replier.unsent_after_event.has_value());
    EXPECT_GT(*replier.unsent_after_event, 0u);
    EXPECT_EQ(replier.times_all_sent, 0);
    for (int turn = 0; turn < 5000 && peer.received().size() < kBytes; ++turn)
        replier.run_for(Duration{1000});
    EXPECT_TRUE(peer.received() == std::string(kBytes / 2, 'a') + std::string(kBytes / 2, 'b'));
    EXPECT_EQ(replier.times_all_sent, 1);
}

// A withdrawn attempt counts as never sent, so that another one may follow.
TEST(Stream, BytesDroppedWithinTheEventThatSentThemAreNeverWritten) {
    for (const bool reset : {true, false}) {
        Replier replier(10);
        RawClient peer(replier.listener.address());
        peer.send("x");
        replier.run_for(Duration{20000});
        ASSERT_TRUE(replier.stream);
        {
            const Loop::Event event(replier.loop, "test");
            replier.stream->send("withdrawn");
            if (reset)
                Stream::reset(replier.loop, std::move(replier.stream));
            else
                Stream::detach_and_close(replier.loop, std::move(replier.stream), false);
        }
        replier.run_for(Duration{20000});
        EXPECT_EQ(peer.received().size(), 10u) << (reset ? "reset" : "closed");
    }
}

// Guards against one system call per piece when many are sent, which leaves a busy loop no time for other
// connections.
TEST(Stream, ManySmallPiecesAreWrittenTogether) {
    constexpr int kPieces = 200;
    Replier replier(10);
    RawClient peer(replier.listener.address());
    peer.send("x");
    replier.run_for(Duration{20000});
    ASSERT_TRUE(replier.stream);
    replier.times_all_sent = 0;
    for (int n = 0; n < kPieces; ++n) replier.loop.post([&replier] { replier.stream->send("c"); });
    replier.run_for(Duration{50000});
    EXPECT_EQ(peer.received().size(), 10u + kPieces);
    EXPECT_LE(replier.times_all_sent, 5);
}

// The system reports a reset only once, possibly to the write.
TEST(Stream, ResetDetectedByAWriteIsNotAnOrderlyClose) {
    Replier replier(100);
    RawClient peer(replier.listener.address());
    peer.send("x");
    replier.run_for(Duration{20000});
    ASSERT_TRUE(replier.stream);
    peer.reset();
    {
        const Loop::Event event(replier.loop, "test");
        replier.stream->send("more");
    }
    replier.run_for(Duration{50000});
    ASSERT_TRUE(replier.closed.has_value());
    EXPECT_EQ(*replier.closed, CloseReason::broken);
}

}  // namespace
}  // namespace copperfront
