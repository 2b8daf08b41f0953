// Number of connections to model servers that a gateway's choices need as the fleet grows and its traffic
// does not.
#include <gtest/gtest.h>

#include <set>

#include "fake_router_host.h"

namespace copperfront {
namespace {

constexpr int kRequests = 800, kCells = 20, kSessions = 50;
constexpr Duration kBetweenRequests = ms(20);
constexpr double kMaxGrowth = 2.5, kMaxExtra = 40;  // required bounds for 16 times the servers

// Counts the servers that a gateway has sent anything to; the whole run is within the time that connections
// are kept.
std::size_t connections_made(std::size_t servers, std::uint32_t gateways) {
    RouterFixture fixture;
    fixture.terms.gateways = static_cast<int>(gateways);
    fixture.terms.connection_idle_timeout = ms(30000);
    fixture.list.clear();
    for (std::size_t n = 0; n < servers; ++n) {
        const auto cell = static_cast<std::uint32_t>(n / 2 % kCells);
        const auto zone = static_cast<std::uint16_t>(cell % 2);
        fixture.list.push_back({static_cast<ServerIndex>(n),
                                static_cast<std::uint16_t>(n % 2),
                                zone,
                                cell,
                                {},
                                ServerStatus::ready,
                                n + 1});
    }
    fixture.start();
    std::set<ServerIndex> contacted;
    for (int n = 0; n < kRequests; ++n) {
        const RequestIndex request = fixture.prefill_one(1000, 1 + static_cast<std::uint64_t>(n % kSessions));
        fixture.complete(request);
        fixture.advance(kBetweenRequests);
    }
    for (const StartedAttempt& attempt : fixture.host.attempts) contacted.insert(attempt.server);
    return contacted.size();
}

// Each connection costs a handshake at the server, which holds only so many.
TEST(ConnectionCount, FollowsTheTrafficOfAGatewayAndNotTheFleet) {
    const std::size_t usual = connections_made(200, 20), large = connections_made(3200, 320);
    EXPECT_LE(static_cast<double>(large), kMaxGrowth * static_cast<double>(usual) + kMaxExtra)
        << usual << " at 200 servers";
}

}  // namespace
}  // namespace copperfront
