// Guards against a gateway that passes its memory limit, or keeps what it took, because of clients that stop
// in the middle of large requests, write or read slowly, or send very many header fields. The gateway is a
// process of its own, and its resident memory is judged.
#include "large_fleet.h"
#include "soak/hostile_clients.h"

namespace copperfront {
namespace {

using soak::HostileBehavior;
using soak::HostileClients;

constexpr double kMaxShareOfLimit = 0.95;
constexpr double kMaxGrowthAfterwards = 1.5;  // of resident memory, compared with before
constexpr Duration kTimeToGiveBack = ms(5000);
constexpr std::size_t kSoundRequests = 60;

struct Limits {
    std::size_t memory_mb, descriptors, servers;
};

class MemoryLimit : public testing::TestWithParam<std::tuple<HostileBehavior, Limits>> {};

TEST_P(MemoryLimit, HoldsUnderHundredsOfHostileClients) {
    const auto& [behavior, limits] = GetParam();
    LargeFleet fleet(
        {.servers = limits.servers, .memory_mb = limits.memory_mb, .descriptors = limits.descriptors});
    fleet.start();
    fleet.send_requests(10, ms(10));
    const double before = fleet.resident_mb();
    {
        const HostileClients clients(fleet.loop, fleet.gateway_address(),
                                     {.behavior = behavior, .clients = limits.descriptors * 42 / 100});
        fleet.send_requests(kSoundRequests, ms(70));
    }
    ASSERT_TRUE(fleet.is_running());
    EXPECT_TRUE(fleet.wait_for_answers(ms(5000)));
    const double limit = static_cast<double>(limits.memory_mb);
    EXPECT_LE(fleet.peak_resident_mb(), kMaxShareOfLimit * limit);
    fleet.run_for(kTimeToGiveBack);
    const double after = fleet.resident_mb();
    EXPECT_LE(after, kMaxGrowthAfterwards * before);
    EXPECT_EQ(fleet.completed(), fleet.requests.size()) << "sound requests";
    std::printf(
        "%s, %zu MB, %zu descriptors, %zu servers: %.1f MB before, %.1f at most, %.1f after; sound requests "
        "after "
        "%.0f ms (median) and %.0f ms (99%%)\n",
        text_of(behavior), limits.memory_mb, limits.descriptors, limits.servers, before,
        fleet.peak_resident_mb(), after, fleet.answer_time(0.5).ms(), fleet.answer_time(0.99).ms());
}

std::string name_of(const testing::TestParamInfo<MemoryLimit::ParamType>& info) {
    const auto& [behavior, limits] = info.param;
    return std::string(text_of(behavior)) + "_" + std::to_string(limits.memory_mb) + "mb_" +
           std::to_string(limits.descriptors) + "_descriptors_" + std::to_string(limits.servers) + "_servers";
}

INSTANTIATE_TEST_SUITE_P(LeastMemory, MemoryLimit,
                         testing::Combine(testing::ValuesIn(soak::kHostileBehaviors),
                                          testing::Values(Limits{32, 1024, 4})),
                         name_of);

}  // namespace
}  // namespace copperfront
