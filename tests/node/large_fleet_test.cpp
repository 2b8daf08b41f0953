// Guards against behaviour that degrades with the number of model servers: a gateway with thousands of them
// has to meet the same limits as one with a few.
#include "large_fleet.h"

namespace copperfront {
namespace {

constexpr std::size_t kFewServers = 200, kManyServers = 3200;
constexpr Duration kMaxSlowdown = ms(100);  // compared with kFewServers

// Guards against refusing a list over 256 KiB, which would leave all drains unnoticed.
TEST(LargeFleet, DrainsAreAppliedFromAListOver256KiB) {
    LargeFleet fleet({.servers = kManyServers});
    fleet.start();
    fleet.send_requests(50, ms(10));
    std::vector<std::string> drained = fleet.names(true);
    drained.resize(drained.size() / 2);
    const Instant at = fleet.loop.now();
    fleet.platform.set_statuses(drained, "draining");
    fleet.send_requests(150, ms(10));
    EXPECT_TRUE(fleet.wait_for_answers(ms(5000)));
    EXPECT_EQ(fleet.completed(), 200u);
    EXPECT_EQ(fleet.late_sends(drained, at), 0u);
    EXPECT_LE(fleet.whole_lists_written(), 3u);
}

// Guards against abandoning a list because it takes over a second to arrive, or to start.
TEST(LargeFleet, ListThatArrivesSlowlyIsApplied) {
    for (const bool begins_late : {false, true}) {
        LargeFleet fleet({.servers = kFewServers});
        if (begins_late) fleet.platform.set_snapshot_delay(ms(2000));
        if (!begins_late) fleet.platform.set_snapshot_pieces(30, ms(48));
        fleet.start();
        fleet.send_requests(300, ms(10));
        std::vector<std::string> drained = fleet.names(true);
        drained.resize(drained.size() / 2);
        const Instant at = fleet.loop.now();
        fleet.platform.set_statuses(drained, "draining");
        fleet.send_requests(100, ms(10));
        EXPECT_TRUE(fleet.wait_for_answers(ms(5000)));
        EXPECT_EQ(fleet.late_sends(drained, at), 0u) << (begins_late ? "starts late" : "arrives in pieces");
    }
}

// Guards against scanning every server for the waiting requests at every event.
TEST(LargeFleet, WaitingRequestsAreAnsweredAsSoonAsWithFewServers) {
    Duration few_servers_median, few_servers_p99;
    for (const std::size_t servers : {kFewServers, kManyServers}) {
        LargeFleet fleet({.servers = servers, .cpu_share = 0.2, .cold_servers = true});
        fleet.start();
        fleet.send_requests(200, ms(10));
        EXPECT_TRUE(fleet.wait_for_answers(ms(8000)));
        std::printf("%zu servers: answers after %.0f ms (median) and %.0f ms (99%%)\n", servers,
                    fleet.answer_time(0.5).ms(), fleet.answer_time(0.99).ms());
        if (servers == kFewServers) {
            few_servers_median = fleet.answer_time(0.5);
            few_servers_p99 = fleet.answer_time(0.99);
            continue;
        }
        EXPECT_LE(fleet.answer_time(0.5), few_servers_median + kMaxSlowdown);
        EXPECT_LE(fleet.answer_time(0.99), few_servers_p99 + kMaxSlowdown);
    }
}

// Guards against a change of half the fleet that blocks the loop and so delays drains and releases.
TEST(LargeFleet, ChangeOfHalfTheFleetDelaysNeitherDrainsNorReleases) {
    for (const double cpu_share : {1.0, 0.1}) {
        LargeFleet fleet({.servers = kManyServers, .cpu_share = cpu_share, .prefill_time = ms(800)});
        fleet.start();
        fleet.send_requests(100, ms(10));
        const std::vector<std::string> drained = fleet.names(false);
        const Instant at = fleet.loop.now();
        fleet.platform.set_statuses(drained, "draining");
        fleet.send_requests(100, ms(10));
        EXPECT_TRUE(fleet.wait_for_answers(ms(6000)));
        std::printf("%.1f of a core: longest hold %.0f ms, answers after %.0f ms (median)\n", cpu_share,
                    fleet.longest_hold().ms(), fleet.answer_time(0.5).ms());
        EXPECT_EQ(fleet.late_sends(drained, at), 0u) << cpu_share << " of a core";
        EXPECT_LE(fleet.longest_hold(), kMaxHoldTime) << cpu_share << " of a core";
    }
}

// Guards against processing the whole list before listening, and against work that grows with the square of
// the list's length.
TEST(LargeFleet, GatewayIsReadyAfterLittleWork) {
    LargeFleet fleet({.servers = kManyServers});
    fleet.start();
    const std::optional<Duration> used = fleet.cpu_until_ready();
    ASSERT_TRUE(used);
    std::printf("ready after %.1f ms of CPU\n", used->ms());
    EXPECT_GT(*used, Duration{});
    EXPECT_LE(*used, ms(30));
}

// Guards against a blocked event loop: at a list, at a change of half the fleet, or because of waiting
// requests.
TEST(LargeFleet, NoLoopIterationIsLong) {
    LargeFleet fleet({.servers = kManyServers, .cold_servers = true});
    fleet.platform.set_list_indent(true);
    fleet.start();
    fleet.send_requests(500, ms(1));
    fleet.platform.reset_watches();
    std::vector<std::string> drained = fleet.names(true);
    drained.resize(drained.size() / 2);
    fleet.platform.set_statuses(drained, "draining");
    fleet.observe_for(ms(2500));
    EXPECT_GE(fleet.max_in_log("requests_waiting"), 300);
    EXPECT_EQ(fleet.max_in_log("list_entries"), static_cast<double>(kManyServers));
    EXPECT_GE(fleet.max_in_log("list_bytes"), 600e3);
    std::printf("busiest loop iteration %.1f ms of CPU, longest %.1f ms\n",
                fleet.max_in_log("busiest_event_cpu_ms"), fleet.max_in_log("longest_event_ms"));
    EXPECT_GT(fleet.max_in_log("busiest_event_cpu_ms"), 0);
    EXPECT_LE(fleet.max_in_log("busiest_event_cpu_ms"), 5.0);
}

// The same where every server of a list is new to the gateway, and where half the fleet is added at once.
TEST(LargeFleet, NoLoopIterationIsLongWhenAllServersAreNew) {
    LargeFleet fleet({.servers = kManyServers, .known_list = false, .cold_servers = true});
    std::vector<std::string> later = fleet.names(true);
    later.resize(later.size() / 2);
    fleet.platform.set_statuses(later, "removed");
    fleet.start();
    fleet.observe_for(ms(300));
    fleet.send_requests(500, ms(1));
    fleet.platform.set_statuses(later, "up");
    fleet.observe_for(ms(2500));
    EXPECT_GE(fleet.max_in_log("requests_waiting"), 300);
    EXPECT_EQ(fleet.max_in_log("list_entries"), static_cast<double>(kManyServers));
    std::printf("busiest loop iteration %.1f ms of CPU, longest %.1f ms\n",
                fleet.max_in_log("busiest_event_cpu_ms"), fleet.max_in_log("longest_event_ms"));
    EXPECT_GT(fleet.max_in_log("busiest_event_cpu_ms"), 0);
    EXPECT_LE(fleet.max_in_log("busiest_event_cpu_ms"), 5.0);
}

// Guards against handling lists before everything else, which delays answers until the last list has arrived.
TEST(LargeFleet, ConsecutiveListsDelayNoAnswer) {
    LargeFleet fleet({.servers = kManyServers, .cpu_share = 0.1});
    fleet.platform.set_snapshot_pieces(10, ms(20));
    fleet.start();
    for (int n = 0; n < 15; ++n) {
        fleet.platform.reset_watches();
        fleet.send_requests(4, ms(50));
    }
    EXPECT_TRUE(fleet.wait_for_answers(ms(4000)));
    EXPECT_EQ(fleet.completed(), 60u);
    std::printf("answers after %.0f ms (median) and %.0f ms (99%%)\n", fleet.answer_time(0.5).ms(),
                fleet.answer_time(0.99).ms());
    EXPECT_LE(fleet.answer_time(0.99), ms(1000));
}

// Guards against a gateway that blocks when the reader of its log stops reading.
TEST(LargeFleet, LogThatIsNotReadDelaysNoRequest) {
    LargeFleet fleet({.log_level = "trace", .log_is_stalled = true});
    fleet.start();
    fleet.send_requests(600, ms(3));
    EXPECT_TRUE(fleet.wait_for_answers(ms(4000)));
    EXPECT_EQ(fleet.completed(), 600u);
}

// Guards against reload signals that each process the whole list of the settings again.
TEST(LargeFleet, ConsecutiveReloadsDelayNoAnswer) {
    LargeFleet fleet({.servers = kManyServers, .cpu_share = 0.2});
    fleet.start();
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(fleet.signal(SIGHUP));
        fleet.send_requests(20, ms(10));
    }
    EXPECT_TRUE(fleet.wait_for_answers(ms(4000)));
    EXPECT_EQ(fleet.completed(), 200u);
    std::printf("answers after %.0f ms (median)\n", fleet.answer_time(0.5).ms());
    EXPECT_LE(fleet.answer_time(0.5), ms(69) + kMaxSlowdown);
}

// Guards against reading an oversized file into memory before it is refused.
TEST(LargeFleet, ConfigurationPastItsLimitIsRefusedWithAClearError) {
    constexpr std::size_t kPastTheLimit = (64 << 20) + 1;
    const std::string file =
        std::filesystem::temp_directory_path() / ("past-the-bound-" + std::to_string(getpid()));
    std::ofstream(file) << std::string(kPastTheLimit, ' ');
    Loop loop;
    scenario::ChildProcesses processes(loop);
    std::optional<int> status;
    scenario::ChildProcesses::ProcessOptions start;
    start.name = "gateway";
    start.program = COPPERFRONT_PROGRAM;
    start.args = {"node", file};
    start.stderr_file = file + ".log";
    start.on_exit = [&](int how) {
        status = how;
        loop.stop();
    };
    processes.start(std::move(start));
    Timer timeout(loop, [&] { loop.stop(); });
    timeout.set(ms(10000));
    loop.run();
    std::ifstream log(file + ".log");
    const std::string log_text((std::istreambuf_iterator<char>(log)), {});
    std::filesystem::remove(file);
    std::filesystem::remove(file + ".log");
    ASSERT_TRUE(status.has_value());
    EXPECT_NE(*status, 0);
    EXPECT_NE(log_text.find("longer than 64 MB"), std::string::npos) << log_text;
}

}  // namespace
}  // namespace copperfront
