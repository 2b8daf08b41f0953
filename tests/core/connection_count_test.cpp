// How many connections to model servers a gateway's choices cost as the fleet grows and its traffic does not.
#include <gtest/gtest.h>

#include <set>

#include "fake_host.h"

namespace copperfront {
namespace {

constexpr int kRequests = 800, kCells = 20, kSessions = 50;
constexpr Span kBetweenRequests = ms(20);
constexpr double kMostGrowth = 2.5, kMostMore = 40;  // the platform's bounds for 16 times the servers

// Servers that a gateway has sent anything to; all of it passes within the time that connections are kept.
std::size_t connections_made(std::size_t servers, std::uint32_t gateways) {
    Story story;
    story.terms.gateways = static_cast<int>(gateways);
    story.terms.connections_rest = ms(30000);
    story.list.clear();
    for (std::size_t n = 0; n < servers; ++n) {
        const auto cell = static_cast<std::uint32_t>(n / 2 % kCells);
        const auto zone = static_cast<std::uint16_t>(cell % 2);
        story.list.push_back({static_cast<ServerIndex>(n),
                              static_cast<std::uint16_t>(n % 2),
                              zone,
                              cell,
                              {},
                              Standing::ready,
                              n + 1});
    }
    story.start();
    std::set<ServerIndex> met;
    for (int n = 0; n < kRequests; ++n) {
        const QueryIndex request = story.read_one(1000, 1 + static_cast<std::uint64_t>(n % kSessions));
        story.settle(request);
        story.pass(kBetweenRequests);
    }
    for (const StartedAttempt& attempt : story.host.attempts) met.insert(attempt.server);
    return met.size();
}

// Each connection costs a handshake at the server, which holds only so many.
TEST(ConnectionCount, FollowsTheTrafficOfAGatewayAndNotTheFleet) {
    const std::size_t usual = connections_made(200, 20), large = connections_made(3200, 320);
    EXPECT_LE(static_cast<double>(large), kMostGrowth * static_cast<double>(usual) + kMostMore)
        << usual << " at 200 servers";
}

}  // namespace
}  // namespace copperfront
