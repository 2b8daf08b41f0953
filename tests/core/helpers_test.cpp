// The small helpers of the rules.
#include "core/helpers.h"

#include <gtest/gtest.h>

namespace copperfront {
namespace {

TEST(Recent, KeepsTheNewestAndForgetsTheOldestPastTwoGenerations) {
    constexpr std::size_t kMost = 1000;
    Recent<std::size_t> recent(kMost);
    for (std::size_t key = 1; key <= 5 * kMost; ++key) {
        recent.keep(key, key);
        const std::size_t newest = key > kMost ? key - kMost + 1 : 1;
        ASSERT_NE(recent.find(newest), nullptr) << key;
        EXPECT_EQ(*recent.find(newest), newest);
        if (key > 2 * kMost) {
            ASSERT_EQ(recent.find(key - 2 * kMost), nullptr) << key;
        }
    }
}

}  // namespace
}  // namespace copperfront
