// Attempts that cross with answers, resets, late connections and clients that leave. Both sides are held at
// known points and let go in the bad order; what counts is what crossed the sockets.
#include "scripted_world.h"

namespace copperfront {
namespace {

// ---- pooled connections

// Bytes that come on a resting connection belong to nobody: the next request must not take them for its
// answer.
TEST(PooledConnection, LateSecondAnswerIsNotTakenForTheNextOne) {
    ScriptedWorld w;
    auto first = w.client();
    const auto used = w.up_to_decode(*first);
    w.decode.send(used, whole_stream("mine"));
    w.until("the first answer", [&] { return first->whole(); });
    w.decode.send(used, whole_stream("stolen"));
    w.pass(ms(20));
    auto second = w.client();
    const auto next = w.up_to_decode(*second, 2);
    EXPECT_NE(next, used);
    w.decode.send(next, whole_stream("yours"));
    w.until("the second answer", [&] { return second->whole(); });
    EXPECT_EQ(second->heard.find("stolen"), std::string::npos);
    EXPECT_NE(second->heard.find("yours"), std::string::npos);
}

// The same, the late bytes not read yet when the connection is taken.
TEST(PooledConnection, BytesUnreadInTheSystemDisqualifyIt) {
    for (const std::string& late : {whole_stream("stolen"), std::string("HTT")}) {
        ScriptedWorld w;
        auto first = w.client();
        const auto used = w.up_to_decode(*first);
        w.decode.send(used, whole_stream("mine"));
        w.until("the first answer", [&] { return first->whole(); });
        auto second = w.client();
        second->say(w.call(w.fresh()));
        const auto reading = w.wait_for_post(w.prefill, 2);
        // Both are written within one turn of the loop, the late bytes first.
        w.decode.send(used, late);
        w.prefill.send(reading, prefill_response());
        const auto next = w.wait_for_post(w.decode, 2);
        EXPECT_NE(next, used);
        w.decode.send(next, whole_stream("yours"));
        w.until("the second answer", [&] { return second->whole(); });
        EXPECT_EQ(second->heard.find("stolen"), std::string::npos);
    }
}

// A connection that the server has closed while it rested costs no attempt.
TEST(PooledConnection, ClosedWhileRestingIsNotUsed) {
    for (const bool reset : {false, true}) {
        ScriptedWorld w;
        auto first = w.client();
        const auto used = w.up_to_decode(*first);
        w.decode.send(used, whole_stream("mine"));
        w.until("the first answer", [&] { return first->whole(); });
        auto second = w.client();
        second->say(w.call(w.fresh()));
        const auto reading = w.wait_for_post(w.prefill, 2);
        reset ? w.decode.reset(used) : w.decode.close(used);
        w.prefill.send(reading, prefill_response());
        const auto next = w.wait_for_post(w.decode, 2);
        EXPECT_NE(next, used);
        w.decode.send(next, whole_stream("yours"));
        w.until("the second answer", [&] { return second->whole(); });
        EXPECT_EQ(w.node->desk().tally().endings[static_cast<std::size_t>(Ending::broken)], 0u);
    }
}

// A server may send an answer twice, the second some milliseconds late: its connection is not used again
// within these, as nothing tells the two apart once the next request has been written.
TEST(PooledConnection, RestsBeforeItIsUsedAgain) {
    ScriptedWorld w;
    auto first = w.client();
    const auto used = w.up_to_decode(*first);
    w.decode.send(used, whole_stream("mine"));
    w.until("the first answer", [&] { return first->whole(); });
    auto second = w.client();
    const auto at_once = w.up_to_decode(*second, 2);
    EXPECT_NE(at_once, used);
    w.decode.send(at_once, whole_stream("yours"));
    w.until("the second answer", [&] { return second->whole(); });
    w.pass(ms(100));
    auto third = w.client();
    const auto later = w.up_to_decode(*third, 3);
    EXPECT_TRUE(later == used || later == at_once);
    w.decode.send(later, whole_stream("later"));
    w.until("the third answer", [&] { return third->whole(); });
}

// ---- repeats

// A class whose repeats are known for 200 ms: the further attempt's connection comes up after that.
TEST(RepeatWindow, AttemptIsNotWrittenOnceItHasPassed) {
    std::string settings = settings_with_effect("by_key", R"(,"key-scope":"all","window-ms":200)");
    // No limit on connecting of their own, or the window would leave no time for one.
    settings = with_setting(settings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":0)");
    settings = with_setting(settings, R"("release-ms":1000)", R"("release-ms":5000)");
    ScriptedWorld w(settings);
    auto client = w.client();
    const auto used = w.up_to_decode(*client, 1, "4000", "repeated");
    // The other decode server's listener takes no connection yet.
    auto stalled = std::make_unique<StalledListener>();
    w.platform.add("w2", Role::writer, "z", 1);
    w.platform.point("w2", stalled->address());
    w.platform.set("w1", "draining");
    w.wait_for_list();
    w.decode.reset(used);
    // The state may have gone with the reset, so the prompt is read again first.
    w.prefill.send(w.wait_for_post(w.prefill, 2), prefill_response());
    w.until("the further attempt waits for its connection",
            [&] { return w.node->desk().tally().writes == 2 && w.node->upstreams().attempts() == 1; });
    w.pass(ms(400));
    stalled->accept_all();
    w.until("a final answer", [&] { return client->status() != 0; });
    w.pass(ms(1500));
    EXPECT_EQ(stalled->heard().find("POST "), std::string::npos) << "sent after the window";
    EXPECT_EQ(client->answers(), 1u);
}

// What may take effect once only is never sent again once its last byte was written.
TEST(NonIdempotent, ResetAfterTheLastByteEndsIt) {
    ScriptedWorld w(settings_with_effect("once"));
    auto client = w.client();
    const auto used = w.up_to_decode(*client);
    w.decode.reset(used);
    w.until("a final answer", [&] { return client->status() != 0; });
    EXPECT_EQ(client->status(), 504);
    w.pass(ms(100));
    EXPECT_EQ(w.decode.count("POST"), 1u);
}

// The connection breaks with a part of the message written: it never ran, so any class may go again.
TEST(NonIdempotent, ResetBeforeTheLastByteIsSentAgain) {
    ScriptedWorld w(settings_with_effect("once"));
    StalledReader half;
    w.platform.point("r1", half.address());
    w.wait_for_list();
    auto client = w.client();
    // More than the buffers between the two hold, so that its last byte stays here.
    client->say(w.call_with_content(w.fresh(), std::string(200 << 10, 'x')));
    w.until("a part is written", [&] { return half.has_bytes(); });
    w.pass(ms(30));
    w.platform.point("r1", w.prefill.address());
    w.wait_for_list();
    half.reset();
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    w.decode.send(w.wait_for_post(w.decode, 1), whole_stream("whole"));
    w.until("the answer", [&] { return client->whole(); });
}

// ---- attempts that are called off

// A server that hangs reads later what lies in its socket. A reset takes the request back, an end in good
// order would leave it there, to run after a further attempt.
TEST(CalledOff, ConnectionIsReset) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    client.say(w.call(w.fresh()));
    const auto reading = w.wait_for_post(w.prefill, 1);
    client.leave();
    w.until("the server sees its end", [&] { return !w.prefill.is_open(reading); });
    EXPECT_EQ(w.prefill.how_ended(reading), Closing::broken);
}

// ---- clients that leave

// The server's failure and the client's end come in the same turn: no further attempt for nobody.
TEST(ClientHasGone, NoFurtherAttemptFollowsAFailureInTheSameMoment) {
    for (const bool reset : {false, true}) {
        ScriptedWorld w;
        RawClient client(w.node->address());
        client.say(w.call(w.fresh()));
        const auto used = w.wait_for_post(w.prefill, 1);
        reset ? client.reset() : client.leave();
        w.prefill.send(used, response_of(500, "", ""));
        w.until("it is over", [&] { return w.node->desk().open_queries() == 0; });
        w.pass(ms(100));
        EXPECT_EQ(w.prefill.count("POST"), 1u);
        EXPECT_EQ(w.decode.count("POST"), 0u);
    }
}

// ---- an attempt that the gateway itself closes

// Its close has to reach its server before the next attempt is written: two of them out at once would be a
// second copy.
TEST(ClosedAttempt, IsOverBeforeTheNextOneIsWritten) {
    ScriptedWorld w;
    auto client = w.client();
    const auto spoilt = w.up_to_decode(*client);
    // The server sees the close only when its loop comes to it, which the next attempt must not overtake.
    w.decode.send(spoilt, "\x01 what is this\r\n\r\n");
    std::size_t reads_at_close = 0;
    w.until("the close", [&] {
        reads_at_close = w.prefill.count("POST");
        return !w.decode.is_open(spoilt);
    });
    EXPECT_EQ(reads_at_close, 1u);
    w.wait_for_post(w.prefill, 2);
}

}  // namespace
}  // namespace copperfront
