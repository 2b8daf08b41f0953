// Random rows of every kind, for tests and benchmarks of traces.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "trace/rows.h"

namespace copperfront::trace {

// Generates rows as a gateway would write them: requests one after another, each with its decisions, on a
// clock of its own.
class RandomRows {
  public:
    RandomRows(StringTable& pool, std::uint32_t seed, const std::string& gateway = "g1",
               std::int64_t start_us = 1'764'600'000'000'000, std::int64_t gap_us = 20000)
        : random_(seed), now_(start_us), gap_us_(gap_us), origin_(pool.code(gateway + ".18f3a")) {
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

    // Returns the rows of one request by time; the row of the request itself is the last.
    void next(std::vector<Row>& rows) {
        rows.clear();
        now_ += static_cast<std::int64_t>(
            std::exponential_distribution<double>(1.0 / static_cast<double>(gap_us_))(random_));
        ++number_;
        std::int64_t at = now_;
        const bool queued = random_below(10) == 0, rejected = random_below(50) == 0;
        const std::int64_t prefill_server = servers_[random_below(20)],
                           decode_server = servers_[20 + random_below(20)];
        const std::int64_t prompt =
            50 + static_cast<std::int64_t>(std::lognormal_distribution<double>(6.5, 0.8)(random_));
        if (queued) {
            Row r = decision(at, DecisionKind::queued);
            r[decision_column::why] = reasons_[0];
            rows.push_back(r);
            at += 1000 + static_cast<std::int64_t>(random_below(90000));
        }
        const std::int64_t sent = at;
        Row q(Table::requests);
        if (!rejected) {
            const std::int64_t prefill_us = 5000 + prompt * 12;
            rows.push_back(attempt_start(at, DecisionKind::prefill, prefill_server));
            rows.push_back(attempt_row(at += prefill_us, prefill_server, 8, prefill_us));
            rows.push_back(attempt_start(at, DecisionKind::decode, decode_server));
            Row f = attempt_row(at += 9000 + static_cast<std::int64_t>(random_below(20000)), decode_server, 0,
                                9000);
            f[decision_column::kind] = static_cast<std::int64_t>(DecisionKind::first_token);
            rows.push_back(f);
            q[request_column::first_token] = at - now_;
            const std::int64_t tokens = 1 + static_cast<std::int64_t>(random_below(300));
            q[request_column::answer_tokens] = tokens;
            rows.push_back(attempt_row(at += tokens * 12000, decode_server, 0, tokens * 12000));
            q[request_column::prefills] = q[request_column::decodes] = 1;
            q[request_column::prefill_server] = prefill_server;
            q[request_column::decode_server] = decode_server;
            q[request_column::prefill_tokens] = prompt;
            q[request_column::queue_time] = sent - now_;
        } else {
            rows.push_back(decision(at += 50000, DecisionKind::rejected));
            q[request_column::outcome] = static_cast<std::int64_t>(RequestOutcome::rejected);
            q[request_column::reason] = reasons_[1];
            q[request_column::first_token] = q[request_column::queue_time] = -1;
        }
        q[request_column::at] = at;
        q[request_column::origin] = origin_;
        q[request_column::request] = number_;
        q[request_column::duration] = at - now_;
        q[request_column::route] = routes_[random_below(4)];
        q[request_column::category] = categories_[random_below(3)];
        q[request_column::group] = groups_[random_below(3)];
        q[request_column::session] =
            static_cast<std::int64_t>(random_below(sessions) * 0x9e3779b97f4a7c15ULL);
        q[request_column::shared_prefix] =
            static_cast<std::int64_t>((1 + random_below(12)) * 0xc2b2ae3d27d4eb4fULL);
        q[request_column::prompt_tokens] = prompt;
        q[request_column::max_output_tokens] = 300;
        q[request_column::time_budget] = 6'000'000;
        q[request_column::terms_generation] = 1;
        q[request_column::latency_goal] = 1'500'000;
        rows.push_back(q);
    }
    std::int64_t now() const { return now_; }
    std::uint64_t sessions = 50000;

  private:
    std::uint64_t random_below(std::uint64_t n) {
        return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random_);
    }
    Row decision(std::int64_t at, DecisionKind kind) {
        Row r(Table::decisions);
        r[decision_column::at] = at;
        r[decision_column::origin] = origin_;
        r[decision_column::request] = number_;
        r[decision_column::kind] = static_cast<std::int64_t>(kind);
        return r;
    }
    Row attempt_start(std::int64_t at, DecisionKind kind, std::int64_t server) {
        Row r = decision(at, kind);
        r[decision_column::server] = server;
        r[decision_column::attempt] = ++attempt_;
        r[decision_column::time_limit] = 3'000'000;
        r[decision_column::candidate_count] = 18;
        r.lists[0].push_back(server);
        r.lists[1].push_back(static_cast<std::int64_t>(random_below(900)));
        for (int n = 0; n < 3; ++n) {
            r.lists[0].push_back(servers_[(kind == DecisionKind::prefill ? 0 : 20) + random_below(20)]);
            r.lists[1].push_back(r.lists[1].back() + static_cast<std::int64_t>(random_below(500)));
        }
        return r;
    }
    Row attempt_row(std::int64_t at, std::int64_t server, std::int64_t ending, std::int64_t duration) {
        Row r = decision(at, DecisionKind::attempt_ended);
        r[decision_column::server] = server;
        r[decision_column::attempt] = attempt_;
        r[decision_column::ending] = ending;
        r[decision_column::duration] = duration;
        return r;
    }

    std::mt19937_64 random_;
    std::int64_t now_, gap_us_, origin_, number_ = 0, attempt_ = 0;
    std::vector<std::int64_t> servers_, routes_, categories_, groups_, reasons_;
};

}  // namespace copperfront::trace
