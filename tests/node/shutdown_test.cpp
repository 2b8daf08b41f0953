// Guards against requests that a planned shutdown loses: it comes at each stage of a request, and with
// clients that are idle, send at that moment, or misbehave.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

// Runs the loop until the gateway stops it, and returns how long that took.
Duration run_to_exit(GatewayFixture& fixture) {
    const Instant start = fixture.loop.now();
    Timer timeout(fixture.loop, [] { FAIL() << "the gateway does not exit"; });
    timeout.set(ms(20000));
    fixture.loop.run();
    return fixture.loop.now() - start;
}

TEST(Shutdown, RequestWhoseBodyArrivesAfterwardsIsServed) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    const std::string text = fixture.request_text(fixture.new_request_id());
    const std::size_t head_end = text.find("\r\n\r\n") + 4;
    client.send(text.substr(0, head_end));
    fixture.run_for(ms(20));
    fixture.node->stop();
    fixture.run_for(ms(50));
    client.send(text.substr(head_end));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
    fixture.wait_until("the answer",
                       [&] { return client.received().find("\r\n0\r\n\r\n") != std::string::npos; });
    fixture.wait_until("the end of the connection", [&] { return client.has_ended(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.received().find("Connection: close"), std::string::npos);
}

// The first request on a connection has to be answered, even if it is not read yet when the shutdown starts.
TEST(Shutdown, UnreadFirstRequestIsServed) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    fixture.wait_until("the connection is accepted", [&] { return fixture.node->clients().size() == 1; });
    client.send(fixture.request_text(fixture.new_request_id()));
    fixture.node->stop();
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
    fixture.wait_until("the answer",
                       [&] { return client.received().find("\r\n0\r\n\r\n") != std::string::npos; });
}

// The same at the second step of the shutdown, when connections that have sent no request are closed.
TEST(Shutdown, FirstRequestAtTheEndOfTheGracePeriodIsServedOrClosedUnread) {
    for (const std::int64_t after : {690, 699, 700, 701, 710, 725}) {
        ScriptedGatewayFixture fixture;
        RawClient client(fixture.node->address());
        fixture.wait_until("the connection is accepted", [&] { return fixture.node->clients().size() == 1; });
        fixture.node->stop();
        fixture.run_for(ms(after));
        bool ended = false;
        if (client.receive(ended) < 0 || ended) continue;
        client.send(fixture.request_text(fixture.new_request_id()));
        // Either the request is served, or it is not read and nothing is sent for it.
        bool served = false;
        fixture.wait_until("the request is served or its connection is closed", [&] {
            served = fixture.prefill.count("POST") == 1;
            return served || client.has_ended();
        });
        if (!served) {
            EXPECT_FALSE(client.was_reset());
            continue;
        }
        fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
        fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
        fixture.wait_until("the answer",
                           [&] { return client.received().find("\r\n0\r\n\r\n") != std::string::npos; });
    }
}

// A request that arrives with the half-close of an idle connection is either answered, or nothing is sent for
// it.
TEST(Shutdown, RequestThatCrossesTheCloseOfAnIdleConnectionIsNotSentUnanswered) {
    ScriptedGatewayFixture fixture;
    RawClient client(fixture.node->address());
    client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.wait_until("ready", [&] { return !client.received().empty(); });
    fixture.node->stop();
    client.send(fixture.request_text(fixture.new_request_id()));
    fixture.wait_until("the end of the connection",
                       [&] { return client.has_ended() || fixture.prefill.count("POST") > 0; });
    EXPECT_EQ(fixture.prefill.count("POST"), 0u);
    EXPECT_FALSE(client.was_reset());
    run_to_exit(fixture);
    EXPECT_EQ(fixture.prefill.count("POST"), 0u);
}

// At every stage, the request is served completely, and its connection is closed gracefully.
enum class Stage { queued, connecting, in_prefill, before_decode, in_decode, streaming };

class ShutdownAtStage : public testing::TestWithParam<Stage> {};

TEST_P(ShutdownAtStage, RequestIsServedCompletely) {
    const Stage stage = GetParam();
    // Long enough for the kernel to retransmit a SYN after one second.
    ScriptedGatewayFixture fixture(
        with_setting(kSettings, R"("connect-timeout-ms":250)", R"("connect-timeout-ms":3000)"));
    std::unique_ptr<StalledListener> stalled;
    if (stage == Stage::connecting) {
        stalled = std::make_unique<StalledListener>();
        fixture.platform.set_address("r1", stalled->address());
        fixture.wait_for_list();
    }
    if (stage == Stage::queued) {
        fixture.platform.set_status("r1", "draining");
        fixture.wait_for_list();
    }
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "5000"));
    fixture.wait_until("the request is open",
                       [&] { return fixture.node->dispatcher().open_requests() == 1; });
    bool stopped = false;
    const auto stop_at = [&](Stage now) {
        if (now != stage) return;
        fixture.node->stop();
        fixture.node->stop();  // a second signal has no effect
        stopped = true;
    };
    stop_at(Stage::queued);
    stop_at(Stage::connecting);
    if (stage == Stage::queued) {
        fixture.platform.set_status("r1", "up");
    }
    if (stage == Stage::connecting) {
        fixture.wait_until("the attempt waits for its connection",
                           [&] { return fixture.node->upstreams().attempts() == 1; });
        // The server comes back at another address: the waiting attempt was never sent and goes there.
        fixture.platform.set_address("r1", fixture.prefill.address());
    }
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    stop_at(Stage::in_prefill);
    fixture.prefill.send(prefill_connection, prefill_response());
    stop_at(Stage::before_decode);
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    stop_at(Stage::in_decode);
    fixture.decode.send(decode_connection, stream_start() + event_of("one"));
    fixture.wait_until("the first event", [&] { return client->received.find("one") != std::string::npos; });
    stop_at(Stage::streaming);
    fixture.decode.send(decode_connection, event_of("two") + stream_end());
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
    fixture.wait_until("the connection is closed", [&] { return client->closed; });
    EXPECT_TRUE(stopped);
    EXPECT_EQ(client->close_reason, CloseReason::peer_closed);
    EXPECT_LT(run_to_exit(fixture), ms(4000));
}

INSTANTIATE_TEST_SUITE_P(Each, ShutdownAtStage,
                         testing::Values(Stage::queued, Stage::connecting, Stage::in_prefill,
                                         Stage::before_decode, Stage::in_decode, Stage::streaming));

// Guards against an exit that waits for clients that never finish their request, never read or stay
// connected, or for a hung server.
TEST(Shutdown, BadClientsAndHungServersDoNotDelayTheExit) {
    ScriptedGatewayFixture fixture;
    RawClient half(fixture.node->address()), silent(fixture.node->address()), stays(fixture.node->address());
    half.send(fixture.request_text(fixture.new_request_id()).substr(0, 40));
    stays.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    auto hanging = fixture.client();
    hanging->send(fixture.request_text(fixture.new_request_id(), "900"));
    fixture.wait_for_post(fixture.prefill, 1);
    auto served = fixture.client();
    served->send(fixture.request_text(fixture.new_request_id()));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 2);
    fixture.node->stop();
    fixture.prefill.send(prefill_connection, prefill_response());
    fixture.decode.send(fixture.wait_for_post(fixture.decode, 1), whole_stream("whole"));
    fixture.wait_until("the other request is served", [&] { return served->is_complete(); });
    EXPECT_EQ(hanging->status(), 0);
    EXPECT_LT(run_to_exit(fixture), ms(4500));
    EXPECT_TRUE(hanging->status() == 503 || hanging->status() == 504);
}

// Guards against a process that exits before the releases of its states are sent.
TEST(Shutdown, ReleasesAreSentBeforeTheExit) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id()));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    fixture.node->stop();
    client->disconnect();
    fixture.wait_until("the disconnect is noticed",
                       [&] { return fixture.node->dispatcher().open_requests() == 0; });
    (void)prefill_connection;
    run_to_exit(fixture);
    EXPECT_GE(fixture.prefill.count("DELETE") + fixture.decode.count("DELETE"), 1u);
}

// The server list is followed during the shutdown, also where new settings change the address of discovery.
TEST(Shutdown, NewDiscoveryAddressIsFollowed) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const auto decode_connection = fixture.advance_to_decode(*client);
    fixture.node->stop();
    fixture.platform.move_discovery();
    fixture.node->change(terms_for(fixture.platform.discovery().text(), fixture.platform.list_json(), 256));
    fixture.platform.set_status("r1", "draining");
    fixture.platform.add("w9", Role::decode, "z", 1);
    fixture.wait_until(
        "the list of the new address is applied", [&] { return fixture.node->has_server("w9"); }, ms(1000));
    fixture.decode.send(decode_connection, whole_stream("whole"));
    fixture.wait_until("the answer", [&] { return client->is_complete(); });
}

// ---- closes

// Connections lingering after bad requests fill the connection table: an answer is still sent before its
// connection is closed.
TEST(Close, AnswerIsSentBeforeTheCloseThoughTheTableIsFull) {
    ScriptedGatewayFixture fixture(kSettings, 64);
    RawClient client(fixture.node->address());
    client.send(fixture.request_text(fixture.new_request_id(), "2000", "Connection: close\r\n"));
    const auto prefill_connection = fixture.wait_for_post(fixture.prefill, 1);
    std::vector<std::unique_ptr<RawClient>> bad_clients;
    for (int n = 0; n < 40; ++n) {
        bad_clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
        bad_clients.back()->send("nonsense\r\n\r\n");
    }
    fixture.wait_until("the closed connections linger",
                       [&] { return fixture.node->clients().size() + fixture.loop.adopted() >= 10; });
    fixture.prefill.send(prefill_connection, prefill_response());
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    fixture.decode.send(decode_connection, whole_stream("whole"));
    fixture.wait_until("the end of the connection", [&] { return client.has_ended() || client.was_reset(); });
    EXPECT_NE(client.received().find("\r\n0\r\n\r\n"), std::string::npos);
}

// The server has finished, the client reads slowly, and dozens of new connections compete for its place in
// the table.
TEST(Close, AnswerQueuedForASlowClientIsCompleteDespiteManyNewConnections) {
    ScriptedGatewayFixture fixture(kSettings, 64);
    RawClient client(fixture.node->address(), RawClient::Buffers::small);
    client.send(fixture.request_text(fixture.new_request_id(), "2000", "Connection: close\r\n"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    fixture.decode.send(decode_connection, stream_start());
    for (int n = 0; n < 55; ++n) fixture.decode.send(decode_connection, event_of(std::string(1000, 'x')));
    fixture.decode.send(decode_connection, stream_end());
    fixture.wait_until("only the client delays the answer", [&] {
        return fixture.node->dispatcher().open_requests() == 0 && fixture.loop.adopted() == 1;
    });
    std::vector<std::unique_ptr<RawClient>> other_clients;
    for (int n = 0; n < 60; ++n) {
        other_clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
        fixture.run_for(ms(2));
    }
    fixture.wait_until("the end of the connection", [&] { return client.has_ended() || client.was_reset(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.received().find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST(Close, RefusalIsSentBeforeTheCloseThoughTheTableIsFull) {
    GatewayFixture fixture(64);
    std::vector<std::unique_ptr<RawClient>> bad_clients;
    std::size_t answered = 0;
    for (int n = 0; n < 12; ++n) {
        bad_clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
    }
    fixture.wait_until("the connections are accepted", [&] { return fixture.node->clients().size() >= 12; });
    for (const auto& client : bad_clients) client->send("nonsense\r\n\r\n");
    fixture.run_for(ms(300));
    for (const auto& client : bad_clients) answered += client->received().find("HTTP/1.1 400") == 0;
    EXPECT_EQ(answered, bad_clients.size());
}

// A request that arrives behind an open one after new connections are no longer accepted can't be completed
// before the process is killed: it is rejected.
TEST(Shutdown, LateRequestOnAnOpenConnectionIsRejected) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const auto streaming = fixture.advance_to_decode(*client);
    fixture.decode.send(streaming, stream_start() + event_of("one"));
    fixture.wait_until("the stream has begun", [&] { return client->status() == 200; });
    fixture.node->stop();
    fixture.run_for(ms(800));
    client->send(fixture.request_text(fixture.new_request_id()));
    fixture.run_for(ms(100));
    fixture.decode.send(streaming, stream_end());
    fixture.wait_until("both answers", [&] { return client->response_count() == 2; });
    EXPECT_NE(client->received.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(fixture.prefill.count("POST"), 1u);
}

}  // namespace
}  // namespace copperfront
