#include "audit/audit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace copperfront::audit {
namespace {

// A call that was on its way when a gateway that was told to stop closed the connection was never taken.
constexpr Stamp kCrossing = 300000;
// A cold start's budget is a mean over a window; this many mean attempts more are chance, not a push.
constexpr double kSlackAttempts = 4;
// A connection that closes without its gateway's end by force: how near the two stamps must lie.
constexpr Stamp kNear = 2000000;

double ms(Stamp s) { return static_cast<double>(s) / 1000; }

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
    const auto at = [&](double part) {
        return samples[std::min(samples.size() - 1,
                                static_cast<std::size_t>(part * static_cast<double>(samples.size())))];
    };
    q.half = at(0.5);
    q.ninety = at(0.9);
    q.ninety_nine = at(0.99);
    return q;
}

class Checker {
  public:
    explicit Checker(const History& h) : h_(h) {
        for (const StartedAttempt& l : h.started) by_query_[l.query].push_back(&l);
        for (const Run& r : h.runs) runs_of_[r.server].push_back(&r);
    }

    Report run() {
        r_.notes = h_.notes;
        r_.gaps = h_.gaps;
        answers();
        effects();
        drains();
        cold_starts();
        pins();
        waste();
        std::stable_sort(r_.breaches.begin(), r_.breaches.end(), [](const Breach& a, const Breach& b) {
            return a.rule != b.rule ? a.rule < b.rule : a.where.at < b.where.at;
        });
        return std::move(r_);
    }

  private:
    void breach(int rule, const std::string& query, const std::string& attempt, const Where& at,
                std::string what) {
        r_.breaches.push_back({rule, query, attempt, std::move(what), at, query, ""});
    }
    // Of a caller's try, which knows nothing of its name at the gateway; its attempts do.
    void breach_of(const Asked& a, const std::string& name, const Where& at, std::string what) {
        breach(1, name, "", at, std::move(what));
        const auto attempts = attempts_of(a);
        r_.breaches.back().traced = attempts.empty() ? "" : attempts.front()->query;
    }

    const Figures::Category& figures(const std::string& category) const {
        static const Figures::Category none;
        const auto it = h_.figures.categories.find(category);
        return it == h_.figures.categories.end() ? none : it->second;
    }

    // Whether a process ended by force (or was told to stop) near a time.
    bool ended_near(const std::string& name, Stamp at, bool by_force) const {
        const auto it = h_.ends.find(name);
        if (it == h_.ends.end()) return false;
        return std::any_of(it->second.begin(), it->second.end(), [&](const Ended& e) {
            if (e.by_force != by_force) return false;
            return by_force ? std::abs(e.at - at) <= kNear : e.at <= at;
        });
    }

    static std::string gateway_name(const std::string& with_life) {
        return with_life.substr(0, with_life.rfind('.'));
    }

    // The attempts of one try: those with its mark, by its gateway, while it was open.
    std::vector<const StartedAttempt*> attempts_of(const Asked& a) const {
        std::vector<const StartedAttempt*> out;
        if (a.mark.empty()) return out;
        // Against taking a caller's repeat for the try before it, which was declined a moment ago: whatever
        // the gateway began after the repeat was asked is the repeat's.
        Stamp repeated = kNever;
        const auto [same, others] = asked_by_mark_.equal_range(a.mark);
        for (auto it = same; it != others; ++it)
            if (it->second->gateway == a.gateway && it->second->where.at > a.where.at &&
                (repeated == kNever || it->second->where.at < repeated))
                repeated = it->second->where.at;
        const auto [from, to] = by_mark_.equal_range(a.mark);
        for (auto it = from; it != to; ++it) {
            const StartedAttempt& l = *it->second;
            if (gateway_name(l.gateway) == a.gateway && l.where.at >= a.where.at &&
                (repeated == kNever || began_.at(l.query) < repeated) &&
                (a.final == kNever || l.where.at <= a.final + kNear))
                out.push_back(&l);
        }
        return out;
    }

    // ---- rule 1
    void answers() {
        for (const StartedAttempt& l : h_.started) {
            if (!l.mark.empty()) by_mark_.emplace(l.mark, &l);
            const auto [it, fresh] = began_.try_emplace(l.query, l.where.at);
            if (!fresh) it->second = std::min(it->second, l.where.at);
        }
        for (const Asked& a : h_.asked)
            if (!a.mark.empty()) asked_by_mark_.emplace(a.mark, &a);
        std::map<std::string, CategoryReport> reports;
        std::map<std::string, std::vector<double>> firsts, paces;
        std::map<std::string, std::pair<double, double>> attempts;
        for (const Asked& a : h_.asked) {
            CategoryReport& c = reports[a.category];
            c.name = a.category;
            ++c.asked;
            const std::string name = a.connection + "#" + a.id + (a.mark.empty() ? "" : " mark " + a.mark);
            if (a.finals > 1 || a.extra > 0)
                breach_of(a, name, a.more.front(),
                          "something more came after the final answer (" + std::to_string(a.finals) +
                              " final answers, " + std::to_string(a.extra) + " other messages)");
            if (a.torn_stream)
                breach_of(a, name, a.where, "the tokens of its stream are doubled, missing or out of order");
            const Stamp due = a.where.at + a.budget + h_.figures.answer_slack;
            if (a.final == kNever && a.left != kNever) {
                ++c.left;
                continue;
            }
            if (a.final == kNever && a.closed != kNever) {
                const bool killed = ended_near(a.gateway, a.closed, true);
                const bool crossing =
                    ended_near(a.gateway, a.closed, false) && a.closed - a.where.at < kCrossing;
                if (killed || crossing)
                    ++c.lost;
                else
                    breach_of(a, name, a.where,
                              "its connection closed without a final answer, and its gateway was not killed");
                continue;
            }
            if (a.final == kNever) {
                breach_of(a, name, a.where, "no final answer ever came");
                continue;
            }
            if (a.ending == "settled") ++c.settled;
            if (a.ending == "declined") ++c.declined;
            if (a.ending == "given up") ++c.given_up;
            if (a.ending == "not taken") ++c.not_taken;
            const Stamp begun = std::min(a.first, a.final);
            if (begun > due && (a.left == kNever || a.left > due))
                breach_of(a, name, a.where,
                          "the final answer came " + fixed(ms(a.final - a.where.at)) +
                              " ms after the query, " + fixed(ms(begun - due)) + " ms too late");
            r_.longest_late = std::max(r_.longest_late, begun - (a.where.at + a.budget));
            const Figures::Category& f = figures(a.category);
            if (a.ending == "settled" && a.first != kNever) {
                const double first = ms(a.first - a.where.at);
                firsts[a.category].push_back(first);
                const double pace = a.tokens > 1 ? ms(a.final - a.first) / (a.tokens - 1) : 0;
                if (a.tokens > 1) paces[a.category].push_back(pace);
                const double goal = ms(f.latency_goal) + ms(f.goal_per_thousand) * a.prompt_tokens / 1000;
                if (first <= goal && (f.token_gap == 0 || pace <= ms(f.token_gap))) ++c.in_goal;
            }
            if (a.ending != "not taken") {
                attempts[a.category].first += static_cast<double>(attempts_of(a).size());
                attempts[a.category].second += 1;
            }
        }
        for (auto& [name, c] : reports) {
            c.first_ms = quantiles(firsts[name]);
            c.pace_ms = quantiles(paces[name]);
            if (attempts[name].second > 0) c.attempts = attempts[name].first / attempts[name].second;
            r_.categories.push_back(c);
        }
    }

    // ---- rule 2
    static bool proves_unrun(const StartedAttempt& l, Stamp by) {
        return l.reading || (l.out <= by && (l.ending == "full" || l.ending == "nostate"));
    }

    void effects() {
        std::map<std::string, std::vector<const StartedAttempt*>> ran;
        for (const auto& [query, attempts] : by_query_) {
            const Figures::Category& c = figures(attempts.front()->category);
            if (c.effect == "pure") continue;
            const StartedAttempt* may_have_run = nullptr;
            for (std::size_t i = 0; i < attempts.size(); ++i) {
                const StartedAttempt& l = *attempts[i];
                if (l.reading) continue;
                if (l.ran && c.effect == "effectful" && !l.mark.empty()) ran[l.mark].push_back(&l);
                for (std::size_t j = 0; j < i; ++j)
                    if (!proves_unrun(*attempts[j], l.where.at) && !may_have_run) may_have_run = attempts[j];
                if (!may_have_run) continue;
                if (c.effect == "effectful")
                    breach(2, query, l.attempt, l.where,
                           "an effectful query was sent again to " + l.engine + " though its launch " +
                               may_have_run->attempt + " at " + may_have_run->engine + " may have run");
                else
                    receipted(l, *may_have_run, c);
            }
        }
        for (const auto& [mark, attempts] : ran)
            if (attempts.size() > 1)
                breach(
                    2, attempts[1]->query, attempts[1]->attempt, attempts[1]->where,
                    "the effect of mark " + mark + " happened " + std::to_string(attempts.size()) + " times");
        for (const Asked& a : h_.asked) {
            const Figures::Category& c = figures(a.category);
            const bool harmless = c.effect == "pure" || (c.effect == "receipted" && c.group == "all");
            if (a.ending != "declined" || harmless) continue;
            for (const StartedAttempt* l : attempts_of(a))
                if (!proves_unrun(*l, a.final))
                    breach(2, l->query, l->attempt, a.where,
                           "declined, which tells that trying again is harmless, though its launch at " +
                               l->engine + " may have run");
        }
    }

    void receipted(const StartedAttempt& l, const StartedAttempt& first, const Figures::Category& c) {
        if (l.where.at - first.where.at > c.window)
            breach(2, l.query, l.attempt, l.where,
                   "a receipted query was sent again after its mark was forgotten, " +
                       fixed(ms(l.where.at - first.where.at)) + " ms after launch " + first.attempt);
        const Run& here = h_.runs[l.run];
        const Run& there = h_.runs[first.run];
        if (c.group == "zone" && here.zone != there.zone)
            breach(2, l.query, l.attempt, l.where,
                   "a receipted query was sent again outside its zone, to " + l.engine);
        if (c.group == "cell" && (here.zone != there.zone || here.cell != there.cell))
            breach(2, l.query, l.attempt, l.where,
                   "a receipted query was sent again outside its cell, to " + l.engine);
    }

    // ---- rule 3
    void drains() {
        for (const StartedAttempt& l : h_.started) {
            const auto gateway = h_.told.find(l.gateway);
            if (gateway == h_.told.end()) continue;
            const auto server = gateway->second.find(h_.runs[l.run].server);
            if (server == gateway->second.end()) continue;
            const Told* barred = nullptr;
            for (const Told& t : server->second) {
                if (t.where.at > l.where.at) break;
                if (t.standing == "ready")
                    barred = nullptr;
                else if (!barred)
                    barred = &t;
            }
            if (barred && l.where.at > barred->where.at + h_.figures.drain_grace)
                breach(3, l.query, l.attempt, l.where,
                       "sent to " + l.engine + " " + fixed(ms(l.where.at - barred->where.at)) + " ms after " +
                           l.gateway + " was told that it is " + barred->standing);
        }
    }

    // ---- rule 4
    bool knew_of_start(const StartedAttempt& l, const Run& run) const {
        const auto gateway = h_.told.find(l.gateway);
        if (gateway == h_.told.end()) return false;
        const auto server = gateway->second.find(run.server);
        if (server == gateway->second.end()) return false;
        return std::any_of(server->second.begin(), server->second.end(), [&](const Told& t) {
            return t.where.at <= l.where.at && t.born_ms == run.born_ms;
        });
    }

    void cold_starts() {
        // What a send weighs is the mean work of its category at that kind of server.
        std::map<std::pair<std::string, bool>, std::pair<double, double>> work;
        for (const StartedAttempt& l : h_.started) {
            auto& [sum, count] = work[{l.category, l.reading}];
            sum += l.work;
            count += 1;
        }
        for (std::size_t i = 0; i < h_.runs.size(); ++i) {
            const Run& run = h_.runs[i];
            if (run.born_ms == 0 || run.warm <= 0) continue;
            Budget budget{run.engine, 0, 0, run.fell};
            struct Sent {
                const StartedAttempt* attempt;
                double work;
                bool knew;
            };
            std::vector<Sent> sent;
            for (const StartedAttempt& l : h_.started) {
                if (l.run != i || l.where.at > run.where.at + run.warm) continue;
                const auto& [sum, count] = work.at({l.category, l.reading});
                sent.push_back({&l, sum / count, knew_of_start(l, run)});
            }
            std::size_t from = 0;
            double pushed = 0, known = 0, all = 0, all_known = 0;
            bool told = false;
            for (std::size_t n = 0; n < sent.size(); ++n) {
                const Stamp at = sent[n].attempt->where.at;
                pushed += sent[n].work;
                known += sent[n].knew ? sent[n].work : 0;
                all += sent[n].work;
                all_known += sent[n].knew ? sent[n].work : 0;
                for (; at - sent[from].attempt->where.at > h_.figures.fall; ++from) {
                    pushed -= sent[from].work;
                    known -= sent[from].knew ? sent[from].work : 0;
                }
                const Stamp begin = std::max(run.where.at, at - h_.figures.fall);
                const double budgeted = h_.figures.tip_multiple * can_do(run, begin, begin + h_.figures.fall);
                const double share = pushed / budgeted;
                budget.share = std::max(budget.share, share);
                const double slack = kSlackAttempts * pushed / static_cast<double>(n - from + 1);
                // A server that has fallen over was pushed, whatever the sums by mean work say.
                const bool fell = run.fell && n + 1 == sent.size();
                if ((pushed <= budgeted + slack && !fell) || known < pushed * 2 / 3 || told) continue;
                told = true;
                breach(4, sent[n].attempt->query, sent[n].attempt->attempt, sent[n].attempt->where,
                       "cold " + run.engine + (run.fell ? " fell over: it was sent " : " was sent ") +
                           fixed(share, 2) + " times its budget within " + fixed(ms(h_.figures.fall), 0) +
                           " ms, " + fixed(100 * known / pushed, 0) +
                           "% of it by gateways that knew of its start");
            }
            budget.told = all > 0 ? all_known / all : 0;
            r_.budgets.push_back(budget);
        }
    }

    // What it can do between two times, in tokens, as it warms up evenly.
    static double can_do(const Run& run, Stamp from, Stamp to) {
        const auto done_by = [&](Stamp at) {
            const double age = static_cast<double>(at - run.where.at) / 1e6,
                         warm = static_cast<double>(run.warm) / 1e6;
            const double climbing = std::min(age, warm);
            return run.cold_from * climbing + (1 - run.cold_from) * climbing * climbing / (2 * warm) +
                   std::max(0.0, age - warm);
        };
        return run.capacity * (done_by(to) - done_by(from));
    }

    // ---- rule 5
    // Stretches in which a reader could not hear the gateway that owns a state.
    std::vector<std::pair<Stamp, Stamp>> deaf_to(const Run& run, const std::string& gateway) const {
        std::vector<std::pair<Stamp, Stamp>> out = run.deaf;
        const auto zone = h_.zone_of.find(gateway_name(gateway));
        if (zone == h_.zone_of.end() || zone->second == run.zone) return out;
        for (const auto& [cut, spans] : h_.cuts)
            if (cut == zone->second || cut == run.zone) out.insert(out.end(), spans.begin(), spans.end());
        return out;
    }

    void pins() {
        for (const Held& s : h_.held) {
            const std::string gateway = s.state.substr(0, s.state.rfind('/'));
            // What a gateway that was killed has left is freed some seconds later; that is not its breach,
            // also where the read ended only after the kill.
            Stamp asked = s.where.at;
            if (const auto it = by_query_.find(s.query); it != by_query_.end())
                for (const StartedAttempt* l : it->second)
                    if (l->reading && l->state == s.state) asked = std::min(asked, l->where.at);
            const auto ends = h_.ends.find(gateway_name(gateway));
            Stamp until = s.until;
            if (ends != h_.ends.end())
                for (const Ended& e : ends->second)
                    if (e.by_force && e.at >= asked) until = std::min(until, std::max(e.at, s.where.at));
            if (until == kNever) {
                breach(5, s.query, "", s.where,
                       "the state " + s.state + " at " + s.engine + " was never taken nor let go");
                continue;
            }
            std::vector<std::pair<Stamp, Stamp>> busy = deaf_to(h_.runs[s.run], gateway);
            if (const auto it = by_query_.find(s.query); it != by_query_.end())
                for (const StartedAttempt* l : it->second) busy.emplace_back(l->where.at, l->over);
            std::sort(busy.begin(), busy.end());
            Stamp free_since = s.where.at, longest = 0;
            for (const auto& [from, to] : busy) {
                if (from >= until) break;
                longest = std::max(longest, from - free_since);
                free_since = std::max(free_since, std::min(to, until));
            }
            longest = std::max(longest, until - free_since);
            r_.longest_pinned = std::max(r_.longest_pinned, longest);
            if (longest > h_.figures.release_within)
                breach(5, s.query, "", s.where,
                       "the state " + s.state + " lay at " + s.engine + " for " + fixed(ms(longest)) +
                           " ms while no launch of its query was out (" +
                           (s.why.empty() ? "not freed" : s.why) + ")");
        }
    }

    void waste() {
        std::set<std::string> fetched;
        for (const Held& s : h_.held)
            if (s.why == "fetched") fetched.insert(s.state);
        for (const StartedAttempt& l : h_.started) {
            const bool useful = l.reading ? fetched.count(l.state) != 0 : l.ending == "settled" && !l.lost;
            (l.reading ? r_.read_work : r_.write_work) += l.work;
            if (!useful && l.ending != "full" && l.ending != "nostate")
                (l.reading ? r_.read_wasted : r_.write_wasted) += l.work;
        }
    }

    const History& h_;
    Report r_;
    std::map<std::string, std::vector<const StartedAttempt*>> by_query_;
    std::multimap<std::string, const StartedAttempt*> by_mark_;
    std::multimap<std::string, const Asked*> asked_by_mark_;
    std::map<std::string, Stamp> began_;  // by query: its first attempt
    std::map<std::string, std::vector<const Run*>> runs_of_;
};

constexpr const char* kRules[] = {"",
                                  "no query is lost",
                                  "no effect happens twice",
                                  "drains are kept",
                                  "no cold server is pushed over",
                                  "nothing is left pinned"};
constexpr std::size_t kMostTold = 20;  // breaches of one rule that are printed

}  // namespace

Report check(const History& history) { return Checker(history).run(); }

std::string text_of(const Report& r) {
    std::string out;
    char line[256];
    std::snprintf(line, sizeof line, "%-16s %7s %8s %8s %8s %8s %9s %5s %5s | %9s %9s | %8s %8s | %s\n",
                  "category", "asked", "settled", "in goal", "declined", "given up", "not taken", "left",
                  "lost", "first p50", "p99 ms", "pace p50", "p99 ms", "launches");
    out += line;
    for (const CategoryReport& c : r.categories) {
        std::snprintf(line, sizeof line,
                      "%-16s %7zu %8zu %8zu %8zu %8zu %9zu %5zu %5zu | %9.1f %9.1f | %8.1f %8.1f | %.2f\n",
                      c.name.c_str(), c.asked, c.settled, c.in_goal, c.declined, c.given_up, c.not_taken,
                      c.left, c.lost, c.first_ms.half, c.first_ms.ninety_nine, c.pace_ms.half,
                      c.pace_ms.ninety_nine, c.attempts);
        out += line;
    }
    const auto share = [](double part, double whole) { return whole > 0 ? 100 * part / whole : 0; };
    std::snprintf(line, sizeof line, "\nwork wasted: %.1f%% of prompt tokens read, %.1f%% of answer tokens\n",
                  share(r.read_wasted, r.read_work), share(r.write_wasted, r.write_work));
    out += line;
    std::snprintf(
        line, sizeof line,
        "longest a state lay pinned: %.0f ms; latest first answer against its hard stop: %+.0f ms\n",
        ms(r.longest_pinned), ms(r.longest_late));
    out += line;
    for (const Budget& b : r.budgets) {
        std::snprintf(line, sizeof line, "cold start of %s: at most %.2f of its budget used%s\n",
                      b.engine.c_str(), b.share, b.fell ? "; it fell over" : "");
        out += line;
    }
    for (const std::string& note : r.notes) out += "note: " + note + "\n";
    for (const std::string& gap : r.gaps) out += "NO VERDICT: " + gap + "\n";
    out += "\n";
    for (int rule = 1; rule <= 5; ++rule) {
        const auto count = std::count_if(r.breaches.begin(), r.breaches.end(),
                                         [&](const Breach& b) { return b.rule == rule; });
        out += "rule " + std::to_string(rule) + ", " + kRules[rule] + ": " +
               (count == 0 ? r.gaps.empty() ? "kept" : "no breach seen"
                           : "BROKEN " + std::to_string(count) + " times") +
               "\n";
        std::size_t told = 0;
        for (const Breach& b : r.breaches) {
            if (b.rule != rule || ++told > kMostTold) continue;
            out += "  query " + b.query + (b.attempt.empty() ? "" : ", launch " + b.attempt) + ", " +
                   fixed(static_cast<double>(b.where.at) / 1e6, 3) + " s, " + b.where.file + ":" +
                   std::to_string(b.where.line) + ": " + b.what + "\n";
            for (std::size_t from = 0; from < b.story.size();) {
                const std::size_t end = std::min(b.story.find('\n', from), b.story.size());
                out += "      " + b.story.substr(from, end - from) + "\n";
                from = end + 1;
            }
        }
        if (told > kMostTold) out += "  and " + std::to_string(told - kMostTold) + " more\n";
    }
    return out;
}

std::string json_of(const Report& r) {
    using Json = nlohmann::json;
    Json out = {{"clean", r.clean()},
                {"longest_pinned_ms", ms(r.longest_pinned)},
                {"latest_ms", ms(r.longest_late)},
                {"read_work", r.read_work},
                {"read_wasted", r.read_wasted},
                {"write_work", r.write_work},
                {"write_wasted", r.write_wasted},
                {"notes", r.notes},
                {"gaps", r.gaps}};
    out["breaches"] = Json::array();
    for (const Breach& b : r.breaches)
        out["breaches"].push_back({{"rule", b.rule},
                                   {"query", b.query},
                                   {"launch", b.attempt},
                                   {"what", b.what},
                                   {"story", b.story},
                                   {"file", b.where.file},
                                   {"line", b.where.line},
                                   {"at_us", b.where.at}});
    out["categories"] = Json::array();
    for (const CategoryReport& c : r.categories)
        out["categories"].push_back({{"name", c.name},
                                     {"asked", c.asked},
                                     {"settled", c.settled},
                                     {"in_goal", c.in_goal},
                                     {"declined", c.declined},
                                     {"given_up", c.given_up},
                                     {"not_taken", c.not_taken},
                                     {"left", c.left},
                                     {"lost", c.lost},
                                     {"first_p50_ms", c.first_ms.half},
                                     {"first_p99_ms", c.first_ms.ninety_nine},
                                     {"pace_p50_ms", c.pace_ms.half},
                                     {"pace_p99_ms", c.pace_ms.ninety_nine},
                                     {"launches", c.attempts}});
    out["budgets"] = Json::array();
    for (const Budget& b : r.budgets)
        out["budgets"].push_back(
            {{"engine", b.engine}, {"share", b.share}, {"told", b.told}, {"fell", b.fell}});
    return out.dump(1);
}

}  // namespace copperfront::audit
