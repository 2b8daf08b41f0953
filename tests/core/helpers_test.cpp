// Helpers of the router.
#include "core/helpers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/release_policy.h"

namespace copperfront {
namespace {

TEST(GenerationalCache, KeepsTheNewestAndForgetsTheOldestPastTwoGenerations) {
    constexpr std::size_t kCapacity = 1000;
    GenerationalCache<std::size_t> cache(kCapacity);
    for (std::size_t key = 1; key <= 5 * kCapacity; ++key) {
        cache.put(key, key);
        const std::size_t newest = key > kCapacity ? key - kCapacity + 1 : 1;
        ASSERT_NE(cache.find(newest), nullptr) << key;
        EXPECT_EQ(*cache.find(newest), newest);
        if (key > 2 * kCapacity) {
            ASSERT_EQ(cache.find(key - 2 * kCapacity), nullptr) << key;
        }
    }
}

TEST(StepThroughList, VisitsEachEntryOnceAndLeavesAHalfOfTheListAtOnce) {
    for (std::size_t entries = 1; entries <= 3300; ++entries) {
        const std::size_t step = release_policy::list_stride(entries);
        std::vector<bool> visited(entries, false);
        std::size_t at = 0;
        for (std::size_t n = 0; n < entries; ++n) {
            at = (at + step) % entries;
            visited[at] = true;
            if (entries >= 16 && n == 3) {
                const auto middle = visited.begin() + static_cast<std::ptrdiff_t>(entries / 2);
                EXPECT_TRUE(std::count(visited.begin(), middle, true) > 0 &&
                            std::count(middle, visited.end(), true) > 0)
                    << entries;
            }
        }
        EXPECT_EQ(static_cast<std::size_t>(std::count(visited.begin(), visited.end(), true)), entries);
    }
}

}  // namespace
}  // namespace copperfront
