// A held state is taken or released in time, whatever another attempt of its request does, whatever becomes
// of the release, and whoever has to be told. What counts is when a running server reads a release.
#include "held_state_world.h"

namespace copperfront {
namespace {

// ---- what the attempt after the read does

class HeldStateEffects : public testing::TestWithParam<const char*> {};

TEST_P(HeldStateEffects, HandOverWhoseConnectionNeverComesUp) {
    HeldStateWorld w(settings_with_effect(GetParam()));
    StalledListener stalled;
    auto client = w.ask_with_decode_at(stalled.address(), "4000");
    w.expect_release_within(w.end_prefill());
}

TEST_P(HeldStateEffects, HandOverThatStaysHalfWritten) {
    HeldStateWorld w(settings_with_effect(GetParam()));
    StalledReader stalled;
    auto client = w.ask_with_decode_at(stalled.address(), "4000", std::string(200000, 'a'));
    w.expect_release_within(w.end_prefill());
}

// Three servers hang, one after the other is met: no attempt gives the state more time.
TEST_P(HeldStateEffects, SeveralServersThatHang) {
    HeldStateWorld w(settings_with_effect(GetParam()));
    StalledListener never_up;
    StalledReader unread, also_unread;
    w.platform.point("w1", never_up.address());
    for (const auto& [name, at] :
         {std::pair{"w2", unread.address()}, std::pair{"w3", also_unread.address()}}) {
        w.platform.add(name, Role::writer, "z", 1);
        w.platform.point(name, at);
    }
    w.wait_for_list();
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    w.expect_release_within(w.end_prefill());
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateEffects, testing::Values("repeatable", "once"),
                         [](const auto& param) { return std::string(param.param); });

// ---- how the prefill's answer is lost

class HeldStateLostAnswer : public testing::TestWithParam<const char*> {};

TEST_P(HeldStateLostAnswer, IsReleased) {
    const std::string how = GetParam();
    HeldStateWorld w(settings_with_effect("once"));
    auto client = w.client();
    client->say(w.call(w.fresh(), "900"));
    const auto connection = w.wait_for_post(w.prefill, 1);
    const Instant ended = w.loop.now();
    if (how == "cut") {
        w.prefill.send(connection, prefill_response().substr(0, 30));
        w.prefill.close(connection);
    } else if (how == "spoilt") {
        w.prefill.send(connection, "\x01 what is this\r\n\r\n");
    } else {
        w.prefill.reset(connection);
    }
    // The next prefill is turned away, so nothing follows that could take the state.
    const auto next = w.wait_for_post(w.prefill, 2);
    w.prefill.send(next, response_of(503, "X-Unprocessed: 1\r\n", ""));
    w.expect_release_within(ended);
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateLostAnswer, testing::Values("cut", "spoilt", "reset"),
                         [](const auto& param) { return std::string(param.param); });

// ---- who has to be told, and what becomes of the release

enum class Holder { draining, removed, refuses, silent };
class HeldStateHolder : public testing::TestWithParam<Holder> {};

TEST_P(HeldStateHolder, IsReleasedSomewhere) {
    HeldStateWorld w;
    StalledListener never_up;
    w.platform.point("w1", never_up.address());
    // A running server beside those that the test holds.
    w.platform.add("r2", Role::reader, "z", 1);
    w.platform.set("r2", "draining");
    w.wait_for_list();
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    const auto connection = w.wait_for_post(w.prefill, 1);
    StalledReader unread;
    switch (GetParam()) {
        case Holder::draining:
            w.platform.set("r1", "draining");
            break;
        case Holder::removed:
            w.platform.set("r1", "removed");
            break;
        case Holder::refuses:
            w.platform.point("r1", "127.0.0.1:1");
            break;
        case Holder::silent:
            w.platform.point("r1", unread.address());
            break;
    }
    w.wait_for_list();
    w.prefill.send(connection, prefill_response());
    w.expect_release_within(w.loop.now());
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateHolder,
                         testing::Values(Holder::draining, Holder::removed, Holder::refuses, Holder::silent));

// It is answered while the read still runs, so it is told once more for the state that comes after it.
TEST(HeldState, ReleaseAnsweredBeforeTheReadEndsIsRepeated) {
    HeldStateWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.until("a final answer", [&] { return client->status() != 0; });
    const Instant over = w.loop.now();
    w.until("two releases", [&] { return w.releases() >= 2; });
    EXPECT_LE((w.loop.now() - over).ms(), kHeldAtMost.ms());
    EXPECT_GE((w.loop.now() - over).ms(), 250.0);
}

// All connections that the gateway may have are taken by attempts that hang.
TEST(HeldState, IsReleasedWhileConnectionsAreUsedUp) {
    HeldStateWorld w(kSettings, 64);
    auto first = w.client();
    first->say(w.call(w.fresh(), "4000"));
    const auto reading = w.wait_for_post(w.prefill, 1);
    StalledReader unread;
    w.platform.point("w1", unread.address());
    w.wait_for_list();
    std::vector<std::unique_ptr<Client>> others;
    for (int n = 0; n < 60; ++n) {
        others.push_back(w.client());
        others.back()->say(w.call(w.fresh(), "4000"));
    }
    w.pass(ms(300));
    w.prefill.send(reading, prefill_response());
    w.expect_release_within(w.loop.now());
}

// What may simply be repeated does not wait to its deadline for a server that says nothing: once its state
// has been released, that server could only turn it away.
TEST(HeldState, RepeatableRequestGoesElsewhereOnceItsStateIsReleased) {
    HeldStateWorld w;
    // Once it is known how long hand-overs usually take.
    constexpr std::size_t kUsual = 8;
    for (std::size_t n = 1; n <= kUsual; ++n) {
        auto usual = w.client();
        w.decode.send(w.up_to_decode(*usual, n), whole_stream("usual"));
        w.until("an answer", [&] { return usual->whole(); });
    }
    StalledReader unread;
    auto client = w.ask_with_decode_at(unread.address(), "4000");
    w.prefill.send(w.wait_for_post(w.prefill, kUsual + 1), prefill_response());
    const Instant held_since = w.loop.now();
    w.until("the hand-over", [&] { return unread.has_bytes(); });
    w.platform.add("w2", Role::writer, "z", 1);
    w.platform.point("w2", w.decode.address());
    w.wait_for_list();
    w.until("a release", [&] { return w.releases() > 0; });
    w.prefill.send(w.wait_for_post(w.prefill, kUsual + 2), prefill_response());
    w.decode.send(w.wait_for_post(w.decode, kUsual + 1), whole_stream("whole"));
    w.until("the answer", [&] { return client->whole(); });
    EXPECT_LE((w.loop.now() - held_since).ms(), kHeldAtMost.ms());
}

TEST(HeldState, IsReleasedAfterShutdownWasAsked) {
    HeldStateWorld w(settings_with_effect("once"));
    StalledReader unread;
    auto client = w.ask_with_decode_at(unread.address(), "3000");
    const Instant held_since = w.end_prefill();
    w.until("the hand-over", [&] { return unread.has_bytes(); });
    w.node->stop();
    w.expect_release_within(held_since);
}

// The connection on which it was answered is not kept, and new ones are closed by the server at once.
TEST(HeldState, IsReleasedElsewhereWhileItsServerTakesNoFurtherConnection) {
    HeldStateWorld w;
    StalledReader unread;
    w.platform.point("w1", unread.address());
    w.platform.add("r2", Role::reader, "z", 1);
    w.platform.set("r2", "draining");
    w.wait_for_list();
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    const auto connection = w.wait_for_post(w.prefill, 1);
    w.prefill.close_new_connections(true);
    w.prefill.send(connection, response_of(202, "Connection: close\r\n", R"({"cached_tokens":8})"));
    w.prefill.close(connection);
    w.expect_release_within(w.loop.now());
    EXPECT_EQ(w.prefill.count("DELETE"), 0u);
}

// A hand-over of which half is written when its server begins to drain: it was sent before, so it stays, and
// stops no clock.
TEST(HeldState, IsReleasedWhileAHandOverIsHalfWrittenAtADrain) {
    HeldStateWorld w(settings_with_effect("once"));
    StalledReader stalled;
    auto client = w.ask_with_decode_at(stalled.address(), "3000", std::string(200000, 'a'));
    const Instant held_since = w.end_prefill();
    w.until("half of the hand-over", [&] { return stalled.has_bytes(); });
    w.platform.set("w1", "draining");
    w.wait_for_list();
    w.expect_release_within(held_since);
    w.until("a final answer", [&] { return client->status() != 0; });
    EXPECT_NE(client->status(), 200);
}

}  // namespace
}  // namespace copperfront
