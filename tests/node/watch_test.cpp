// What discovery tells, held back, cut, late or in odd forms: nothing told is older than its time, and a
// server that drains gets nothing new.
#include "scripted_world.h"

namespace copperfront {
namespace {

constexpr Span kToldWithin = ms(6000);

// Discovery that answers on command. Its calls are numbered in the order in which they came.
struct ScriptedDiscovery : World {
    ScriptedServer agent{loop};

    ScriptedDiscovery() {
        // From the known list of the first start, followed at an agent that says nothing yet.
        node = std::make_unique<Node>(loop, terms_for(agent.address(), platform.list(), 256, settings), log);
    }
    static std::string entry(const std::string& name, const std::string& status) {
        return R"({"name":")" + name + R"(","address":"127.0.0.1:9","zone":"z","type":"writer","group":1,)" +
               R"("status":")" + status + R"(","since_ms":0})";
    }
    // The servers of the stand-in, and these.
    std::string list(int index, bool whole, const std::string& more) {
        std::string base = platform.list();
        const std::size_t from = base.find("\"endpoints\":[") + 13;
        base = base.substr(from, base.rfind("]}") - from);
        return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + (whole ? base + (more.empty() ? "" : ",") : "") + more + "]}";
    }
    std::size_t calls() const { return agent.requests().size(); }
    const ScriptedServer::Request& call(std::size_t n) {
        until("a call to discovery", [&] { return calls() > n; });
        return agent.requests()[n];
    }
    static bool waits(const ScriptedServer::Request& request) {
        return request.head.target.find("after=") != std::string::npos;
    }
    void answer(const ScriptedServer::Request& request, const std::string& body) {
        agent.send(request.connection, response_of(200, "Content-Type: application/json\r\n", body));
    }
    // The first call that waits for news after the n-th call.
    ScriptedServer::Request next_watch(std::size_t n) {
        for (;; ++n) {
            if (waits(call(n))) return agent.requests()[n];
        }
    }
};

TEST(Watch, SilentFromTheFirstSecondIsAskedAnewAndHeardOnceItSpeaks) {
    ScriptedDiscovery w;
    w.call(3);
    const ScriptedServer::Request latest = w.agent.requests().back();
    const Instant spoke = w.loop.now();
    w.answer(latest, w.list(7, true, w.entry("w9", "up")));
    w.until("it is known", [&] { return w.node->knows("w9"); });
    EXPECT_LT(w.loop.now() - spoke, ms(100));
}

TEST(Watch, SilentAfterAWhileIsOpenedAnewWithinItsTime) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, ""));
    const ScriptedServer::Request watch = w.next_watch(0);
    const Instant silent_from = w.loop.now();
    const std::size_t calls = w.calls();
    w.until("the whole list is asked for", [&] { return w.calls() > calls; });
    EXPECT_FALSE(w.waits(w.agent.requests().back()));
    w.answer(w.agent.requests().back(), w.list(8, true, w.entry("w9", "up")));
    w.until("it is known", [&] { return w.node->knows("w9"); });
    EXPECT_LT(w.loop.now() - silent_from, kToldWithin);
    (void)watch;
}

// A list that goes backward changes nothing, late as it comes on a watch that has been given up.
TEST(Watch, LateAnswerWithAnOldVersionChangesNothing) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, w.entry("w9", "up")));
    const ScriptedServer::Request watch = w.next_watch(0);
    w.answer(watch, w.list(5, false, w.entry("w9", "removed")));
    w.pass(ms(100));
    EXPECT_TRUE(w.node->knows("w9"));
}

// News that come between the give-up of one call and the opening of the next are in the whole list.
TEST(Watch, NewsOnACallThatHasBeenGivenUpIsAskedForAgain) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, ""));
    const ScriptedServer::Request watch = w.next_watch(0);
    const std::size_t calls = w.calls();
    w.until(
        "it is given up", [&] { return !w.agent.is_open(watch.connection); }, ms(3000));
    w.until("the next call", [&] { return w.calls() > calls; });
    EXPECT_FALSE(w.waits(w.agent.requests().back())) << "changes of a list that is not in hand";
}

TEST(Watch, AnswerCutInItsMiddleIsNotTaken) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, ""));
    const ScriptedServer::Request watch = w.next_watch(0);
    const std::string whole = response_of(200, "", w.list(8, false, w.entry("w9", "up")));
    const std::size_t calls = w.calls();
    w.agent.send(watch.connection, whole.substr(0, whole.size() / 2));
    w.agent.close(watch.connection);
    w.until("the list is asked for anew", [&] { return w.calls() > calls; });
    EXPECT_FALSE(w.node->knows("w9"));
    w.answer(w.agent.requests().back(), w.list(8, true, w.entry("w9", "up")));
    w.until("it is known", [&] { return w.node->knows("w9"); });
}

// Against a list that stops in its middle and keeps the next from being asked for.
TEST(Watch, ListThatStopsInItsMiddleIsAskedForAnew) {
    ScriptedDiscovery w;
    const std::string text = response_of(200, "", w.list(7, true, w.entry("w9", "up")));
    w.agent.send(w.call(0).connection, text.substr(0, text.size() / 2));
    const Instant stopped = w.loop.now();
    w.until("the next call", [&] { return w.calls() >= 2; });
    w.answer(w.agent.requests().back(), w.list(8, true, w.entry("w8", "up")));
    w.until("it is known", [&] { return w.node->knows("w8"); });
    EXPECT_LT(w.loop.now() - stopped, ms(2000));
}

// Against changes that are told too late because their answer never ends.
TEST(Watch, AnswerToAWatchThatGoesOnAndOnIsGivenUpAndTheListAskedFor) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, ""));
    const ScriptedServer::Request watch = w.next_watch(0);
    const std::string text = response_of(200, "", w.list(8, false, w.entry("w9", "up")));
    const std::size_t calls = w.calls();
    const Instant began = w.loop.now();
    std::size_t at = 0;
    while (w.calls() == calls && w.loop.now() - began < kToldWithin && at + 1 < text.size()) {
        w.agent.send(watch.connection, text.substr(at++, 1));
        w.pass(ms(100));
    }
    ASSERT_GT(w.calls(), calls);
    EXPECT_LT(w.loop.now() - began, ms(3500));
    w.answer(w.agent.requests().back(), w.list(8, true, w.entry("w9", "up")));
    w.until("it is known", [&] { return w.node->knows("w9"); });
}

// Against several lists that are read beside each other, each of them for nothing.
TEST(Watch, ListOnItsWayIsNotAskedForTenTimesASecond) {
    ScriptedDiscovery w;
    w.pass(ms(500));
    const ScriptedServer::Request latest = w.agent.requests().back();
    const std::string text = response_of(200, "", w.list(7, true, w.entry("w9", "up")));
    const std::size_t asked = w.calls();
    for (std::size_t at = 0; at < text.size(); at += text.size() / 15) {
        w.agent.send(latest.connection, text.substr(at, text.size() / 15));
        w.pass(ms(100));
    }
    w.until("it is known", [&] { return w.node->knows("w9"); });
    EXPECT_LE(w.calls() - asked, 4u) << "in 1.5 s, the watch that follows among them";
}

// Against a drain that waits for the rest of a list which comes slowly.
TEST(Watch, RemovalBindsBeforeTheRestOfTheAnswerHasCome) {
    ScriptedDiscovery w;
    w.answer(w.call(0), w.list(7, true, w.entry("w9", "up")));
    const ScriptedServer::Request watch = w.next_watch(0);
    const std::string text =
        response_of(200, "", w.list(8, false, w.entry("w9", "removed") + "," + w.entry("w8", "up")));
    const std::size_t first = text.find("w8");
    w.agent.send(watch.connection, text.substr(0, first));
    w.until(
        "it is gone", [&] { return !w.node->knows("w9"); }, ms(500));
    EXPECT_FALSE(w.node->knows("w8"));
    w.agent.send(watch.connection, text.substr(first));
    w.until("the rest is known", [&] { return w.node->knows("w8"); });
    EXPECT_FALSE(w.node->knows("w9"));
}

TEST(Watch, ListInOneBytePiecesAndIndentedIsRead) {
    ScriptedDiscovery w;
    std::string body = w.list(7, true, w.entry("w9", "up"));
    for (std::size_t at = 0; (at = body.find(',', at)) != std::string::npos; at += 4)
        body.replace(at, 1, ",\n  ");
    const ScriptedServer::Request first = w.call(0);
    std::size_t sent = 0;
    const std::string text = response_of(200, "", body);
    // Each byte is a write of its own, as it is sent in a turn of its own.
    w.until("it is known", [&] {
        for (int n = 0; n < 40 && sent < text.size(); ++n) {
            w.agent.send(first.connection, text.substr(sent++, 1));
            w.pass(Span{0});
        }
        return w.node->knows("w9");
    });
    EXPECT_EQ(sent, text.size());
}

// A whole list that no longer names a server ends its use, also where an attempt waits for its connection.
enum class Farewell { draining, removed, left_out };

class ServerThatLeaves : public testing::TestWithParam<Farewell> {};

TEST_P(ServerThatLeaves, AttemptThatWaitsForItsConnectionGoesElsewhere) {
    ScriptedWorld w(with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":5000)"));
    StalledListener stalled;
    w.platform.point("w1", stalled.address());
    w.wait_for_list();
    auto client = w.client();
    client->say(w.call(w.fresh(), "4000"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    w.until("it waits for its connection", [&] { return w.node->desk().tally().writes == 1; });
    w.platform.add("w2", Role::writer, "z", 1);
    w.platform.point("w2", w.decode.address());
    switch (GetParam()) {
        case Farewell::draining:
            w.platform.set("w1", "draining");
            break;
        case Farewell::removed:
            w.platform.set("w1", "removed");
            break;
        case Farewell::left_out:
            w.platform.watches_are_reset();
            w.platform.set("w1", "removed");
            break;
    }
    w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
    w.until("the answer", [&] { return client->whole(); });
    stalled.accept_all();
    w.pass(ms(1200));
    EXPECT_EQ(stalled.heard().find("POST "), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Each, ServerThatLeaves,
                         testing::Values(Farewell::draining, Farewell::removed, Farewell::left_out));

// Discovery is back in the very moment in which other settings name another address.
TEST(Watch, ReturnInTheMomentOfOtherSettings) {
    World w;
    w.platform.discovery_is_silent(true);
    w.pass(ms(300));
    standin::Platform other(w.loop, {});
    other.add("r1", Role::reader, "z", 1);
    other.add("w9", Role::writer, "z", 1);
    w.platform.discovery_is_silent(false);
    w.node->change(terms_for(other.discovery().text(), w.platform.list(), 256));
    w.until(
        "the new address tells", [&] { return w.node->knows("w9"); }, ms(4000));
    EXPECT_FALSE(w.node->knows("w1")) << "the new list does not name it";
}

// Settings that name no address leave the old one followed.
TEST(Watch, FaultyAddressInOtherSettingsLeavesTheOldOneFollowed) {
    World w;
    w.pass(ms(30));
    w.node->change(terms_for("nowhere", w.platform.list(), 256));
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "the old address tells", [&] { return w.node->knows("w9"); }, ms(1000));
}

}  // namespace
}  // namespace copperfront
