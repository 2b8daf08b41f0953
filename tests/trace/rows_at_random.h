// Rows of every kind at random, for tests and benchmarks of traces.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "trace/rows.h"

namespace copperfront::trace {

// A day as a gateway would write it: queries one after another, each with its decisions, on a clock of its
// own.
class RandomDay {
  public:
    RandomDay(Pool& pool, std::uint32_t seed, const std::string& gateway = "g1",
              std::int64_t began = 1'764'600'000'000'000, std::int64_t gap_us = 20000)
        : chance_(seed), now_(began), gap_us_(gap_us), origin_(pool.code(gateway + ".18f3a")) {
        for (int n = 0; n < 40; ++n)
            servers_.push_back(
                pool.code("10.0." + std::to_string(n / 8) + "." + std::to_string(n % 8) + ":8000"));
        for (const char* t : {"default", "web", "bakery web", "long prompts"})
            routes_.push_back(pool.code(t));
        for (const char* t : {"points-help", "claim", "transfer"}) categories_.push_back(pool.code(t));
        for (const char* t : {"bakery", "books", "coffee"}) groups_.push_back(pool.code(t));
        for (const char* t : {"no writer shows room", "cannot be settled in time now"})
            reasons_.push_back(pool.code(t));
    }

    // One query's rows, by time; its own is the last.
    void next(std::vector<Row>& rows) {
        rows.clear();
        now_ += static_cast<std::int64_t>(
            std::exponential_distribution<double>(1.0 / static_cast<double>(gap_us_))(chance_));
        ++number_;
        std::int64_t at = now_;
        const bool held = pick(10) == 0, turned_away = pick(50) == 0;
        const std::int64_t reader = servers_[pick(20)], writer = servers_[20 + pick(20)];
        const std::int64_t prompt =
            50 + static_cast<std::int64_t>(std::lognormal_distribution<double>(6.5, 0.8)(chance_));
        if (held) {
            Row r = decision(at, Deed::held);
            r[decision_column::why] = reasons_[0];
            rows.push_back(r);
            at += 1000 + static_cast<std::int64_t>(pick(90000));
        }
        const std::int64_t sent = at;
        Row q(Table::queries);
        if (!turned_away) {
            const std::int64_t read_us = 5000 + prompt * 12;
            rows.push_back(choice(at, Deed::read, reader));
            rows.push_back(over(at += read_us, reader, 8, read_us));
            rows.push_back(choice(at, Deed::write, writer));
            Row f = over(at += 9000 + static_cast<std::int64_t>(pick(20000)), writer, 0, 9000);
            f[decision_column::what] = static_cast<std::int64_t>(Deed::first_token);
            rows.push_back(f);
            q[query_column::first_token] = at - now_;
            const std::int64_t tokens = 1 + static_cast<std::int64_t>(pick(300));
            q[query_column::answer_tokens] = tokens;
            rows.push_back(over(at += tokens * 12000, writer, 0, tokens * 12000));
            q[query_column::reads] = q[query_column::writes] = 1;
            q[query_column::reader] = reader;
            q[query_column::writer] = writer;
            q[query_column::read_tokens] = prompt;
            q[query_column::held] = sent - now_;
        } else {
            rows.push_back(decision(at += 50000, Deed::declined));
            q[query_column::outcome] = static_cast<std::int64_t>(Fate::declined);
            q[query_column::reason] = reasons_[1];
            q[query_column::first_token] = q[query_column::held] = -1;
        }
        q[query_column::at] = at;
        q[query_column::origin] = origin_;
        q[query_column::query] = number_;
        q[query_column::took] = at - now_;
        q[query_column::route] = routes_[pick(4)];
        q[query_column::category] = categories_[pick(3)];
        q[query_column::group] = groups_[pick(3)];
        q[query_column::session] = static_cast<std::int64_t>(pick(sessions) * 0x9e3779b97f4a7c15ULL);
        q[query_column::beginning] = static_cast<std::int64_t>((1 + pick(12)) * 0xc2b2ae3d27d4eb4fULL);
        q[query_column::prompt_tokens] = prompt;
        q[query_column::most_tokens] = 300;
        q[query_column::budget] = 6'000'000;
        q[query_column::generation] = 1;
        q[query_column::latency_goal] = 1'500'000;
        rows.push_back(q);
    }
    std::int64_t now() const { return now_; }
    std::uint64_t sessions = 50000;

  private:
    std::uint64_t pick(std::uint64_t n) {
        return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(chance_);
    }
    Row decision(std::int64_t at, Deed deed) {
        Row r(Table::decisions);
        r[decision_column::at] = at;
        r[decision_column::origin] = origin_;
        r[decision_column::query] = number_;
        r[decision_column::what] = static_cast<std::int64_t>(deed);
        return r;
    }
    Row choice(std::int64_t at, Deed deed, std::int64_t server) {
        Row r = decision(at, deed);
        r[decision_column::server] = server;
        r[decision_column::attempt] = ++attempt_;
        r[decision_column::limit] = 3'000'000;
        r[decision_column::of] = 18;
        r.lists[0].push_back(server);
        r.lists[1].push_back(static_cast<std::int64_t>(pick(900)));
        for (int n = 0; n < 3; ++n) {
            r.lists[0].push_back(servers_[(deed == Deed::read ? 0 : 20) + pick(20)]);
            r.lists[1].push_back(r.lists[1].back() + static_cast<std::int64_t>(pick(500)));
        }
        return r;
    }
    Row over(std::int64_t at, std::int64_t server, std::int64_t ending, std::int64_t took) {
        Row r = decision(at, Deed::over);
        r[decision_column::server] = server;
        r[decision_column::attempt] = attempt_;
        r[decision_column::ending] = ending;
        r[decision_column::took] = took;
        return r;
    }

    std::mt19937_64 chance_;
    std::int64_t now_, gap_us_, origin_, number_ = 0, attempt_ = 0;
    std::vector<std::int64_t> servers_, routes_, categories_, groups_, reasons_;
};

}  // namespace copperfront::trace
