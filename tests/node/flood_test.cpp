// Guards against one client that takes the share of others: it sends requests at full speed that end before
// they can be routed.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace copperfront {
namespace {

constexpr int kSoundRequests = 32, kFloodBatch = 50;

// Sends another batch of requests whenever the last one has been answered.
class FloodingClient {
  public:
    FloodingClient(GatewayFixture& fixture, std::string time_left)
        : fixture_(fixture), client_(fixture.client()), time_left_(std::move(time_left)) {}

    void advance() {
        if (client_->response_count() < expected_) return;
        sent_ += expected_;
        client_->received.clear();
        std::string batch;
        for (int n = 0; n < kFloodBatch; ++n)
            batch += fixture_.request_text(fixture_.new_request_id(), time_left_);
        expected_ = kFloodBatch;
        client_->send(batch);
    }
    std::size_t sent() const { return sent_; }
    bool is_closed() const { return client_->closed; }

  private:
    GatewayFixture& fixture_;
    std::unique_ptr<Client> client_;
    const std::string time_left_;
    std::size_t expected_ = 0, sent_ = 0;
};

TEST(Flood, RequestsWithoutTimeTakeNothingOfTheirAccountsShare) {
    GatewayFixture fixture(256, {}, [] {
        std::string settings = kSettings;
        const std::string quota = R"("quota-per-s":500)";
        settings.replace(settings.find(quota), quota.size(), R"("quota-per-s":50)");
        return settings;
    }());
    FloodingClient flood(fixture, "1");
    std::vector<std::unique_ptr<Client>> sound;
    for (int n = 0; n < kSoundRequests; ++n) {
        const Instant until = fixture.loop.now() + ms(60);
        while (fixture.loop.now() < until) {
            flood.advance();
            fixture.run_for(ms(2));
        }
        sound.push_back(fixture.client());
        sound.back()->send(fixture.request_text(fixture.new_request_id()));
    }
    EXPECT_FALSE(flood.is_closed());
    EXPECT_GT(flood.sent(), 1000u);
    fixture.run_for(ms(1000));
    int served = 0;
    for (const auto& client : sound) served += client->is_complete();
    EXPECT_EQ(served, kSoundRequests);
}

}  // namespace
}  // namespace copperfront
