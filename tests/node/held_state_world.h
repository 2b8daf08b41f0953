// A gateway whose releases are counted, at servers that answer on command.
#pragma once

#include "scripted_world.h"

namespace copperfront {

// The settings' 1,000 ms, the protocol's slack of 300 ms, and a little for a busy machine.
inline constexpr Span kHeldAtMost = ms(1400);

struct HeldStateWorld : ScriptedWorld {
    using ScriptedWorld::ScriptedWorld;

    // How many releases running servers have read; each is answered.
    std::size_t releases() {
        answer_releases(prefill, answered_at_prefill_);
        answer_releases(decode, answered_at_decode_);
        return prefill.count("DELETE") + decode.count("DELETE") + platform.count("DELETE");
    }
    void expect_release_within(Instant held_since) {
        until("a release", [&] { return releases() > 0; });
        EXPECT_LE((loop.now() - held_since).ms(), kHeldAtMost.ms());
    }
    // Answers the first prefill and returns when.
    Instant end_prefill() {
        const auto connection = wait_for_post(prefill, 1);
        prefill.send(connection, prefill_response());
        return loop.now();
    }

    // A request whose hand-over will go to a decode server at this address.
    std::unique_ptr<Client> ask_with_decode_at(const std::string& address, const std::string& left = "4000",
                                               const std::string& content = "hello there") {
        platform.point("w1", address);
        wait_for_list();
        auto asking = client();
        asking->say(call_with_content(fresh(), content, left));
        return asking;
    }

  private:
    std::size_t answered_at_prefill_ = 0, answered_at_decode_ = 0;
};

}  // namespace copperfront
