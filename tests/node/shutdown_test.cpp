// A planned stop that crosses with requests: at each point of a request's life, and with clients that rest,
// send in the very moment, or misbehave.
#include "scripted_world.h"

namespace copperfront {
namespace {

// Runs the loop until the gateway has stopped it by itself, and returns how long that took.
Span run_to_exit(World& w) {
    const Instant start = w.loop.now();
    Timer patience(w.loop, [] { FAIL() << "the gateway does not end"; });
    patience.set(ms(20000));
    w.loop.run();
    return w.loop.now() - start;
}

TEST(Shutdown, RequestWhoseBodyComesAfterwardsIsServed) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    const std::string text = w.call(w.fresh());
    const std::size_t head_end = text.find("\r\n\r\n") + 4;
    client.say(text.substr(0, head_end));
    w.pass(ms(20));
    w.node->stop();
    w.pass(ms(50));
    client.say(text.substr(head_end));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
    w.until("the answer", [&] { return client.heard().find("\r\n0\r\n\r\n") != std::string::npos; });
    w.until("its end", [&] { return client.has_ended(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.heard().find("Connection: close"), std::string::npos);
}

// On a connection that has never carried a request the first one is owed an answer, read or not.
TEST(Shutdown, FirstRequestThatLiesUnreadIsServed) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    w.until("the connection is taken", [&] { return w.node->clients().size() == 1; });
    client.say(w.call(w.fresh()));
    w.node->stop();
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
    w.until("the answer", [&] { return client.heard().find("\r\n0\r\n\r\n") != std::string::npos; });
}

// The same at the second step, when connections that have asked nothing are closed.
TEST(Shutdown, FirstRequestThatComesAtTheEndOfTheGraceIsServedOrClosedUnread) {
    for (const std::int64_t after : {690, 699, 700, 701, 710, 725}) {
        ScriptedWorld w;
        RawClient client(w.node->address());
        w.until("the connection is taken", [&] { return w.node->clients().size() == 1; });
        w.node->stop();
        w.pass(ms(after));
        bool ended = false;
        if (client.hear(ended) < 0 || ended) continue;
        client.say(w.call(w.fresh()));
        // Either it is served, or it has never been read and nothing was sent on for it.
        bool served = false;
        w.until("its fate", [&] {
            served = w.prefill.count("POST") == 1;
            return served || client.has_ended();
        });
        if (!served) {
            EXPECT_FALSE(client.was_reset());
            continue;
        }
        w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
        w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
        w.until("the answer", [&] { return client.heard().find("\r\n0\r\n\r\n") != std::string::npos; });
    }
}

// A request in the very moment of the half-close of a resting connection: answered, or nothing is sent on for
// it.
TEST(Shutdown, RequestThatCrossesTheCloseOfARestingConnectionIsNotSentOnUnanswered) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    client.say("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    w.until("ready", [&] { return !client.heard().empty(); });
    w.node->stop();
    client.say(w.call(w.fresh()));
    w.until("its end", [&] { return client.has_ended() || w.prefill.count("POST") > 0; });
    EXPECT_EQ(w.prefill.count("POST"), 0u);
    EXPECT_FALSE(client.was_reset());
    run_to_exit(w);
    EXPECT_EQ(w.prefill.count("POST"), 0u);
}

// Every stage of a request: it is served whole, and its connection ends in good order.
enum class Stage { queued, dialling, in_prefill, between, in_decode, streaming };

class ShutdownAtStage : public testing::TestWithParam<Stage> {};

TEST_P(ShutdownAtStage, RequestIsServedWhole) {
    const Stage stage = GetParam();
    // Time enough for a connection that the system opens anew after a second.
    ScriptedWorld w(with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":3000)"));
    std::unique_ptr<StalledListener> stalled;
    if (stage == Stage::dialling) {
        stalled = std::make_unique<StalledListener>();
        w.platform.point("r1", stalled->address());
        w.wait_for_list();
    }
    if (stage == Stage::queued) {
        w.platform.set("r1", "draining");
        w.wait_for_list();
    }
    auto client = w.client();
    client->say(w.call(w.fresh(), "5000"));
    w.until("it is open", [&] { return w.node->desk().open_queries() == 1; });
    bool stopped = false;
    const auto stop_at = [&](Stage now) {
        if (now != stage) return;
        w.node->stop();
        w.node->stop();  // a second signal changes nothing
        stopped = true;
    };
    stop_at(Stage::queued);
    stop_at(Stage::dialling);
    if (stage == Stage::queued) {
        w.platform.set("r1", "up");
    }
    if (stage == Stage::dialling) {
        w.until("it waits for its connection", [&] { return w.node->upstreams().attempts() == 1; });
        // The server comes back under another address: what waits was never sent and goes there.
        w.platform.point("r1", w.prefill.address());
    }
    const auto reading = w.wait_for_post(w.prefill, 1);
    stop_at(Stage::in_prefill);
    w.prefill.send(reading, prefill_response());
    stop_at(Stage::between);
    const auto writing = w.wait_for_post(w.decode, 1);
    stop_at(Stage::in_decode);
    w.decode.send(writing, stream_start() + event_of("one"));
    w.until("the first event", [&] { return client->heard.find("one") != std::string::npos; });
    stop_at(Stage::streaming);
    w.decode.send(writing, event_of("two") + stream_end());
    w.until("the answer", [&] { return client->whole(); });
    w.until("the end", [&] { return client->closed; });
    EXPECT_TRUE(stopped);
    EXPECT_EQ(client->why, Closing::peer_ended);
    EXPECT_LT(run_to_exit(w), ms(4000));
}

INSTANTIATE_TEST_SUITE_P(Each, ShutdownAtStage,
                         testing::Values(Stage::queued, Stage::dialling, Stage::in_prefill, Stage::between,
                                         Stage::in_decode, Stage::streaming));

// Clients that never finish their request, never read, or stay connected do not hold the exit up, nor does a
// server that hangs.
TEST(Shutdown, BadClientsAndHangingServersDoNotHoldUpTheExit) {
    ScriptedWorld w;
    RawClient half(w.node->address()), silent(w.node->address()), stays(w.node->address());
    half.say(w.call(w.fresh()).substr(0, 40));
    stays.say("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    auto hanging = w.client();
    hanging->say(w.call(w.fresh(), "900"));
    w.wait_for_post(w.prefill, 1);
    auto served = w.client();
    served->say(w.call(w.fresh()));
    const auto reading = w.wait_for_post(w.prefill, 2);
    w.node->stop();
    w.prefill.send(reading, prefill_response());
    w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
    w.until("the other one is served", [&] { return served->whole(); });
    EXPECT_EQ(hanging->status(), 0);
    EXPECT_LT(run_to_exit(w), ms(4500));
    EXPECT_TRUE(hanging->status() == 503 || hanging->status() == 504);
}

// What a state is released with leaves before the process ends.
TEST(Shutdown, ReleasesAreSentBeforeTheExit) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh()));
    const auto reading = w.wait_for_post(w.prefill, 1);
    w.node->stop();
    client->leave();
    w.until("it is seen to go", [&] { return w.node->desk().open_queries() == 0; });
    (void)reading;
    run_to_exit(w);
    EXPECT_GE(w.prefill.count("DELETE") + w.decode.count("DELETE"), 1u);
}

// The list goes on being followed, also where other settings move discovery while requests end.
TEST(Shutdown, SettingsThatMoveDiscoveryAreFollowed) {
    ScriptedWorld w;
    auto client = w.client();
    const auto writing = w.up_to_decode(*client);
    w.node->stop();
    w.platform.move_discovery();
    w.node->change(terms_for(w.platform.discovery().text(), w.platform.list(), 256));
    w.platform.set("r1", "draining");
    w.platform.add("w9", Role::writer, "z", 1);
    w.until(
        "the new address tells", [&] { return w.node->knows("w9"); }, ms(1000));
    w.decode.send(writing, whole_stream("whole"));
    w.until("the answer", [&] { return client->whole(); });
}

// ---- closes

// Where connections that linger after bad requests fill the table, an answer still leaves before its close.
TEST(Close, AnswerLeavesBeforeItsCloseThoughTheTableIsFull) {
    ScriptedWorld w(kSettings, 64);
    RawClient client(w.node->address());
    client.say(w.call(w.fresh(), "2000", "Connection: close\r\n"));
    const auto reading = w.wait_for_post(w.prefill, 1);
    std::vector<std::unique_ptr<RawClient>> bad;
    for (int n = 0; n < 40; ++n) {
        bad.push_back(std::make_unique<RawClient>(w.node->address()));
        bad.back()->say("nonsense\r\n\r\n");
    }
    w.until("they linger", [&] { return w.node->clients().size() + w.loop.adopted() >= 10; });
    w.prefill.send(reading, prefill_response());
    const auto writing = w.wait_for_post(w.decode, 1);
    w.decode.send(writing, whole_stream("whole"));
    w.until("its end", [&] { return client.has_ended() || client.was_reset(); });
    EXPECT_NE(client.heard().find("\r\n0\r\n\r\n"), std::string::npos);
}

// Its server has finished, its client reads slowly, and new connections by the dozens want its place.
TEST(Close, AnswerQueuedForASlowClientIsWholeThoughACrowdComes) {
    ScriptedWorld w(kSettings, 64);
    RawClient client(w.node->address(), RawClient::Buffers::small);
    client.say(w.call(w.fresh(), "2000", "Connection: close\r\n"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    const auto writing = w.wait_for_post(w.decode, 1);
    w.decode.send(writing, stream_start());
    for (int n = 0; n < 55; ++n) w.decode.send(writing, event_of(std::string(1000, 'x')));
    w.decode.send(writing, stream_end());
    w.until("it waits for its client alone",
            [&] { return w.node->desk().open_queries() == 0 && w.loop.adopted() == 1; });
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int n = 0; n < 60; ++n) {
        crowd.push_back(std::make_unique<RawClient>(w.node->address()));
        w.pass(ms(2));
    }
    w.until("its end", [&] { return client.has_ended() || client.was_reset(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.heard().find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST(Close, RefusalLeavesBeforeItsCloseThoughTheTableIsFull) {
    World w(64);
    std::vector<std::unique_ptr<RawClient>> bad;
    std::size_t answered = 0;
    for (int n = 0; n < 12; ++n) {
        bad.push_back(std::make_unique<RawClient>(w.node->address()));
    }
    w.until("they are taken", [&] { return w.node->clients().size() >= 12; });
    for (const auto& client : bad) client->say("nonsense\r\n\r\n");
    w.pass(ms(300));
    for (const auto& client : bad) answered += client->heard().find("HTTP/1.1 400") == 0;
    EXPECT_EQ(answered, bad.size());
}

// A request that comes behind an open one once new connections are no longer taken can't be served to its end
// before the kill: it is told so.
TEST(Shutdown, RequestThatComesLateOnAnOpenConnectionIsRejected) {
    ScriptedWorld w;
    auto client = w.client();
    const auto streaming = w.up_to_decode(*client);
    w.decode.send(streaming, stream_start() + event_of("one"));
    w.until("the stream has begun", [&] { return client->status() == 200; });
    w.node->stop();
    w.pass(ms(800));
    client->say(w.call(w.fresh()));
    w.pass(ms(100));
    w.decode.send(streaming, stream_end());
    w.until("both answers", [&] { return client->answers() == 2; });
    EXPECT_NE(client->heard.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(w.prefill.count("POST"), 1u);
}

}  // namespace
}  // namespace copperfront
