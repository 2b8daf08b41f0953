// The event loop's statistics of its longest events.
#include "net/loop.h"

#include <gtest/gtest.h>
#include <time.h>

#include <chrono>
#include <string>
#include <thread>

namespace copperfront {
namespace {

constexpr Duration kWork{20000};

Duration thread_cpu() {
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return {std::int64_t{at.tv_sec} * 1000000 + at.tv_nsec / 1000};
}

// Guards against mistaking a pause of the process by the machine for too much work in the loop, or the
// reverse.
TEST(LoopStatistics, DistinguishAPauseOfTheProcessFromItsOwnWork) {
    Loop loop;
    {
        const Loop::Event event(loop, "pause");
        std::this_thread::sleep_for(std::chrono::microseconds(3 * kWork.us));
    }
    {
        const Loop::Event event(loop, "work");
        const Duration until = thread_cpu() + kWork;
        while (thread_cpu() < until) {
        }
    }
    const Loop::LongestEvents events = loop.take_longest_events();
    EXPECT_GE(events.cpu, kWork);
    EXPECT_EQ(events.busiest, std::string("work"));
    EXPECT_GE(events.took, kWork * 3);
    const Loop::LongestEvents none = loop.take_longest_events();
    EXPECT_EQ(none.took.us, 0);
    EXPECT_EQ(none.cpu.us, 0);
}

// Guards against work missing from the statistics when one event starts within another.
TEST(LoopStatistics, CountAnInnerEventAsPartOfTheOuterOne) {
    Loop loop;
    {
        const Loop::Event outer(loop, "outer");
        const Loop::Event inner(loop, "inner");
        const Duration until = thread_cpu() + kWork;
        while (thread_cpu() < until) {
        }
    }
    const Loop::LongestEvents events = loop.take_longest_events();
    EXPECT_GE(events.cpu, kWork);
    EXPECT_EQ(events.busiest, std::string("outer"));
}

}  // namespace
}  // namespace copperfront
