// Guards against wrong or duplicate attempts when answers, resets, late connections and client disconnects
// coincide. Both sides are held at known points and then continued in the unfavourable order; the checks look
// at what crossed the sockets.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

// ---- pooled connections

// Bytes that arrive on an idle connection belong to no request: the next one must not take them for its
// answer.
TEST(PooledConnection, LateDuplicateAnswerIsNotTakenForTheNextOne) {
    ScriptedGatewayFixture fixture;
    auto first = fixture.client();
    const auto used = fixture.advance_to_decode(*first);
    fixture.decode.send(used, whole_stream("mine"));
    fixture.wait_until("the first answer", [&] { return first->is_complete(); });
    fixture.decode.send(used, whole_stream("stolen"));
    fixture.run_for(ms(20));
    auto second = fixture.client();
    const auto next = fixture.advance_to_decode(*second, 2);
    EXPECT_NE(next, used);
    fixture.decode.send(next, whole_stream("yours"));
    fixture.wait_until("the second answer", [&] { return second->is_complete(); });
    EXPECT_EQ(second->received.find("stolen"), std::string::npos);
    EXPECT_NE(second->received.find("yours"), std::string::npos);
}

// The same where the late bytes are not read yet when a connection is chosen.
TEST(PooledConnection, UnreadBytesInTheSocketDisqualifyIt) {
    for (const std::string& late : {whole_stream("stolen"), std::string("HTT")}) {
        ScriptedGatewayFixture fixture;
        auto first = fixture.client();
        const auto used = fixture.advance_to_decode(*first);
        fixture.decode.send(used, whole_stream("mine"));
        fixture.wait_until("the first answer", [&] { return first->is_complete(); });
        auto second = fixture.client();
        second->send(fixture.request_text(fixture.new_request_id()));
        const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 2);
        // Both are written in one iteration of the loop, the late bytes first.
        fixture.decode.send(used, late);
        fixture.prefill.send(prefill_connection, prefill_response());
        const auto next = fixture.wait_for_post(fixture.decode, 2);
        EXPECT_NE(next, used);
        fixture.decode.send(next, whole_stream("yours"));
        fixture.wait_until("the second answer", [&] { return second->is_complete(); });
        EXPECT_EQ(second->received.find("stolen"), std::string::npos);
    }
}

// A connection that the server closed while it was idle must not cost an attempt.
TEST(PooledConnection, ClosedWhileIdleIsNotUsed) {
    for (const bool reset : {false, true}) {
        ScriptedGatewayFixture fixture;
        auto first = fixture.client();
        const auto used = fixture.advance_to_decode(*first);
        fixture.decode.send(used, whole_stream("mine"));
        fixture.wait_until("the first answer", [&] { return first->is_complete(); });
        auto second = fixture.client();
        second->send(fixture.request_text(fixture.new_request_id()));
        const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 2);
        reset ? fixture.decode.reset(used) : fixture.decode.close(used);
        fixture.prefill.send(prefill_connection, prefill_response());
        const auto next = fixture.wait_for_post(fixture.decode, 2);
        EXPECT_NE(next, used);
        fixture.decode.send(next, whole_stream("yours"));
        fixture.wait_until("the second answer", [&] { return second->is_complete(); });
        EXPECT_EQ(
            fixture.node->dispatcher().counters().endings[static_cast<std::size_t>(Ending::connection_lost)],
            0u);
    }
}

// A server may send an answer twice, the second some milliseconds late. The connection is not reused within
// that time, as the late answer can't be told from the right one after the next request has been written.
TEST(PooledConnection, IsNotReusedImmediately) {
    ScriptedGatewayFixture fixture;
    auto first = fixture.client();
    const auto used = fixture.advance_to_decode(*first);
    fixture.decode.send(used, whole_stream("mine"));
    fixture.wait_until("the first answer", [&] { return first->is_complete(); });
    auto second = fixture.client();
    const auto immediate = fixture.advance_to_decode(*second, 2);
    EXPECT_NE(immediate, used);
    fixture.decode.send(immediate, whole_stream("yours"));
    fixture.wait_until("the second answer", [&] { return second->is_complete(); });
    fixture.run_for(ms(100));
    auto third = fixture.client();
    const auto later = fixture.advance_to_decode(*third, 3);
    EXPECT_TRUE(later == used || later == immediate);
    fixture.decode.send(later, whole_stream("later"));
    fixture.wait_until("the third answer", [&] { return third->is_complete(); });
}

// ---- retries

// The service class recognises repeats for 200 ms: the retry's connection is established after that.
TEST(RepeatWindow, AttemptIsNotSentOnceItHasPassed) {
    std::string settings = settings_with_effect("by_key", R"(,"key-scope":"all","window-ms":200)");
    // Without a connect timeout, as the window would leave no time for one.
    settings = with_setting(settings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":0)");
    settings = with_setting(settings, R"("release-ms":1000)", R"("release-ms":5000)");
    ScriptedGatewayFixture fixture(settings);
    auto client = fixture.client();
    const auto used = fixture.advance_to_decode(*client, 1, "4000", "repeated");
    // The other decode server accepts no connections yet.
    auto stalled = std::make_unique<StalledListener>();
    fixture.platform.add("w2", Role::decode, "z", 1);
    fixture.platform.set_address("w2", stalled->address());
    fixture.platform.set_status("w1", "draining");
    fixture.wait_for_list();
    fixture.decode.reset(used);
    // The state may be lost with the reset, so a new prefill comes first.
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 2), prefill_response());
    fixture.wait_until("the retry waits for its connection", [&] {
        return fixture.node->dispatcher().counters().decodes == 2 &&
               fixture.node->upstreams().attempts() == 1;
    });
    fixture.run_for(ms(400));
    stalled->accept_all();
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    fixture.run_for(ms(1500));
    EXPECT_EQ(stalled->received().find("POST "), std::string::npos) << "sent after the window";
    EXPECT_EQ(client->response_count(), 1u);
}

// A request that may take effect only once is never sent again after its last byte was written.
TEST(NonIdempotent, ResetAfterTheLastByteEndsTheRequest) {
    ScriptedGatewayFixture fixture(settings_with_effect("once"));
    auto client = fixture.client();
    const auto used = fixture.advance_to_decode(*client);
    fixture.decode.reset(used);
    fixture.wait_until("a final answer", [&] { return client->status() != 0; });
    EXPECT_EQ(client->status(), 504);
    fixture.run_for(ms(100));
    EXPECT_EQ(fixture.decode.count("POST"), 1u);
}

// The connection breaks when a part of the message is written: the request never ran, so a retry is allowed
// for any service class.
TEST(NonIdempotent, ResetBeforeTheLastByteIsRetried) {
    ScriptedGatewayFixture fixture(settings_with_effect("once"));
    NonReadingServer non_reading;
    fixture.platform.set_address("r1", non_reading.address());
    fixture.wait_for_list();
    auto client = fixture.client();
    // More than the socket buffers hold, so that the last byte stays in the gateway.
    client->send(fixture.request_text_with_content(fixture.new_request_id(), std::string(200 << 10, 'x')));
    fixture.wait_until("a part of the request is written", [&] { return non_reading.has_bytes(); });
    fixture.run_for(ms(30));
    fixture.platform.set_address("r1", fixture.prefill.address());
    fixture.wait_for_list();
    non_reading.reset();
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
}

// ---- cancelled attempts

// A hung server reads later what is in its socket. A reset withdraws the request; a graceful close would
// leave it there, to run after a further attempt.
TEST(CancelledAttempt, ConnectionIsReset) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    client.send(fixture.request_text(fixture.new_request_id()));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    client.disconnect();
    fixture.wait_until("the server sees the close",
                       [&] { return !fixture.prefill.is_open(prefill_connection); });
    EXPECT_EQ(fixture.prefill.close_reason(prefill_connection), CloseReason::broken);
}

// ---- clients that disconnect

// The server's failure and the client's close arrive in the same loop iteration: no further attempt is made.
TEST(ClientDisconnect, NoFurtherAttemptFollowsASimultaneousServerFailure) {
    for (const bool reset : {false, true}) {
        ScriptedGatewayFixture fixture;
        RawClient client(fixture.node->address());
        client.send(fixture.request_text(fixture.new_request_id()));
        const auto used = fixture.wait_for_post(fixture.prefill, 1);
        reset ? client.reset() : client.disconnect();
        fixture.prefill.send(used, response_of(500, "", ""));
        fixture.wait_until("the request has ended",
                           [&] { return fixture.node->dispatcher().open_requests() == 0; });
        fixture.run_for(ms(100));
        EXPECT_EQ(fixture.prefill.count("POST"), 1u);
        EXPECT_EQ(fixture.decode.count("POST"), 0u);
    }
}

// ---- attempts that the gateway closes

// The close has to reach the server before the next attempt is written: otherwise two attempts would be in
// flight at once, which would amount to a hedge.
TEST(ClosedAttempt, HasEndedBeforeTheNextOneIsSent) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    // The server sees the close only in a later loop iteration, which the next attempt must not overtake.
    fixture.decode.send(decode_connection, "\x01 what is this\r\n\r\n");
    std::size_t prefills_at_close = 0;
    fixture.wait_until("the close", [&] {
        prefills_at_close = fixture.prefill.count("POST");
        return !fixture.decode.is_open(decode_connection);
    });
    EXPECT_EQ(prefills_at_close, 1u);
    fixture.wait_for_post(fixture.prefill, 2);
}

}  // namespace
}  // namespace copperfront
