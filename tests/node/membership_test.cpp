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
    void set_endpoint(ServerIndex, const Membership::Endpoint& endpoint) override {
        endpoints.push_back(endpoint.text);
    }
    void stop_new_attempts(ServerIndex server) override { stopped.insert(server); }
    void remove_server(ServerIndex server) override { removed.insert(server); }
    bool has_no_connections(ServerIndex server) const override { return busy.count(server) == 0; }
};

struct RecordingOwner : Membership::Owner {
    struct Change {
        std::vector<ServerListing> listings;
        bool is_snapshot;
    };
    std::vector<Change> reported;

    void servers_changed(std::span<const ServerListing> listings, bool is_snapshot) override {
        reported.push_back({{listings.begin(), listings.end()}, is_snapshot});
    }
    // The last reported status of a server.
    ServerStatus status(ServerIndex server) const {
        ServerStatus last = ServerStatus::removed;
        for (const Change& change : reported) {
            for (const ServerListing& listing : change.listings) {
                if (listing.server == server) last = listing.status;
            }
        }
        return last;
    }
};

platform::ServerEntry entry(const std::string& name, ServerStatus status = ServerStatus::ready,
                            Instant started_at = {}) {
    platform::ServerEntry result;
    result.name = name;
    result.address = "127.0.0.1:7000";
    result.zone = "a";
    result.kind = "reader";
    result.cell = "c1";
    result.status = status;
    result.started_at = started_at;
    return result;
}

platform::ServerListUpdate long_list() {
    platform::ServerListUpdate update;
    update.is_snapshot = true;
    for (std::size_t n = 0; n < kLongListSize; ++n) update.entries.push_back(entry("s" + std::to_string(n)));
    return update;
}

class MembershipTest : public testing::Test {
  protected:
    MembershipTest() { kinds_.intern("reader"); }
    void apply(platform::ServerListUpdate update) {
        const Loop::Event event(loop, "test");
        membership.apply_update(std::move(update));
    }
    void apply_change(std::vector<platform::ServerEntry> entries) { apply({2, false, std::move(entries)}); }
    void run_loop() {
        Timer end(loop, [this] { loop.stop(); });
        end.set(Duration{50000});
        loop.run();
    }

  private:
    NameTable kinds_, zones_;
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
    EXPECT_TRUE(changes.reported.back().is_snapshot);
}

// Guards against requests to a server that a long list withdraws in its last entries.
TEST_F(MembershipTest, ServersThatALongListWithdrawsAreWithdrawnAtOnce) {
    apply(long_list());
    run_loop();
    platform::ServerListUpdate update = long_list();
    update.entries.back().status = ServerStatus::draining;
    const ServerIndex last = kLongListSize - 1;
    apply(std::move(update));
    EXPECT_EQ(changes.status(last), ServerStatus::draining);
    EXPECT_EQ(connections.stopped.count(last), 1u);
    run_loop();
    EXPECT_EQ(changes.status(last), ServerStatus::draining);
}

// Guards against an older list that is applied after a newer one because it takes longer to process.
TEST_F(MembershipTest, ChangeThatArrivesWhileALongListIsProcessedIsAppliedAfterIt) {
    apply(long_list());
    apply_change({entry("s7", ServerStatus::draining), entry("s8", ServerStatus::removed)});
    EXPECT_EQ(membership.size(), kLongListSize - 1);
    EXPECT_EQ(changes.status(7), ServerStatus::draining);
    EXPECT_FALSE(membership.has("s8"));
    run_loop();
    EXPECT_EQ(changes.status(7), ServerStatus::draining);
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
    apply_change({entry("a", ServerStatus::ready, kStarted)});
    connections.busy.insert(0);
    apply_change({entry("a", ServerStatus::removed)});
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
        platform::ServerListUpdate update = long_list();
        for (platform::ServerEntry& each : update.entries) each.name += "-" + std::to_string(round);
        const std::size_t before = changes.reported.size();
        apply(std::move(update));
        run_loop();
        EXPECT_EQ(membership.size(), kLongListSize);
        ASSERT_LE(membership.indices(), 2 * kLongListSize);
        ASSERT_GT(changes.reported.size(), before);
        for (const ServerListing& listing : changes.reported.back().listings) {
            EXPECT_NE(listing.started_at, starts[listing.server]);
            starts[listing.server] = listing.started_at;
        }
    }
}

// Guards against treating a server as a new process each time a list names it.
TEST_F(MembershipTest, StartOfAServerWithAReusedIndexStaysTheSame) {
    apply_change({entry("a")});
    apply_change({entry("a", ServerStatus::removed)});
    apply_change({entry("b")});
    ASSERT_EQ(membership.name_of(0), "b");
    const Instant start = changes.reported.back().listings.at(0).started_at;
    EXPECT_NE(start, Instant{});
    apply_change({entry("b", ServerStatus::draining)});
    EXPECT_EQ(changes.reported.back().listings.at(0).started_at, start);
    apply_change({entry("b", ServerStatus::ready, kStarted)});
    EXPECT_NE(changes.reported.back().listings.at(0).started_at, start);
}

// Guards against dropping a whole list because one of its entries can't be used.
TEST_F(MembershipTest, UnusableEntryIsSkipped) {
    platform::ServerEntry unresolved = entry("a"), unknown_kind = entry("b");
    unresolved.address = "example.org:80";
    unknown_kind.kind = "painter";
    apply_change({unresolved, unknown_kind, entry("c")});
    EXPECT_FALSE(membership.has("a"));
    EXPECT_FALSE(membership.has("b"));
    EXPECT_TRUE(membership.has("c"));
}

}  // namespace
}  // namespace copperfront
