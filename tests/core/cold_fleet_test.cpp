// Many gateways that share nothing, and one server that comes back cold: what all of them send it together.
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>

#include "fake_host.h"

using namespace copperfront;

namespace {

constexpr ServerIndex kCold = 0, kServers = 20;  // ten readers, then ten writers
constexpr double kPerServer = 12;                // queries a second that a warm reader carries

class Fleet {
  public:
    // `hot`: every other query begins with one text, whose home is the cold server.
    Fleet(std::size_t gateways, std::uint32_t seed, bool hot) : chance_(seed), hot_(hot), gates_(gateways) {
        for (ServerIndex s = 0; s < kServers; ++s) {
            Listing l;
            l.server = s;
            l.kind = s < kServers / 2 ? 0 : 1;
            l.mark = mixed(s + 1);
            list_.push_back(l);
        }
        for (std::size_t g = 0; g < gateways; ++g) start(g);
    }

    // A fleet that has settled; then the server starts anew, a part of the gateways with it, and twice the
    // traffic comes for a while.
    void play(double restarted) {
        run(ms(12000), 1.0);
        list_[kCold].born = now_;
        for (std::size_t g = 0; g < gates_.size(); ++g) {
            if (static_cast<double>(g) < restarted * static_cast<double>(gates_.size()))
                start(g);
            else
                gates_[g].rules->list_arrived(std::vector<Listing>{list_[kCold]}, false);
        }
        began_ = now_;
        run(ms(4000), 1.0);
        run(ms(3000), 2.0);
        run(ms(6000), 1.0);
    }

    // The most that came to the cold server in any window of the terms.
    std::size_t most_in_a_window() const {
        std::size_t most = 0;
        std::deque<Instant> window;
        for (const Instant at : sent_cold_) {
            if (at < began_ || at > began_ + terms_.warm_within) continue;
            window.push_back(at);
            while (at - window.front() > terms_.fall) window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }
    double allowed() const {
        const double n = kPerServer * terms_.start_capacity * terms_.tip_multiple * terms_.fall.ms() / 1000;
        return n + 2 * std::sqrt(n) + 2;
    }
    std::size_t sent() const { return sent_cold_.size(); }

  private:
    struct Gate {
        std::unique_ptr<FakeHost> host;
        std::unique_ptr<Rules> rules;
        QueryIndex next = 0;
        std::size_t seen = 0;  // attempts that have been taken up
        std::uint32_t life = 0;
    };
    struct Due {
        Instant at;
        std::size_t gate;
        std::uint32_t life;
        QueryIndex query;
        ServerIndex server;
        bool operator>(const Due& other) const { return at > other.at; }
    };

    // A text whose smallest lot is the cold server's, as the rules draw it.
    static std::uint64_t home_text() {
        for (std::uint64_t text = 1;; ++text) {
            ServerIndex home = 0;
            for (ServerIndex s = 1; s < kServers / 2; ++s)
                if (mixed(text ^ mixed(mixed(s + 1))) < mixed(text ^ mixed(mixed(home + 1)))) home = s;
            if (home == kCold) return text;
        }
    }

    void start(std::size_t g) {
        Gate& gate = gates_[g];
        ++gate.life;
        gate.host = std::make_unique<FakeHost>();
        gate.host->clock = now_;
        terms_ = Story().terms;
        terms_.gateways = static_cast<int>(gates_.size());
        gate.rules = std::make_unique<Rules>(terms_, *gate.host, static_cast<std::uint32_t>(chance_()));
        gate.rules->list_arrived(list_, true);
        gate.next = 0;
        gate.seen = 0;
    }

    void take_up(std::size_t g) {
        Gate& gate = gates_[g];
        for (; gate.seen < gate.host->attempts.size(); ++gate.seen) {
            const StartedAttempt& l = gate.host->attempts[gate.seen];
            if (l.server == kCold) sent_cold_.push_back(now_);
            due_.push({now_ + ms(l.server < kServers / 2 ? 60 : 200), g, gate.life, l.query, l.server});
        }
    }

    void run(Span span, double load) {
        const Instant until = now_ + span;
        const Span tick = ms(5);
        const double rate = kPerServer * (kServers / 2) * load * tick.ms() / 1000;
        while (now_ < until) {
            now_ = now_ + tick;
            while (!due_.empty() && due_.top().at <= now_) {
                const Due d = due_.top();
                due_.pop();
                Gate& gate = gates_[d.gate];
                if (gate.life != d.life) continue;
                gate.host->clock = now_;
                Outcome o;
                o.took = ms(d.server < kServers / 2 ? 60 : 200);
                o.ending = d.server < kServers / 2 ? Ending::read : Ending::settled;
                if (o.ending == Ending::settled) gate.rules->stream_began(d.query, ms(20));
                o.over = o.ending == Ending::settled;
                gate.rules->attempt_ended(d.query, d.server, o);
                take_up(d.gate);
            }
            for (int n = std::poisson_distribution<int>(rate)(chance_); n > 0; --n) {
                const std::size_t g =
                    std::uniform_int_distribution<std::size_t>(0, gates_.size() - 1)(chance_);
                Gate& gate = gates_[g];
                gate.host->clock = now_;
                Arrival a;
                a.prompt_tokens = 1000;
                a.session = chance_();
                if (hot_ && chance_() % 2 == 0) {
                    a.beginning = home_text();
                    a.beginning_tokens = 800;
                }
                a.most_tokens = 200;
                a.budget = ms(5000);
                gate.rules->query_arrived(gate.next++, a);
                take_up(g);
            }
            for (std::size_t g = 0; g < gates_.size(); ++g) {
                Gate& gate = gates_[g];
                gate.host->clock = now_;
                while (!gate.host->timers.empty() && gate.host->timers.begin()->first <= now_) {
                    const TimerKey key = gate.host->timers.begin()->second;
                    gate.host->timers.erase(gate.host->timers.begin());
                    gate.rules->timer_rang(key);
                }
                take_up(g);
            }
        }
    }

    std::minstd_rand chance_;
    const bool hot_;
    Terms terms_;
    Instant now_{1'000'000'000}, began_;
    std::vector<Gate> gates_;
    std::vector<Listing> list_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::vector<Instant> sent_cold_;
};

}  // namespace

int main() {
    setvbuf(stdout, nullptr, _IOLBF, 0);
    bool well = true;
    for (const std::size_t gateways : {1U, 3U, 20U, 30U, 300U})
        for (const double restarted : {0.0, 0.7, 1.0})
            for (const std::uint32_t seed : {1U, 2U, 3U, 4U}) {
                Fleet fleet(gateways, seed, seed > 2);
                fleet.play(restarted);
                const std::size_t most = fleet.most_in_a_window();
                std::printf(
                    "%zu gateways, %.1f of them new, seed %u: %zu in a window, %.1f allowed, %zu in all\n",
                    gateways, restarted, seed, most, fleet.allowed(), fleet.sent());
                well &= static_cast<double>(most) <= fleet.allowed();
            }
    assert(well);
}
