// The set of known servers while lists and changes of them arrive one after the other.
#include "node/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace copperfront {
namespace {

constexpr std::size_t kLongListSize = 3200;
constexpr Instant kStarted{1700000000000000};

struct RecordingConnections : Membership::Connections {
    std::set<ServerIndex> busy, stopped, removed;
    std::vector<std::string> endpoints;

    void reserve(std::size_t) override {}
    void learn(ServerIndex, const Membership::Endpoint& endpoint) override {
        endpoints.push_back(endpoint.text);
    }
    void shun(ServerIndex server) override { stopped.insert(server); }
    void gone(ServerIndex server) override { removed.insert(server); }
    bool is_idle(ServerIndex server) const override { return busy.count(server) == 0; }
};

struct RecordingOwner : Membership::Owner {
    struct Change {
        std::vector<Listing> listings;
        bool whole;
    };
    std::vector<Change> reported;

    void servers_changed(std::span<const Listing> listings, bool whole) override {
        reported.push_back({{listings.begin(), listings.end()}, whole});
    }
    // The last reported status of a server.
    Standing standing(ServerIndex server) const {
        Standing last = Standing::gone;
        for (const Change& change : reported) {
            for (const Listing& listing : change.listings) {
                if (listing.server == server) last = listing.standing;
            }
        }
        return last;
    }
};

platform::Entry entry(const std::string& name, Standing standing = Standing::ready, Instant born = {}) {
    platform::Entry result;
    result.name = name;
    result.address = "127.0.0.1:7000";
    result.zone = "a";
    result.kind = "reader";
    result.cell = "c1";
    result.standing = standing;
    result.born = born;
    return result;
}

platform::News long_list() {
    platform::News update;
    update.whole = true;
    for (std::size_t n = 0; n < kLongListSize; ++n) update.entries.push_back(entry("s" + std::to_string(n)));
    return update;
}

class MembershipTest : public testing::Test {
  protected:
    MembershipTest() { kinds_.index("reader"); }
    void apply(platform::News update) {
        const Loop::Event event(loop, "test");
        membership.take(std::move(update));
    }
    void apply_change(std::vector<platform::Entry> entries) { apply({2, false, std::move(entries)}); }
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
    RecordingConnections connections;
    RecordingOwner changes;
    Membership membership{loop, kinds_, zones_, connections, changes, log_};
};

// Guards against a list that is applied in parts, which would send the requests of the whole fleet to a part
// of it.
TEST_F(MembershipTest, LongListIsAppliedAtomically) {
    apply(long_list());
    EXPECT_EQ(membership.size(), 0u);
    run_loop();
    EXPECT_EQ(membership.size(), kLongListSize);
    std::size_t listings = 0;
    for (const auto& change : changes.reported) listings = std::max(listings, change.listings.size());
    EXPECT_EQ(listings, kLongListSize);
    EXPECT_TRUE(changes.reported.back().whole);
}

// Guards against requests to a server that a long list withdraws in its last entries.
TEST_F(MembershipTest, ServersThatALongListWithdrawsAreWithdrawnAtOnce) {
    apply(long_list());
    run_loop();
    platform::News update = long_list();
    update.entries.back().standing = Standing::draining;
    const ServerIndex last = kLongListSize - 1;
    apply(std::move(update));
    EXPECT_EQ(changes.standing(last), Standing::draining);
    EXPECT_EQ(connections.stopped.count(last), 1u);
    run_loop();
    EXPECT_EQ(changes.standing(last), Standing::draining);
}

// Guards against an older list that is applied after a newer one because it takes longer to process.
TEST_F(MembershipTest, ChangeThatArrivesWhileALongListIsProcessedIsAppliedAfterIt) {
    apply(long_list());
    apply_change({entry("s7", Standing::draining), entry("s8", Standing::gone)});
    EXPECT_EQ(membership.size(), kLongListSize - 1);
    EXPECT_EQ(changes.standing(7), Standing::draining);
    EXPECT_FALSE(membership.has("s8"));
    run_loop();
    EXPECT_EQ(changes.standing(7), Standing::draining);
    EXPECT_FALSE(membership.has("s8"));
}

TEST_F(MembershipTest, ServersThatAWholeListOmitsAreRemoved) {
    apply_change({entry("a"), entry("b")});
    apply({3, true, {entry("b")}});
    EXPECT_FALSE(membership.has("a"));
    EXPECT_TRUE(membership.has("b"));
    EXPECT_EQ(connections.removed, std::set<ServerIndex>{0});
}

// Guards against attributing answers of a removed server to the one that has its index by then.
TEST_F(MembershipTest, IndexIsReusedOnlyOnceItsServerIsIdle) {
    apply_change({entry("a", Standing::ready, kStarted)});
    connections.busy.insert(0);
    apply_change({entry("a", Standing::gone)});
    apply_change({entry("b")});
    EXPECT_EQ(membership.indices(), 2u);
    EXPECT_EQ(membership.name_of(0), "a");
    connections.busy.clear();
    apply_change({entry("c")});
    EXPECT_EQ(membership.indices(), 2u);
    EXPECT_EQ(membership.name_of(0), "c");
}

// Guards against a table that grows with each replacement of the fleet, and is searched completely for each
// name, where lists give no start times.
TEST_F(MembershipTest, FleetReplacedWithoutStartTimesUsesAtMostTwiceItsSize) {
    std::vector<Instant> starts(2 * kLongListSize, Instant{-1});
    for (int round = 0; round < 6; ++round) {
        platform::News update = long_list();
        for (platform::Entry& each : update.entries) each.name += "-" + std::to_string(round);
        const std::size_t before = changes.reported.size();
        apply(std::move(update));
        run_loop();
        EXPECT_EQ(membership.size(), kLongListSize);
        ASSERT_LE(membership.indices(), 2 * kLongListSize);
        ASSERT_GT(changes.reported.size(), before);
        for (const Listing& listing : changes.reported.back().listings) {
            EXPECT_NE(listing.born, starts[listing.server]);
            starts[listing.server] = listing.born;
        }
    }
}

// Guards against treating a server as a new process each time a list names it.
TEST_F(MembershipTest, StartOfAServerWithAReusedIndexStaysTheSame) {
    apply_change({entry("a")});
    apply_change({entry("a", Standing::gone)});
    apply_change({entry("b")});
    ASSERT_EQ(membership.name_of(0), "b");
    const Instant start = changes.reported.back().listings.at(0).born;
    EXPECT_NE(start, Instant{});
    apply_change({entry("b", Standing::draining)});
    EXPECT_EQ(changes.reported.back().listings.at(0).born, start);
    apply_change({entry("b", Standing::ready, kStarted)});
    EXPECT_NE(changes.reported.back().listings.at(0).born, start);
}

// Guards against dropping a whole list because one of its entries can't be used.
TEST_F(MembershipTest, UnusableEntryIsSkipped) {
    platform::Entry unresolved = entry("a"), unknown_kind = entry("b");
    unresolved.address = "example.org:80";
    unknown_kind.kind = "painter";
    apply_change({unresolved, unknown_kind, entry("c")});
    EXPECT_FALSE(membership.has("a"));
    EXPECT_FALSE(membership.has("b"));
    EXPECT_TRUE(membership.has("c"));
}

}  // namespace
}  // namespace copperfront
