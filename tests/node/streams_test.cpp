// Guards against stream events that are delayed or batched: the client receives each event before the server
// sends the next.
#include <ctime>

#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

constexpr Duration kMaxEventDelay = ms(300);

// Sends events one at a time, each after the client has received the one before; returns the longest delay of
// an event.
Duration longest_delay(ScriptedGatewayFixture& fixture, ScriptedGatewayFixture::Connection decode_connection,
                       Client& client, int events) {
    Duration longest;
    for (int n = 0; n < events; ++n) {
        const std::string content = "event-" + std::to_string(n) + "-";
        const Instant sent = fixture.loop.now();
        fixture.decode.send(decode_connection, (n == 0 ? stream_start() : "") + event_of(content));
        fixture.wait_until("the event", [&] { return client.received.find(content) != std::string::npos; });
        longest = std::max(longest, fixture.loop.now() - sent);
    }
    return longest;
}

TEST(Stream, EachEventIsForwardedBeforeTheNext) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    EXPECT_LT(longest_delay(fixture, decode_connection, *client, 20), kMaxEventDelay);
}

TEST(Stream, ClientThatDoesNotReadDelaysNoOtherClient) {
    ScriptedGatewayFixture fixture;
    auto slow = fixture.client(), client = fixture.client();
    const auto slow_decode_connection = fixture.advance_to_decode(*slow);
    slow->stream->pause_reading(true);
    fixture.decode.send(slow_decode_connection, stream_start());
    for (int n = 0; n < 2000; ++n)
        fixture.decode.send(slow_decode_connection, event_of(std::string(1000, 'x')));
    fixture.run_for(ms(30));
    const auto decode_connection = fixture.advance_to_decode(*client, 2);
    EXPECT_LT(longest_delay(fixture, decode_connection, *client, 20), kMaxEventDelay);
}

// Guards against a class that does not ask for streams getting the last chunk alone, without status and
// events.
TEST(Stream, ClassThatDoesNotAskForStreamsGetsItsEvents) {
    ScriptedGatewayFixture fixture(with_setting(kSettings, R"(,"stream":true)", ""));
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    fixture.decode.send(decode_connection, whole_stream("content"));
    fixture.wait_until("the end of the answer", [&] {
        return client->closed || client->received.find("0\r\n\r\n") != std::string::npos;
    });
    EXPECT_EQ(client->status(), 200);
    EXPECT_TRUE(client->is_complete());
    EXPECT_NE(client->received.find("content"), std::string::npos);
}

// Lists of a hundred servers arrive all the time.
TEST(Stream, LargeListsDelayNoEvent) {
    ScriptedGatewayFixture fixture;
    for (int n = 0; n < 100; ++n) fixture.platform.add("many-" + std::to_string(n), Role::decode, "z", n % 7);
    for (int n = 0; n < 100; ++n) fixture.platform.set_status("many-" + std::to_string(n), "draining");
    fixture.wait_for_list();
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    Duration longest;
    for (int n = 0; n < 10; ++n) {
        fixture.platform.reset_watches();
        const std::string content = "event-" + std::to_string(n) + "-";
        const Instant sent = fixture.loop.now();
        fixture.decode.send(decode_connection, (n == 0 ? stream_start() : "") + event_of(content));
        fixture.wait_until("the event", [&] { return client->received.find(content) != std::string::npos; });
        longest = std::max(longest, fixture.loop.now() - sent);
        fixture.run_for(ms(20));
    }
    EXPECT_LT(longest, kMaxEventDelay);
}

// Guards against a server that writes slowly being taken for a silent one: an event that arrives byte by byte
// for longer than a server may be silent is passed on whole, and so is the end.
TEST(Stream, EventThatIsWrittenByteByByteIsPassedOnWhole) {
    constexpr Duration kTransferTime = ms(6500), kBetweenBytes = ms(100);
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    fixture.decode.send(decode_connection, stream_start() + event_of("first"));
    fixture.wait_until("the first event",
                       [&] { return client->received.find("first") != std::string::npos; });
    const std::string event = event_of("slow-" + std::string(20, 'x'));
    const auto bytes = static_cast<std::size_t>(kTransferTime / kBetweenBytes);
    for (std::size_t n = 0; n < bytes && !client->closed; ++n) {
        fixture.decode.send(decode_connection, event.substr(n, 1));
        fixture.run_for(kBetweenBytes);
    }
    ASSERT_FALSE(client->closed) << "the stream was cut off while its server was writing";
    fixture.decode.send(decode_connection, event.substr(bytes) + stream_end());
    fixture.wait_until("the end of the answer", [&] { return client->closed || client->is_complete(); });
    EXPECT_TRUE(client->is_complete());
    EXPECT_NE(client->received.find("slow-"), std::string::npos);
}

// A stream that only pauses continues; one that its server closes in the middle must not look complete.
TEST(Stream, PauseIsDistinguishedFromATruncation) {
    for (const bool cut : {false, true}) {
        ScriptedGatewayFixture fixture;
        auto client = fixture.client();
        const auto decode_connection = fixture.advance_to_decode(*client);
        fixture.decode.send(decode_connection, stream_start() + event_of("one"));
        fixture.wait_until("the first event",
                           [&] { return client->received.find("one") != std::string::npos; });
        fixture.run_for(ms(2500));
        cut ? fixture.decode.close(decode_connection)
            : fixture.decode.send(decode_connection, event_of("two") + stream_end());
        fixture.wait_until("the end of the answer", [&] { return client->closed || client->is_complete(); });
        EXPECT_EQ(client->is_complete(), !cut);
    }
}

}  // namespace
}  // namespace copperfront
