// Requests that wait on their connection behind an earlier one, or in the system while the loop is behind:
// their time runs from when they came.
#include <chrono>
#include <thread>

#include "scripted_world.h"

namespace copperfront {
namespace {

constexpr std::int64_t kToldSlackMs = 150;

std::int64_t told_ms(const ScriptedServer::Request& request) {
    const std::string* const told = request.head.find("X-Time-Left-Ms");
    return told != nullptr ? std::atoll(told->c_str()) : -1;
}

TEST(RequestBehindAnother, TellsServersWhatIsLeftSinceItCame) {
    ScriptedWorld w;
    auto client = w.client();
    const std::string first = w.call(w.fresh(), "2000"), second = w.call(w.fresh(), "2000");
    client->say(first + second);
    const Instant sent = w.loop.now();
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    const auto writing = w.wait_for_post(w.decode, 1);
    w.pass(ms(500));
    w.decode.send(writing, whole_stream("first"));
    w.wait_for_post(w.prefill, 2);
    const std::int64_t left = 2000 - static_cast<std::int64_t>((w.loop.now() - sent).ms());
    EXPECT_LE(told_ms(w.last(w.prefill)), left + kToldSlackMs);
}

// Nothing is sent for one whose time is over before its turn comes, and it is told at once.
TEST(RequestBehindAnother, IsRejectedOnceItsTimeIsOver) {
    ScriptedWorld w;
    auto client = w.client();
    client->say(w.call(w.fresh(), "2000") + w.call(w.fresh(), "300"));
    w.prefill.send(w.wait_for_post(w.prefill, 1), prefill_response());
    const auto writing = w.wait_for_post(w.decode, 1);
    w.pass(ms(600));
    w.decode.send(writing, whole_stream("first"));
    w.until("both answers", [&] { return client->answers() == 2; });
    EXPECT_NE(client->heard.find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(w.prefill.count("POST"), 1u);
}

// Against a loop that is behind, or a process that was stopped, and takes a request for new.
TEST(RequestThatLayUnread, TellsServersWhatIsLeftSinceItCame) {
    for (const bool on_new_connection : {true, false}) {
        ScriptedWorld w;
        auto client = std::make_unique<RawClient>(w.node->address());
        if (!on_new_connection) w.pass(ms(50));
        client->say(w.call(w.fresh(), "2000"));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        w.wait_for_post(w.prefill, 1);
        EXPECT_LE(told_ms(w.last(w.prefill)), 2000 - 500 + kToldSlackMs);
    }
}

}  // namespace
}  // namespace copperfront
