// A fleet of slots in simulated time, behind one route's limits: what limits are judged by where no sockets
// are needed. Each query takes a slot for 80 to 120 ms; what finds none waits in line, and leaves after its
// patience.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include "limits/admission.h"

namespace copperfront::slot_fleet {

constexpr int kSlots = 40;  // of 100 ms: 400 queries a second
constexpr Instant kBegin{1'000'000'000'000};

struct Load {
    double of_capacity = 1;
    double slow_from_s = 1e9, slow_until_s = 0;  // four times as slow meanwhile
    Span patience{INT64_MAX / 4};                // in line
    Span goal{250000};                           // a first token within this is good
};

struct Seen {
    double limit = 0;              // mean
    double first_ms = 0, p99 = 0;  // first tokens, where a query ends
    double came = 0;               // a second
    double settled = 0, good = 0;  // a second
};

// Twenty seconds, of which the last ten count.
inline Seen play(const RouteLimits& limits, const Load& load) {
    Admission a(1, kBegin);
    a.change({{limits}}, 1, kBegin);
    std::minstd_rand chance(9);
    std::deque<Instant> line;                       // when each came
    std::vector<std::pair<Instant, Instant>> busy;  // until, and when it came
    std::vector<double> firsts;
    Seen seen;
    for (int t = 0; t < 20000; ++t) {
        const Instant now = kBegin + Span{t * 1000};
        const double s = t / 1000.0, slow = s >= load.slow_from_s && s < load.slow_until_s ? 4 : 1;
        for (std::size_t i = 0; i < busy.size();) {
            if (busy[i].first > now) {
                ++i;
                continue;
            }
            const Span first = now - busy[i].second;
            a.began(0, first, now);
            a.query_over(0, 1, true, now);
            if (t >= 10000) {
                firsts.push_back(first.ms());
                seen.good += first <= load.goal;
            }
            busy.erase(busy.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!line.empty() && now - line.front() > load.patience) {
            a.query_over(0, 1, false, now);
            line.pop_front();
        }
        const int came = std::poisson_distribution<int>(load.of_capacity * kSlots / 100.0)(chance);
        if (t >= 10000) seen.came += came / 10.0;
        for (int n = 0; n < came; ++n)
            if (a.query_came(0, 1, false, now).why == Refusal::none) line.push_back(now);
        while (!line.empty() && busy.size() < kSlots) {
            const double took =
                100 * slow * (0.8 + 0.4 * std::uniform_real_distribution<double>(0, 1)(chance));
            busy.emplace_back(now + Span{static_cast<std::int64_t>(took) * 1000}, line.front());
            line.pop_front();
        }
        if (t >= 10000) seen.limit += a.counts(0).limit / 10000;
    }
    std::sort(firsts.begin(), firsts.end());
    for (const double f : firsts) seen.first_ms += f / static_cast<double>(firsts.size());
    if (!firsts.empty()) seen.p99 = firsts[firsts.size() * 99 / 100];
    seen.settled = static_cast<double>(firsts.size()) / 10;
    seen.good /= 10;
    return seen;
}

}  // namespace copperfront::slot_fleet
