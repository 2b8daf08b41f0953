// Many gateways that share nothing, and one server that restarts cold: what all of them together send it.
#include <cmath>
#include <cstdio>
#include <deque>
#include <queue>

#include "fake_router_host.h"

using namespace copperfront;

namespace {

constexpr ServerIndex kColdServer = 0, kServers = 20;  // ten prefill servers, then ten decode servers
constexpr double kRequestsPerServerS = 12;             // requests a second that a warm prefill server carries

class Fleet {
  public:
    // `has_hot_prefix`: every other request begins with one shared prefix, whose preferred server is the cold
    // one.
    Fleet(std::size_t gateways, std::uint32_t seed, bool has_hot_prefix)
        : random_(seed), has_hot_prefix_(has_hot_prefix), gateways_(gateways) {
        for (ServerIndex s = 0; s < kServers; ++s) {
            ServerListing l;
            l.server = s;
            l.kind = s < kServers / 2 ? 0 : 1;
            l.name_hash = mix_bits(s + 1);
            list_.push_back(l);
        }
        for (std::size_t g = 0; g < gateways; ++g) start(g);
    }

    // Lets the fleet settle. Then the server restarts, with a share of the gateways, and twice the traffic
    // comes for a while.
    void run_restart(double restarted) {
        run(ms(12000), 1.0);
        list_[kColdServer].started_at = now_;
        for (std::size_t g = 0; g < gateways_.size(); ++g) {
            if (static_cast<double>(g) < restarted * static_cast<double>(gateways_.size()))
                start(g);
            else
                gateways_[g].router->list_arrived(std::vector<ServerListing>{list_[kColdServer]}, false);
        }
        restarted_at_ = now_;
        run(ms(4000), 1.0);
        run(ms(3000), 2.0);
        run(ms(6000), 1.0);
    }

    // The most attempts that reached the cold server in any window of the terms' length.
    std::size_t max_in_a_window() const {
        std::size_t max_count = 0;
        std::deque<Instant> window;
        for (const Instant at : cold_sent_at_) {
            if (at < restarted_at_ || at > restarted_at_ + terms_.warm_up_time) continue;
            window.push_back(at);
            while (at - window.front() > terms_.overload_window) window.pop_front();
            max_count = std::max(max_count, window.size());
        }
        return max_count;
    }
    double allowed() const {
        const double n = kRequestsPerServerS * terms_.start_capacity * terms_.overload_multiple *
                         terms_.overload_window.ms() / 1000;
        return n + 2 * std::sqrt(n) + 2;
    }
    std::size_t sent_to_cold_server() const { return cold_sent_at_.size(); }

  private:
    struct Gateway {
        std::unique_ptr<FakeHost> host;
        std::unique_ptr<Router> router;
        RequestIndex next = 0;
        std::size_t attempts_processed = 0;
        std::uint32_t incarnation = 0;
    };
    struct PendingEnd {
        Instant at;
        std::size_t gateway;
        std::uint32_t incarnation;
        RequestIndex request;
        ServerIndex server;
        bool operator>(const PendingEnd& other) const { return at > other.at; }
    };

    // A shared prefix with the cold server as its preferred server, by the router's rendezvous hashing.
    static std::uint64_t prefix_preferring_cold_server() {
        for (std::uint64_t prefix = 1;; ++prefix) {
            ServerIndex preferred = 0;
            for (ServerIndex s = 1; s < kServers / 2; ++s)
                if (mix_bits(prefix ^ mix_bits(mix_bits(s + 1))) <
                    mix_bits(prefix ^ mix_bits(mix_bits(preferred + 1))))
                    preferred = s;
            if (preferred == kColdServer) return prefix;
        }
    }

    void start(std::size_t g) {
        Gateway& gateway = gateways_[g];
        ++gateway.incarnation;
        gateway.host = std::make_unique<FakeHost>();
        gateway.host->clock = now_;
        terms_ = RouterFixture().terms;
        terms_.gateways = static_cast<int>(gateways_.size());
        gateway.router =
            std::make_unique<Router>(terms_, *gateway.host, static_cast<std::uint32_t>(random_()));
        gateway.router->list_arrived(list_, true);
        gateway.next = 0;
        gateway.attempts_processed = 0;
    }

    void process_attempts(std::size_t g) {
        Gateway& gateway = gateways_[g];
        for (; gateway.attempts_processed < gateway.host->attempts.size(); ++gateway.attempts_processed) {
            const StartedAttempt& attempt = gateway.host->attempts[gateway.attempts_processed];
            if (attempt.server == kColdServer) cold_sent_at_.push_back(now_);
            pending_ends_.push({now_ + ms(attempt.server < kServers / 2 ? 60 : 200), g, gateway.incarnation,
                                attempt.request, attempt.server});
        }
    }

    void run(Duration duration, double load_factor) {
        const Instant until = now_ + duration;
        const Duration tick = ms(5);
        const double rate = kRequestsPerServerS * (kServers / 2) * load_factor * tick.ms() / 1000;
        while (now_ < until) {
            now_ = now_ + tick;
            while (!pending_ends_.empty() && pending_ends_.top().at <= now_) {
                const PendingEnd end = pending_ends_.top();
                pending_ends_.pop();
                Gateway& gateway = gateways_[end.gateway];
                if (gateway.incarnation != end.incarnation) continue;
                gateway.host->clock = now_;
                AttemptOutcome o;
                o.duration = ms(end.server < kServers / 2 ? 60 : 200);
                o.ending = end.server < kServers / 2 ? Ending::prefilled : Ending::completed;
                if (o.ending == Ending::completed) gateway.router->stream_began(end.request, ms(20));
                o.request_answered = o.ending == Ending::completed;
                gateway.router->attempt_ended(end.request, end.server, o);
                process_attempts(end.gateway);
            }
            for (int n = std::poisson_distribution<int>(rate)(random_); n > 0; --n) {
                const std::size_t g =
                    std::uniform_int_distribution<std::size_t>(0, gateways_.size() - 1)(random_);
                Gateway& gateway = gateways_[g];
                gateway.host->clock = now_;
                RequestInfo a;
                a.prompt_tokens = 1000;
                a.session = random_();
                if (has_hot_prefix_ && random_() % 2 == 0) {
                    a.shared_prefix = prefix_preferring_cold_server();
                    a.shared_prefix_tokens = 800;
                }
                a.max_output_tokens = 200;
                a.time_budget = ms(5000);
                gateway.router->request_arrived(gateway.next++, a);
                process_attempts(g);
            }
            for (std::size_t g = 0; g < gateways_.size(); ++g) {
                Gateway& gateway = gateways_[g];
                gateway.host->clock = now_;
                while (!gateway.host->timers.empty() && gateway.host->timers.begin()->first <= now_) {
                    const TimerKey key = gateway.host->timers.begin()->second;
                    gateway.host->timers.erase(gateway.host->timers.begin());
                    gateway.router->timer_fired(key);
                }
                process_attempts(g);
            }
        }
    }

    std::minstd_rand random_;
    const bool has_hot_prefix_;
    Terms terms_;
    Instant now_{1'000'000'000}, restarted_at_;
    std::vector<Gateway> gateways_;
    std::vector<ServerListing> list_;
    std::priority_queue<PendingEnd, std::vector<PendingEnd>, std::greater<>> pending_ends_;
    std::vector<Instant> cold_sent_at_;
};

}  // namespace

int main() {
    setvbuf(stdout, nullptr, _IOLBF, 0);
    bool is_within_budget = true;
    for (const std::size_t gateways : {1U, 3U, 20U, 30U, 300U})
        for (const double restarted : {0.0, 0.7, 1.0})
            for (const std::uint32_t seed : {1U, 2U, 3U, 4U}) {
                Fleet fleet(gateways, seed, seed > 2);
                fleet.run_restart(restarted);
                const std::size_t max_count = fleet.max_in_a_window();
                std::printf(
                    "%zu gateways, %.1f of them new, seed %u: %zu in a window, %.1f allowed, %zu in all\n",
                    gateways, restarted, seed, max_count, fleet.allowed(), fleet.sent_to_cold_server());
                is_within_budget &= static_cast<double>(max_count) <= fleet.allowed();
            }
    assert(is_within_budget);
}
