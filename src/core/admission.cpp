// Admission: which requests wait, start or are rejected, and the shares of client groups.
#include <algorithm>
#include <cmath>

#include "rules.h"
#include "rules_tuning.h"
#include "sabotage.h"

namespace copperfront {

void Rules::query_arrived(QueryIndex i, const Arrival& facts) {
    now_ = host_.now();
    if (i >= queries_.size()) queries_.resize(i + 1);
    const std::uint32_t serial = queries_[i].serial + 1;
    Query& q = queries_[i];
    q = Query{};
    q.serial = serial;
    q.facts = facts;
    if (facts.avoid >= 0) q.avoid.push_back(static_cast<ServerIndex>(facts.avoid));
    const Category& c = terms_.categories[facts.category];
    q.came = now_;
    q.goal = q.came + c.latency_goal + c.goal_per_thousand * (facts.prompt_tokens / 1000.0);
    q.hard_stop = q.came + facts.budget;
    // Not nothing, or a first empty prompt would divide by it.
    learn(prompt_, std::max(1.0, facts.prompt_tokens));
    learn(work_of_category_[facts.category], stream_estimate(q));
    learn(work_, stream_estimate(q));
    refill_cold();
    if (now_ - weighed_at_ > kWeighEvery) weigh_cells();
    if (facts.beginning != 0) {
        // Its part of the traffic, of which a gateway among many sees little: what was met before, leaning
        // towards how often two queries begin alike. Counting itself would give each text met once many
        // homes.
        if (popularity_.size() >= kTextsKept) popularity_.clear();
        auto& [level, at] = popularity_[facts.beginning];
        level *= std::exp(-seconds(q.came - at) / kRateWindowS);
        alike_ += level;
        pairs_ += arrivals_;
        const double usual = (alike_ + kAlikeBefore) / (pairs_ + kPairsBefore);
        q.part = (level + kFewArrivals * usual) / (arrivals_ + kFewArrivals);
        level += 1;
        at = q.came;
    }
    arrivals_ += 1;
    // A shade before the client leaves, so that the answer is there in time however the batches fall.
    host_.set_timer(std::max(Span{0}, facts.budget - terms_.quantum),
                    kQueryKeys + (TimerKey{i} << 30) + serial % (1U << 30));
    q.stage = Stage::first_line;
    if (over_share(q) && strain_ > kStrained) {
        host_.ends(i, kOverItsShare);
        return end(i, terms_.max_stay_away);
    }
    first_line_.emplace_back(i, serial);
    pay_probes();
    ask_readers(q);
    serve_lines();
    probe_some();
}

// Shares are told for all gateways; the front spreads clients evenly, so each holds its part.
bool Rules::over_share(const Query& q) {
    if (q.facts.client_group < 0) return false;
    const auto g = static_cast<std::size_t>(q.facts.client_group);
    if (g >= terms_.quotas.size() || terms_.quotas[g] <= 0) return false;
    const double rate = terms_.quotas[g] / terms_.gateways;
    share_level_[g] = std::min(share_burst(rate), share_level_[g] + rate * seconds(now_ - share_filled_[g]));
    share_filled_[g] = now_;
    if (share_level_[g] < 1) return true;
    share_level_[g] -= 1;
    return false;
}

// The hold is before the read: no writer shows room, no read.
bool Rules::start(QueryIndex i) {
    Query& q = queries_[i];
    ServerIndex s = 0;
    const bool room = any_room(q);
    if (room && q.ask_until > q.came) {
        const Instant half = q.came + (q.ask_until - q.came) * 0.5, now = now_;
        for (const ServerIndex asked : q.asked) {
            if (!answers_at_once(q, asked) || (asked != q.asked[0] && now < half)) continue;
            candidates_ = {q.asked[0], q.asked[1]};
            q.ask_until = q.came;
            tell(q, asked, true, "it answers at once");
            return send(i, asked, true), true;
        }
        if (now < q.ask_until) {
            host_.held(i, "asked readers have not answered");
            wake_soon((now < half ? half : q.ask_until) - now);
            return false;
        }
        q.ask_until = q.came;
    }
    if (room && pick_reader(q, s)) return send(i, s, true), true;
    host_.held(i, room ? "no reader can take it in time" : "no writer shows room");
    return false;
}

// Against queries that wait only to be answered too late. One whose answer was lost has cost its work, most
// of which is kept where it lies.
Instant Rules::of_use_until(const Query& q) const {
    return q.answer_lost ? q.hard_stop : std::min(q.goal, q.hard_stop);
}

void Rules::serve_lines() {
    refill_cold();
    if (now_ - looks_since_ >= kLooksEvery) {
        looks_since_ = now_;
        looks_ = 0;
    }
    serve_line(first_line_, Stage::first_line);
    serve_line(further_line_, Stage::further_line);
    if (!first_line_.empty() || !further_line_.empty()) wake_soon(kLooksEvery);
}

// Against requests that wait by the hundreds and cost a look at thousands of servers at each event: past a
// bound on the looks of a while the rest waits for the next, those first that have not been tried.
void Rules::serve_line(std::deque<std::pair<QueryIndex, std::uint32_t>>& line, Stage stage) {
    const Span quick = kMs * (quick_of(read_time_) + quick_of(first_time_));
    const std::size_t most_looks = looks_ / 2 + kMostLooks / 2;
    for (std::size_t n = line.size(); n > 0 && looks_ < most_looks; --n) {
        const auto [i, serial] = line.front();
        line.pop_front();
        Query& q = queries_[i];
        if (q.serial != serial || q.stage != stage) continue;
        const bool is_tried = !is_sabotaged(Sabotage::waiting_tried_once) || now_ == q.came;
        if (is_tried && start(i)) continue;
        if (now_ + quick > of_use_until(q) && now_ > q.came) {
            host_.ends(i, "it would be settled too late");
            end(i, terms_.max_stay_away);
            continue;
        }
        // Against a state that a read left behind after its answer was lost.
        if (q.attempts > 0 && now_ - q.parked_since >= terms_.release_within * 0.4) {
            host_.release(i);
            q.parked_since = now_;
        }
        line.emplace_back(i, serial);
    }
}

Rules::Waiting Rules::waiting() const {
    Waiting waiting;
    for (const Query& q : queries_) {
        if (q.stage != Stage::first_line && q.stage != Stage::further_line && q.stage != Stage::parked)
            continue;
        if (waiting.requests++ == 0 || q.came < waiting.oldest) waiting.oldest = q.came;
    }
    return waiting;
}

void Rules::stand_again(QueryIndex i) {
    Query& q = queries_[i];
    q.stage = Stage::further_line;
    further_line_.emplace_back(i, q.serial);
    wake_soon(Span{0});
}

}  // namespace copperfront
