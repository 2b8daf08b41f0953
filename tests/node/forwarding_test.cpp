// What of a client's message reaches the model servers.
#include "scripted_world.h"

namespace copperfront {
namespace {

TEST(Forwarding, EndToEndFieldsReachBothServersAndHopByHopOnesDoNot) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "2000",
                       "Idempotency-Key: once-7\r\nX-Custom: kept\r\nConnection: X-Private, keep-alive\r\n"
                       "X-Private: for the gateway\r\nKeep-Alive: 5\r\nTE: trailers\r\n"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    w.wait_for_post(w.decode, 1);
    for (const ScriptedServer* server : {&w.prefill, &w.decode}) {
        const http::Head& head = w.last(*server).head;
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
