// Which servers there are, as lists and their changes come one after the other.
#include "node/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace copperfront {
namespace {

constexpr std::size_t kLongList = 3200;
constexpr Instant kStarted{1700000000000000};

struct NoConnections : Membership::Connections {
    std::set<ServerIndex> busy, shunned, removed;
    std::vector<std::string> learnt;

    void reserve(std::size_t) override {}
    void learn(ServerIndex, const Membership::Endpoint& endpoint) override {
        learnt.push_back(endpoint.text);
    }
    void shun(ServerIndex server) override { shunned.insert(server); }
    void gone(ServerIndex server) override { removed.insert(server); }
    bool is_idle(ServerIndex server) const override { return busy.count(server) == 0; }
};

struct Changes : Membership::Owner {
    struct Change {
        std::vector<Listing> listings;
        bool whole;
    };
    std::vector<Change> told;

    void servers_changed(std::span<const Listing> listings, bool whole) override {
        told.push_back({{listings.begin(), listings.end()}, whole});
    }
    // What was told last of a server.
    Standing standing(ServerIndex server) const {
        Standing last = Standing::gone;
        for (const Change& change : told) {
            for (const Listing& listing : change.listings) {
                if (listing.server == server) last = listing.standing;
            }
        }
        return last;
    }
};

platform::Entry entry(const std::string& name, Standing standing = Standing::ready, Instant born = {}) {
    platform::Entry made;
    made.name = name;
    made.address = "127.0.0.1:7000";
    made.zone = "a";
    made.kind = "reader";
    made.cell = "c1";
    made.standing = standing;
    made.born = born;
    return made;
}

platform::News long_list() {
    platform::News news;
    news.whole = true;
    for (std::size_t n = 0; n < kLongList; ++n) news.entries.push_back(entry("s" + std::to_string(n)));
    return news;
}

class MembershipTest : public testing::Test {
  protected:
    MembershipTest() { kinds_.index("reader"); }
    void take(platform::News news) {
        const Loop::Event event(loop, "test");
        membership.take(std::move(news));
    }
    void change(std::vector<platform::Entry> entries) { take({2, false, std::move(entries)}); }
    void run_loop() {
        Timer end(loop, [this] { loop.stop(); });
        end.set(Span{50000});
        loop.run();
    }

  private:
    Names kinds_, zones_;
    Log log_{"off", "json", "", 1 << 20, 1};

  public:
    Loop loop;
    NoConnections connections;
    Changes changes;
    Membership membership{loop, kinds_, zones_, connections, changes, log_};
};

// Against a part of a fleet that gets the requests of all of it.
TEST_F(MembershipTest, LongListHoldsFromOneMomentOn) {
    take(long_list());
    EXPECT_EQ(membership.size(), 0u);
    run_loop();
    EXPECT_EQ(membership.size(), kLongList);
    std::size_t listings = 0;
    for (const auto& change : changes.told) listings = std::max(listings, change.listings.size());
    EXPECT_EQ(listings, kLongList);
    EXPECT_TRUE(changes.told.back().whole);
}

// Against requests to a server that a long list withdraws at its end.
TEST_F(MembershipTest, WhatALongListWithdrawsIsWithdrawnAtOnce) {
    take(long_list());
    run_loop();
    platform::News news = long_list();
    news.entries.back().standing = Standing::draining;
    const ServerIndex last = kLongList - 1;
    take(std::move(news));
    EXPECT_EQ(changes.standing(last), Standing::draining);
    EXPECT_EQ(connections.shunned.count(last), 1u);
    run_loop();
    EXPECT_EQ(changes.standing(last), Standing::draining);
}

// Against an older list that holds after a newer one, as it takes longer.
TEST_F(MembershipTest, ChangeThatComesWhileALongListIsWorkedThroughHoldsAfterIt) {
    take(long_list());
    change({entry("s7", Standing::draining), entry("s8", Standing::gone)});
    EXPECT_EQ(membership.size(), kLongList - 1);
    EXPECT_EQ(changes.standing(7), Standing::draining);
    EXPECT_FALSE(membership.has("s8"));
    run_loop();
    EXPECT_EQ(changes.standing(7), Standing::draining);
    EXPECT_FALSE(membership.has("s8"));
}

TEST_F(MembershipTest, ServersThatAWholeListLeavesOutAreGone) {
    change({entry("a"), entry("b")});
    take({3, true, {entry("b")}});
    EXPECT_FALSE(membership.has("a"));
    EXPECT_TRUE(membership.has("b"));
    EXPECT_EQ(connections.removed, std::set<ServerIndex>{0});
}

// Against answers of an old server that count as those of the one that has its index by then.
TEST_F(MembershipTest, IndexIsHandedOnOnlyOnceNothingIsOutAtItsServer) {
    change({entry("a", Standing::ready, kStarted)});
    connections.busy.insert(0);
    change({entry("a", Standing::gone)});
    change({entry("b")});
    EXPECT_EQ(membership.indices(), 2u);
    EXPECT_EQ(membership.name_of(0), "a");
    connections.busy.clear();
    change({entry("c")});
    EXPECT_EQ(membership.indices(), 2u);
    EXPECT_EQ(membership.name_of(0), "c");
}

// Against a table that grows with each replacement, and is searched whole for each name, where no list tells
// starts.
TEST_F(MembershipTest, FleetThatIsReplacedWithoutStartsTakesNoMoreThanTwiceItsSize) {
    std::vector<Instant> starts(2 * kLongList, Instant{-1});
    for (int round = 0; round < 6; ++round) {
        platform::News news = long_list();
        for (platform::Entry& each : news.entries) each.name += "-" + std::to_string(round);
        const std::size_t before = changes.told.size();
        take(std::move(news));
        run_loop();
        EXPECT_EQ(membership.size(), kLongList);
        ASSERT_LE(membership.indices(), 2 * kLongList);
        ASSERT_GT(changes.told.size(), before);
        for (const Listing& listing : changes.told.back().listings) {
            EXPECT_NE(listing.born, starts[listing.server]);
            starts[listing.server] = listing.born;
        }
    }
}

// Against a server that is taken for a new process each time that a list names it.
TEST_F(MembershipTest, StartOfAServerWithAHandedOnIndexStaysTheSame) {
    change({entry("a")});
    change({entry("a", Standing::gone)});
    change({entry("b")});
    ASSERT_EQ(membership.name_of(0), "b");
    const Instant start = changes.told.back().listings.at(0).born;
    EXPECT_NE(start, Instant{});
    change({entry("b", Standing::draining)});
    EXPECT_EQ(changes.told.back().listings.at(0).born, start);
    change({entry("b", Standing::ready, kStarted)});
    EXPECT_NE(changes.told.back().listings.at(0).born, start);
}

// Against a list of which one entry can't be used and none is taken.
TEST_F(MembershipTest, EntryThatCannotBeUsedIsPassedOver) {
    platform::Entry elsewhere = entry("a"), unknown = entry("b");
    elsewhere.address = "example.org:80";
    unknown.kind = "painter";
    change({elsewhere, unknown, entry("c")});
    EXPECT_FALSE(membership.has("a"));
    EXPECT_FALSE(membership.has("b"));
    EXPECT_TRUE(membership.has("c"));
}

}  // namespace
}  // namespace copperfront
