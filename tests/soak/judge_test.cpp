// The judge of the soak: a case of each reading of the rule on held states, to the millisecond.
#include "soak/judge.h"

#include <gtest/gtest.h>

namespace copperfront::soak {
namespace {

constexpr Microseconds kMs = 1000;
constexpr Microseconds kStart = 1000 * kMs;
// The settings' time, the protocol's 300 ms, and what the judge allows for a busy machine.
constexpr Microseconds kHeldAtMost = 1420 * kMs;

// One request of which servers have recorded these events, in milliseconds from its start.
struct Course {
    Records records;

    Course() {
        RequestRecord request;
        request.request = "q";
        request.sent = kStart;
        request.deadline = kStart + 60000 * kMs;
        request.first_byte = request.ended = kStart + 1;
        request.fate = Fate::failed;
        records.requests.push_back(request);
        records.ended = kStart + 30000 * kMs;
    }
    Course& at(Microseconds us, ServerEvent event, std::uint64_t call = 0) {
        ServerRecord record;
        record.at = kStart + us;
        record.event = event;
        record.request = "q";
        record.server = call == 1 ? "prefill-1" : call == 2 ? "decode-1" : "other";
        record.role = call == 1 ? Role::reader : Role::writer;
        record.call = call;
        records.servers.push_back(record);
        return *this;
    }
    // A prefill that has left its state at this time.
    Course& prefilled(Microseconds us) {
        return at(0, ServerEvent::arrived, 1).at(us, ServerEvent::held, 1).at(us, ServerEvent::ended, 1);
    }
    bool is_held_too_long() const {
        for (const Finding& finding : judge(records, {}).findings) {
            if (finding.rule == "held state") return true;
        }
        return false;
    }
};

TEST(HeldStateJudge, AllowsTheTimeToTheMillisecond) {
    EXPECT_FALSE(Course().prefilled(0).at(kHeldAtMost, ServerEvent::released).is_held_too_long());
    EXPECT_TRUE(Course().prefilled(0).at(kHeldAtMost + kMs, ServerEvent::released).is_held_too_long());
}

TEST(HeldStateJudge, FindsAStateThatNobodyReleases) { EXPECT_TRUE(Course().prefilled(0).is_held_too_long()); }

TEST(HeldStateJudge, HandOverThatTakesTheStateEndsTheHold) {
    EXPECT_FALSE(Course()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(3000 * kMs, ServerEvent::taken, 2)
                     .is_held_too_long());
}

TEST(HeldStateJudge, TimeRestsWhileAHandOverThatHasArrivedIsOut) {
    EXPECT_FALSE(Course()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(5000 * kMs, ServerEvent::closed, 2)
                     .at(5000 * kMs + kHeldAtMost, ServerEvent::released)
                     .is_held_too_long());
}

TEST(HeldStateJudge, TimeStartsAgainWithTheHandOversOutcome) {
    EXPECT_TRUE(Course()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(5000 * kMs, ServerEvent::closed, 2)
                    .at(5001 * kMs + kHeldAtMost, ServerEvent::released)
                    .is_held_too_long());
}

// The incident: the one release came while the hand-over waited.
TEST(HeldStateJudge, ReleaseWhileAHandOverWaitsEndsNoHold) {
    EXPECT_TRUE(Course()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(750 * kMs, ServerEvent::release_kept)
                    .at(4000 * kMs, ServerEvent::closed, 2)
                    .is_held_too_long());
    EXPECT_FALSE(Course()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(750 * kMs, ServerEvent::release_kept)
                     .at(4000 * kMs, ServerEvent::closed, 2)
                     .at(4011 * kMs, ServerEvent::released)
                     .is_held_too_long());
}

// A server that says it has let go of the state is not believed.
TEST(HeldStateJudge, ReleaseThatIsSaidToHaveCountedWhileAHandOverWaitsEndsNoHold) {
    EXPECT_TRUE(Course()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(750 * kMs, ServerEvent::released)
                    .at(4000 * kMs, ServerEvent::closed, 2)
                    .is_held_too_long());
}

// One that has not arrived is not out.
TEST(HeldStateJudge, HandOverThatNeverArrivesStopsNoClock) {
    EXPECT_TRUE(Course().prefilled(0).at(2000 * kMs, ServerEvent::released).is_held_too_long());
}

// Its answer was written in part, and its connection stays open: the server is through with it.
TEST(HeldStateJudge, PrefillWhoseAnswerStaysHalfSentIsOver) {
    EXPECT_TRUE(Course().prefilled(40 * kMs).at(4000 * kMs, ServerEvent::released).is_held_too_long());
}

TEST(HeldStateJudge, HandOverThatIsTurnedAwayStartsTheTimeAgain) {
    EXPECT_FALSE(Course()
                     .prefilled(0)
                     .at(1000 * kMs, ServerEvent::arrived, 2)
                     .at(1001 * kMs, ServerEvent::never_ran, 2)
                     .at(1001 * kMs + kHeldAtMost, ServerEvent::released)
                     .is_held_too_long());
}

TEST(HeldStateJudge, WhatADeadServerHeldIsGone) {
    Course course;
    course.prefilled(0);
    course.records.server_deaths["prefill-1"].push_back(kStart + 500 * kMs);
    EXPECT_FALSE(course.is_held_too_long());
}

TEST(StalledClientJudge, IsOwedAnErrorOrACloseWithinThreeSeconds) {
    const auto well = [](Microseconds ended) {
        Records records;
        records.ended = kStart + 10000 * kMs;
        records.stalled.push_back({0, 1, kStart, ended == 0 ? 0 : kStart + ended});
        return judge(records, {}).well();
    };
    EXPECT_TRUE(well(3000 * kMs));
    EXPECT_FALSE(well(3200 * kMs));
    EXPECT_FALSE(well(0));
}

// 250 ms of the settings, the protocol's 50 ms, and what the judge allows for a busy machine.
constexpr Microseconds kDrainAtMost = 420 * kMs;

// A hand-over that arrives so long after its server was withdrawn; discovery wrote the change to the gateway
// so long after that, or never where that is negative.
bool is_late_for_drain(Microseconds arrives, Microseconds written, std::size_t to_gateway = 0) {
    Course course;
    GatewayLife life;
    life.started = 1;
    course.records.gateways.push_back(life);
    course.records.withdrawn["decode-1"].push_back({kStart, kStart + 20000 * kMs, 7});
    course.records.told.push_back({to_gateway, kStart - 5 * kMs, 6});
    if (written >= 0) course.records.told.push_back({to_gateway, kStart + written, 7});
    course.at(arrives, ServerEvent::arrived, 2).at(arrives + kMs, ServerEvent::ended, 2);
    for (const Finding& finding : judge(course.records, {}).findings) {
        if (finding.rule == "drain") return true;
    }
    return false;
}

TEST(DrainJudge, CountsFromTheMomentThatDiscoveryWroteTheChange) {
    EXPECT_FALSE(is_late_for_drain(100 * kMs + kDrainAtMost, 100 * kMs));
    EXPECT_TRUE(is_late_for_drain(100 * kMs + kDrainAtMost + kMs, 100 * kMs));
}

TEST(DrainJudge, CountsFromTheLatestTimeWhereNothingWasWritten) {
    // The protocol's 50 ms are not given on top of the six seconds.
    constexpr Microseconds kLatest = 6000 * kMs + kDrainAtMost - 50 * kMs;
    for (const std::size_t gateway : {std::size_t{0}, std::size_t{1}}) {
        const Microseconds written = gateway == 0 ? -1 : 100 * kMs;  // to another gateway
        EXPECT_FALSE(is_late_for_drain(kLatest, written, gateway));
        EXPECT_TRUE(is_late_for_drain(kLatest + kMs, written, gateway));
    }
}

}  // namespace
}  // namespace copperfront::soak
