// A client that has closed its connection has gone: whatever waited for it is not sent on. Its end lies in
// the system when the gateway comes to the point at which it would send.
#include "scripted_world.h"

namespace copperfront {
namespace {

enum class End { closes, resets, ends_sending };

class DepartedClient : public testing::TestWithParam<End> {
  protected:
    static void go(RawClient& client) {
        switch (GetParam()) {
            case End::closes:
                return client.leave();
            case End::resets:
                return client.reset();
            case End::ends_sending:
                return client.end_sending();
        }
    }
};

// Queued at admission, as no prefill server may be used; the list that ends the wait comes in the same
// moment.
TEST_P(DepartedClient, QueuedRequestIsNotSentOn) {
    ScriptedWorld w;
    w.platform.set("r1", "draining");
    w.wait_for_list();
    RawClient client(w.node->address());
    client.say(w.call(w.fresh()));
    w.until("it is queued", [&] { return w.node->desk().open_queries() == 1; });
    go(client);
    w.platform.set("r1", "up");
    w.until("it is over", [&] { return w.node->desk().open_queries() == 0; });
    w.pass(ms(50));
    EXPECT_EQ(w.prefill.count("POST"), 0u);
}

// Its connection to the server comes up only after the client has gone.
TEST_P(DepartedClient, DiallingRequestIsNotSent) {
    ScriptedWorld w(with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":5000)"));
    StalledListener stalled;
    w.platform.point("r1", stalled.address());
    w.wait_for_list();
    RawClient client(w.node->address());
    client.say(w.call(w.fresh(), "4000"));
    w.until("it waits for its connection", [&] { return w.node->upstreams().attempts() == 1; });
    go(client);
    stalled.accept_all();
    w.until("it is over", [&] { return w.node->desk().open_queries() == 0; });
    w.pass(ms(1300));
    EXPECT_EQ(stalled.heard().find("POST "), std::string::npos);
}

// The end of the read and the client's end come together: the state is released, and no attempt follows.
TEST_P(DepartedClient, StateIsReleasedRatherThanHandedOver) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    client.say(w.call(w.fresh()));
    const auto reading = w.wait_for_post(w.prefill, 1);
    go(client);
    w.prefill.send(reading, prefill_response());
    std::size_t at_prefill = 0, at_decode = 0;
    w.until("the state is released", [&] {
        w.answer_releases(w.prefill, at_prefill);
        w.answer_releases(w.decode, at_decode);
        return w.prefill.count("DELETE") + w.decode.count("DELETE") > 0;
    });
    EXPECT_EQ(w.decode.count("POST"), 0u);
}

// Behind a request that has not been answered, more bytes than are kept.
TEST_P(DepartedClient, EndBehindABacklogIsSeen) {
    ScriptedWorld w;
    RawClient client(w.node->address());
    std::string text;
    for (int n = 0; n < 100; ++n) text += w.call(w.fresh());
    client.say(text);
    const auto reading = w.wait_for_post(w.prefill, 1);
    go(client);
    w.until(
        "it is over", [&] { return w.node->desk().open_queries() == 0; }, ms(100));
    w.pass(ms(20));
    if (w.prefill.is_open(reading)) w.prefill.send(reading, prefill_response());
    w.pass(ms(50));
    EXPECT_EQ(w.prefill.count("POST"), 1u);
    EXPECT_EQ(w.decode.count("POST"), 0u);
}

// The loop is held up while the client closes behind further bytes, and then comes to the answers of servers
// first or last: nothing is written for it, neither a hand-over nor a retry.
TEST_P(DepartedClient, EndBehindBytesIsSeenThoughTheLoopWasHeldUp) {
    for (const bool retry : {false, true}) {
        ScriptedWorld w;
        RawClient client(w.node->address());
        client.say(w.call(w.fresh()));
        const auto reading = w.wait_for_post(w.prefill, 1);
        client.say(w.call(w.fresh()));
        go(client);
        if (retry) {
            w.prefill.reset(reading);
        } else {
            w.prefill.send(reading, prefill_response());
        }
        for (const Instant from = w.loop.now(); w.loop.now() - from < ms(150);) continue;
        w.until("it is over", [&] { return w.node->desk().open_queries() == 0; });
        w.pass(ms(100));
        EXPECT_EQ(w.decode.count("POST"), 0u);
        EXPECT_EQ(w.prefill.count("POST"), 1u);
    }
}

INSTANTIATE_TEST_SUITE_P(Each, DepartedClient, testing::Values(End::closes, End::resets, End::ends_sending));

}  // namespace
}  // namespace copperfront
