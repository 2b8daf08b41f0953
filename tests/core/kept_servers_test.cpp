// The router's cached subsets of servers lead to the same choices as a scan of all servers at each event.
#include <gtest/gtest.h>

#include <random>

#include "fake_router_host.h"

namespace copperfront {
namespace {

constexpr int kCases = 10000, kEventsOfCase = 60;

// One random fleet with random events, run twice: by a router that caches subsets of servers, and by one that
// rebuilds them before each event.
class TwoRouters {
  public:
    explicit TwoRouters(std::uint32_t seed) : random_(seed) {
        Terms terms = RouterFixture().terms;
        terms.quantum = ms(1);
        terms.reports_memory_share = draw(0, 3) == 0;
        terms.reports_queued_tokens = draw(0, 3) == 0;
        terms.decode_servers_prefill = draw(0, 3) == 0;
        terms.categories[0].effect = static_cast<Effect>(draw(0, 2));
        terms.categories[0].group = static_cast<DedupScope>(draw(0, 2));
        terms.categories.push_back(RouterFixture().terms.categories[0]);
        const int servers = draw(2, 24);
        const int max_kind = draw(0, 2) == 0 ? 2 : 1;
        for (int s = 0; s < servers; ++s) {
            const auto zone = static_cast<std::uint16_t>(draw(0, 1));
            list_.push_back({static_cast<ServerIndex>(s), static_cast<std::uint16_t>(draw(0, max_kind)), zone,
                             static_cast<std::uint32_t>(zone * 3 + draw(0, 2)), started_at(), status(),
                             static_cast<std::uint64_t>(draw(1, 1 << 30))});
        }
        for (auto& side : sides_) {
            side.host.clock = Instant{1'000'000'000};
            side.router = std::make_unique<Router>(terms, side.host, seed);
            side.router->list_arrived(list_, true);
        }
    }

    void run_event() {
        Side& cached = sides_[0];
        const Duration step = ms(draw(0, 3) == 0 ? draw(0, 900) : draw(0, 20));
        for (Side& side : sides_) side.advance(step, &side == &sides_[1]);
        const int event = draw(0, 9);
        if (event < 4) return arrive();
        if (event == 4) return change_list();
        if (event == 5) return report();
        if (cached.host.attempts.empty()) return;
        end_attempt(static_cast<std::size_t>(draw(0, static_cast<int>(cached.host.attempts.size()) - 1)));
    }

    // Whether both have done the same so far.
    bool agree() const {
        const FakeHost &a = sides_[0].host, &b = sides_[1].host;
        const auto same = [](const StartedAttempt& x, const StartedAttempt& y) {
            return x.request == y.request && x.server == y.server && x.limit == y.limit &&
                   x.write_within == y.write_within;
        };
        return std::equal(a.attempts.begin(), a.attempts.end(), b.attempts.begin(), b.attempts.end(), same) &&
               a.rejected == b.rejected && a.abandoned == b.abandoned && a.released == b.released &&
               a.cancelled == b.cancelled;
    }
    std::string text() const {
        std::string text;
        for (const Side& side : sides_) {
            text += "\n  clock " + std::to_string(side.host.clock.us) + " attempts";
            for (const StartedAttempt& attempt : side.host.attempts)
                text += " " + std::to_string(attempt.request) + ">" + std::to_string(attempt.server);
            text += "; rejected " + std::to_string(side.host.rejected.size()) + ", abandoned " +
                    std::to_string(side.host.abandoned.size()) + ", released " +
                    std::to_string(side.host.released.size()) + ", cancelled " +
                    std::to_string(side.host.cancelled.size());
        }
        return text;
    }
    std::size_t attempts() const { return sides_[0].host.attempts.size(); }

  private:
    struct Side {
        FakeHost host;
        std::unique_ptr<Router> router;
        void advance(Duration step, bool rebuilds) {
            const Instant until = host.clock + step;
            while (!host.timers.empty() && host.timers.begin()->first <= until) {
                const auto [at, key] = *host.timers.begin();
                host.timers.erase(host.timers.begin());
                host.clock = std::max(host.clock, at);
                if (rebuilds) router->invalidate_server_subsets();
                router->timer_fired(key);
            }
            host.clock = until;
            if (rebuilds) router->invalidate_server_subsets();
        }
    };

    int draw(int min, int max) { return std::uniform_int_distribution<int>(min, max)(random_); }
    Instant started_at() {
        return draw(0, 2) == 0 ? Instant{1'000'000'000 - draw(0, 12000) * 1000} : Instant{};
    }
    ServerStatus status() { return draw(0, 5) == 0 ? ServerStatus::draining : ServerStatus::ready; }

    void arrive() {
        RequestInfo a;
        a.category = static_cast<std::uint16_t>(draw(0, 1));
        a.prompt_tokens = draw(1, 4000);
        a.session = static_cast<std::uint64_t>(draw(0, 5));
        a.shared_prefix = static_cast<std::uint64_t>(draw(0, 3));
        a.shared_prefix_tokens = a.shared_prefix != 0 ? a.prompt_tokens / 2 : 0;
        a.max_output_tokens = 200;
        a.time_budget = ms(draw(100, 4000));
        for (Side& side : sides_) side.router->request_arrived(next_, a);
        ++next_;
    }
    void change_list() {
        ServerListing& changed = list_[static_cast<std::size_t>(draw(0, static_cast<int>(list_.size()) - 1))];
        changed.status = static_cast<ServerStatus>(draw(0, 2));
        if (draw(0, 1) == 0) changed.started_at = sides_[0].host.clock;
        for (Side& side : sides_) side.router->list_arrived(std::vector<ServerListing>{changed}, false);
    }
    void report() {
        const auto server = static_cast<ServerIndex>(draw(0, static_cast<int>(list_.size()) - 1));
        const LoadReport load{draw(0, 100) / 100.0, static_cast<double>(draw(0, 9))};
        for (Side& side : sides_) side.router->probe_answered(server, true, load);
    }
    // Ends each attempt only once.
    void end_attempt(std::size_t n) {
        const StartedAttempt attempt = sides_[0].host.attempts[n];
        if (!ended_.insert({n, true}).second) return;
        AttemptOutcome outcome;
        const Role role = RouterFixture().terms.kinds[list_[attempt.server].kind].role;
        const bool succeeds = draw(0, 2) != 0;
        outcome.ending = succeeds ? (role == Role::prefill ? Ending::prefilled : Ending::completed)
                                  : static_cast<Ending>(draw(1, 6));
        outcome.request_answered = outcome.ending == Ending::completed;
        outcome.duration = ms(draw(1, 400));
        outcome.cached_tokens = draw(0, 100);
        outcome.state_missing = outcome.ending == Ending::refused && draw(0, 1) == 0;
        for (Side& side : sides_) {
            if (outcome.ending == Ending::completed)
                side.router->stream_began(attempt.request, outcome.duration);
            side.router->attempt_ended(attempt.request, attempt.server, outcome);
        }
    }

    std::mt19937 random_;
    std::array<Side, 2> sides_;
    std::vector<ServerListing> list_;
    std::map<std::size_t, bool> ended_;
    RequestIndex next_ = 0;
};

TEST(CachedServerSubsets, LeadToTheChoicesOfAScanOfAllServers) {
    std::size_t attempts = 0;
    for (std::uint32_t seed = 1; seed <= kCases; ++seed) {
        TwoRouters routers(seed);
        for (int event = 0; event < kEventsOfCase; ++event) {
            routers.run_event();
            ASSERT_TRUE(routers.agree()) << "seed " << seed << ", event " << event << routers.text();
        }
        attempts += routers.attempts();
    }
    EXPECT_GT(attempts, std::size_t{kCases}) << "choices that were compared";
}

}  // namespace
}  // namespace copperfront
