// Guards against sending requests of clients that have closed their connection. The close is already in the
// socket, unread, when the gateway reaches the point at which it would send.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

enum class ClientClose { by_close, by_reset, by_half_close };

class DisconnectedClient : public testing::TestWithParam<ClientClose> {
  protected:
    static void close_connection(RawClient& client) {
        switch (GetParam()) {
            case ClientClose::by_close:
                return client.disconnect();
            case ClientClose::by_reset:
                return client.reset();
            case ClientClose::by_half_close:
                return client.half_close();
        }
    }
};

// The request is queued at admission, as no prefill server may be used; the list update that ends the wait
// arrives at the same moment as the close.
TEST_P(DisconnectedClient, QueuedRequestIsNotSent) {
    ScriptedGatewayFixture fixture;
    fixture.platform.set_status("r1", "draining");
    fixture.wait_for_list();
    RawClient client(fixture.node->address());
    client.send(fixture.request_text(fixture.new_request_id()));
    fixture.wait_until("the request is queued",
                       [&] { return fixture.node->dispatcher().open_requests() == 1; });
    close_connection(client);
    fixture.platform.set_status("r1", "up");
    fixture.wait_until("the request has ended",
                       [&] { return fixture.node->dispatcher().open_requests() == 0; });
    fixture.run_for(ms(50));
    EXPECT_EQ(fixture.prefill.count("POST"), 0u);
}

// The connection to the server is established only after the client has closed its own.
TEST_P(DisconnectedClient, RequestWaitingForItsConnectionIsNotSent) {
    ScriptedGatewayFixture fixture(
        with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":5000)"));
    StalledListener stalled;
    fixture.platform.set_address("r1", stalled.address());
    fixture.wait_for_list();
    RawClient client(fixture.node->address());
    client.send(fixture.request_text(fixture.new_request_id(), "4000"));
    fixture.wait_until("the attempt waits for its connection",
                       [&] { return fixture.node->upstreams().attempts() == 1; });
    close_connection(client);
    stalled.accept_all();
    fixture.wait_until("the request has ended",
                       [&] { return fixture.node->dispatcher().open_requests() == 0; });
    fixture.run_for(ms(1300));
    EXPECT_EQ(stalled.received().find("POST "), std::string::npos);
}

// The prefill's answer and the client's close arrive together: the state is released, and no attempt follows.
TEST_P(DisconnectedClient, StateIsReleasedRatherThanHandedOver) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    client.send(fixture.request_text(fixture.new_request_id()));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    close_connection(client);
    fixture.prefill.send(prefill_connection, prefill_response());
    std::size_t at_prefill = 0, at_decode = 0;
    fixture.wait_until("the state is released", [&] {
        fixture.answer_releases(fixture.prefill, at_prefill);
        fixture.answer_releases(fixture.decode, at_decode);
        return fixture.prefill.count("DELETE") + fixture.decode.count("DELETE") > 0;
    });
    EXPECT_EQ(fixture.decode.count("POST"), 0u);
}

// Guards against an id that runs twice: it comes again on a new connection after its client has left while a
// decode server works on it.
TEST(RequestId, ThatMayHaveRunDoesNotRunAgain) {
    for (const char* const effect : {"repeatable", "once"}) {
        ScriptedGatewayFixture fixture(settings_with_effect(effect));
        auto first = fixture.client();
        fixture.advance_to_decode(*first, 1, "2000", "same-id");
        first->disconnect();
        for (const Duration after : {ms(0), ms(300), ms(1200)}) {
            fixture.run_for(after);
            auto again = fixture.client();
            again->send(fixture.request_text("same-id"));
            fixture.wait_until("an answer", [&] { return again->status() != 0; });
            EXPECT_EQ(again->status(), 409) << effect;
        }
        EXPECT_EQ(fixture.prefill.count("POST"), 1u) << effect;
        EXPECT_EQ(fixture.decode.count("POST"), 1u) << effect;
    }
}

// An id whose request was never sent may come again.
TEST(RequestId, ThatNeverRanIsTakenAgain) {
    ScriptedGatewayFixture fixture;
    fixture.platform.set_status("r1", "draining");
    fixture.wait_for_list();
    auto first = fixture.client();
    first->send(fixture.request_text("same-id"));
    fixture.wait_until("the request is queued",
                       [&] { return fixture.node->dispatcher().open_requests() == 1; });
    first->disconnect();
    fixture.wait_until("the request has ended",
                       [&] { return fixture.node->dispatcher().open_requests() == 0; });
    fixture.platform.set_status("r1", "up");
    fixture.wait_for_list();
    auto again = fixture.client();
    again->send(fixture.request_text("same-id"));
    fixture.wait_for_post(fixture.prefill, 1);
}

// Behind the unanswered request there are more bytes than the gateway buffers.
TEST_P(DisconnectedClient, CloseBehindABacklogIsNoticed) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    std::string text;
    for (int n = 0; n < 100; ++n) text += fixture.request_text(fixture.new_request_id());
    client.send(text);
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    close_connection(client);
    fixture.wait_until(
        "the request has ended", [&] { return fixture.node->dispatcher().open_requests() == 0; }, ms(100));
    fixture.run_for(ms(20));
    if (fixture.prefill.is_open(prefill_connection))
        fixture.prefill.send(prefill_connection, prefill_response());
    fixture.run_for(ms(50));
    EXPECT_EQ(fixture.prefill.count("POST"), 1u);
    EXPECT_EQ(fixture.decode.count("POST"), 0u);
}

// The loop is blocked while the client sends further bytes and closes, and then handles the servers' answers
// before or after the close: nothing is sent for that client, neither a hand-over nor a retry.
TEST_P(DisconnectedClient, CloseBehindBytesIsNoticedAfterTheLoopWasBlocked) {
    for (const bool retry : {false, true}) {
        ScriptedGatewayFixture fixture;
        RawClient client(fixture.node->address());
        client.send(fixture.request_text(fixture.new_request_id()));
        const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
        client.send(fixture.request_text(fixture.new_request_id()));
        close_connection(client);
        if (retry) {
            fixture.prefill.reset(prefill_connection);
        } else {
            fixture.prefill.send(prefill_connection, prefill_response());
        }
        for (const Instant from = fixture.loop.now(); fixture.loop.now() - from < ms(150);) continue;
        fixture.wait_until("the request has ended",
                           [&] { return fixture.node->dispatcher().open_requests() == 0; });
        fixture.run_for(ms(100));
        EXPECT_EQ(fixture.decode.count("POST"), 0u);
        EXPECT_EQ(fixture.prefill.count("POST"), 1u);
    }
}

INSTANTIATE_TEST_SUITE_P(Each, DisconnectedClient,
                         testing::Values(ClientClose::by_close, ClientClose::by_reset,
                                         ClientClose::by_half_close));

}  // namespace
}  // namespace copperfront
