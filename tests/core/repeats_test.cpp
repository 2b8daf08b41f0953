// Requests that may have taken effect: where and until when they may be sent again.
#include <gtest/gtest.h>

#include "fake_router_host.h"

namespace copperfront {
namespace {

// A connection may be made long after the attempt was chosen, so the attempt carries what is left of the
// window.
TEST(RepeatWindow, FurtherAttemptMustBeWrittenWithinWhatIsLeft) {
    RouterFixture fixture(Effect::receipted, DedupScope::all);
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    EXPECT_GT(fixture.last_attempt().write_within, ms(4900))
        << "nothing may have run yet: as long as its client waits";
    fixture.host.clock = fixture.host.clock + ms(300);
    fixture.end_attempt(request, Ending::error);
    ASSERT_EQ(fixture.attempts_sent(), 3u);
    EXPECT_EQ(fixture.last_attempt().write_within, ms(4700));
}

TEST(RepeatWindow, RequestEndsAtOnceWhereItHasPassed) {
    RouterFixture fixture(Effect::receipted, DedupScope::all);
    fixture.terms.categories[0].window = ms(200);
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    fixture.host.clock = fixture.host.clock + ms(201);
    fixture.end_attempt(request, Ending::error);
    EXPECT_EQ(fixture.attempts_sent(), 2u);
    EXPECT_EQ(fixture.host.rejected.size() + fixture.host.abandoned.size(), 1u);
}

// The prompt is prefilled again, and meanwhile the window passes: the state is of no use any more.
TEST(RepeatWindow, RequestEndsAtOnceWhereItPassesDuringTheSecondRead) {
    RouterFixture fixture(Effect::receipted, DedupScope::all);
    fixture.terms.categories[0].window = ms(200);
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    fixture.host.clock = fixture.host.clock + ms(100);
    fixture.end_attempt(request, Ending::connection_lost);
    ASSERT_EQ(fixture.attempts_sent(), 3u);
    fixture.host.clock = fixture.host.clock + ms(150);
    fixture.end_attempt(request, Ending::prefilled);
    EXPECT_EQ(fixture.attempts_sent(), 3u);
    EXPECT_EQ(fixture.host.rejected.size() + fixture.host.abandoned.size(), 1u);
    EXPECT_FALSE(fixture.host.released.empty());
}

// A rejection tells the client that sending the request again is harmless. That holds only while servers
// would still recognise the repeat.
TEST(RepeatWindow, RejectionIsGivenOnlyWhileAWholeFurtherTryIsKnown) {
    for (const bool known : {false, true}) {
        RouterFixture fixture(Effect::receipted, DedupScope::all);
        fixture.terms.categories[0].window = known ? ms(60000) : ms(4000);
        fixture.terms.max_attempts = 2;
        fixture.start();
        const RequestIndex request = fixture.prefill_one();
        fixture.end_attempt(request, Ending::error);
        EXPECT_EQ(fixture.host.rejected.size(), known ? 1u : 0u);
        EXPECT_EQ(fixture.host.abandoned.size(), known ? 0u : 1u);
    }
}

// Without an attempt left the state is of no use: the final answer does not wait for a server.
TEST(LastAttempt, EndsItsRequestAtOnce) {
    RouterFixture fixture;
    fixture.terms.max_attempts = 2;
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    fixture.end_attempt(request, Ending::unreachable);
    EXPECT_EQ(fixture.host.rejected.size(), 1u);
    EXPECT_FALSE(fixture.host.released.empty());
}

// The time that a connection may take to be made is part of the window: an attempt that is chosen after that
// is not made.
TEST(RepeatWindow, LeavesAConnectionItsTime) {
    RouterFixture fixture(Effect::receipted, DedupScope::all);
    fixture.terms.categories[0].window = ms(1000);
    fixture.terms.connect_timeout = ms(400);
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    fixture.host.clock = fixture.host.clock + ms(500);
    fixture.end_attempt(request, Ending::error);
    ASSERT_EQ(fixture.attempts_sent(), 3u);
    EXPECT_EQ(fixture.last_attempt().write_within, ms(100));
    fixture.host.clock = fixture.host.clock + ms(150);
    fixture.end_attempt(request, Ending::error);
    EXPECT_EQ(fixture.attempts_sent(), 3u);
}

// A server's index is reused once the server is removed: the group is that of the server that may have run
// the request.
TEST(RepeatGroup, IsThatOfTheServerThatMayHaveRunItThoughItsIndexNamesAnother) {
    RouterFixture fixture(Effect::receipted, DedupScope::cell);
    fixture.start();
    const RequestIndex request = fixture.prefill_one();
    const ServerIndex ran = fixture.last_attempt().server;
    const ServerIndex other = ran == 2 ? 3 : 2;
    // Each is now in the cell of the other, as a new server.
    std::swap(fixture.list[ran].cell, fixture.list[other].cell);
    fixture.update_server(ran, ServerStatus::ready, fixture.host.clock - ms(60000));
    fixture.update_server(other, ServerStatus::ready, fixture.host.clock - ms(60000));
    fixture.end_attempt(request, Ending::error, ran);
    ASSERT_EQ(fixture.attempts_sent(), 3u);
    EXPECT_EQ(fixture.last_attempt().server, other);
}

}  // namespace
}  // namespace copperfront
