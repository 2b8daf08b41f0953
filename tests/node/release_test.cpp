// States that a read may have left behind are released, and never the state of a newer read: a release names
// the request, and takes whatever is held for it at any server.
#include "scripted_world.h"

namespace copperfront {
namespace {

// The read's answer was not heard, so it may have left a state; the request is read anew. A release told now
// could reach its server after the second read has begun there.
TEST(Release, IsNotToldWhileAnotherReadOfItsRequestFollows) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    const auto first = w.wait_for_post(w.prefill, 1);
    w.prefill.reset(first);
    const auto second = w.wait_for_post(w.prefill, 2);
    w.pass(ms(400));
    EXPECT_EQ(w.prefill.count("DELETE") + w.decode.count("DELETE"), 0u);
    w.prefill.send(second, prefill_response());
    const auto writing = w.wait_for_post(w.decode, 1);
    w.pass(ms(200));
    EXPECT_EQ(w.prefill.count("DELETE") + w.decode.count("DELETE"), 0u);
    w.decode.send(writing, whole_stream("whole"));
    w.until("the answer", [&] { return client->whole(); });
}

// Nothing follows: it is told well within the time that a state may be held, and again as the read was not
// heard to end; not first to the server that was not heard.
TEST(Release, IsToldTwiceElsewhereOnceItsRequestIsOver) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.until("a final answer", [&] { return client->status() != 0; });
    const Instant over = w.loop.now();
    std::size_t at_prefill = 0, at_decode = 0;
    w.until("both releases", [&] {
        w.answer_releases(w.prefill, at_prefill);
        w.answer_releases(w.decode, at_decode);
        return w.prefill.count("DELETE") + w.decode.count("DELETE") == 2;
    });
    EXPECT_LT(w.loop.now() - over, ms(600));
    EXPECT_GE(w.decode.count("DELETE"), 1u);
    w.until("nothing is owed", [&] { return w.node->upstreams().owed() == 0; });
}

// What a gateway is allowed beyond the settings, with what a busy machine takes.
constexpr Span kHeldAtMost = ms(1300);

// A decode server whose system takes the bytes while its process reads none of them: the call has not reached
// a running server, so it stops no clock. The state is released in time, whatever the effect of the class.
class HandOverNeverRead : public testing::TestWithParam<const char*> {};

TEST_P(HandOverNeverRead, ReleasesTheStateInTime) {
    ScriptedWorld w(settings_with_effect(GetParam()));
    StalledReader hung;
    w.platform.point("w1", hung.address());
    w.wait_for_list();
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    const Instant read_ended = w.loop.now();
    w.until("the hand-over lies in the system of the hung server", [&] { return hung.has_bytes(); });
    std::size_t answered = 0;
    w.until("a release", [&] {
        w.answer_releases(w.prefill, answered);
        return w.prefill.count("DELETE") > 0;
    });
    EXPECT_LE((w.loop.now() - read_ended).ms(), kHeldAtMost.ms());
}

// The same of a second read: the first may have left a state, and the second lies unread at a hung server.
TEST(Release, IsNotHeldUpByASecondReadThatNobodyReads) {
    ScriptedWorld w;
    StalledReader hung;
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    const auto first = w.wait_for_post(w.prefill, 1);
    w.platform.add("r2", Role::reader, "z", 1);
    w.platform.point("r2", hung.address());
    w.platform.set("r1", "draining");
    w.wait_for_list();
    const Instant reset_at = w.loop.now();
    w.prefill.reset(first);
    w.until("the second read lies in the system of the hung server", [&] { return hung.has_bytes(); });
    std::size_t at_prefill = 0, at_decode = 0;
    w.until("a release", [&] {
        w.answer_releases(w.prefill, at_prefill);
        w.answer_releases(w.decode, at_decode);
        return w.prefill.count("DELETE") + w.decode.count("DELETE") > 0;
    });
    EXPECT_LE((w.loop.now() - reset_at).ms(), kHeldAtMost.ms());
}

// A prefill ends well, its server and the decode server hang from then on, and a release reaches one that
// runs.
void expect_release_at_a_running_server(ScriptedWorld& w) {
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    const Instant read_ended = w.loop.now();
    w.until("a release at a server that runs", [&] { return w.platform.count("DELETE") > 0; });
    EXPECT_LE((w.loop.now() - read_ended).ms(), kHeldAtMost.ms());
}

// Most of a fleet hangs: the release reaches a server that runs while there is time.
TEST(Release, ReachesAServerThatRunsWhileMostHang) {
    ScriptedWorld w;
    std::vector<std::unique_ptr<StalledReader>> hung;
    for (int n = 0; n < 12; ++n) {
        hung.push_back(std::make_unique<StalledReader>());
        const std::string name = "hung-" + std::to_string(n);
        w.platform.add(name, Role::writer, "z", 1);
        w.platform.point(name, hung.back()->address());
        w.platform.set(name, "draining");
    }
    w.platform.point("w1", hung[0]->address());
    w.wait_for_list();
    // Only the servers by which the test follows the list answer.
    expect_release_at_a_running_server(w);
}

// A zone is cut off, and its servers stand first in the list of a gateway that has just started: the release
// reaches a server of another zone while there is time.
TEST(Release, ReachesAServerThatRunsWhileTheFirstHalfOfTheListHangs) {
    constexpr int kOfEachHalf = 100;
    ScriptedWorld w;
    StalledReader hung;
    for (int n = 0; n < 2 * kOfEachHalf; ++n) {
        const std::string name = "server-" + std::to_string(1000 + n);
        w.platform.add(name, Role::writer, "z", 1);
        if (n < kOfEachHalf) w.platform.point(name, hung.address());
        w.platform.set(name, "draining");
    }
    for (const char* name : {"w1", "marker-q1"}) w.platform.point(name, hung.address());
    w.start(256);
    expect_release_at_a_running_server(w);
}

// A reset does not take back what lies in the socket of a server that hangs: it may read it later, and leave
// a state. Once it is heard from again, it is told once more.
TEST(Release, FollowsAReadThatAHungServerMayTakeUpLater) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0;
    w.until("both releases elsewhere", [&] {
        w.answer_releases(w.decode, at_decode);
        return w.decode.count("DELETE") >= 2;
    });
    w.pass(ms(300));
    // The prefill server runs again: it answers a release that has reached it.
    const std::size_t before = w.prefill.count("DELETE");
    auto next = w.client();
    next->say(w.call(w.fresh(), "2000"));
    const auto reading = w.wait_for_post(w.prefill, 2);
    w.prefill.send(reading, prefill_response());
    w.until(
        "the release of the earlier read", [&] { return w.prefill.count("DELETE") > before; }, ms(1000));
}

// Beside the usual two of a request whose prefill was not heard to end.
void wait_for_two_more_elsewhere(ScriptedWorld& w, std::size_t& answered_at_decode) {
    w.until(
        "releases elsewhere, the usual two and two more",
        [&] {
            w.answer_releases(w.decode, answered_at_decode);
            return w.decode.count("DELETE") + w.platform.count("DELETE") >= 4;
        },
        ms(4000));
}

// Its server hangs all the while: others are told in steps shorter than a state may be held, and once the
// server answers it is told again, as the read may take a while from then on.
TEST(Release, OfALateReadIsRepeatedElsewhereAndOnceItsServerAnswers) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0, at_prefill = 0;
    wait_for_two_more_elsewhere(w, at_decode);
    EXPECT_GT(w.prefill.count("DELETE"), 0u);
    const std::size_t before = w.prefill.count("DELETE");
    w.until(
        "three more once it answers",
        [&] {
            w.answer_releases(w.decode, at_decode);
            w.answer_releases(w.prefill, at_prefill);
            return w.prefill.count("DELETE") >= before + 3;
        },
        ms(4000));
    w.until(
        "nothing is followed any more",
        [&] {
            w.answer_releases(w.prefill, at_prefill);
            return w.node->upstreams().late_attempts().size() == 0;
        },
        ms(3000));
}

// A server that the list no longer has may run on and end what it has in hand, its state with it.
TEST(Release, OfALateReadIsRepeatedElsewhereAfterItsServerWasRemoved) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.platform.set("r1", "removed");
    w.wait_for_list();
    w.until("a final answer", [&] { return client->status() != 0; });
    std::size_t at_decode = 0;
    wait_for_two_more_elsewhere(w, at_decode);
}

// What takes the place of a server that hangs while the old process may run on.
enum class Successor { same_name_elsewhere, other_name };

class ReplacedServer : public testing::TestWithParam<Successor> {};

// Against answers of the successor that count as those of the server before it: the late read would not be
// followed to its end.
TEST_P(ReplacedServer, IsStillFollowedForItsLateRead) {
    ScriptedWorld w;
    ScriptedServer successor(w.loop);
    std::size_t at_decode = 0, at_successor = 0;
    const auto answer = [&] {
        w.answer_releases(w.decode, at_decode);
        w.answer_releases(successor, at_successor);
    };
    // An index is handed on where another start is told with the new name.
    w.platform.set_start("r1", (w.loop.now() - ms(3600000)).us / 1000);
    w.start(256);
    auto client = w.client();
    client->say(w.call(w.fresh(), "300"));
    w.wait_for_post(w.prefill, 1);
    w.until("a final answer", [&] { return client->status() != 0; });
    w.until("the late read is followed", [&] {
        answer();
        return w.node->upstreams().late_attempts().size() > 0;
    });
    const std::size_t indices = w.node->server_indices();
    if (GetParam() == Successor::same_name_elsewhere) {
        w.platform.point("r1", successor.address());
    } else {
        w.platform.set("r1", "removed");
        w.until("it is gone", [&] { return !w.node->knows("r1"); });
        w.pass(ms(1000));  // its index is handed on once nothing is under way there
        w.platform.add("r9", Role::reader, "z", 1);
        w.platform.point("r9", successor.address());
        w.until("its successor is known", [&] { return w.node->knows("r9"); });
        EXPECT_EQ(w.node->server_indices(), indices);
    }
    const Instant moved = w.loop.now();
    while (w.loop.now() - moved < ms(5000)) {
        w.pass(ms(10));
        answer();
    }
    const auto releases = [&] {
        return w.decode.count("DELETE") + successor.count("DELETE") + w.platform.count("DELETE");
    };
    const std::size_t before = releases();
    const Instant since = w.loop.now();
    w.until("a release elsewhere", [&] {
        answer();
        return releases() > before;
    });
    EXPECT_LE((w.loop.now() - since).ms(), 1000);
}

INSTANTIATE_TEST_SUITE_P(Each, ReplacedServer,
                         testing::Values(Successor::same_name_elsewhere, Successor::other_name),
                         [](const auto& param) {
                             return param.param == Successor::other_name ? "OtherName" : "SameNameElsewhere";
                         });

INSTANTIATE_TEST_SUITE_P(EachEffect, HandOverNeverRead, testing::Values("repeatable", "once"),
                         [](const auto& param) { return std::string(param.param); });

}  // namespace
}  // namespace copperfront
