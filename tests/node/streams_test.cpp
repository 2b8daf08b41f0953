// Events of a stream pass on as they come: each one is heard by the client before the server sends the next,
// so that none can be held back or lumped with another.
#include <ctime>

#include "scripted_world.h"

namespace copperfront {
namespace {

constexpr Span kPassedOnWithin = ms(300);

// Sends events one at a time, each after the client has heard the one before; returns the longest that one
// took.
Span longest_of(ScriptedWorld& w, ScriptedWorld::Connection writing, Client& client, int events) {
    Span longest;
    for (int n = 0; n < events; ++n) {
        const std::string content = "event-" + std::to_string(n) + "-";
        const Instant sent = w.loop.now();
        w.decode.send(writing, (n == 0 ? stream_start() : "") + event_of(content));
        w.until("the event", [&] { return client.heard.find(content) != std::string::npos; });
        longest = std::max(longest, w.loop.now() - sent);
    }
    return longest;
}

TEST(Stream, EachEventIsPassedOnBeforeTheNext) {
    ScriptedWorld w;
    auto client = w.client();
    const auto writing = w.up_to_decode(*client);
    EXPECT_LT(longest_of(w, writing, *client, 20), kPassedOnWithin);
}

TEST(Stream, ClientThatDoesNotReadDelaysNobodyElse) {
    ScriptedWorld w;
    auto slow = w.client(), client = w.client();
    const auto slow_writing = w.up_to_decode(*slow);
    slow->stream->pause_reading(true);
    w.decode.send(slow_writing, stream_start());
    for (int n = 0; n < 2000; ++n) w.decode.send(slow_writing, event_of(std::string(1000, 'x')));
    w.pass(ms(30));
    const auto writing = w.up_to_decode(*client, 2);
    EXPECT_LT(longest_of(w, writing, *client, 20), kPassedOnWithin);
}

// Lists of a hundred servers come all the time.
TEST(Stream, LargeListsDelayNoEvent) {
    ScriptedWorld w;
    for (int n = 0; n < 100; ++n) w.platform.add("many-" + std::to_string(n), Role::writer, "z", n % 7);
    for (int n = 0; n < 100; ++n) w.platform.set("many-" + std::to_string(n), "draining");
    w.wait_for_list();
    auto client = w.client();
    const auto writing = w.up_to_decode(*client);
    Span longest;
    for (int n = 0; n < 10; ++n) {
        w.platform.watches_are_reset();
        const std::string content = "event-" + std::to_string(n) + "-";
        const Instant sent = w.loop.now();
        w.decode.send(writing, (n == 0 ? stream_start() : "") + event_of(content));
        w.until("the event", [&] { return client->heard.find(content) != std::string::npos; });
        longest = std::max(longest, w.loop.now() - sent);
        w.pass(ms(20));
    }
    EXPECT_LT(longest, kPassedOnWithin);
}

// A stream that only rests goes on; one whose server ends it in its middle does not end whole.
TEST(Stream, RestIsToldFromACut) {
    for (const bool cut : {false, true}) {
        ScriptedWorld w;
        auto client = w.client();
        const auto writing = w.up_to_decode(*client);
        w.decode.send(writing, stream_start() + event_of("one"));
        w.until("the first event", [&] { return client->heard.find("one") != std::string::npos; });
        w.pass(ms(2500));
        cut ? w.decode.close(writing) : w.decode.send(writing, event_of("two") + stream_end());
        w.until("the end", [&] { return client->closed || client->whole(); });
        EXPECT_EQ(client->whole(), !cut);
    }
}

}  // namespace
}  // namespace copperfront
