// Requests that may have taken effect: where and until when they may be sent again.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace copperfront {
namespace {

// A connection may come up long after the attempt was chosen, so the attempt carries what is left of the
// window.
TEST(RepeatWindow, FurtherAttemptMustBeWrittenWithinWhatIsLeft) {
    Story story(Effect::receipted, Group::all);
    story.start();
    const QueryIndex request = story.read_one();
    EXPECT_GT(story.last().write_within, ms(4900)) << "nothing may have run yet: as long as its client waits";
    story.host.clock = story.host.clock + ms(300);
    story.ended(request, Ending::error);
    ASSERT_EQ(story.sent(), 3u);
    EXPECT_EQ(story.last().write_within, ms(4700));
}

TEST(RepeatWindow, RequestEndsAtOnceWhereItHasPassed) {
    Story story(Effect::receipted, Group::all);
    story.terms.categories[0].window = ms(200);
    story.start();
    const QueryIndex request = story.read_one();
    story.host.clock = story.host.clock + ms(201);
    story.ended(request, Ending::error);
    EXPECT_EQ(story.sent(), 2u);
    EXPECT_EQ(story.host.declined.size() + story.host.given_up.size(), 1u);
}

// Its prompt is read again, and meanwhile the window passes: the state is of no use to anybody.
TEST(RepeatWindow, RequestEndsAtOnceWhereItPassesDuringTheSecondRead) {
    Story story(Effect::receipted, Group::all);
    story.terms.categories[0].window = ms(200);
    story.start();
    const QueryIndex request = story.read_one();
    story.host.clock = story.host.clock + ms(100);
    story.ended(request, Ending::broken);
    ASSERT_EQ(story.sent(), 3u);
    story.host.clock = story.host.clock + ms(150);
    story.ended(request, Ending::read);
    EXPECT_EQ(story.sent(), 3u);
    EXPECT_EQ(story.host.declined.size() + story.host.given_up.size(), 1u);
    EXPECT_FALSE(story.host.released.empty());
}

// A rejection tells its client that trying again is harmless. It is so only while the repeat would still be
// known.
TEST(RepeatWindow, RejectionIsGivenOnlyWhileAWholeFurtherTryIsKnown) {
    for (const bool known : {false, true}) {
        Story story(Effect::receipted, Group::all);
        story.terms.categories[0].window = known ? ms(60000) : ms(4000);
        story.terms.max_attempts = 2;
        story.start();
        const QueryIndex request = story.read_one();
        story.ended(request, Ending::error);
        EXPECT_EQ(story.host.declined.size(), known ? 1u : 0u);
        EXPECT_EQ(story.host.given_up.size(), known ? 0u : 1u);
    }
}

// Without an attempt left its state is of no use: the final answer does not wait for a server.
TEST(LastAttempt, EndsItsRequestAtOnce) {
    Story story;
    story.terms.max_attempts = 2;
    story.start();
    const QueryIndex request = story.read_one();
    story.ended(request, Ending::unreachable);
    EXPECT_EQ(story.host.declined.size(), 1u);
    EXPECT_FALSE(story.host.released.empty());
}

// What a connection may take to come up is part of the window: an attempt that is chosen after that is not
// made.
TEST(RepeatWindow, LeavesAConnectionItsTime) {
    Story story(Effect::receipted, Group::all);
    story.terms.categories[0].window = ms(1000);
    story.terms.connect_within = ms(400);
    story.start();
    const QueryIndex request = story.read_one();
    story.host.clock = story.host.clock + ms(500);
    story.ended(request, Ending::error);
    ASSERT_EQ(story.sent(), 3u);
    EXPECT_EQ(story.last().write_within, ms(100));
    story.host.clock = story.host.clock + ms(150);
    story.ended(request, Ending::error);
    EXPECT_EQ(story.sent(), 3u);
}

// A server's index is given to another one once it has gone: the group is that of the one that may have run
// it.
TEST(RepeatGroup, IsThatOfTheServerThatMayHaveRunItThoughItsIndexNamesAnother) {
    Story story(Effect::receipted, Group::cell);
    story.start();
    const QueryIndex request = story.read_one();
    const ServerIndex ran = story.last().server;
    const ServerIndex other = ran == 2 ? 3 : 2;
    // Both in the cells of each other now, as new servers.
    std::swap(story.list[ran].cell, story.list[other].cell);
    story.list_again(ran, Standing::ready, story.host.clock - ms(60000));
    story.list_again(other, Standing::ready, story.host.clock - ms(60000));
    story.ended(request, Ending::error, ran);
    ASSERT_EQ(story.sent(), 3u);
    EXPECT_EQ(story.last().server, other);
}

}  // namespace
}  // namespace copperfront
