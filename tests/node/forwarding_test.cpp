// Which header fields of a client's request reach the model servers.
#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

TEST(Forwarding, EndToEndFieldsReachBothServersAndHopByHopOnesDoNot) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(
        fixture.new_request_id(), "2000",
        "Idempotency-Key: once-7\r\nX-Custom: kept\r\nConnection: X-Private, keep-alive\r\n"
        "X-Private: for the gateway\r\nKeep-Alive: 5\r\nTE: trailers\r\n"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    fixture.wait_for_post(fixture.decode, 1);
    for (const ScriptedServer* server : {&fixture.prefill, &fixture.decode}) {
        const http::Head& head = fixture.last_request(*server).head;
        for (const auto& [name, value] : {std::pair{"Idempotency-Key", "once-7"},
                                          {"X-Custom", "kept"},
                                          {"X-Service-Class", "help"},
                                          {"X-Account", "acme"},
                                          {"Content-Type", "application/json"}}) {
            ASSERT_NE(head.find(name), nullptr) << name;
            EXPECT_EQ(*head.find(name), value) << name;
        }
        for (const char* name : {"X-Private", "Keep-Alive", "TE", "Connection"}) {
            EXPECT_EQ(head.find(name), nullptr) << name;
        }
        EXPECT_EQ(head.count("X-Time-Left-Ms"), 1u);
        EXPECT_EQ(head.count("X-Correlation-Id"), 1u);
        EXPECT_EQ(head.count("Content-Length"), 1u);
        EXPECT_EQ(head.count("Host"), 1u);
    }
}

}  // namespace
}  // namespace copperfront
