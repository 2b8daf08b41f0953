// Test fixture that counts the gateway's releases at servers that answer on command.
#pragma once

#include "scripted_gateway_fixture.h"

namespace copperfront {

// The 1,000 ms of the settings, the protocol's slack of 300 ms, and 100 ms for a busy machine.
inline constexpr Duration kMaxHoldTime = ms(1400);

struct HeldStateFixture : ScriptedGatewayFixture {
    using ScriptedGatewayFixture::ScriptedGatewayFixture;

    // Answers all releases that running servers have read and returns how many there were so far.
    std::size_t answer_and_count_releases() {
        answer_releases(prefill, answered_at_prefill_);
        answer_releases(decode, answered_at_decode_);
        return prefill.count("DELETE") + decode.count("DELETE") + platform.count("DELETE");
    }
    void expect_release_within(Instant held_since) {
        wait_until("a release", [&] { return answer_and_count_releases() > 0; });
        EXPECT_LE((loop.now() - held_since).ms(), kMaxHoldTime.ms());
    }
    // Answers the first prefill and returns the time of that.
    Instant complete_prefill() {
        const auto connection = wait_for_post(prefill, 1);
        prefill.send(connection, prefill_response());
        return loop.now();
    }

    // Sends a request whose hand-over goes to a decode server at this address.
    std::unique_ptr<Client> send_request_with_decode_at(const std::string& address,
                                                        const std::string& left = "4000",
                                                        const std::string& content = "hello there") {
        platform.set_address("w1", address);
        wait_for_list();
        auto sender = client();
        sender->send(request_text_with_content(new_request_id(), content, left));
        return sender;
    }

  private:
    std::size_t answered_at_prefill_ = 0, answered_at_decode_ = 0;
};

}  // namespace copperfront
