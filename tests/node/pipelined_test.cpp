// Requests that wait on their connection behind an earlier one, or unread in the socket while the loop is
// late: their time runs from their arrival.
#include <chrono>
#include <thread>

#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

constexpr std::int64_t kTimeLeftSlackMs = 150;

std::int64_t time_left_ms(const ScriptedServer::Request& request) {
    const std::string* const time_left = request.head.find("X-Time-Left-Ms");
    return time_left != nullptr ? std::atoll(time_left->c_str()) : -1;
}

TEST(RequestBehindAnother, SendsServersTheTimeLeftSinceItsArrival) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    const std::string first = fixture.request_text(fixture.new_request_id(), "2000"),
                      second = fixture.request_text(fixture.new_request_id(), "2000");
    client->send(first + second);
    const Instant sent = fixture.loop.now();
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    fixture.run_for(ms(500));
    fixture.decode.send(decode_connection, whole_stream("first"));
    fixture.wait_for_post(fixture.prefill, 2);
    const std::int64_t left = 2000 - static_cast<std::int64_t>((fixture.loop.now() - sent).ms());
    EXPECT_LE(time_left_ms(fixture.last_request(fixture.prefill)), left + kTimeLeftSlackMs);
}

// A request whose time is over before its turn is rejected at once, and nothing is sent for it.
TEST(RequestBehindAnother, IsRejectedOnceItsTimeIsOver) {
    ScriptedGatewayFixture fixture;
    auto client = fixture.client();
    client->send(fixture.request_text(fixture.new_request_id(), "2000") +
                 fixture.request_text(fixture.new_request_id(), "300"));
    fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), prefill_response());
    const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
    fixture.run_for(ms(600));
    fixture.decode.send(decode_connection, whole_stream("first"));
    fixture.wait_until("both answers", [&] { return client->response_count() == 2; });
    EXPECT_NE(client->received.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(fixture.prefill.count("POST"), 1u);
}

// Guards against treating a request as new after the loop was late or the process was stopped.
TEST(RequestUnreadInTheSocket, SendsServersTheTimeLeftSinceItsArrival) {
    for (const bool on_new_connection : {true, false}) {
        ScriptedGatewayFixture fixture;
        auto client = std::make_unique<RawClient>(fixture.node->address());
        if (!on_new_connection) fixture.run_for(ms(50));
        client->send(fixture.request_text(fixture.new_request_id(), "2000"));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        fixture.wait_for_post(fixture.prefill, 1);
        EXPECT_LE(time_left_ms(fixture.last_request(fixture.prefill)), 2000 - 500 + kTimeLeftSlackMs);
    }
}

}  // namespace
}  // namespace copperfront
