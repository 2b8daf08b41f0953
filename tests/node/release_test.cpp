// States that a prefill may have left are released, and never the state of a later prefill of the same
// request: a release names the request and frees whatever any server holds for it.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

// The first prefill's answer is lost, so it may have left a state, and the request is prefilled again. A
// release sent now could reach its server after the second prefill has begun there.
TEST(Release, IsNotSentWhileAnotherPrefillOfItsRequestFollows) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    const auto first = fixture.wait_for_post(fixture.prefill, 1);
    fixture.prefill.reset(first);
    const auto second = fixture.wait_for_post(fixture.prefill, 2);
    fixture.run_for(ms(400));
    EXPECT_EQ(fixture.prefill.count("DELETE") + fixture.decode.count("DELETE"), 0u);
    fixture.prefill.send(second, prefill_response());
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    fixture.run_for(ms(200));
    EXPECT_EQ(fixture.prefill.count("DELETE") + fixture.decode.count("DELETE"), 0u);
    fixture.decode.send(decode_connection, whole_stream("whole"));
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
}

// No attempt follows: the release is sent well within the time that a state may be held, and repeated because
// the prefill's end was not reported; it does not go first to the server that did not answer.
TEST(Release, IsSentTwiceElsewhereOnceItsRequestHasEnded) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    const Instant request_ended = fixture.loop.now();
    std::size_t at_prefill = 0, at_decode = 0;
    fixture.wait_until("both releases", [&] {
        fixture.answer_releases(fixture.prefill, at_prefill);
        fixture.answer_releases(fixture.decode, at_decode);
        return fixture.prefill.count("DELETE") + fixture.decode.count("DELETE") == 2;
    });
    EXPECT_LT(fixture.loop.now() - request_ended, ms(600));
    EXPECT_GE(fixture.decode.count("DELETE"), 1u);
    fixture.wait_until("no release is owed", [&] { return fixture.node->upstreams().owed_releases() == 0; });
}

// The hold time of the settings, with the slack that a gateway is allowed and some for a busy machine.
constexpr Duration kMaxHoldTime = ms(1300);

// The kernel of a decode server accepts the bytes while its process reads none of them: the hand-over has not
// reached a running server, so it does not extend the time limit of the state. The state is released in time,
// whatever the effect of the service class.
class UnreadHandOver : public testing::TestWithParam<const char*> {};

TEST_P(UnreadHandOver, ReleasesTheStateInTime) {
    ScriptedGatewayFixture fixture(settings_with_effect(GetParam()));
    NonReadingServer hung;
    fixture.platform.set_address("w1", hung.address());
    fixture.wait_for_list();
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    const Instant prefill_ended = fixture.loop.now();
    fixture.wait_until("the hand-over is unread in the socket of the hung server",
                       [&] { return hung.has_bytes(); });
    std::size_t answered = 0;
    fixture.wait_until("a release", [&] {
        fixture.answer_releases(fixture.prefill, answered);
        return fixture.prefill.count("DELETE") > 0;
    });
    EXPECT_LE((fixture.loop.now() - prefill_ended).ms(), kMaxHoldTime.ms());
}

// The same for a second prefill: the first may have left a state, and the second is unread in the socket of a
// hung server.
TEST(Release, IsNotDelayedByASecondPrefillAtAHungServer) {
    ScriptedGatewayFixture fixture;
    NonReadingServer hung;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    const auto first = fixture.wait_for_post(fixture.prefill, 1);
    fixture.platform.add("r2", Role::prefill, "z", 1);
    fixture.platform.set_address("r2", hung.address());
    fixture.platform.set_status("r1", "draining");
    fixture.wait_for_list();
    const Instant reset_at = fixture.loop.now();
    fixture.prefill.reset(first);
    fixture.wait_until("the second prefill is unread in the socket of the hung server",
                       [&] { return hung.has_bytes(); });
    std::size_t at_prefill = 0, at_decode = 0;
    fixture.wait_until("a release", [&] {
        fixture.answer_releases(fixture.prefill, at_prefill);
        fixture.answer_releases(fixture.decode, at_decode);
        return fixture.prefill.count("DELETE") + fixture.decode.count("DELETE") > 0;
    });
    EXPECT_LE((fixture.loop.now() - reset_at).ms(), kMaxHoldTime.ms());
}

// A prefill succeeds, its server and the decode server hang from then on, and a release has to reach a
// running server in time.
void expect_release_at_running_server(ScriptedGatewayFixture& fixture) {
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "4000"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    const Instant prefill_ended = fixture.loop.now();
    fixture.wait_until("a release at a running server", [&] { return fixture.platform.count("DELETE") > 0; });
    EXPECT_LE((fixture.loop.now() - prefill_ended).ms(), kMaxHoldTime.ms());
}

// Most of a fleet hangs: the release reaches a running server in time.
TEST(Release, ReachesARunningServerWhileMostHang) {
    ScriptedGatewayFixture fixture;
    std::vector<std::unique_ptr<NonReadingServer>> hung;
    for (int n = 0; n < 12; ++n) {
        hung.push_back(std::make_unique<NonReadingServer>());
        const std::string name = "hung-" + std::to_string(n);
        fixture.platform.add(name, Role::decode, "z", 1);
        fixture.platform.set_address(name, hung.back()->address());
        fixture.platform.set_status(name, "draining");
    }
    fixture.platform.set_address("w1", hung[0]->address());
    fixture.wait_for_list();
    // Only the marker servers that the test adds to follow the list answer.
    expect_release_at_running_server(fixture);
}

// A zone is unreachable, and its servers come first in the list of a gateway that has just started: the
// release reaches a server of another zone in time.
TEST(Release, ReachesARunningServerWhileTheFirstHalfOfTheListHangs) {
    constexpr int kServersPerHalf = 100;
    ScriptedGatewayFixture fixture;
    NonReadingServer hung;
    for (int n = 0; n < 2 * kServersPerHalf; ++n) {
        const std::string name = "server-" + std::to_string(1000 + n);
        fixture.platform.add(name, Role::decode, "z", 1);
        if (n < kServersPerHalf) fixture.platform.set_address(name, hung.address());
        fixture.platform.set_status(name, "draining");
    }
    for (const char* name : {"w1", "marker-q1"}) fixture.platform.set_address(name, hung.address());
    fixture.start(256);
    expect_release_at_running_server(fixture);
}

// A reset does not withdraw the bytes in the socket of a hung server: it may read them later and leave a
// state. Once the server responds again, the release is repeated.
TEST(Release, FollowsAPrefillThatAHungServerMayStartLater) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0;
    fixture.wait_until("both releases elsewhere", [&] {
        fixture.answer_releases(fixture.decode, at_decode);
        return fixture.decode.count("DELETE") >= 2;
    });
    fixture.run_for(ms(300));
    // The prefill server runs again and answers a prefill.
    const std::size_t before = fixture.prefill.count("DELETE");
    auto next = fixture.client();
    next->send(fixture.request_text(fixture.new_request_id(), "2000"));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 2);
    fixture.prefill.send(prefill_connection, prefill_response());
    fixture.wait_until(
        "the release of the earlier prefill", [&] { return fixture.prefill.count("DELETE") > before; },
        ms(1000));
}

// Waits for two releases more than the usual two of a request whose prefill did not report its end.
void wait_for_two_more_elsewhere(ScriptedGatewayFixture& fixture, std::size_t& answered_at_decode) {
    fixture.wait_until(
        "releases elsewhere, the usual two and two more",
        [&] {
            fixture.answer_releases(fixture.decode, answered_at_decode);
            return fixture.decode.count("DELETE") + fixture.platform.count("DELETE") >= 4;
        },
        ms(4000));
}

// While the server hangs, releases go to other servers at intervals shorter than a state may be held. Once
// the server answers, releases to it are repeated, as its prefill may take a while from then on.
TEST(Release, OfALatePrefillIsRepeatedElsewhereAndOnceItsServerAnswers) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0, at_prefill = 0;
    wait_for_two_more_elsewhere(fixture, at_decode);
    EXPECT_GT(fixture.prefill.count("DELETE"), 0u);
    const std::size_t before = fixture.prefill.count("DELETE");
    fixture.wait_until(
        "three more releases once the server answers",
        [&] {
            fixture.answer_releases(fixture.decode, at_decode);
            fixture.answer_releases(fixture.prefill, at_prefill);
            return fixture.prefill.count("DELETE") >= before + 3;
        },
        ms(4000));
    fixture.wait_until(
        "no late attempt is followed any more",
        [&] {
            fixture.answer_releases(fixture.prefill, at_prefill);
            return fixture.node->upstreams().late_attempts().size() == 0;
        },
        ms(3000));
}

// A server that is no longer in the list may continue to run and complete its prefill, which leaves a state.
TEST(Release, OfALatePrefillIsRepeatedElsewhereAfterItsServerWasRemoved) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.platform.set_status("r1", "removed");
    fixture.wait_for_list();
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0;
    wait_for_two_more_elsewhere(fixture, at_decode);
}

// What replaces a hung server whose old process may continue to run.
enum class Successor { same_name_elsewhere, other_name };

class ReplacedServer : public testing::TestWithParam<Successor> {};

// Guards against attributing answers of the successor to the server before it: the late prefill would not be
// followed to its end.
TEST_P(ReplacedServer, IsStillFollowedForItsLatePrefill) {
    ScriptedGatewayFixture fixture;
    ScriptedServer successor(fixture.loop);
    std::size_t at_decode = 0, at_successor = 0;
    const auto answer = [&] {
        fixture.answer_releases(fixture.decode, at_decode);
        fixture.answer_releases(successor, at_successor);
    };
    // An index is reused where the list gives another start time with the new name.
    fixture.platform.set_process_start("r1", (fixture.loop.now() - ms(3600000)).us / 1000);
    fixture.start(256);
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "300"));
    fixture.wait_for_post(fixture.prefill, 1);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    fixture.wait_until("the late prefill is followed", [&] {
        answer();
        return fixture.node->upstreams().late_attempts().size() > 0;
    });
    const std::size_t indices = fixture.node->server_indices();
    if (GetParam() == Successor::same_name_elsewhere) {
        fixture.platform.set_address("r1", successor.address());
    } else {
        fixture.platform.set_status("r1", "removed");
        fixture.wait_until("the server is removed from the list",
                           [&] { return !fixture.node->has_server("r1"); });
        fixture.run_for(ms(1000));  // its index is reused once nothing is in progress there
        fixture.platform.add("r9", Role::prefill, "z", 1);
        fixture.platform.set_address("r9", successor.address());
        fixture.wait_until("its successor is in the list", [&] { return fixture.node->has_server("r9"); });
        EXPECT_EQ(fixture.node->server_indices(), indices);
    }
    const Instant replaced_at = fixture.loop.now();
    while (fixture.loop.now() - replaced_at < ms(5000)) {
        fixture.run_for(ms(10));
        answer();
    }
    const auto releases = [&] {
        return fixture.decode.count("DELETE") + successor.count("DELETE") + fixture.platform.count("DELETE");
    };
    const std::size_t before = releases();
    const Instant since = fixture.loop.now();
    fixture.wait_until("a release elsewhere", [&] {
        answer();
        return releases() > before;
    });
    EXPECT_LE((fixture.loop.now() - since).ms(), 1000);
}

INSTANTIATE_TEST_SUITE_P(Each, ReplacedServer,
                         testing::Values(Successor::same_name_elsewhere, Successor::other_name),
                         [](const auto& param) {
                             return param.param == Successor::other_name ? "OtherName" : "SameNameElsewhere";
                         });

INSTANTIATE_TEST_SUITE_P(EachEffect, UnreadHandOver, testing::Values("repeatable", "once"),
                         [](const auto& param) { return std::string(param.param); });

}  // namespace
}  // namespace copperfront
