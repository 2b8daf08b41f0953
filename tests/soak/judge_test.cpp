// Tests the judge of the soak: one case for each part of the rule on held states, to the millisecond.
#include "soak/judge.h"

#include <gtest/gtest.h>

namespace copperfront::soak {
namespace {

constexpr Microseconds kMs = 1000;
constexpr Microseconds kStart = 1000 * kMs;
// The release time of the settings, the protocol's 300 ms, and the judge's tolerance for a busy machine.
constexpr Microseconds kHoldLimit = 1420 * kMs;

// One request for which servers have recorded these events, by the time from its start.
struct RecordedRequest {
    Records records;

    RecordedRequest() {
        RequestRecord request;
        request.request = "q";
        request.sent = kStart;
        request.deadline = kStart + 60000 * kMs;
        request.first_byte = request.ended = kStart + 1;
        request.fate = RequestOutcome::failed;
        records.requests.push_back(request);
        records.ended = kStart + 30000 * kMs;
    }
    RecordedRequest& at(Microseconds us, ServerEvent event, std::uint64_t call = 0) {
        ServerRecord record;
        record.at = kStart + us;
        record.event = event;
        record.request = "q";
        record.server = call == 1 ? "prefill-1" : call == 2 ? "decode-1" : "other";
        record.role = call == 1 ? Role::prefill : Role::decode;
        record.call = call;
        records.servers.push_back(record);
        return *this;
    }
    // A prefill that has left its state at this time.
    RecordedRequest& prefilled(Microseconds us) {
        return at(0, ServerEvent::arrived, 1).at(us, ServerEvent::held, 1).at(us, ServerEvent::ended, 1);
    }
    bool is_held_too_long() const {
        for (const Finding& finding : judge(records, {}).findings) {
            if (finding.rule == "held state") return true;
        }
        return false;
    }
};

TEST(HeldStateJudge, AllowsTheReleaseTimeToTheMillisecond) {
    EXPECT_FALSE(RecordedRequest().prefilled(0).at(kHoldLimit, ServerEvent::released).is_held_too_long());
    EXPECT_TRUE(
        RecordedRequest().prefilled(0).at(kHoldLimit + kMs, ServerEvent::released).is_held_too_long());
}

TEST(HeldStateJudge, FindsAStateThatNobodyReleases) {
    EXPECT_TRUE(RecordedRequest().prefilled(0).is_held_too_long());
}

TEST(HeldStateJudge, HandOverThatTakesTheStateEndsTheHold) {
    EXPECT_FALSE(RecordedRequest()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(3000 * kMs, ServerEvent::taken, 2)
                     .is_held_too_long());
}

TEST(HeldStateJudge, TimePausesWhileAHandOverThatHasArrivedIsInFlight) {
    EXPECT_FALSE(RecordedRequest()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(5000 * kMs, ServerEvent::closed, 2)
                     .at(5000 * kMs + kHoldLimit, ServerEvent::released)
                     .is_held_too_long());
}

TEST(HeldStateJudge, TimeStartsAgainWithTheHandOversOutcome) {
    EXPECT_TRUE(RecordedRequest()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(5000 * kMs, ServerEvent::closed, 2)
                    .at(5001 * kMs + kHoldLimit, ServerEvent::released)
                    .is_held_too_long());
}

// Guards against a state that is never released because the only release came while the hand-over waited.
TEST(HeldStateJudge, ReleaseWhileAHandOverWaitsEndsNoHold) {
    EXPECT_TRUE(RecordedRequest()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(750 * kMs, ServerEvent::release_kept)
                    .at(4000 * kMs, ServerEvent::closed, 2)
                    .is_held_too_long());
    EXPECT_FALSE(RecordedRequest()
                     .prefilled(0)
                     .at(5 * kMs, ServerEvent::arrived, 2)
                     .at(750 * kMs, ServerEvent::release_kept)
                     .at(4000 * kMs, ServerEvent::closed, 2)
                     .at(4011 * kMs, ServerEvent::released)
                     .is_held_too_long());
}

// The record of a server that says that it has freed the state does not count here.
TEST(HeldStateJudge, RecordedReleaseWhileAHandOverWaitsEndsNoHold) {
    EXPECT_TRUE(RecordedRequest()
                    .prefilled(0)
                    .at(5 * kMs, ServerEvent::arrived, 2)
                    .at(750 * kMs, ServerEvent::released)
                    .at(4000 * kMs, ServerEvent::closed, 2)
                    .is_held_too_long());
}

// A hand-over that has not arrived is not in flight.
TEST(HeldStateJudge, HandOverThatNeverArrivesStopsNoClock) {
    EXPECT_TRUE(RecordedRequest().prefilled(0).at(2000 * kMs, ServerEvent::released).is_held_too_long());
}

// Its answer was written in part and its connection stays open: the server has finished the prefill.
TEST(HeldStateJudge, PrefillWhoseAnswerStaysHalfSentIsOver) {
    EXPECT_TRUE(
        RecordedRequest().prefilled(40 * kMs).at(4000 * kMs, ServerEvent::released).is_held_too_long());
}

TEST(HeldStateJudge, RejectedHandOverStartsTheTimeAgain) {
    EXPECT_FALSE(RecordedRequest()
                     .prefilled(0)
                     .at(1000 * kMs, ServerEvent::arrived, 2)
                     .at(1001 * kMs, ServerEvent::never_ran, 2)
                     .at(1001 * kMs + kHoldLimit, ServerEvent::released)
                     .is_held_too_long());
}

TEST(HeldStateJudge, StatesOfADeadServerAreGone) {
    RecordedRequest recorded;
    recorded.prefilled(0);
    recorded.records.server_deaths["prefill-1"].push_back(kStart + 500 * kMs);
    EXPECT_FALSE(recorded.is_held_too_long());
}

TEST(StalledClientJudge, GetsAnErrorOrACloseWithinThreeSeconds) {
    const auto well = [](Microseconds ended) {
        Records records;
        records.ended = kStart + 10000 * kMs;
        records.stalled.push_back({0, 1, kStart, ended == 0 ? 0 : kStart + ended});
        return judge(records, {}).passed();
    };
    EXPECT_TRUE(well(3000 * kMs));
    EXPECT_FALSE(well(3200 * kMs));
    EXPECT_FALSE(well(0));
}

TEST(MemoryJudge, FindsAGatewayThatComesNearItsLimit) {
    constexpr std::int64_t kLimit = 32 << 10;
    for (const bool over : {false, true}) {
        Records records;
        GatewayLife life;
        life.started = 1;
        life.memory_limit_kb = kLimit;
        life.peak_resident_kb = kLimit * 95 / 100 + (over ? 1 : 0);
        records.gateways.push_back(life);
        const Judgement judgement = judge(records, {});
        EXPECT_EQ(judgement.passed(), !over);
        EXPECT_EQ(judgement.peak_resident_kb, life.peak_resident_kb);
    }
}

// 250 ms of the settings, the protocol's 50 ms, and the judge's tolerance for a busy machine.
constexpr Microseconds kDrainLimit = 420 * kMs;

// Whether a hand-over that arrives this long after its server was withdrawn is a finding. Discovery wrote the
// change to the gateway `written` after the withdrawal, or never if that is negative.
bool is_late_for_drain(Microseconds arrives, Microseconds written, std::size_t to_gateway = 0) {
    RecordedRequest recorded;
    GatewayLife life;
    life.started = 1;
    recorded.records.gateways.push_back(life);
    recorded.records.withdrawn["decode-1"].push_back({kStart, kStart + 20000 * kMs, 7});
    recorded.records.written_lists.push_back({to_gateway, kStart - 5 * kMs, 6});
    if (written >= 0) recorded.records.written_lists.push_back({to_gateway, kStart + written, 7});
    recorded.at(arrives, ServerEvent::arrived, 2).at(arrives + kMs, ServerEvent::ended, 2);
    for (const Finding& finding : judge(recorded.records, {}).findings) {
        if (finding.rule == "drain") return true;
    }
    return false;
}

TEST(DrainJudge, CountsFromTheMomentThatDiscoveryWroteTheChange) {
    EXPECT_FALSE(is_late_for_drain(100 * kMs + kDrainLimit, 100 * kMs));
    EXPECT_TRUE(is_late_for_drain(100 * kMs + kDrainLimit + kMs, 100 * kMs));
}

TEST(DrainJudge, CountsFromTheLatestTimeWhereNothingWasWritten) {
    // The protocol's 50 ms are not added to the six seconds.
    constexpr Microseconds kLatest = 6000 * kMs + kDrainLimit - 50 * kMs;
    for (const std::size_t gateway : {std::size_t{0}, std::size_t{1}}) {
        const Microseconds written = gateway == 0 ? -1 : 100 * kMs;  // to another gateway
        EXPECT_FALSE(is_late_for_drain(kLatest, written, gateway));
        EXPECT_TRUE(is_late_for_drain(kLatest + kMs, written, gateway));
    }
}

}  // namespace
}  // namespace copperfront::soak
