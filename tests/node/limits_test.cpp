// What happens past bounds of the program that a test can reach without a fleet (the table in
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
constexpr Span kMs{1000};

struct StoppedClock : Clock {
    Instant at = kStart;
    Instant now() const override { return at; }
};

// Two servers; the first hangs, the second answers nothing either but may be told.
struct TwoServers : ReleasePool {
    HoldLedger holds{kMs * 1000};
    SendGuard checks{kMs * 1000};
    ReleaseCallId started = 0;
    std::set<ReleaseCallId> open;
    std::size_t most_open = 0;

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
        most_open = std::max(most_open, open.size());
        return started;
    }
    void cancel_release(ReleaseCallId call) override { open.erase(call); }
    void release_answered(const std::string&, const HoldLedger::ReleaseResult&) override {}
    void release_given_up(const std::string&, const HoldLedger::ReleaseResult&) override {}
    HoldLedger& ledger() override { return holds; }
    SendGuard& guard() override { return checks; }
};

TEST(Limits, LateAttemptsPastTheBoundAreCountedAndTheOthersFollowedToTheirEnd) {
    constexpr std::size_t kMost = 1024, kMore = 7;
    StoppedClock clock;
    TwoServers servers;
    LateAttempts attempts(clock, servers);
    for (std::size_t n = 0; n < kMost + kMore; ++n)
        attempts.follow({0, n, "q" + std::to_string(n), true, kStart});
    EXPECT_EQ(attempts.size(), kMost);
    EXPECT_EQ(attempts.overflows(), kMore);
    for (int look = 0; look < 35 * 50; ++look) {
        attempts.look();
        clock.at = clock.at + kMs * 20;
    }
    EXPECT_EQ(attempts.size(), 0u);
    EXPECT_TRUE(servers.open.empty());
    EXPECT_LE(servers.most_open, kMost + 1) << "one call at a time to the server that hangs";
}

std::size_t lines_with(const std::string& text, const std::string& what) {
    std::istringstream lines(text);
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) count += line.find(what) != std::string::npos;
    return count;
}

TEST(Limits, LinesOfUnusualRequestsPastTheBoundAreCountedAndLateHoldsAreNeverLeftOut) {
    constexpr int kMostASecond = 50, kMore = 10;
    const std::string file =
        std::filesystem::temp_directory_path() / ("limits-test-" + std::to_string(::getpid()) + ".log");
    {
        Log log("info", "text", file, 1 << 20, 1);
        RequestLog requests(log);
        for (int n = 0; n < kMostASecond + kMore; ++n)
            requests.request_over("q" + std::to_string(n), RequestLog::Final::failed, "no server", kStart);
        requests.release_answered("late", HoldLedger::Proof::let_go, kMs * 1400, false, "", kStart);
        requests.request_over("next", RequestLog::Final::failed, "no server", kStart + kMs * 1000);
        log.flush();
    }
    std::ifstream written(file);
    const std::string text((std::istreambuf_iterator<char>(written)), {});
    std::filesystem::remove(file);
    EXPECT_EQ(lines_with(text, "no server"), static_cast<std::size_t>(kMostASecond) + 1);
    EXPECT_EQ(lines_with(text, "lines left out"), 1u);
    EXPECT_EQ(lines_with(text, "count=" + std::to_string(kMore)), 1u) << text;
    EXPECT_EQ(lines_with(text, "late"), 1u);
}

}  // namespace
}  // namespace copperfront
