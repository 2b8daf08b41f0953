// Answers two questions of docs/limits.md on simulated fleets, each with its alternatives in the same run: an
// adaptive limit or a fixed one, and an even division of a fleet's limit or one that is corrected by each
// gateway's own share. Prints Markdown tables.
#include <cstdio>

#include "limits/fleet_share.h"
#include "slot_fleet.h"

using namespace copperfront;

namespace {

// ---- adaptive and fixed limits

void adaptive_or_fixed() {
    std::printf(
        "| load | limit | settled a second | of them with a first token within 250 ms | mean | p99 |\n"
        "| --- | --- | --- | --- | --- | --- |\n");
    struct Setting {
        const char* name;
        double fixed;
        bool adaptive;
    };
    for (const double load : {0.5, 0.9, 1.2, 2.0, 3.0})
        for (const Setting& setting : {Setting{"none", kNoLimit, false},
                                       {"fixed at 20", 20, false},
                                       {"fixed at 40", 40, false},
                                       {"fixed at 80", 80, false},
                                       {"fixed at 160", 160, false},
                                       {"adapts", kNoLimit, true}}) {
            RouteLimits l;
            l.in_flight = setting.fixed;
            l.adaptive = setting.adaptive;
            simulated_fleet::Load fleet_load;
            fleet_load.load_factor = load;
            fleet_load.client_timeout = {2000000};
            const auto result = simulated_fleet::simulate(l, fleet_load);
            std::printf("| %.1f | %s | %.0f | %.0f | %.0f ms | %.0f ms |\n", load, setting.name,
                        result.completed_per_s, result.good, result.mean_first_token_ms,
                        result.p99_first_token_ms);
        }
}

// ---- division of a fleet's limit

struct Fleet {
    int gateways;
    double load;        // offered to all gateways, relative to the stated limit
    double hot;         // share of it that arrives at one gateway
    bool hot_moves;     // to another gateway, half-way through
    double overstated;  // reported load relative to the true load
    double others;      // load of other routes, spread evenly, relative to the stated limit
};

// Result of a simulated division of the limit.
struct DivisionResult {
    double completed_share = 0;  // completed requests relative to those that the limit allows
    // Admitted in the worst second after the first five, relative to the stated limit.
    double worst_second = 0;
};

DivisionResult simulate_division(const Fleet& f, bool corrected) {
    constexpr double kStated = 400;
    constexpr int kEngines = 20, kSeconds = 60;
    const auto n = static_cast<std::size_t>(f.gateways);
    std::minstd_rand chance(11);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto poisson = [&](double mean) { return std::poisson_distribution<int>(mean)(chance); };
    RouteLimits l;
    l.rate = kStated;
    std::vector<Admission> gateways;
    std::vector<FleetShare> shares(n, FleetShare(f.gateways));
    for (std::size_t g = 0; g < n; ++g) {
        gateways.emplace_back(f.gateways, simulated_fleet::kStart);
        gateways[g].change({{l}}, f.gateways, simulated_fleet::kStart);
    }
    std::vector<std::vector<double>> in_hand(n, std::vector<double>(kEngines));
    std::deque<std::tuple<int, std::size_t, std::size_t>> ends;  // tick, gateway, server
    double admitted = 0, offered = 0, this_second = 0;
    DivisionResult result;
    for (int tick = 0; tick < kSeconds * 100; ++tick) {
        const Instant now = simulated_fleet::kStart + Duration{tick * 10000};
        while (!ends.empty() && std::get<0>(ends.front()) <= tick) {
            in_hand[std::get<1>(ends.front())][std::get<2>(ends.front())] -= 1;
            ends.pop_front();
        }
        const std::size_t hot_gateway = f.hot_moves && tick >= kSeconds * 50 ? 1 : 0;
        double wanted = 0;
        for (std::size_t g = 0; g < n; ++g) {
            const double share = g == hot_gateway ? f.hot : (1 - f.hot) / (f.gateways - 1);
            const int arrived = poisson(share * f.load * kStated / 100);
            const int other = poisson(f.others * kStated / 100 / f.gateways);
            wanted += arrived;
            for (int q = 0; q < arrived + other; ++q) {
                if (q < arrived) {
                    if (gateways[g].request_arrived(0, 1, false, now).why != RejectReason::none) continue;
                    gateways[g].request_ended(0, 1, true, now);
                    this_second += 1;
                    if (tick >= 500) admitted += 1;
                }
                const std::size_t e = chance() % kEngines;
                in_hand[g][e] += 1;
                ends.emplace_back(tick + 100, g, e);  // each lasts one second
            }
        }
        if (tick >= 500) offered += wanted;
        if (tick % 100 == 99) {
            if (tick >= 600) result.worst_second = std::max(result.worst_second, this_second / kStated);
            this_second = 0;
        }
        if (!corrected || tick % 10 != 0) continue;
        // One server reports to each gateway, with an error of up to a tenth in either direction.
        for (std::size_t g = 0; g < n; ++g) {
            const std::size_t e = chance() % kEngines;
            double all = 0;
            for (std::size_t o = 0; o < n; ++o) all += in_hand[o][e];
            shares[g].report(in_hand[g][e], all * f.overstated * (0.9 + 0.2 * uniform(chance)), now);
            gateways[g].set_share(shares[g].value(now));
        }
    }
    result.completed_share = admitted / std::min(offered, kStated * (kSeconds - 5));
    return result;
}

void even_or_corrected() {
    std::printf(
        "\n| gateways | load of the limit | at one gateway | besides | even: settled | worst second | "
        "corrected: settled | worst second |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    struct Row {
        Fleet fleet;
        const char* besides;
    };
    for (const Row& row : {Row{{4, 0.8, 0.25, false, 1, 0}, ""},
                           {{4, 0.8, 0.5, false, 1, 0}, ""},
                           {{20, 0.8, 0.05, false, 1, 0}, ""},
                           {{20, 0.8, 0.3, false, 1, 0}, ""},
                           {{4, 2.0, 0.5, false, 1, 0}, ""},
                           {{20, 2.0, 0.3, false, 1, 0}, ""},
                           {{4, 0.8, 0.5, true, 1, 0}, "moves half-way"},
                           {{20, 0.8, 0.3, true, 1, 0}, "moves half-way"},
                           {{4, 0.8, 0.5, false, 1, 2}, "twice as much of other routes, even"},
                           {{20, 0.8, 0.3, false, 1, 2}, "twice as much of other routes, even"},
                           {{4, 0.8, 0.5, false, 1.3, 0}, "reports say 1.3 of the truth"},
                           {{4, 2.0, 0.5, false, 0.7, 0}, "reports say 0.7 of the truth"}}) {
        const DivisionResult even = simulate_division(row.fleet, false),
                             corrected = simulate_division(row.fleet, true);
        std::printf("| %d | %.1f | %.0f%% | %s | %.3f | %.2f | %.3f | %.2f |\n", row.fleet.gateways,
                    row.fleet.load, row.fleet.hot * 100, row.besides, even.completed_share, even.worst_second,
                    corrected.completed_share, corrected.worst_second);
    }
}

}  // namespace

int main() {
    adaptive_or_fixed();
    even_or_corrected();
}
