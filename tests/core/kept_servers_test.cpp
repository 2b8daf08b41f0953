// What the rules keep of servers from event to event leads to the choices of a scan of all servers at each.
#include <gtest/gtest.h>

#include <random>

#include "fake_host.h"

namespace copperfront {
namespace {

constexpr int kCases = 10000, kEventsOfCase = 60;

// One random fleet with random events, played twice: by rules that keep what they know of servers, and by
// rules that work it out anew before each event.
class TwoRules {
  public:
    explicit TwoRules(std::uint32_t seed) : chance_(seed) {
        Terms terms = Story().terms;
        terms.quantum = ms(1);
        terms.reports_memory = draw(0, 3) == 0;
        terms.reports_unread = draw(0, 3) == 0;
        terms.writers_read = draw(0, 3) == 0;
        terms.categories[0].effect = static_cast<Effect>(draw(0, 2));
        terms.categories[0].group = static_cast<Group>(draw(0, 2));
        terms.categories.push_back(Story().terms.categories[0]);
        const int servers = draw(2, 24);
        const int most_kind = draw(0, 2) == 0 ? 2 : 1;
        for (int s = 0; s < servers; ++s) {
            const auto zone = static_cast<std::uint16_t>(draw(0, 1));
            list_.push_back({static_cast<ServerIndex>(s), static_cast<std::uint16_t>(draw(0, most_kind)),
                             zone, static_cast<std::uint32_t>(zone * 3 + draw(0, 2)), born(), standing(),
                             static_cast<std::uint64_t>(draw(1, 1 << 30))});
        }
        for (auto& rules : rules_) {
            rules.host.clock = Instant{1'000'000'000};
            rules.rules = std::make_unique<Rules>(terms, rules.host, seed);
            rules.rules->list_arrived(list_, true);
        }
    }

    void play_event() {
        Side& kept = rules_[0];
        const Span step = ms(draw(0, 3) == 0 ? draw(0, 900) : draw(0, 20));
        for (Side& side : rules_) side.pass(step, &side == &rules_[1]);
        const int what = draw(0, 9);
        if (what < 4) return arrive();
        if (what == 4) return change_list();
        if (what == 5) return report();
        if (kept.host.attempts.empty()) return;
        end_attempt(static_cast<std::size_t>(draw(0, static_cast<int>(kept.host.attempts.size()) - 1)));
    }

    // What both have done so far.
    bool agree() const {
        const FakeHost &a = rules_[0].host, &b = rules_[1].host;
        const auto same = [](const StartedAttempt& x, const StartedAttempt& y) {
            return x.query == y.query && x.server == y.server && x.limit == y.limit &&
                   x.write_within == y.write_within;
        };
        return std::equal(a.attempts.begin(), a.attempts.end(), b.attempts.begin(), b.attempts.end(), same) &&
               a.declined == b.declined && a.given_up == b.given_up && a.released == b.released &&
               a.retracted == b.retracted;
    }
    std::string text() const {
        std::string text;
        for (const Side& side : rules_) {
            text += "\n  clock " + std::to_string(side.host.clock.us) + " launches";
            for (const StartedAttempt& l : side.host.attempts)
                text += " " + std::to_string(l.query) + ">" + std::to_string(l.server);
            text += "; declined " + std::to_string(side.host.declined.size()) + ", given up " +
                    std::to_string(side.host.given_up.size()) + ", released " +
                    std::to_string(side.host.released.size()) + ", called off " +
                    std::to_string(side.host.retracted.size());
        }
        return text;
    }
    std::size_t attempts() const { return rules_[0].host.attempts.size(); }

  private:
    struct Side {
        FakeHost host;
        std::unique_ptr<Rules> rules;
        void pass(Span step, bool anew) {
            const Instant until = host.clock + step;
            while (!host.timers.empty() && host.timers.begin()->first <= until) {
                const auto [at, key] = *host.timers.begin();
                host.timers.erase(host.timers.begin());
                host.clock = std::max(host.clock, at);
                if (anew) rules->drop_kept();
                rules->timer_rang(key);
            }
            host.clock = until;
            if (anew) rules->drop_kept();
        }
    };

    int draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(chance_); }
    Instant born() { return draw(0, 2) == 0 ? Instant{1'000'000'000 - draw(0, 12000) * 1000} : Instant{}; }
    Standing standing() { return draw(0, 5) == 0 ? Standing::draining : Standing::ready; }

    void arrive() {
        Arrival a;
        a.category = static_cast<std::uint16_t>(draw(0, 1));
        a.prompt_tokens = draw(1, 4000);
        a.session = static_cast<std::uint64_t>(draw(0, 5));
        a.beginning = static_cast<std::uint64_t>(draw(0, 3));
        a.beginning_tokens = a.beginning != 0 ? a.prompt_tokens / 2 : 0;
        a.most_tokens = 200;
        a.budget = ms(draw(100, 4000));
        for (Side& side : rules_) side.rules->query_arrived(next_, a);
        ++next_;
    }
    void change_list() {
        Listing& changed = list_[static_cast<std::size_t>(draw(0, static_cast<int>(list_.size()) - 1))];
        changed.standing = static_cast<Standing>(draw(0, 2));
        if (draw(0, 1) == 0) changed.born = rules_[0].host.clock;
        for (Side& side : rules_) side.rules->list_arrived(std::vector<Listing>{changed}, false);
    }
    void report() {
        const auto server = static_cast<ServerIndex>(draw(0, static_cast<int>(list_.size()) - 1));
        const LoadReport load{draw(0, 100) / 100.0, static_cast<double>(draw(0, 9))};
        for (Side& side : rules_) side.rules->probe_answered(server, true, load);
    }
    // Each attempt once.
    void end_attempt(std::size_t n) {
        const StartedAttempt attempt = rules_[0].host.attempts[n];
        if (!over_.insert({n, true}).second) return;
        Outcome outcome;
        const Role role = Story().terms.kinds[list_[attempt.server].kind].role;
        const bool well = draw(0, 2) != 0;
        outcome.ending =
            well ? (role == Role::reader ? Ending::read : Ending::settled) : static_cast<Ending>(draw(1, 6));
        outcome.over = outcome.ending == Ending::settled;
        outcome.took = ms(draw(1, 400));
        outcome.kept_tokens = draw(0, 100);
        outcome.no_state = outcome.ending == Ending::full && draw(0, 1) == 0;
        for (Side& side : rules_) {
            if (outcome.ending == Ending::settled) side.rules->stream_began(attempt.query, outcome.took);
            side.rules->attempt_ended(attempt.query, attempt.server, outcome);
        }
    }

    std::mt19937 chance_;
    std::array<Side, 2> rules_;
    std::vector<Listing> list_;
    std::map<std::size_t, bool> over_;
    QueryIndex next_ = 0;
};

TEST(KeptServers, LeadToTheChoicesOfAScanOfAllServers) {
    std::size_t attempts = 0;
    for (std::uint32_t seed = 1; seed <= kCases; ++seed) {
        TwoRules both(seed);
        for (int event = 0; event < kEventsOfCase; ++event) {
            both.play_event();
            ASSERT_TRUE(both.agree()) << "seed " << seed << ", event " << event << both.text();
        }
        attempts += both.attempts();
    }
    EXPECT_GT(attempts, std::size_t{kCases}) << "choices that were compared";
}

}  // namespace
}  // namespace copperfront
