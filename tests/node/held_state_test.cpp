// Guards against states that stay held past their time limit: because another attempt of the request hangs,
// because the release is lost, or because the server that holds the state is withdrawn or can't be reached.
// What counts is the time at which a running server reads a release.
#include "held_state_fixture.h"

namespace copperfront {
namespace {

// ---- the attempt after the prefill hangs

class HeldStateEffects : public testing::TestWithParam<const char*> {};

TEST_P(HeldStateEffects, HandOverWhoseConnectionIsNeverEstablished) {
    HeldStateFixture fixture(settings_with_effect(GetParam()));
    StalledListener stalled;
    auto client = fixture.send_request_with_decode_at(stalled.address(), "4000");
    fixture.expect_release_within(fixture.complete_prefill());
}

TEST_P(HeldStateEffects, HandOverThatStaysPartlyWritten) {
    HeldStateFixture fixture(settings_with_effect(GetParam()));
    NonReadingServer stalled;
    auto client = fixture.send_request_with_decode_at(stalled.address(), "4000", std::string(200000, 'a'));
    fixture.expect_release_within(fixture.complete_prefill());
}

// The attempts meet three hung servers one after the other: no further attempt extends the time limit of the
// state.
TEST_P(HeldStateEffects, SeveralServersThatHang) {
    HeldStateFixture fixture(settings_with_effect(GetParam()));
    StalledListener unreachable;
    NonReadingServer non_reading, also_non_reading;
    fixture.platform.set_address("w1", unreachable.address());
    for (const auto& [name, at] :
         {std::pair{"w2", non_reading.address()}, std::pair{"w3", also_non_reading.address()}}) {
        fixture.platform.add(name, Role::decode, "z", 1);
        fixture.platform.set_address(name, at);
    }
    fixture.wait_for_list();
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    fixture.expect_release_within(fixture.complete_prefill());
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateEffects, testing::Values("repeatable", "once"),
                         [](const auto& param) { return std::string(param.param); });

// ---- the prefill's answer is lost

class HeldStateLostAnswer : public testing::TestWithParam<const char*> {};

TEST_P(HeldStateLostAnswer, IsReleased) {
    const std::string how = GetParam();
    HeldStateFixture fixture(settings_with_effect("once"));
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "900"));
    const auto connection = fixture.wait_for_post(fixture.prefill, 1);
    const Instant ended = fixture.loop.now();
    if (how == "truncated") {
        fixture.prefill.send(connection, prefill_response().substr(0, 30));
        fixture.prefill.close(connection);
    } else if (how == "malformed") {
        fixture.prefill.send(connection, "\x01 what is this\r\n\r\n");
    } else {
        fixture.prefill.reset(connection);
    }
    // The next prefill is refused, so no attempt follows that could use the state.
    const auto next = fixture.wait_for_post(fixture.prefill, 2);
    fixture.prefill.send(next, response_of(503, "X-Unprocessed: 1\r\n", ""));
    fixture.expect_release_within(ended);
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateLostAnswer, testing::Values("truncated", "malformed", "reset"),
                         [](const auto& param) { return std::string(param.param); });

// ---- the server that holds the state drains, is removed or can't be reached

enum class HolderState { draining, removed, refuses, silent };
class HeldStateHolder : public testing::TestWithParam<HolderState> {};

TEST_P(HeldStateHolder, IsReleasedSomewhere) {
    HeldStateFixture fixture;
    StalledListener unreachable;
    fixture.platform.set_address("w1", unreachable.address());
    // A running server in addition to those that the test controls.
    fixture.platform.add("r2", Role::prefill, "z", 1);
    fixture.platform.set_status("r2", "draining");
    fixture.wait_for_list();
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    const auto connection = fixture.wait_for_post(fixture.prefill, 1);
    NonReadingServer non_reading;
    switch (GetParam()) {
        case HolderState::draining:
            fixture.platform.set_status("r1", "draining");
            break;
        case HolderState::removed:
            fixture.platform.set_status("r1", "removed");
            break;
        case HolderState::refuses:
            fixture.platform.set_address("r1", "127.0.0.1:1");
            break;
        case HolderState::silent:
            fixture.platform.set_address("r1", non_reading.address());
            break;
    }
    fixture.wait_for_list();
    fixture.prefill.send(connection, prefill_response());
    fixture.expect_release_within(fixture.loop.now());
}

INSTANTIATE_TEST_SUITE_P(Each, HeldStateHolder,
                         testing::Values(HolderState::draining, HolderState::removed, HolderState::refuses,
                                         HolderState::silent));

// The release is answered while the prefill still runs, so it is repeated for the state that the prefill
// leaves.
TEST(HeldState, ReleaseAnsweredBeforeThePrefillEndsIsRepeated) {
    HeldStateFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    const Instant request_ended = fixture.loop.now();
    fixture.wait_until("two releases", [&] { return fixture.answer_and_count_releases() >= 2; });
    EXPECT_LE((fixture.loop.now() - request_ended).ms(), kMaxHoldTime.ms());
    EXPECT_GE((fixture.loop.now() - request_ended).ms(), 250.0);
}

// Hung attempts take all connections that the gateway may have.
TEST(HeldState, IsReleasedWhileConnectionsAreUsedUp) {
    HeldStateFixture fixture(kSettings, 64);
    auto first = fixture.client();
    first->send(fixture.request_text(fixture.new_request_id(), "4000"));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    NonReadingServer non_reading;
    fixture.platform.set_address("w1", non_reading.address());
    fixture.wait_for_list();
    std::vector<std::unique_ptr<Client>> others;
    for (int n = 0; n < 60; ++n) {
        others.push_back(fixture.client());
        others.back()->send(fixture.request_text(fixture.new_request_id(), "4000"));
    }
    fixture.run_for(ms(300));
    fixture.prefill.send(prefill_connection, prefill_response());
    fixture.expect_release_within(fixture.loop.now());
}

// A repeatable request does not wait until its deadline for a silent decode server: once its state has been
// released, that server could only refuse it.
TEST(HeldState, RepeatableRequestIsRetriedElsewhereOnceItsStateIsReleased) {
    HeldStateFixture fixture;
    // First the gateway learns how long hand-overs usually take.
    constexpr std::size_t kWarmUpRequests = 8;
    for (std::size_t n = 1; n <= kWarmUpRequests; ++n) {
        auto warm_up_client = fixture.client();
        fixture.decode.send(fixture.advance_to_decode(*warm_up_client, n), whole_stream("usual"));
        fixture.wait_until("an answer", [&] { return warm_up_client->is_complete(); });
    }
    NonReadingServer non_reading;
    auto client = fixture.send_request_with_decode_at(non_reading.address(), "4000");
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, kWarmUpRequests + 1), prefill_response());
    const Instant held_since = fixture.loop.now();
    fixture.wait_until("the hand-over", [&] { return non_reading.has_bytes(); });
    fixture.platform.add("w2", Role::decode, "z", 1);
    fixture.platform.set_address("w2", fixture.decode.address());
    fixture.wait_for_list();
    fixture.wait_until("a release", [&] { return fixture.answer_and_count_releases() > 0; });
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, kWarmUpRequests + 2), prefill_response());
    fixture.decode.send(fixture.wait_for_post(fixture.decode, kWarmUpRequests + 1), whole_stream("whole"));
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
    EXPECT_LE((fixture.loop.now() - held_since).ms(), kMaxHoldTime.ms());
}

TEST(HeldState, IsReleasedAfterShutdownWasRequested) {
    HeldStateFixture fixture(settings_with_effect("once"));
    NonReadingServer non_reading;
    auto client = fixture.send_request_with_decode_at(non_reading.address(), "3000");
    const Instant held_since = fixture.complete_prefill();
    fixture.wait_until("the hand-over", [&] { return non_reading.has_bytes(); });
    fixture.node->stop();
    fixture.expect_release_within(held_since);
}

// The prefill's connection is closed after the answer, and the server closes new connections at once.
TEST(HeldState, IsReleasedElsewhereWhileItsServerAcceptsNoConnection) {
    HeldStateFixture fixture;
    NonReadingServer non_reading;
    fixture.platform.set_address("w1", non_reading.address());
    fixture.platform.add("r2", Role::prefill, "z", 1);
    fixture.platform.set_status("r2", "draining");
    fixture.wait_for_list();
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    const auto connection = fixture.wait_for_post(fixture.prefill, 1);
    fixture.prefill.close_new_connections(true);
    fixture.prefill.send(connection, response_of(202, "Connection: close\r\n", R"({"cached_tokens":8})"));
    fixture.prefill.close(connection);
    fixture.expect_release_within(fixture.loop.now());
    EXPECT_EQ(fixture.prefill.count("DELETE"), 0u);
}

// A hand-over is partly written when its server starts to drain: it was started before, so it continues, but
// it does not extend the time limit of the state.
TEST(HeldState, IsReleasedWhileAHandOverIsPartlyWrittenAtADrain) {
    HeldStateFixture fixture(settings_with_effect("once"));
    NonReadingServer stalled;
    auto client = fixture.send_request_with_decode_at(stalled.address(), "3000", std::string(200000, 'a'));
    const Instant held_since = fixture.complete_prefill();
    fixture.wait_until("a part of the hand-over is written", [&] { return stalled.has_bytes(); });
    fixture.platform.set_status("w1", "draining");
    fixture.wait_for_list();
    fixture.expect_release_within(held_since);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    EXPECT_NE(client->status(), 200);
}

}  // namespace
}  // namespace copperfront
