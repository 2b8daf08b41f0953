// For how long, and up to which number, ids that may have run are remembered.
#include "core/recent_request_ids.h"

#include <gtest/gtest.h>

namespace copperfront {
namespace {

constexpr Duration kRememberFor{10000000}, kSecond{1000000};
constexpr Instant kStart{1000000000};

TEST(RecentRequestIds, IdIsRememberedForAtLeastItsTimeAndForgottenInTheEnd) {
    for (int offset = 0; offset < 20; ++offset) {
        RecentRequestIds ids(kRememberFor, 1000);
        ids.add(1, kStart);
        const Instant added = kStart + kSecond * offset;
        ids.add(2, added);
        EXPECT_TRUE(ids.may_have_run(2, added + kRememberFor)) << "added after " << offset << " s";
        EXPECT_FALSE(ids.may_have_run(2, added + kRememberFor * 2 + kSecond));
    }
}

TEST(RecentRequestIds, IdThatNeverRanIsNotRemembered) {
    RecentRequestIds ids(kRememberFor, 1000);
    EXPECT_FALSE(ids.may_have_run(1, kStart));
    ids.add(1, kStart);
    ids.remove(1);
    EXPECT_FALSE(ids.may_have_run(1, kStart));
}

TEST(RecentRequestIds, PastTheLimitTheOldestAreForgottenAndCounted) {
    constexpr std::size_t kMost = 100;
    RecentRequestIds ids(kRememberFor, kMost);
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        ids.add(id, kStart);
        EXPECT_LE(ids.size(), kMost);
    }
    EXPECT_TRUE(ids.may_have_run(1000, kStart));
    EXPECT_FALSE(ids.may_have_run(1, kStart));
    EXPECT_EQ(ids.forgotten_early() + ids.size(), 1000u);
}

}  // namespace
}  // namespace copperfront
