// What a gateway may hold for its peers, and what it gives up first.
#include "core/memory_budget.h"

#include <gtest/gtest.h>

#include "core/free_memory.h"

namespace copperfront {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kLargestRequest = 264 << 10, kSmallRequest = 8 << 10;

MemoryBudget::Process process(std::size_t megabytes, std::size_t servers = 200) {
    return {megabytes * kMegabyte, servers, 936, megabytes * kMegabyte / 8};
}

TEST(MemoryBudget, LeavesAtLeastATenthOfTheLimitFree) {
    for (const std::size_t megabytes : {32, 64, 128, 192}) {
        for (const std::size_t servers : {4, 200, 3200}) {
            const std::size_t bytes = MemoryBudget::bytes_for_peers(process(megabytes, servers));
            EXPECT_GT(bytes, 0u) << megabytes << " MB, " << servers << " servers";
            EXPECT_LT(bytes, megabytes * kMegabyte * 9 / 10);
        }
    }
}

TEST(MemoryBudget, LimitThatIsTooLowIsReportedWithTheLeastThatIsEnough) {
    MemoryBudget::Process small = process(16, 3200);
    EXPECT_EQ(MemoryBudget::bytes_for_peers(small), 0u);
    small.limit = MemoryBudget::least_limit(small);
    EXPECT_GT(MemoryBudget::bytes_for_peers(small), 0u);
}

TEST(MemoryBudget, SharesOfAllUsesAddUpToTheWhole) {
    const MemoryBudget budget(process(64));
    std::size_t sum = 0;
    for (std::size_t use = 0; use < kMemoryUseCount; ++use) sum += budget.share(static_cast<MemoryUse>(use));
    EXPECT_LE(sum, budget.bytes());
    EXPECT_GE(sum, budget.bytes() * 99 / 100);
}

TEST(MemoryBudget, LargeRequestsAreRefusedBeforeSmallOnes) {
    MemoryBudget budget(process(64));
    MemoryCharge requests(budget, MemoryUse::requests);
    std::size_t held = 0;
    while (budget.may_accept(kLargestRequest)) requests.set(held += kLargestRequest);
    EXPECT_GT(held, 0u);
    EXPECT_TRUE(budget.may_accept(kSmallRequest));
    while (budget.may_accept(kSmallRequest)) requests.set(held += kSmallRequest);
    EXPECT_LE(held, budget.share(MemoryUse::requests));
    requests.set(0);
    EXPECT_TRUE(budget.may_accept(kLargestRequest));
}

TEST(MemoryBudget, ChargeIsReturnedWhenItsOwnerEnds) {
    MemoryBudget budget(process(64));
    {
        MemoryCharge first(budget, MemoryUse::client_input);
        first.set(1000);
        const MemoryCharge second = std::move(first);
        EXPECT_EQ(budget.used(MemoryUse::client_input), 1000u);
    }
    EXPECT_EQ(budget.used(), 0u);
}

// What is resident and not charged narrows the budget as well.
TEST(MemoryBudget, NothingIsAcceptedOnceTheProcessHasReachedItsLimit) {
    MemoryBudget budget(process(64));
    budget.set_resident(20 * kMegabyte);
    EXPECT_TRUE(budget.may_accept(kSmallRequest));
    budget.set_resident(58 * kMegabyte);
    EXPECT_FALSE(budget.may_accept(kSmallRequest));
    MemoryCharge input(budget, MemoryUse::client_input);
    input.set(budget.share(MemoryUse::client_input) / 2);
    EXPECT_TRUE(budget.is_exceeded(MemoryUse::client_input));
    budget.set_resident(20 * kMegabyte);
    EXPECT_FALSE(budget.is_exceeded(MemoryUse::client_input));
}

TEST(MemoryBudget, StalledInputIsGivenUpBeforeInputThatArrivesFast) {
    const Duration stalled{1000000}, fast{5000};
    EXPECT_GT(MemoryBudget::eviction_value(16 << 10, stalled), MemoryBudget::eviction_value(250 << 10, fast));
}

TEST(MemoryBudget, FreeMemoryIsReturnedOnceItIsMuchMoreThanWhatIsCharged) {
    MemoryBudget budget(process(64));
    budget.set_resident(10 * kMegabyte);
    EXPECT_FALSE(budget.should_trim());
    MemoryCharge requests(budget, MemoryUse::requests);
    requests.set(4 * kMegabyte);
    budget.set_resident(14 * kMegabyte);
    EXPECT_FALSE(budget.should_trim());
    requests.set(0);
    EXPECT_TRUE(budget.should_trim());
    const Duration after_gain = budget.trimmed(10 * kMegabyte);
    EXPECT_FALSE(budget.should_trim());
    budget.set_resident(14 * kMegabyte);
    EXPECT_GT(budget.trimmed(14 * kMegabyte), after_gain) << "an attempt that gained nothing";
}

// Guards against text of ended requests that stays in memory: an assignment keeps the buffer of a string.
TEST(FreeMemory, LeavesNoBuffer) {
    std::string text(100000, 'a');
    free_memory(text);
    EXPECT_LT(text.capacity(), 100u);
}

}  // namespace
}  // namespace copperfront
