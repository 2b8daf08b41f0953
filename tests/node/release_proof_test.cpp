// A release proves something only of what no attempt waits for any more. What counts is when a running server
// reads one after the end of every attempt of its request.
#include <algorithm>

#include "held_state_world.h"

namespace copperfront {
namespace {

// Reads releases until one has come that was sent after `attempt_over`; a release while an attempt of its
// request waits for the state lets go of nothing.
bool releases_after(const ScriptedServer& server, Instant attempt_over) {
    return std::any_of(server.requests().begin(), server.requests().end(), [&](const auto& request) {
        return request.head.method == "DELETE" && request.received_at >= attempt_over;
    });
}

// A decode server that runs takes the hand-over and never answers it. Up to the attempt's end a release lets
// go of nothing; the time of the state starts again with that end.
TEST(ReleaseProof, IsReleasedOnceAHandOverThatWasTakenHasEnded) {
    for (const char* const effect : {"repeatable", "once"}) {
        for (const bool head_sent : {false, true}) {
            HeldStateWorld w(settings_with_effect(effect));
            auto client = w.client();
            client->say(w.call(w.fresh(), "1800"));
            w.end_prefill();
            const auto taken = w.wait_for_post(w.decode, 1);
            if (head_sent) w.decode.send(taken, stream_start());
            w.until("the attempt's end at its server", [&] {
                w.releases();
                return !w.decode.is_open(taken);
            });
            const Instant over = w.loop.now();
            bool released = false;
            w.until("the time of the state", [&] {
                w.releases();
                released = releases_after(w.prefill, over) || releases_after(w.decode, over);
                return released || w.loop.now() - over > kHeldAtMost;
            });
            EXPECT_TRUE(released) << effect << (head_sent ? ", head sent" : ", silent");
        }
    }
}

// A prefill server has read the prompt, and of its answer only a part comes. The gateway has only just
// started, so it does not know yet how long prefills usually take.
TEST(ReleaseProof, IsReleasedWhenAPrefillAnswerStaysHalfSent) {
    const std::string whole = prefill_response();
    const std::string error = response_of(500, "", "something went wrong");
    const std::pair<const char*, std::string> parts[] = {
        {"twelve bytes", whole.substr(0, 12)},
        {"all but its last byte", whole.substr(0, whole.size() - 1)},
        {"100 Continue", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"half an error", error.substr(0, error.size() - 5)},
    };
    for (const auto& [name, part] : parts) {
        HeldStateWorld w(settings_with_effect("once"));
        auto client = w.client();
        client->say(w.call(w.fresh(), "4000"));
        w.prefill.send(w.wait_for_post(w.prefill, 1), part);
        const Instant ended = w.loop.now();
        w.until("a release", [&] { return w.releases() > 0; });
        EXPECT_LE((w.loop.now() - ended).ms(), kHeldAtMost.ms()) << name;
    }
}

}  // namespace
}  // namespace copperfront
