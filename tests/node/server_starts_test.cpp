// Start times of servers where the wall clock is wrong, here or at the server.
#include "node/server_starts.h"

#include <gtest/gtest.h>

namespace copperfront {
namespace {

constexpr Duration seconds(std::int64_t n) { return {n * 1000000}; }
constexpr Instant kNow{1800000000000000};

TEST(ServerStarts, StartOfLongAgoStaysLongAgo) {
    ServerStarts starts;
    EXPECT_EQ(starts.start_of("s", {}, kNow), Instant{});
}

// A server whose clock is an hour ahead must not count as cold for ever.
TEST(ServerStarts, StartAnHourAheadIsTakenAsNow) {
    ServerStarts starts;
    EXPECT_EQ(starts.start_of("s", kNow + seconds(3600), kNow), kNow);
    // It is the same start a minute later.
    EXPECT_EQ(starts.start_of("s", kNow + seconds(3600), kNow + seconds(60)), kNow);
}

TEST(ServerStarts, FirstListIsTrusted) {
    ServerStarts starts;
    EXPECT_EQ(starts.start_of("s", kNow - seconds(3600), kNow), kNow - seconds(3600));
}

// The list of one second ago did not contain it, so it can't have run for an hour.
TEST(ServerStarts, NewServerWithAClockBehindIsNotWarmAtOnce) {
    ServerStarts starts;
    starts.list_confirmed(kNow - seconds(1));
    EXPECT_GE(starts.start_of("s", kNow - seconds(3600), kNow), kNow - seconds(7));
}

TEST(ServerStarts, RestartIsRecognisedAfterItsClockWasSteppedBack) {
    ServerStarts starts;
    const Instant first = starts.start_of("s", kNow - seconds(100), kNow);
    starts.list_confirmed(kNow);
    const Instant second = starts.start_of("s", kNow - seconds(3600), kNow + seconds(2));
    EXPECT_NE(first, second);
    EXPECT_GE(second, kNow - seconds(6));
}

// Discovery was unavailable for a minute: a server added in the meantime may be that old.
TEST(ServerStarts, TimeWithoutAListIsTakenIntoAccount) {
    ServerStarts starts;
    starts.list_confirmed(kNow - seconds(60));
    EXPECT_EQ(starts.start_of("s", kNow - seconds(40), kNow), kNow - seconds(40));
}

}  // namespace
}  // namespace copperfront
