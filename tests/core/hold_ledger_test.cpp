// Which states may be held, since when, and what ends a hold: the ledger alone, with the time passed in.
#include "core/hold_ledger.h"

#include <gtest/gtest.h>

#include "core/send_guard.h"

namespace copperfront {
namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr Instant kStart{5000000000};
constexpr RequestKey kRequest = 7;
constexpr ServerIndex kPrefillServer = 1, kDecodeServer = 2, kOther = 3;
constexpr AttemptId kPrefill = 11, kHandOver = 12, kSecondPrefill = 13;
constexpr Duration kReleaseWithin = ms(1000);

using Need = HoldLedger::Need;
using Proof = HoldLedger::Proof;

struct LedgerTest : testing::Test {
    HoldLedger ledger{kReleaseWithin};
    SendGuard guard{kReleaseWithin};
    Instant now = kStart;

    void advance(Duration duration) { now = now + duration; }
    Need need() const { return ledger.release_need(kRequest, now); }
    // A release that is written now and answered a millisecond later.
    Proof send_release() {
        const Instant written = now;
        ledger.release_written(kRequest, kOther, written);
        advance(ms(1));
        return ledger.release_answered(kRequest, kOther, written, now).proof;
    }
    void complete_prefill() {
        ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        advance(ms(10));
        ledger.attempt_ended(kRequest, kPrefill, Ending::prefilled, now);
    }
    void start_hand_over() { ledger.attempt_started(kRequest, kHandOver, kDecodeServer, false, now); }
    void end_attempt(AttemptId attempt, Ending ending) {
        ledger.attempt_ended(kRequest, attempt, ending, now);
    }
    void want_all_releases() {
        for (const HoldLedger::Entry& entry : std::vector(ledger.entries(kRequest))) {
            ledger.want_release(kRequest, entry.attempt);
        }
    }
    Duration lease() const { return ledger.lease_end(kRequest) - ledger.held_since(kRequest); }
};

TEST_F(LedgerTest, HoldsNothingBeforeAPrefillHasEnded) {
    EXPECT_EQ(need(), Need::nothing);
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    EXPECT_EQ(need(), Need::nothing);
    EXPECT_TRUE(ledger.has_attempt_in_flight(kRequest));
}

TEST_F(LedgerTest, PrefillThatProvablyNeverRanHoldsNothing) {
    for (const Ending ending : {Ending::unreachable, Ending::unsent, Ending::refused}) {
        ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        end_attempt(kPrefill, ending);
        EXPECT_EQ(need(), Need::nothing) << text_of(ending);
        EXPECT_EQ(ledger.size(), 0u) << text_of(ending);
    }
}

TEST_F(LedgerTest, EveryOtherEndOfAPrefillMayHoldAState) {
    const std::pair<Ending, HoldReason> cases[] = {{Ending::prefilled, HoldReason::prefill_answered},
                                                   {Ending::connection_lost, HoldReason::answer_lost},
                                                   {Ending::error, HoldReason::answer_lost},
                                                   {Ending::timed_out, HoldReason::prefill_not_awaited},
                                                   {Ending::cancelled, HoldReason::prefill_not_awaited}};
    for (const auto& [ending, reason] : cases) {
        HoldLedger fresh(kReleaseWithin);
        fresh.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        fresh.attempt_ended(kRequest, kPrefill, ending, now);
        ASSERT_EQ(fresh.entries(kRequest).size(), 1u) << text_of(ending);
        EXPECT_EQ(fresh.entries(kRequest)[0].reason, reason) << text_of(ending);
    }
}

TEST_F(LedgerTest, ReleaseIsDueAtTheEndOfTheLeaseWithinTheTimeLimit) {
    complete_prefill();
    EXPECT_EQ(need(), Need::not_yet);
    EXPECT_GT(lease(), ms(500));
    EXPECT_LT(lease(), kReleaseWithin);
    advance(lease() - ms(1));
    EXPECT_EQ(need(), Need::not_yet);
    advance(ms(1));
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, WantedReleaseIsDueAtOnceAndItsAnswerEndsTheHold) {
    complete_prefill();
    want_all_releases();
    EXPECT_EQ(need(), Need::due);
    EXPECT_EQ(send_release(), Proof::released);
    EXPECT_EQ(need(), Need::nothing);
    EXPECT_EQ(ledger.size(), 0u);
}

TEST_F(LedgerTest, StreamThatHasBegunHasTakenTheState) {
    complete_prefill();
    start_hand_over();
    ledger.stream_began(kRequest, kHandOver, now);
    EXPECT_EQ(need(), Need::nothing);
    end_attempt(kHandOver, Ending::completed);
    EXPECT_EQ(ledger.size(), 0u);
}

// The hand-over may lie unread at its server, so it stops no clock.
TEST_F(LedgerTest, UnansweredHandOverDelaysAReleaseOnlyUntilTheEndOfTheLease) {
    complete_prefill();
    start_hand_over();
    want_all_releases();
    EXPECT_EQ(need(), Need::not_yet);
    advance(lease());
    EXPECT_EQ(need(), Need::due);
}

// The hand-over may have arrived and be waiting for the state.
TEST_F(LedgerTest, ReleaseSentDuringAHandOverIsDueAgainAfterItsEnd) {
    complete_prefill();
    start_hand_over();
    advance(lease());
    want_all_releases();
    EXPECT_EQ(send_release(), Proof::lease_only);
    EXPECT_EQ(need(), Need::not_yet);
    advance(ms(2000));
    EXPECT_EQ(need(), Need::not_yet);
    end_attempt(kHandOver, Ending::timed_out);
    EXPECT_EQ(need(), Need::close_in_flight);
    advance(SendGuard::close_travel_time());
    EXPECT_EQ(need(), Need::due);
    EXPECT_EQ(ledger.held_since(kRequest), now - SendGuard::close_travel_time());
}

TEST_F(LedgerTest, ReleaseAnsweredOnlyAfterTheAttemptsEndDoesNotEndTheHold) {
    complete_prefill();
    start_hand_over();
    advance(lease());
    want_all_releases();
    const Instant written = now;
    advance(ms(100));
    end_attempt(kHandOver, Ending::timed_out);
    advance(ms(50));
    EXPECT_NE(ledger.release_answered(kRequest, kOther, written, now).proof, Proof::released);
    EXPECT_EQ(need(), Need::due);
}

// An attempt may start and end between the writing of a release and its answer.
TEST_F(LedgerTest, ReleaseCrossedByAnAttemptProvesNothing) {
    complete_prefill();
    want_all_releases();
    const Instant written = now;
    advance(ms(1));
    start_hand_over();
    advance(ms(5));
    end_attempt(kHandOver, Ending::refused);
    advance(ms(1));
    EXPECT_NE(ledger.release_answered(kRequest, kOther, written, now).proof, Proof::released);
    EXPECT_EQ(need(), Need::due);
}

// A close and a release that are written together may be read in either order.
TEST_F(LedgerTest, ReleaseIsNotDueBeforeTheCloseHasArrived) {
    complete_prefill();
    start_hand_over();
    end_attempt(kHandOver, Ending::cancelled);
    want_all_releases();
    EXPECT_EQ(need(), Need::close_in_flight);
    advance(SendGuard::close_travel_time());
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, ReleaseIsRepeatedAfterAnUnansweredAttempt) {
    for (const bool at_prefill : {true, false}) {
        if (at_prefill) {
            ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
            end_attempt(kPrefill, Ending::connection_lost);
        } else {
            complete_prefill();
            start_hand_over();
            end_attempt(kHandOver, Ending::cancelled);
        }
        advance(SendGuard::close_travel_time());
        want_all_releases();
        EXPECT_EQ(send_release(), Proof::repeat_needed);
        EXPECT_EQ(need(), Need::not_yet);
        advance(ms(300));
        EXPECT_EQ(need(), Need::due);
        const Instant written = now;
        advance(ms(1));
        const auto result = ledger.release_answered(kRequest, kOther, written, now);
        EXPECT_EQ(result.proof, Proof::released);
        ASSERT_EQ(result.unanswered.size(), 1u);
        EXPECT_EQ(result.unanswered[0].server, at_prefill ? kPrefillServer : kDecodeServer);
        EXPECT_EQ(result.unanswered[0].prefill, at_prefill);
    }
}

// The time limit restarts in full, as the answer proves that the attempt had arrived.
TEST_F(LedgerTest, AnsweredAttemptRestartsTheTimeLimit) {
    complete_prefill();
    advance(ms(400));
    start_hand_over();
    advance(ms(200));
    end_attempt(kHandOver, Ending::refused);
    EXPECT_EQ(ledger.held_since(kRequest), now);
}

TEST_F(LedgerTest, AttemptThatWasNeverSentDoesNotRestartTheTimeLimit) {
    complete_prefill();
    const Instant since = now;
    advance(ms(300));
    start_hand_over();
    advance(ms(250));
    end_attempt(kHandOver, Ending::unreachable);
    EXPECT_EQ(ledger.held_since(kRequest), since);
}

// An attempt that ends without an answer within the lease may not have arrived, so it does not extend the
// time either.
TEST_F(LedgerTest, UnansweredAttemptWithinTheLeaseDoesNotRestartTheTimeLimit) {
    complete_prefill();
    const Instant since = now;
    start_hand_over();
    advance(ms(300));
    end_attempt(kHandOver, Ending::cancelled);
    EXPECT_EQ(ledger.held_since(kRequest), since);
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    advance(lease() - ms(300));
    EXPECT_EQ(need(), Need::due);
}

// A prefill server answers once its prefill is completed: the time limit runs from the first byte of the
// answer, not from when the gateway stops waiting for the rest.
TEST_F(LedgerTest, AnswerThatStaysIncompleteHoldsFromItsFirstByte) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    advance(ms(20));
    const Instant began = now;
    ledger.answer_began(kRequest, kPrefill, now);
    advance(ms(350));
    end_attempt(kPrefill, Ending::connection_lost);
    EXPECT_EQ(ledger.held_since(kRequest), began);
    EXPECT_EQ(ledger.entries(kRequest)[0].reason, HoldReason::answer_began);
}

// A release names the request, so it would also free the state that the next hand-over needs.
TEST_F(LedgerTest, OlderStateIsNotReleasedWhileANewerOneWaitsForItsHandOver) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end_attempt(kPrefill, Ending::connection_lost);
    want_all_releases();
    advance(ms(100));
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    end_attempt(kSecondPrefill, Ending::prefilled);
    EXPECT_EQ(need(), Need::not_yet);
    want_all_releases();
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, PrefillThatMayEndLateIsReleasedAfterTheStream) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end_attempt(kPrefill, Ending::cancelled);
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    end_attempt(kSecondPrefill, Ending::prefilled);
    start_hand_over();
    want_all_releases();
    ledger.stream_began(kRequest, kHandOver, now);
    advance(ms(5000));
    EXPECT_EQ(need(), Need::not_yet);
    end_attempt(kHandOver, Ending::completed);
    EXPECT_EQ(need(), Need::due);
}

// A prefill that ended without an answer may still leave its state while the next attempt lies unread.
TEST_F(LedgerTest, LatePrefillDuringAnUnansweredAttemptIsReleasedAgain) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end_attempt(kPrefill, Ending::connection_lost);
    want_all_releases();
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    advance(lease());
    EXPECT_EQ(send_release(), Proof::lease_only);
    advance(kReleaseWithin);
    EXPECT_EQ(need(), Need::due);
}

// The end of the stream and the answer to the release may arrive at the same time, in either order.
TEST_F(LedgerTest, ReleaseAnsweredAfterTheStreamHasEndedIsNotALateRelease) {
    complete_prefill();
    const Instant written = now;
    ledger.release_written(kRequest, kOther, written);
    start_hand_over();
    ledger.stream_began(kRequest, kHandOver, now);
    end_attempt(kHandOver, Ending::completed);
    const HoldLedger::ReleaseResult result = ledger.release_answered(kRequest, kOther, written, now);
    EXPECT_EQ(result.proof, Proof::released);
    EXPECT_TRUE(guard.check_released(result.held_since, now));
}

// A client may send a request again with the same id while a release of the first is still in flight.
TEST_F(LedgerTest, ReleaseAnsweredDuringTheNextRequestWithTheSameKeyIsNotALateRelease) {
    complete_prefill();
    const Instant written = now;
    ledger.release_written(kRequest, kOther, written);
    start_hand_over();
    end_attempt(kHandOver, Ending::completed);
    advance(ms(2000));
    ledger.attempt_started(kRequest, kSecondPrefill, kPrefillServer, true, now);
    const HoldLedger::ReleaseResult result = ledger.release_answered(kRequest, kOther, written, now);
    EXPECT_EQ(result.proof, Proof::nothing);
    EXPECT_TRUE(guard.check_released(result.held_since, now));
    EXPECT_TRUE(ledger.has_attempt_in_flight(kRequest));
}

TEST_F(LedgerTest, HistoryShowsWhyAReleaseProvedNothing) {
    ledger.set_server_namer([](ServerIndex server) { return "s" + std::to_string(server); });
    complete_prefill();
    start_hand_over();
    advance(lease());
    want_all_releases();
    send_release();
    advance(ms(500));
    end_attempt(kHandOver, Ending::timed_out);
    const std::string history = ledger.history(kRequest);
    EXPECT_NE(history.find("0.0 prefill at s1, 1 out"), std::string::npos) << history;
    EXPECT_NE(history.find("release with an attempt out answered by s3, 1 out"), std::string::npos)
        << history;
}

TEST_F(LedgerTest, RequestsBeyondTheMaximumAreCountedAndEarlierOnesKept) {
    constexpr RequestKey kMaxRequests = 100000;
    for (RequestKey key = 1; key <= kMaxRequests + 3; ++key) {
        ledger.attempt_started(key, key, kPrefillServer, true, now);
        ledger.attempt_ended(key, key, Ending::connection_lost, now);
    }
    EXPECT_EQ(ledger.size(), kMaxRequests);
    EXPECT_EQ(ledger.overflows(), 3u);
    EXPECT_EQ(ledger.entries(kMaxRequests).size(), 1u);
    EXPECT_TRUE(ledger.entries(kMaxRequests + 1).empty());
    advance(ms(5000));
    EXPECT_EQ(ledger.release_need(1, now), Need::due);
    EXPECT_EQ(ledger.release_need(kMaxRequests + 1, now), Need::nothing);
}

TEST_F(LedgerTest, FinishedRequestsAreErased) {
    for (RequestKey key = 100; key < 200; ++key) {
        ledger.attempt_started(key, kPrefill, kPrefillServer, true, now);
        ledger.attempt_ended(key, kPrefill, Ending::prefilled, now);
        ledger.attempt_started(key, kHandOver, kDecodeServer, false, now);
        ledger.attempt_ended(key, kHandOver, Ending::completed, now);
    }
    EXPECT_EQ(ledger.size(), 0u);
    complete_prefill();
    const auto abandoned = ledger.abandon(kRequest);
    EXPECT_EQ(abandoned.held_since, now);
    EXPECT_EQ(ledger.size(), 0u);
}

}  // namespace
}  // namespace copperfront
