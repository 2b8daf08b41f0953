// Behaviour past the program's limits that a test can reach without a fleet (the table in
// docs/operators/limits-of-the-program.md).
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "node/late_attempts.h"
#include "node/request_log.h"

namespace copperfront {
namespace {

constexpr Instant kStart{1'000'000'000};
constexpr Duration kMs{1000};

struct ManualClock : Clock {
    Instant time = kStart;
    Instant now() const override { return time; }
};

// Two servers: the first hangs; the second does not answer either, but releases may be sent to it.
struct TwoServers : ReleaseHost {
    HoldLedger hold_ledger{kMs * 1000};
    SendGuard send_guard{kMs * 1000};
    ReleaseCallId started = 0;
    std::set<ReleaseCallId> open;
    std::size_t max_open = 0;

    void visit_by_last_heard(const ServerVisitor& visit) const override {
        if (visit(1)) visit(0);
    }
    bool is_reachable(ServerIndex) const override { return true; }
    Instant address_since(ServerIndex) const override { return {}; }
    Instant last_heard(ServerIndex) const override { return {}; }
    bool may_hang(ServerIndex server) const override { return server == 0; }
    Instant hung_until(ServerIndex) const override { return {}; }
    ReleaseCallId start_release(ServerIndex, const std::string&) override {
        open.insert(++started);
        max_open = std::max(max_open, open.size());
        return started;
    }
    void cancel_release(ReleaseCallId call) override { open.erase(call); }
    void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
    void release_abandoned(const std::string&, const HoldLedger::ReleaseResult&) override {}
    HoldLedger& ledger() override { return hold_ledger; }
    SendGuard& guard() override { return send_guard; }
};

TEST(Limits, LateAttemptsPastTheLimitAreCountedAndTheOthersFollowedToTheirEnd) {
    constexpr std::size_t kMaxFollowed = 1024, kExcess = 7;
    ManualClock clock;
    TwoServers servers;
    LateAttempts attempts(clock, servers);
    for (std::size_t n = 0; n < kMaxFollowed + kExcess; ++n)
        attempts.follow({0, n, "q" + std::to_string(n), true, kStart});
    EXPECT_EQ(attempts.size(), kMaxFollowed);
    EXPECT_EQ(attempts.overflows(), kExcess);
    for (int round = 0; round < 35 * 50; ++round) {
        attempts.send_due();
        clock.time = clock.time + kMs * 20;
    }
    EXPECT_EQ(attempts.size(), 0u);
    EXPECT_TRUE(servers.open.empty());
    EXPECT_LE(servers.max_open, kMaxFollowed + 1) << "one call at a time to the hung server";
}

std::size_t count_lines_with(const std::string& text, const std::string& pattern) {
    std::istringstream lines(text);
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) count += line.find(pattern) != std::string::npos;
    return count;
}

TEST(Limits, LogLinesPastTheLimitAreCountedAndLateHoldsAreAlwaysLogged) {
    constexpr int kMaxLinesPerSecond = 50, kExcess = 10;
    const std::string file =
        std::filesystem::temp_directory_path() / ("limits-test-" + std::to_string(::getpid()) + ".log");
    {
        Log log("info", "text", file, 1 << 20, 1);
        RequestLog requests(log);
        for (int n = 0; n < kMaxLinesPerSecond + kExcess; ++n)
            requests.request_ended("q" + std::to_string(n), RequestLog::Final::failed, "no server", kStart);
        requests.release_answered("late", HoldLedger::Proof::released, kMs * 1400, false, "", kStart);
        requests.request_ended("next", RequestLog::Final::failed, "no server", kStart + kMs * 1000);
        log.flush();
    }
    std::ifstream written(file);
    const std::string text((std::istreambuf_iterator<char>(written)), {});
    std::filesystem::remove(file);
    EXPECT_EQ(count_lines_with(text, "no server"), static_cast<std::size_t>(kMaxLinesPerSecond) + 1);
    EXPECT_EQ(count_lines_with(text, "lines left out"), 1u);
    EXPECT_EQ(count_lines_with(text, "count=" + std::to_string(kExcess)), 1u) << text;
    EXPECT_EQ(count_lines_with(text, "late"), 1u);
}

}  // namespace
}  // namespace copperfront
