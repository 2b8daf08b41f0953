// Each decision of the send guard, and its counters.
#include "core/send_guard.h"

#include <gtest/gtest.h>

namespace copperfront {
namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr Instant kNow{5000000000};

SendGuard::AttemptStart default_start() {
    SendGuard::AttemptStart facts;
    facts.attempts = 1;
    facts.max_attempts = 4;
    facts.time_left = ms(1000);
    return facts;
}

TEST(SendGuardStart, GrantsAUsualAttempt) {
    SendGuard guard(ms(1000));
    EXPECT_EQ(guard.may_start(default_start()), Denial::none);
    EXPECT_EQ(guard.denied(Denial::already_answered), 0u);
}

TEST(SendGuardStart, DeniesAndCountsEachReason) {
    SendGuard guard(ms(1000));
    auto answered = default_start();
    answered.answered = true;
    EXPECT_EQ(guard.may_start(answered), Denial::already_answered);
    auto second = default_start();
    second.attempt_in_flight = true;
    EXPECT_EQ(guard.may_start(second), Denial::attempt_in_flight);
    auto repeated = default_start();
    repeated.effect = Effect::effectful;
    repeated.may_have_run = true;
    EXPECT_EQ(guard.may_start(repeated), Denial::effect_may_have_happened);
    auto too_many = default_start();
    too_many.attempts = 5;
    EXPECT_EQ(guard.may_start(too_many), Denial::too_many_attempts);
    auto out_of_time = default_start();
    out_of_time.time_left = {};
    EXPECT_EQ(guard.may_start(out_of_time), Denial::no_time_left);
    for (const Denial denial :
         {Denial::already_answered, Denial::attempt_in_flight, Denial::effect_may_have_happened,
          Denial::too_many_attempts, Denial::no_time_left}) {
        EXPECT_EQ(guard.denied(denial), 1u) << text_of(denial);
    }
}

TEST(SendGuardWrite, DeniesAfterTheClientHasGoneAndAfterTheWriteWindow) {
    SendGuard guard(ms(1000));
    EXPECT_EQ(guard.may_write({false, kNow, kNow}), Denial::none);
    EXPECT_EQ(guard.may_write({true, kNow, kNow}), Denial::client_gone);
    EXPECT_EQ(guard.may_write({false, kNow, kNow, Effect::effectful, true}),
              Denial::effect_may_have_happened);
    EXPECT_EQ(guard.violations(Invariant::effect_at_most_once), 1u);
    EXPECT_EQ(guard.may_write({false, kNow + ms(1), kNow}), Denial::write_window_over);
}

constexpr RequestKey kRequest = 1;

HoldLedger ledger_with_state() {
    HoldLedger ledger(ms(1000));
    ledger.attempt_started(kRequest, 1, 0, true, kNow);
    ledger.attempt_ended(kRequest, 1, Ending::prefilled, kNow);
    ledger.want_release(kRequest, 1);
    return ledger;
}

TEST(SendGuardRelease, WaitsForAnAttemptInFlightOnlyToTheEndOfTheLease) {
    SendGuard guard(ms(1000));
    HoldLedger ledger = ledger_with_state();
    EXPECT_EQ(guard.may_release(ledger, kRequest, kNow), Denial::none);
    ledger.attempt_started(kRequest, 2, 1, false, kNow);
    const Instant end = ledger.lease_end(kRequest);
    EXPECT_GT(end, kNow + ms(500));
    EXPECT_LT(end, kNow + ms(1000));
    EXPECT_EQ(guard.may_release(ledger, kRequest, end + ms(-1)), Denial::release_too_early);
    EXPECT_EQ(guard.may_release(ledger, kRequest, end), Denial::none);
}

// The server is running and has taken the state, so no time limit is running.
TEST(SendGuardRelease, WaitsForAStreamThatHasBegun) {
    SendGuard guard(ms(1000));
    HoldLedger ledger = ledger_with_state();
    ledger.attempt_started(kRequest, 2, 1, true, kNow);
    ledger.attempt_ended(kRequest, 2, Ending::connection_lost, kNow);
    ledger.attempt_started(kRequest, 3, 1, false, kNow);
    ledger.stream_began(kRequest, 3, kNow);
    EXPECT_EQ(guard.may_release(ledger, kRequest, kNow + ms(60000)), Denial::release_too_early);
}

TEST(SendGuardRelease, DoesNotOvertakeAClose) {
    SendGuard guard(ms(1000));
    HoldLedger ledger = ledger_with_state();
    ledger.attempt_started(kRequest, 2, 1, false, kNow);
    ledger.attempt_ended(kRequest, 2, Ending::cancelled, kNow);
    EXPECT_EQ(guard.may_release(ledger, kRequest, kNow), Denial::close_not_arrived);
    EXPECT_EQ(guard.may_release(ledger, kRequest, kNow + SendGuard::close_travel_time()), Denial::none);
    EXPECT_EQ(guard.may_release(ledger, kRequest + 1, kNow), Denial::nothing_held);
}

TEST(SendGuardReuse, NeedsAnIdleConnectionWithoutPendingInput) {
    SendGuard guard(ms(1000));
    EXPECT_EQ(guard.may_reuse({true, ms(20)}), Denial::none);
    EXPECT_EQ(guard.may_reuse({true, ms(19)}), Denial::connection_unsafe);
    EXPECT_EQ(guard.may_reuse({false, ms(500)}), Denial::connection_unsafe);
}

TEST(SendGuardShutdown, RequestsAreAcceptedForAWhileAndPendingWorkPreventsTheExit) {
    SendGuard guard(ms(1000));
    EXPECT_EQ(guard.may_accept(false, {}), Denial::none);
    EXPECT_EQ(guard.may_accept(true, ms(699)), Denial::none);
    EXPECT_EQ(guard.may_accept(true, ms(700)), Denial::shutting_down);
    SendGuard::Shutdown facts;
    facts.since_requested = ms(700);
    EXPECT_EQ(guard.may_exit(facts), Denial::still_accepting);
    facts.listening = false;
    EXPECT_EQ(guard.may_exit(facts), Denial::none);
    facts.releases = 1;
    EXPECT_EQ(guard.may_exit(facts), Denial::work_pending);
}

TEST(SendGuardInvariants, ViolationsAreCountedByTheirInvariant) {
    SendGuard guard(ms(1000));
    EXPECT_TRUE(guard.check_released(kNow, kNow + ms(1300)));
    EXPECT_FALSE(guard.check_released(kNow, kNow + ms(1301)));
    EXPECT_TRUE(guard.check_deadline(ms(150), {}));
    EXPECT_FALSE(guard.check_deadline(ms(151), {}));
    EXPECT_TRUE(guard.check_effect(Effect::receipted, true));
    EXPECT_FALSE(guard.check_effect(Effect::effectful, true));
    EXPECT_EQ(guard.violations(Invariant::state_released_in_time), 1u);
    EXPECT_EQ(guard.violations(), 3u);
}

}  // namespace
}  // namespace copperfront
