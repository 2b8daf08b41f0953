// What may be held, since when, and what ends it: the ledger alone, with its clock in hand.
#include "core/hold_ledger.h"

#include <gtest/gtest.h>

#include "core/send_guard.h"

namespace copperfront {
namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }
constexpr Instant kStart{5000000000};
constexpr RequestKey kRequest = 7;
constexpr ServerIndex kPrefillServer = 1, kDecodeServer = 2, kOther = 3;
constexpr AttemptId kPrefill = 11, kHandOver = 12, kSecondPrefill = 13;
constexpr Span kRule = ms(1000);

using Need = HoldLedger::Need;
using Proof = HoldLedger::Proof;

struct LedgerTest : testing::Test {
    HoldLedger ledger{kRule};
    SendGuard guard{kRule};
    Instant now = kStart;

    void pass(Span span) { now = now + span; }
    Need need() const { return ledger.need_of_release(kRequest, now); }
    // A release that is written now and answered a millisecond later.
    Proof release() {
        const Instant written = now;
        ledger.release_written(kRequest, kOther, written);
        pass(ms(1));
        return ledger.release_answered(kRequest, kOther, written, now).proof;
    }
    void prefill_answered() {
        ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        pass(ms(10));
        ledger.attempt_over(kRequest, kPrefill, Ending::read, now);
    }
    void hand_over() { ledger.attempt_started(kRequest, kHandOver, kDecodeServer, false, now); }
    void end(AttemptId attempt, Ending ending) { ledger.attempt_over(kRequest, attempt, ending, now); }
    void want_all() {
        for (const HoldLedger::Entry& entry : std::vector(ledger.entries(kRequest))) {
            ledger.want_release(kRequest, entry.attempt);
        }
    }
    Span lease() const { return ledger.lease_end(kRequest) - ledger.held_since(kRequest); }
};

TEST_F(LedgerTest, HoldsNothingBeforeAPrefillHasEnded) {
    EXPECT_EQ(need(), Need::nothing);
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    EXPECT_EQ(need(), Need::nothing);
    EXPECT_TRUE(ledger.is_attempt_out(kRequest));
}

TEST_F(LedgerTest, PrefillThatProvablyNeverRanHoldsNothing) {
    for (const Ending ending : {Ending::unreachable, Ending::unsent, Ending::full}) {
        ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        end(kPrefill, ending);
        EXPECT_EQ(need(), Need::nothing) << text_of(ending);
        EXPECT_EQ(ledger.size(), 0u) << text_of(ending);
    }
}

TEST_F(LedgerTest, EveryOtherEndOfAPrefillMayHoldAState) {
    const std::pair<Ending, HoldReason> ends[] = {{Ending::read, HoldReason::prefill_answered},
                                                  {Ending::broken, HoldReason::answer_lost},
                                                  {Ending::error, HoldReason::answer_lost},
                                                  {Ending::late, HoldReason::prefill_not_awaited},
                                                  {Ending::retracted, HoldReason::prefill_not_awaited}};
    for (const auto& [ending, reason] : ends) {
        HoldLedger fresh(kRule);
        fresh.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
        fresh.attempt_over(kRequest, kPrefill, ending, now);
        ASSERT_EQ(fresh.entries(kRequest).size(), 1u) << text_of(ending);
        EXPECT_EQ(fresh.entries(kRequest)[0].reason, reason) << text_of(ending);
    }
}

TEST_F(LedgerTest, UnwantedStateIsDueAtTheEndOfItsLeaseWithinTheRule) {
    prefill_answered();
    EXPECT_EQ(need(), Need::not_yet);
    EXPECT_GT(lease(), ms(500));
    EXPECT_LT(lease(), kRule);
    pass(lease() - ms(1));
    EXPECT_EQ(need(), Need::not_yet);
    pass(ms(1));
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, WantedReleaseIsDueAtOnceAndAnAnswerEndsIt) {
    prefill_answered();
    want_all();
    EXPECT_EQ(need(), Need::due);
    EXPECT_EQ(release(), Proof::let_go);
    EXPECT_EQ(need(), Need::nothing);
    EXPECT_EQ(ledger.size(), 0u);
}

TEST_F(LedgerTest, StreamThatHasBegunHasTakenTheState) {
    prefill_answered();
    hand_over();
    ledger.stream_began(kRequest, kHandOver, now);
    EXPECT_EQ(need(), Need::nothing);
    end(kHandOver, Ending::settled);
    EXPECT_EQ(ledger.size(), 0u);
}

// It may lie unread at its server, so it stops no clock.
TEST_F(LedgerTest, HandOverThatWasNotHeardFromHoldsUpAReleaseToTheEndOfTheLeaseOnly) {
    prefill_answered();
    hand_over();
    want_all();
    EXPECT_EQ(need(), Need::not_yet);
    pass(lease());
    EXPECT_EQ(need(), Need::due);
}

// It may have arrived and wait for the state.
TEST_F(LedgerTest, ReleaseSentWhileAHandOverIsOutIsOwedAgainAfterItsEnd) {
    prefill_answered();
    hand_over();
    pass(lease());
    want_all();
    EXPECT_EQ(release(), Proof::lease_only);
    EXPECT_EQ(need(), Need::not_yet);
    pass(ms(2000));
    EXPECT_EQ(need(), Need::not_yet);
    end(kHandOver, Ending::late);
    EXPECT_EQ(need(), Need::close_sent);
    pass(SendGuard::close_travel_time());
    EXPECT_EQ(need(), Need::due);
    EXPECT_EQ(ledger.held_since(kRequest), now - SendGuard::close_travel_time());
}

TEST_F(LedgerTest, ReleaseThatIsAnsweredOnlyAfterTheAttemptsEndProvesNothingMore) {
    prefill_answered();
    hand_over();
    pass(lease());
    want_all();
    const Instant written = now;
    pass(ms(100));
    end(kHandOver, Ending::late);
    pass(ms(50));
    EXPECT_NE(ledger.release_answered(kRequest, kOther, written, now).proof, Proof::let_go);
    EXPECT_EQ(need(), Need::due);
}

// An attempt may start and end between a release's writing and its answer.
TEST_F(LedgerTest, ReleaseCrossedByAnAttemptProvesNothing) {
    prefill_answered();
    want_all();
    const Instant written = now;
    pass(ms(1));
    hand_over();
    pass(ms(5));
    end(kHandOver, Ending::full);
    pass(ms(1));
    EXPECT_NE(ledger.release_answered(kRequest, kOther, written, now).proof, Proof::let_go);
    EXPECT_EQ(need(), Need::due);
}

// A close and a release that are written together may be read in either order.
TEST_F(LedgerTest, ReleaseIsNotDueBeforeTheCloseHasTravelled) {
    prefill_answered();
    hand_over();
    end(kHandOver, Ending::retracted);
    want_all();
    EXPECT_EQ(need(), Need::close_sent);
    pass(SendGuard::close_travel_time());
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, AfterAnUnheardEndAReleaseIsToldOnceMore) {
    for (const bool at_prefill : {true, false}) {
        if (at_prefill) {
            ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
            end(kPrefill, Ending::broken);
        } else {
            prefill_answered();
            hand_over();
            end(kHandOver, Ending::retracted);
        }
        pass(SendGuard::close_travel_time());
        want_all();
        EXPECT_EQ(release(), Proof::once_more);
        EXPECT_EQ(need(), Need::not_yet);
        pass(ms(300));
        EXPECT_EQ(need(), Need::due);
        const Instant written = now;
        pass(ms(1));
        const auto result = ledger.release_answered(kRequest, kOther, written, now);
        EXPECT_EQ(result.proof, Proof::let_go);
        ASSERT_EQ(result.unheard.size(), 1u);
        EXPECT_EQ(result.unheard[0].server, at_prefill ? kPrefillServer : kDecodeServer);
        EXPECT_EQ(result.unheard[0].prefill, at_prefill);
    }
}

// The time starts again in full, as the answer proves that the attempt had arrived.
TEST_F(LedgerTest, AnsweredAttemptStartsTheTimeAgain) {
    prefill_answered();
    pass(ms(400));
    hand_over();
    pass(ms(200));
    end(kHandOver, Ending::full);
    EXPECT_EQ(ledger.held_since(kRequest), now);
}

TEST_F(LedgerTest, AttemptThatWasNeverSentDoesNot) {
    prefill_answered();
    const Instant since = now;
    pass(ms(300));
    hand_over();
    pass(ms(250));
    end(kHandOver, Ending::unreachable);
    EXPECT_EQ(ledger.held_since(kRequest), since);
}

// As it may not have arrived, an attempt's silent end inside the lease gives no more time either.
TEST_F(LedgerTest, UnheardEndWithinTheLeaseDoesNot) {
    prefill_answered();
    const Instant since = now;
    hand_over();
    pass(ms(300));
    end(kHandOver, Ending::retracted);
    EXPECT_EQ(ledger.held_since(kRequest), since);
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    pass(lease() - ms(300));
    EXPECT_EQ(need(), Need::due);
}

// A prefill server answers once it has read: its time runs from the first byte, not from when nobody waits
// any more.
TEST_F(LedgerTest, AnswerThatStaysIncompleteHoldsFromItsFirstByte) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    pass(ms(20));
    const Instant began = now;
    ledger.answer_began(kRequest, kPrefill, now);
    pass(ms(350));
    end(kPrefill, Ending::broken);
    EXPECT_EQ(ledger.held_since(kRequest), began);
    EXPECT_EQ(ledger.entries(kRequest)[0].reason, HoldReason::answer_began);
}

// A release names the request, so it would take the state that the next hand-over needs as well.
TEST_F(LedgerTest, OlderStateIsNotReleasedWhileANewerOneWaitsForItsHandOver) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end(kPrefill, Ending::broken);
    want_all();
    pass(ms(100));
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    end(kSecondPrefill, Ending::read);
    EXPECT_EQ(need(), Need::not_yet);
    want_all();
    EXPECT_EQ(need(), Need::due);
}

TEST_F(LedgerTest, WhatMayComeLateIsStillOwedBehindAStream) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end(kPrefill, Ending::retracted);
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    end(kSecondPrefill, Ending::read);
    hand_over();
    want_all();
    ledger.stream_began(kRequest, kHandOver, now);
    pass(ms(5000));
    EXPECT_EQ(need(), Need::not_yet);
    end(kHandOver, Ending::settled);
    EXPECT_EQ(need(), Need::due);
}

// A prefill that was not heard to end may still leave its state while the next attempt lies unread.
TEST_F(LedgerTest, LatePrefillBehindAnUnheardAttemptIsReleasedAgain) {
    ledger.attempt_started(kRequest, kPrefill, kPrefillServer, true, now);
    end(kPrefill, Ending::broken);
    want_all();
    ledger.attempt_started(kRequest, kSecondPrefill, kOther, true, now);
    pass(lease());
    EXPECT_EQ(release(), Proof::lease_only);
    pass(kRule);
    EXPECT_EQ(need(), Need::due);
}

// The stream's end and the release's answer may come in the same moment, in either order.
TEST_F(LedgerTest, ReleaseAnsweredAfterTheStreamHasSettledIsNotALateRelease) {
    prefill_answered();
    const Instant written = now;
    ledger.release_written(kRequest, kOther, written);
    hand_over();
    ledger.stream_began(kRequest, kHandOver, now);
    end(kHandOver, Ending::settled);
    const HoldLedger::ReleaseResult result = ledger.release_answered(kRequest, kOther, written, now);
    EXPECT_EQ(result.proof, Proof::let_go);
    EXPECT_TRUE(guard.check_released(result.held_since, now));
}

// A client may send a request again under the same id while a release of the first is still out.
TEST_F(LedgerTest, ReleaseAnsweredWhileTheNextRequestOfThatNameHoldsNothingIsNotALateRelease) {
    prefill_answered();
    const Instant written = now;
    ledger.release_written(kRequest, kOther, written);
    hand_over();
    end(kHandOver, Ending::settled);
    pass(ms(2000));
    ledger.attempt_started(kRequest, kSecondPrefill, kPrefillServer, true, now);
    const HoldLedger::ReleaseResult result = ledger.release_answered(kRequest, kOther, written, now);
    EXPECT_EQ(result.proof, Proof::nothing);
    EXPECT_TRUE(guard.check_released(result.held_since, now));
    EXPECT_TRUE(ledger.is_attempt_out(kRequest));
}

TEST_F(LedgerTest, HistoryTellsWhyAReleaseDidNotCount) {
    ledger.name_servers([](ServerIndex server) { return "s" + std::to_string(server); });
    prefill_answered();
    hand_over();
    pass(lease());
    want_all();
    release();
    pass(ms(500));
    end(kHandOver, Ending::late);
    const std::string history = ledger.history(kRequest);
    EXPECT_NE(history.find("0.0 prefill at s1, 1 out"), std::string::npos) << history;
    EXPECT_NE(history.find("release with an attempt out answered by s3, 1 out"), std::string::npos)
        << history;
}

TEST_F(LedgerTest, RequestsPastTheBooksAreCountedAndThoseInThemKept) {
    constexpr RequestKey kMost = 100000;
    for (RequestKey key = 1; key <= kMost + 3; ++key) {
        ledger.attempt_started(key, key, kPrefillServer, true, now);
        ledger.attempt_over(key, key, Ending::broken, now);
    }
    EXPECT_EQ(ledger.size(), kMost);
    EXPECT_EQ(ledger.overflows(), 3u);
    EXPECT_EQ(ledger.entries(kMost).size(), 1u);
    EXPECT_TRUE(ledger.entries(kMost + 1).empty());
    pass(ms(5000));
    EXPECT_EQ(ledger.need_of_release(1, now), Need::due);
    EXPECT_EQ(ledger.need_of_release(kMost + 1, now), Need::nothing);
}

TEST_F(LedgerTest, NothingIsKeptOfWhatIsOver) {
    for (RequestKey key = 100; key < 200; ++key) {
        ledger.attempt_started(key, kPrefill, kPrefillServer, true, now);
        ledger.attempt_over(key, kPrefill, Ending::read, now);
        ledger.attempt_started(key, kHandOver, kDecodeServer, false, now);
        ledger.attempt_over(key, kHandOver, Ending::settled, now);
    }
    EXPECT_EQ(ledger.size(), 0u);
    prefill_answered();
    const auto given_up = ledger.give_up(kRequest);
    EXPECT_EQ(given_up.held_since, now);
    EXPECT_EQ(ledger.size(), 0u);
}

}  // namespace
}  // namespace copperfront
