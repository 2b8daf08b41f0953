// A simulated fleet of slots behind one route's limits, to evaluate limits without sockets. Each request
// occupies a slot for 80 to 120 ms. A request that finds none waits in the queue until its client's time-out.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include "limits/admission.h"

namespace copperfront::slot_fleet {

constexpr int kSlots = 40;  // of 100 ms: 400 requests a second
constexpr Instant kBegin{1'000'000'000'000};

struct Load {
    double of_capacity = 1;
    double slow_from_s = 1e9, slow_until_s = 0;  // service is four times as slow between them
    Span patience{INT64_MAX / 4};                // in the queue
    Span goal{250000};                           // first tokens within this count as good
};

struct Seen {
    double limit = 0;              // mean
    double first_ms = 0, p99 = 0;  // times to the first token, at which a request ends
    double came = 0;               // requests a second
    double settled = 0, good = 0;  // requests a second
};

// Simulates twenty seconds, and measures the last ten.
inline Seen play(const RouteLimits& limits, const Load& load) {
    Admission admission(1, kBegin);
    admission.change({{limits}}, 1, kBegin);
    std::minstd_rand chance(9);
    std::deque<Instant> queue;                      // arrival times
    std::vector<std::pair<Instant, Instant>> busy;  // end of service and arrival time of each
    std::vector<double> first_token_ms;
    Seen result;
    for (int t = 0; t < 20000; ++t) {
        const Instant now = kBegin + Span{t * 1000};
        const double s = t / 1000.0, slow = s >= load.slow_from_s && s < load.slow_until_s ? 4 : 1;
        for (std::size_t i = 0; i < busy.size();) {
            if (busy[i].first > now) {
                ++i;
                continue;
            }
            const Span first = now - busy[i].second;
            admission.began(0, first, now);
            admission.query_over(0, 1, true, now);
            if (t >= 10000) {
                first_token_ms.push_back(first.ms());
                result.good += first <= load.goal;
            }
            busy.erase(busy.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!queue.empty() && now - queue.front() > load.patience) {
            admission.query_over(0, 1, false, now);
            queue.pop_front();
        }
        const int arrived = std::poisson_distribution<int>(load.of_capacity * kSlots / 100.0)(chance);
        if (t >= 10000) result.came += arrived / 10.0;
        for (int n = 0; n < arrived; ++n)
            if (admission.query_came(0, 1, false, now).why == Refusal::none) queue.push_back(now);
        while (!queue.empty() && busy.size() < kSlots) {
            const double service_ms =
                100 * slow * (0.8 + 0.4 * std::uniform_real_distribution<double>(0, 1)(chance));
            busy.emplace_back(now + Span{static_cast<std::int64_t>(service_ms) * 1000}, queue.front());
            queue.pop_front();
        }
        if (t >= 10000) result.limit += admission.counts(0).limit / 10000;
    }
    std::sort(first_token_ms.begin(), first_token_ms.end());
    for (const double f : first_token_ms) result.first_ms += f / static_cast<double>(first_token_ms.size());
    if (!first_token_ms.empty()) result.p99 = first_token_ms[first_token_ms.size() * 99 / 100];
    result.settled = static_cast<double>(first_token_ms.size()) / 10;
    result.good /= 10;
    return result;
}

}  // namespace copperfront::slot_fleet
