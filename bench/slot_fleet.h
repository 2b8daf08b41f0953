// A simulated fleet of slots behind one route's limits, to evaluate limits without sockets. Each request
// occupies a slot for 80 to 120 ms. A request that finds none waits in the queue until its client's time-out.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include "limits/admission.h"

namespace copperfront::simulated_fleet {

constexpr int kSlots = 40;  // of 100 ms: 400 requests a second
constexpr Instant kStart{1'000'000'000'000};

struct Load {
    double load_factor = 1;
    double slow_from_s = 1e9, slow_until_s = 0;  // service is four times as slow between them
    Duration client_timeout{INT64_MAX / 4};      // in the queue
    Duration goal{250000};                       // first tokens within this count as good
};

struct Result {
    double mean_limit = 0;  // mean
    double mean_first_token_ms = 0,
           p99_first_token_ms = 0;         // times to the first token, at which a request ends
    double arrived_per_s = 0;              // requests a second
    double completed_per_s = 0, good = 0;  // requests a second
};

// Simulates twenty seconds, and measures the last ten.
inline Result simulate(const RouteLimits& limits, const Load& load) {
    Admission admission(1, kStart);
    admission.change({{limits}}, 1, kStart);
    std::minstd_rand chance(9);
    std::deque<Instant> queue;                      // arrival times
    std::vector<std::pair<Instant, Instant>> busy;  // end of service and arrival time of each
    std::vector<double> first_token_ms;
    Result result;
    for (int t = 0; t < 20000; ++t) {
        const Instant now = kStart + Duration{t * 1000};
        const double s = t / 1000.0, slow = s >= load.slow_from_s && s < load.slow_until_s ? 4 : 1;
        for (std::size_t i = 0; i < busy.size();) {
            if (busy[i].first > now) {
                ++i;
                continue;
            }
            const Duration first = now - busy[i].second;
            admission.stream_began(0, first, now);
            admission.request_ended(0, 1, true, now);
            if (t >= 10000) {
                first_token_ms.push_back(first.ms());
                result.good += first <= load.goal;
            }
            busy.erase(busy.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!queue.empty() && now - queue.front() > load.client_timeout) {
            admission.request_ended(0, 1, false, now);
            queue.pop_front();
        }
        const int arrived = std::poisson_distribution<int>(load.load_factor * kSlots / 100.0)(chance);
        if (t >= 10000) result.arrived_per_s += arrived / 10.0;
        for (int n = 0; n < arrived; ++n)
            if (admission.request_arrived(0, 1, false, now).why == RejectReason::none) queue.push_back(now);
        while (!queue.empty() && busy.size() < kSlots) {
            const double service_ms =
                100 * slow * (0.8 + 0.4 * std::uniform_real_distribution<double>(0, 1)(chance));
            busy.emplace_back(now + Duration{static_cast<std::int64_t>(service_ms) * 1000}, queue.front());
            queue.pop_front();
        }
        if (t >= 10000) result.mean_limit += admission.counts(0).limit / 10000;
    }
    std::sort(first_token_ms.begin(), first_token_ms.end());
    for (const double f : first_token_ms)
        result.mean_first_token_ms += f / static_cast<double>(first_token_ms.size());
    if (!first_token_ms.empty()) result.p99_first_token_ms = first_token_ms[first_token_ms.size() * 99 / 100];
    result.completed_per_s = static_cast<double>(first_token_ms.size()) / 10;
    result.good /= 10;
    return result;
}

}  // namespace copperfront::simulated_fleet
