// Guards against counting a release as proof that a state is gone while an attempt of its request still waits
// for that state. What counts is when a running server reads a release after the end of every attempt of the
// request.
#include <algorithm>

#include "held_state_fixture.h"

namespace copperfront {
namespace {

// Whether the server has received a release after `attempt_ended`. A release frees nothing while an attempt
// of its request waits for the state.
bool releases_after(const ScriptedServer& server, Instant attempt_ended) {
    return std::any_of(server.requests().begin(), server.requests().end(), [&](const auto& request) {
        return request.head.method == "DELETE" && request.received_at >= attempt_ended;
    });
}

// A running decode server accepts the hand-over and never answers it. Until the attempt ends, a release frees
// nothing; the time limit of the state starts again when the attempt ends.
TEST(ReleaseProof, IsReleasedOnceAnAcceptedHandOverHasEnded) {
    for (const char* const effect : {"repeatable", "once"}) {
        for (const bool head_sent : {false, true}) {
            HeldStateFixture fixture(settings_with_effect(effect));
            auto client = fixture.client();
            client->send(fixture.request_text(fixture.new_request_id(), "1800"));
            fixture.complete_prefill();
            const auto decode_connection = fixture.wait_for_post(fixture.decode, 1);
            if (head_sent) fixture.decode.send(decode_connection, stream_start());
            fixture.wait_until("the attempt's end at its server", [&] {
                fixture.answer_and_count_releases();
                return !fixture.decode.is_open(decode_connection);
            });
            const Instant attempt_ended = fixture.loop.now();
            bool released = false;
            fixture.wait_until("a release, or the time limit of the state", [&] {
                fixture.answer_and_count_releases();
                released = releases_after(fixture.prefill, attempt_ended) ||
                           releases_after(fixture.decode, attempt_ended);
                return released || fixture.loop.now() - attempt_ended > kMaxHoldTime;
            });
            EXPECT_TRUE(released) << effect << (head_sent ? ", head sent" : ", silent");
        }
    }
}

// A prefill server has processed the prompt, but only a part of its answer arrives. The gateway has just
// started and does not know yet how long prefills usually take.
TEST(ReleaseProof, IsReleasedWhenAPrefillAnswerStaysIncomplete) {
    const std::string answer = prefill_response();
    const std::string error = response_of(500, "", "something went wrong");
    const std::pair<const char*, std::string> parts[] = {
        {"twelve bytes", answer.substr(0, 12)},
        {"all but its last byte", answer.substr(0, answer.size() - 1)},
        {"100 Continue", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"half an error", error.substr(0, error.size() - 5)},
    };
    for (const auto& [name, part] : parts) {
        HeldStateFixture fixture(settings_with_effect("once"));
        auto client = fixture.client();
        client->send(fixture.request_text(fixture.new_request_id(), "4000"));
        fixture.prefill.send(fixture.wait_for_post(fixture.prefill, 1), part);
        const Instant ended = fixture.loop.now();
        fixture.wait_until("a release", [&] { return fixture.answer_and_count_releases() > 0; });
        EXPECT_LE((fixture.loop.now() - ended).ms(), kMaxHoldTime.ms()) << name;
    }
}

}  // namespace
}  // namespace copperfront
