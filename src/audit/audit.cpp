#include "audit/audit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace copperfront::audit {
namespace {

// A request that was in transit when a gateway that was asked to stop closed the connection was never taken.
constexpr Timestamp kCrossingWindow = 300000;
// The budget of a cold start is a mean over a window; an excess of up to this many mean attempts counts as
// chance, not as overload.
constexpr double kSlackAttempts = 4;
// Maximum difference between the time at which a connection closes and the time at which its gateway is
// killed.
constexpr Timestamp kMaxTimeDifference = 2000000;

double ms(Timestamp time) { return static_cast<double>(time) / 1000; }

std::string fixed(double x, int digits = 1) {
    char out[48];
    std::snprintf(out, sizeof out, "%.*f", digits, x);
    return out;
}

Quantiles quantiles(std::vector<double> samples) {
    Quantiles q;
    q.count = samples.size();
    if (samples.empty()) return q;
    std::sort(samples.begin(), samples.end());
    const auto at = [&](double fraction) {
        return samples[std::min(samples.size() - 1,
                                static_cast<std::size_t>(fraction * static_cast<double>(samples.size())))];
    };
    q.p50 = at(0.5);
    q.p90 = at(0.9);
    q.p99 = at(0.99);
    return q;
}

class Checker {
  public:
    explicit Checker(const History& history) : history_(history) {
        for (const Attempt& attempt : history.attempts)
            attempts_by_request_[attempt.request_name].push_back(&attempt);
        for (const ServerRun& r : history.server_runs) runs_by_address_[r.address].push_back(&r);
    }

    Report run() {
        report_.notes = history_.notes;
        report_.gaps = history_.gaps;
        check_answers();
        check_effects();
        check_drains();
        check_cold_starts();
        check_held_states();
        sum_waste();
        std::stable_sort(report_.breaches.begin(), report_.breaches.end(),
                         [](const Breach& x, const Breach& y) {
                             return x.rule != y.rule ? x.rule < y.rule : x.position.at < y.position.at;
                         });
        return std::move(report_);
    }

  private:
    void add_breach(int rule, const std::string& request_name, const std::string& attempt,
                    const RecordPosition& at, std::string what) {
        report_.breaches.push_back({rule, request_name, attempt, std::move(what), at, request_name, ""});
    }
    // A breach that concerns a request as its client sent it: the client does not know its name at the
    // gateway, but its attempts do.
    void add_answer_breach(const ClientRequest& request, const std::string& name, const RecordPosition& at,
                           std::string what) {
        add_breach(1, name, "", at, std::move(what));
        const auto attempts = attempts_of(request);
        report_.breaches.back().trace_name = attempts.empty() ? "" : attempts.front()->request_name;
    }

    const RuleLimits::Category& limits_of(const std::string& category) const {
        static const RuleLimits::Category none;
        const auto it = history_.limits.categories.find(category);
        return it == history_.limits.categories.end() ? none : it->second;
    }

    // Whether a process was killed near a time, or was asked to stop before it.
    bool ended_near(const std::string& name, Timestamp at, bool by_force) const {
        const auto it = history_.process_ends.find(name);
        if (it == history_.process_ends.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const ProcessEnd& e) {
            if (e.by_force != by_force) return false;
            return by_force ? std::abs(e.at - at) <= kMaxTimeDifference : e.at <= at;
        });
    }

    static std::string gateway_name(const std::string& with_life) {
        return with_life.substr(0, with_life.rfind('.'));
    }

    // Returns the attempts of one client request: those with its idempotency key, made by its gateway while
    // it was open.
    std::vector<const Attempt*> attempts_of(const ClientRequest& request) const {
        std::vector<const Attempt*> out;
        if (request.idempotency_key.empty()) return out;
        // A client's repeat must not be attributed to the request before it, which was rejected a moment
        // earlier: whatever the gateway began after the repeat was sent belongs to the repeat.
        Timestamp repeated_at = kNever;
        const auto [same, others] = requests_by_key_.equal_range(request.idempotency_key);
        for (auto it = same; it != others; ++it)
            if (it->second->gateway == request.gateway && it->second->position.at > request.position.at &&
                (repeated_at == kNever || it->second->position.at < repeated_at))
                repeated_at = it->second->position.at;
        const auto [from, to] = attempts_by_key_.equal_range(request.idempotency_key);
        for (auto it = from; it != to; ++it) {
            const Attempt& attempt = *it->second;
            if (gateway_name(attempt.gateway) == request.gateway &&
                attempt.position.at >= request.position.at &&
                (repeated_at == kNever || first_attempt_at_.at(attempt.request_name) < repeated_at) &&
                (request.answered_at == kNever ||
                 attempt.position.at <= request.answered_at + kMaxTimeDifference))
                out.push_back(&attempt);
        }
        return out;
    }

    // ---- rule 1
    void check_answers() {
        for (const Attempt& attempt : history_.attempts) {
            if (!attempt.idempotency_key.empty()) attempts_by_key_.emplace(attempt.idempotency_key, &attempt);
            const auto [it, fresh] = first_attempt_at_.try_emplace(attempt.request_name, attempt.position.at);
            if (!fresh) it->second = std::min(it->second, attempt.position.at);
        }
        for (const ClientRequest& request : history_.requests)
            if (!request.idempotency_key.empty()) requests_by_key_.emplace(request.idempotency_key, &request);
        std::map<std::string, CategoryReport> reports;
        std::map<std::string, std::vector<double>> first_tokens, token_intervals;
        std::map<std::string, std::pair<double, double>> attempts;
        for (const ClientRequest& request : history_.requests) {
            CategoryReport& category = reports[request.category];
            category.name = request.category;
            ++category.requests;
            const std::string name =
                request.connection + "#" + request.id +
                (request.idempotency_key.empty() ? "" : " mark " + request.idempotency_key);
            if (request.final_messages > 1 || request.extra_messages > 0)
                add_answer_breach(request, name, request.extra_positions.front(),
                                  "something more came after the final answer (" +
                                      std::to_string(request.final_messages) + " final answers, " +
                                      std::to_string(request.extra_messages) + " other messages)");
            if (request.damaged_stream)
                add_answer_breach(request, name, request.position,
                                  "the tokens of its stream are doubled, missing or out of order");
            const Timestamp deadline =
                request.position.at + request.time_budget + history_.limits.answer_slack;
            if (request.answered_at == kNever && request.left_at != kNever) {
                ++category.client_left;
                continue;
            }
            if (request.answered_at == kNever && request.closed_at != kNever) {
                const bool killed = ended_near(request.gateway, request.closed_at, true);
                const bool crossing = ended_near(request.gateway, request.closed_at, false) &&
                                      request.closed_at - request.position.at < kCrossingWindow;
                if (killed || crossing)
                    ++category.lost;
                else
                    add_answer_breach(
                        request, name, request.position,
                        "its connection closed without a final answer, and its gateway was not killed");
                continue;
            }
            if (request.answered_at == kNever) {
                add_answer_breach(request, name, request.position, "no final answer ever came");
                continue;
            }
            if (request.ending == "settled") ++category.completed;
            if (request.ending == "declined") ++category.rejected;
            if (request.ending == "given up") ++category.abandoned;
            if (request.ending == "not taken") ++category.not_accepted;
            const Timestamp answer_began_at = std::min(request.first_token_at, request.answered_at);
            if (answer_began_at > deadline && (request.left_at == kNever || request.left_at > deadline))
                add_answer_breach(
                    request, name, request.position,
                    "the final answer came " + fixed(ms(request.answered_at - request.position.at)) +
                        " ms after the query, " + fixed(ms(answer_began_at - deadline)) + " ms too late");
            report_.latest_answer = std::max(report_.latest_answer,
                                             answer_began_at - (request.position.at + request.time_budget));
            const RuleLimits::Category& category_limits = limits_of(request.category);
            if (request.ending == "settled" && request.first_token_at != kNever) {
                const double first = ms(request.first_token_at - request.position.at);
                first_tokens[request.category].push_back(first);
                const double token_interval =
                    request.tokens > 1
                        ? ms(request.answered_at - request.first_token_at) / (request.tokens - 1)
                        : 0;
                if (request.tokens > 1) token_intervals[request.category].push_back(token_interval);
                const double goal =
                    ms(category_limits.latency_goal) +
                    ms(category_limits.goal_per_thousand_tokens) * request.prompt_tokens / 1000;
                if (first <= goal &&
                    (category_limits.token_gap == 0 || token_interval <= ms(category_limits.token_gap)))
                    ++category.in_goal;
            }
            if (request.ending != "not taken") {
                attempts[request.category].first += static_cast<double>(attempts_of(request).size());
                attempts[request.category].second += 1;
            }
        }
        for (auto& [name, category] : reports) {
            category.first_ms = quantiles(first_tokens[name]);
            category.token_interval_ms = quantiles(token_intervals[name]);
            if (attempts[name].second > 0) category.attempts = attempts[name].first / attempts[name].second;
            report_.categories.push_back(category);
        }
    }

    // ---- rule 2
    static bool proves_not_run(const Attempt& attempt, Timestamp by) {
        return attempt.is_prefill ||
               (attempt.answered_at <= by && (attempt.ending == "full" || attempt.ending == "nostate"));
    }

    void check_effects() {
        std::map<std::string, std::vector<const Attempt*>> ran;
        for (const auto& [request_name, attempts] : attempts_by_request_) {
            const RuleLimits::Category& category = limits_of(attempts.front()->category);
            if (category.effect == "pure") continue;
            const Attempt* may_have_run = nullptr;
            for (std::size_t i = 0; i < attempts.size(); ++i) {
                const Attempt& attempt = *attempts[i];
                if (attempt.is_prefill) continue;
                if (attempt.ran && category.effect == "effectful" && !attempt.idempotency_key.empty())
                    ran[attempt.idempotency_key].push_back(&attempt);
                for (std::size_t j = 0; j < i; ++j)
                    if (!proves_not_run(*attempts[j], attempt.position.at) && !may_have_run)
                        may_have_run = attempts[j];
                if (!may_have_run) continue;
                if (category.effect == "effectful")
                    add_breach(2, request_name, attempt.id, attempt.position,
                               "an effectful query was sent again to " + attempt.process +
                                   " though its launch " + may_have_run->id + " at " + may_have_run->process +
                                   " may have run");
                else
                    check_receipted(attempt, *may_have_run, category);
            }
        }
        for (const auto& [idempotency_key, attempts] : ran)
            if (attempts.size() > 1)
                add_breach(2, attempts[1]->request_name, attempts[1]->id, attempts[1]->position,
                           "the effect of mark " + idempotency_key + " happened " +
                               std::to_string(attempts.size()) + " times");
        for (const ClientRequest& request : history_.requests) {
            const RuleLimits::Category& category = limits_of(request.category);
            const bool harmless = category.effect == "pure" ||
                                  (category.effect == "receipted" && category.dedup_scope == "all");
            if (request.ending != "declined" || harmless) continue;
            for (const Attempt* attempt : attempts_of(request))
                if (!proves_not_run(*attempt, request.answered_at))
                    add_breach(2, attempt->request_name, attempt->id, request.position,
                               "declined, which tells that trying again is harmless, though its launch at " +
                                   attempt->process + " may have run");
        }
    }

    void check_receipted(const Attempt& attempt, const Attempt& first, const RuleLimits::Category& category) {
        if (attempt.position.at - first.position.at > category.dedup_window)
            add_breach(2, attempt.request_name, attempt.id, attempt.position,
                       "a receipted query was sent again after its mark was forgotten, " +
                           fixed(ms(attempt.position.at - first.position.at)) + " ms after launch " +
                           first.id);
        const ServerRun& run = history_.server_runs[attempt.run_index];
        const ServerRun& first_run = history_.server_runs[first.run_index];
        if (category.dedup_scope == "zone" && run.zone != first_run.zone)
            add_breach(2, attempt.request_name, attempt.id, attempt.position,
                       "a receipted query was sent again outside its zone, to " + attempt.process);
        if (category.dedup_scope == "cell" && (run.zone != first_run.zone || run.cell != first_run.cell))
            add_breach(2, attempt.request_name, attempt.id, attempt.position,
                       "a receipted query was sent again outside its cell, to " + attempt.process);
    }

    // ---- rule 3
    void check_drains() {
        for (const Attempt& attempt : history_.attempts) {
            const auto gateway = history_.notices.find(attempt.gateway);
            if (gateway == history_.notices.end()) continue;
            const auto server = gateway->second.find(history_.server_runs[attempt.run_index].address);
            if (server == gateway->second.end()) continue;
            const StatusNotice* drain_notice = nullptr;
            for (const StatusNotice& notice : server->second) {
                if (notice.position.at > attempt.position.at) break;
                if (notice.status == "ready")
                    drain_notice = nullptr;
                else if (!drain_notice)
                    drain_notice = &notice;
            }
            if (drain_notice && attempt.position.at > drain_notice->position.at + history_.limits.drain_grace)
                add_breach(3, attempt.request_name, attempt.id, attempt.position,
                           "sent to " + attempt.process + " " +
                               fixed(ms(attempt.position.at - drain_notice->position.at)) + " ms after " +
                               attempt.gateway + " was told that it is " + drain_notice->status);
        }
    }

    // ---- rule 4
    bool knew_of_start(const Attempt& attempt, const ServerRun& run) const {
        const auto gateway = history_.notices.find(attempt.gateway);
        if (gateway == history_.notices.end()) return false;
        const auto server = gateway->second.find(run.address);
        if (server == gateway->second.end()) return false;
        return std::any_of(server->second.begin(), server->second.end(), [&](const StatusNotice& notice) {
            return notice.position.at <= attempt.position.at && notice.started_at_ms == run.started_at_ms;
        });
    }

    void check_cold_starts() {
        // The weight of an attempt is the mean work of its category at that kind of server.
        std::map<std::pair<std::string, bool>, std::pair<double, double>> work;
        for (const Attempt& attempt : history_.attempts) {
            auto& [sum, count] = work[{attempt.category, attempt.is_prefill}];
            sum += attempt.work;
            count += 1;
        }
        for (std::size_t i = 0; i < history_.server_runs.size(); ++i) {
            const ServerRun& run = history_.server_runs[i];
            if (run.started_at_ms == 0 || run.warm_up_time <= 0) continue;
            ColdStartBudget budget{run.process, 0, 0, run.fell_over};
            struct Sent {
                const Attempt* attempt;
                double work;
                bool knew;
            };
            std::vector<Sent> sent;
            for (const Attempt& attempt : history_.attempts) {
                if (attempt.run_index != i || attempt.position.at > run.position.at + run.warm_up_time)
                    continue;
                const auto& [sum, count] = work.at({attempt.category, attempt.is_prefill});
                sent.push_back({&attempt, sum / count, knew_of_start(attempt, run)});
            }
            std::size_t from = 0;
            double sent_work = 0, informed_work = 0, total_work = 0, total_informed_work = 0;
            bool reported = false;
            for (std::size_t n = 0; n < sent.size(); ++n) {
                const Timestamp at = sent[n].attempt->position.at;
                sent_work += sent[n].work;
                informed_work += sent[n].knew ? sent[n].work : 0;
                total_work += sent[n].work;
                total_informed_work += sent[n].knew ? sent[n].work : 0;
                for (; at - sent[from].attempt->position.at > history_.limits.overload_window; ++from) {
                    sent_work -= sent[from].work;
                    informed_work -= sent[from].knew ? sent[from].work : 0;
                }
                const Timestamp begin = std::max(run.position.at, at - history_.limits.overload_window);
                const double allowed_work =
                    history_.limits.overload_multiple *
                    capacity_between(run, begin, begin + history_.limits.overload_window);
                const double share = sent_work / allowed_work;
                budget.share = std::max(budget.share, share);
                const double slack = kSlackAttempts * sent_work / static_cast<double>(n - from + 1);
                // A server that has fallen over was overloaded, whatever the sums by mean work say.
                const bool fell_over = run.fell_over && n + 1 == sent.size();
                if ((sent_work <= allowed_work + slack && !fell_over) || informed_work < sent_work * 2 / 3 ||
                    reported)
                    continue;
                reported = true;
                add_breach(4, sent[n].attempt->request_name, sent[n].attempt->id, sent[n].attempt->position,
                           "cold " + run.process +
                               (run.fell_over ? " fell over: it was sent " : " was sent ") + fixed(share, 2) +
                               " times its budget within " + fixed(ms(history_.limits.overload_window), 0) +
                               " ms, " + fixed(100 * informed_work / sent_work, 0) +
                               "% of it by gateways that knew of its start");
            }
            budget.informed_share = total_work > 0 ? total_informed_work / total_work : 0;
            report_.budgets.push_back(budget);
        }
    }

    // Returns the capacity of a server between two times, in tokens, as its speed rises linearly during
    // warm-up.
    static double capacity_between(const ServerRun& run, Timestamp from, Timestamp to) {
        const auto share_done_by = [&](Timestamp at) {
            const double age = static_cast<double>(at - run.position.at) / 1e6,
                         warm_up_time = static_cast<double>(run.warm_up_time) / 1e6;
            const double warming_up = std::min(age, warm_up_time);
            return run.cold_speed_share * warming_up +
                   (1 - run.cold_speed_share) * warming_up * warming_up / (2 * warm_up_time) +
                   std::max(0.0, age - warm_up_time);
        };
        return run.capacity * (share_done_by(to) - share_done_by(from));
    }

    // ---- rule 5
    // Periods in which a prefill server could not be reached by the gateway that owns a state.
    std::vector<std::pair<Timestamp, Timestamp>> unreachable_from(const ServerRun& run,
                                                                  const std::string& gateway) const {
        std::vector<std::pair<Timestamp, Timestamp>> out = run.unreachable;
        const auto zone = history_.zone_of.find(gateway_name(gateway));
        if (zone == history_.zone_of.end() || zone->second == run.zone) return out;
        for (const auto& [cut, periods] : history_.cuts)
            if (cut == zone->second || cut == run.zone) out.insert(out.end(), periods.begin(), periods.end());
        return out;
    }

    void check_held_states() {
        for (const HeldState& state : history_.held_states) {
            const std::string gateway = state.id.substr(0, state.id.rfind('/'));
            // A state left by a gateway that was killed is freed some seconds later; that is no breach by
            // that gateway, even if the prefill ended only after the kill.
            Timestamp prefill_at = state.position.at;
            if (const auto it = attempts_by_request_.find(state.request_name);
                it != attempts_by_request_.end())
                for (const Attempt* attempt : it->second)
                    if (attempt->is_prefill && attempt->state_id == state.id)
                        prefill_at = std::min(prefill_at, attempt->position.at);
            const auto process_ends = history_.process_ends.find(gateway_name(gateway));
            Timestamp until = state.until;
            if (process_ends != history_.process_ends.end())
                for (const ProcessEnd& e : process_ends->second)
                    if (e.by_force && e.at >= prefill_at)
                        until = std::min(until, std::max(e.at, state.position.at));
            if (until == kNever) {
                add_breach(5, state.request_name, "", state.position,
                           "the state " + state.id + " at " + state.process + " was never taken nor let go");
                continue;
            }
            std::vector<std::pair<Timestamp, Timestamp>> busy =
                unreachable_from(history_.server_runs[state.run_index], gateway);
            if (const auto it = attempts_by_request_.find(state.request_name);
                it != attempts_by_request_.end())
                for (const Attempt* attempt : it->second)
                    busy.emplace_back(attempt->position.at, attempt->ended_at);
            std::sort(busy.begin(), busy.end());
            Timestamp free_since = state.position.at, longest = 0;
            for (const auto& [from, to] : busy) {
                if (from >= until) break;
                longest = std::max(longest, from - free_since);
                free_since = std::max(free_since, std::min(to, until));
            }
            longest = std::max(longest, until - free_since);
            report_.longest_held = std::max(report_.longest_held, longest);
            if (longest > history_.limits.release_within)
                add_breach(5, state.request_name, "", state.position,
                           "the state " + state.id + " lay at " + state.process + " for " +
                               fixed(ms(longest)) + " ms while no launch of its query was out (" +
                               (state.why.empty() ? "not freed" : state.why) + ")");
        }
    }

    void sum_waste() {
        std::set<std::string> fetched;
        for (const HeldState& state : history_.held_states)
            if (state.why == "fetched") fetched.insert(state.id);
        for (const Attempt& attempt : history_.attempts) {
            const bool useful = attempt.is_prefill ? fetched.count(attempt.state_id) != 0
                                                   : attempt.ending == "settled" && !attempt.answer_lost;
            (attempt.is_prefill ? report_.prefill_work : report_.decode_work) += attempt.work;
            if (!useful && attempt.ending != "full" && attempt.ending != "nostate")
                (attempt.is_prefill ? report_.prefill_wasted : report_.decode_wasted) += attempt.work;
        }
    }

    const History& history_;
    Report report_;
    std::map<std::string, std::vector<const Attempt*>> attempts_by_request_;
    std::multimap<std::string, const Attempt*> attempts_by_key_;
    std::multimap<std::string, const ClientRequest*> requests_by_key_;
    std::map<std::string, Timestamp> first_attempt_at_;  // by request: time of its first attempt
    std::map<std::string, std::vector<const ServerRun*>> runs_by_address_;
};

constexpr const char* kRuleTexts[] = {"",
                                      "no query is lost",
                                      "no effect happens twice",
                                      "drains are kept",
                                      "no cold server is pushed over",
                                      "nothing is left pinned"};
constexpr std::size_t kMaxPrintedBreaches = 20;  // breaches of one rule that are printed

}  // namespace

Report check(const History& history) { return Checker(history).run(); }

std::string text_of(const Report& r) {
    std::string out;
    char line[256];
    std::snprintf(line, sizeof line, "%-16s %7s %8s %8s %8s %8s %9s %5s %5s | %9s %9s | %8s %8s | %s\n",
                  "category", "asked", "settled", "in goal", "declined", "given up", "not taken", "left",
                  "lost", "first p50", "p99 ms", "pace p50", "p99 ms", "launches");
    out += line;
    for (const CategoryReport& category : r.categories) {
        std::snprintf(line, sizeof line,
                      "%-16s %7zu %8zu %8zu %8zu %8zu %9zu %5zu %5zu | %9.1f %9.1f | %8.1f %8.1f | %.2f\n",
                      category.name.c_str(), category.requests, category.completed, category.in_goal,
                      category.rejected, category.abandoned, category.not_accepted, category.client_left,
                      category.lost, category.first_ms.p50, category.first_ms.p99,
                      category.token_interval_ms.p50, category.token_interval_ms.p99, category.attempts);
        out += line;
    }
    const auto share = [](double fraction, double whole) { return whole > 0 ? 100 * fraction / whole : 0; };
    std::snprintf(line, sizeof line, "\nwork wasted: %.1f%% of prompt tokens read, %.1f%% of answer tokens\n",
                  share(r.prefill_wasted, r.prefill_work), share(r.decode_wasted, r.decode_work));
    out += line;
    std::snprintf(
        line, sizeof line,
        "longest a state lay pinned: %.0f ms; latest first answer against its hard stop: %+.0f ms\n",
        ms(r.longest_held), ms(r.latest_answer));
    out += line;
    for (const ColdStartBudget& b : r.budgets) {
        std::snprintf(line, sizeof line, "cold start of %s: at most %.2f of its budget used%s\n",
                      b.process.c_str(), b.share, b.fell_over ? "; it fell over" : "");
        out += line;
    }
    for (const std::string& note : r.notes) out += "note: " + note + "\n";
    for (const std::string& gap : r.gaps) out += "NO VERDICT: " + gap + "\n";
    out += "\n";
    for (int rule = 1; rule <= 5; ++rule) {
        const auto count = std::count_if(r.breaches.begin(), r.breaches.end(),
                                         [&](const Breach& b) { return b.rule == rule; });
        out += "rule " + std::to_string(rule) + ", " + kRuleTexts[rule] + ": " +
               (count == 0 ? r.gaps.empty() ? "kept" : "no breach seen"
                           : "BROKEN " + std::to_string(count) + " times") +
               "\n";
        std::size_t reported = 0;
        for (const Breach& b : r.breaches) {
            if (b.rule != rule || ++reported > kMaxPrintedBreaches) continue;
            out += "  query " + b.request_name + (b.attempt.empty() ? "" : ", launch " + b.attempt) + ", " +
                   fixed(static_cast<double>(b.position.at) / 1e6, 3) + " s, " + b.position.file + ":" +
                   std::to_string(b.position.line) + ": " + b.what + "\n";
            for (std::size_t from = 0; from < b.explanation.size();) {
                const std::size_t end = std::min(b.explanation.find('\n', from), b.explanation.size());
                out += "      " + b.explanation.substr(from, end - from) + "\n";
                from = end + 1;
            }
        }
        if (reported > kMaxPrintedBreaches)
            out += "  and " + std::to_string(reported - kMaxPrintedBreaches) + " more\n";
    }
    return out;
}

std::string json_of(const Report& r) {
    using Json = nlohmann::json;
    Json out = {{"clean", r.passed()},
                {"longest_pinned_ms", ms(r.longest_held)},
                {"latest_ms", ms(r.latest_answer)},
                {"read_work", r.prefill_work},
                {"read_wasted", r.prefill_wasted},
                {"write_work", r.decode_work},
                {"write_wasted", r.decode_wasted},
                {"notes", r.notes},
                {"gaps", r.gaps}};
    out["breaches"] = Json::array();
    for (const Breach& b : r.breaches)
        out["breaches"].push_back({{"rule", b.rule},
                                   {"query", b.request_name},
                                   {"launch", b.attempt},
                                   {"what", b.what},
                                   {"story", b.explanation},
                                   {"file", b.position.file},
                                   {"line", b.position.line},
                                   {"at_us", b.position.at}});
    out["categories"] = Json::array();
    for (const CategoryReport& category : r.categories)
        out["categories"].push_back({{"name", category.name},
                                     {"asked", category.requests},
                                     {"settled", category.completed},
                                     {"in_goal", category.in_goal},
                                     {"declined", category.rejected},
                                     {"given_up", category.abandoned},
                                     {"not_taken", category.not_accepted},
                                     {"left", category.client_left},
                                     {"lost", category.lost},
                                     {"first_p50_ms", category.first_ms.p50},
                                     {"first_p99_ms", category.first_ms.p99},
                                     {"pace_p50_ms", category.token_interval_ms.p50},
                                     {"pace_p99_ms", category.token_interval_ms.p99},
                                     {"launches", category.attempts}});
    out["budgets"] = Json::array();
    for (const ColdStartBudget& b : r.budgets)
        out["budgets"].push_back(
            {{"engine", b.process}, {"share", b.share}, {"told", b.informed_share}, {"fell", b.fell_over}});
    return out.dump(1);
}

}  // namespace copperfront::audit
