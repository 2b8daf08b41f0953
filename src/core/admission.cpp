// Admission: which requests wait, start or are rejected, and the quotas of client groups.
#include <algorithm>
#include <cmath>

#include "router.h"
#include "router_constants.h"
#include "sabotage.h"

namespace copperfront {

void Router::request_arrived(RequestIndex i, const RequestInfo& info) {
    now_ = host_.now();
    if (i >= requests_.size()) requests_.resize(i + 1);
    const std::uint32_t serial = requests_[i].serial + 1;
    RoutedRequest& q = requests_[i];
    q = RoutedRequest{};
    q.serial = serial;
    q.info = info;
    if (info.avoided_server >= 0) q.avoided_servers.push_back(static_cast<ServerIndex>(info.avoided_server));
    const Category& c = terms_.categories[info.category];
    q.arrived_at = now_;
    q.goal_deadline = q.arrived_at + c.latency_goal + c.goal_per_thousand * (info.prompt_tokens / 1000.0);
    q.deadline = q.arrived_at + info.time_budget;
    // No answer can come within one quantum, so such a request tells nothing of the fleet's load and takes
    // nothing of its group's share.
    if (info.time_budget <= terms_.quantum) {
        q.stage = Stage::queued;
        host_.request_ends(i, kTooLittleTime);
        return end_request(i, Duration{0});
    }
    // At least 1: a first empty prompt would make the mean 0, by which others are divided.
    add_sample(prompt_length_, std::max(1.0, info.prompt_tokens));
    add_sample(work_by_category_[info.category], estimated_stream_tokens(q));
    add_sample(average_work_, estimated_stream_tokens(q));
    refill_slow_start();
    if (now_ - shares_computed_at_ > kFleetShareInterval) compute_fleet_shares();
    if (info.shared_prefix != 0) {
        // The shared prefix's share of the traffic. One gateway of many sees little of the traffic, so its
        // own count is smoothed towards the rate at which two requests have the same shared prefix. With
        // plain counts every prefix met once would get many preferred servers.
        if (shared_prefix_counts_.size() >= kRememberedPrefixes) shared_prefix_counts_.clear();
        auto& [count, counted_at] = shared_prefix_counts_[info.shared_prefix];
        count *= std::exp(-seconds(q.arrived_at - counted_at) / kRateTimeConstantS);
        matching_pairs_ += count;
        all_pairs_ += recent_arrivals_;
        const double match_rate = (matching_pairs_ + kPriorMatchingPairs) / (all_pairs_ + kPriorPairs);
        q.prefix_share = (count + kPriorArrivals * match_rate) / (recent_arrivals_ + kPriorArrivals);
        count += 1;
        counted_at = q.arrived_at;
    }
    recent_arrivals_ += 1;
    // One quantum before the client's deadline, so that the answer arrives in time whatever the batching of
    // events.
    host_.set_timer(std::max(Duration{0}, info.time_budget - terms_.quantum),
                    kRequestKeys + (TimerKey{i} << 30) + serial % (1U << 30));
    q.stage = Stage::queued;
    if (exceeds_quota(q) && goal_usage_ > kOverloadGoalUsage) {
        host_.request_ends(i, kOverQuota);
        return end_request(i, terms_.max_retry_after);
    }
    new_requests_.emplace_back(i, serial);
    earn_probe_credit();
    probe_preferred_servers(q);
    serve_queues();
    probe_stalest();
}

// Whether the request exceeds the quota of its client group, a token bucket. Quotas are given for all
// gateways together. Clients are spread evenly over the gateways, so each gateway enforces its share.
bool Router::exceeds_quota(const RoutedRequest& q) {
    if (q.info.client_group < 0) return false;
    const auto group = static_cast<std::size_t>(q.info.client_group);
    if (group >= terms_.quotas.size() || terms_.quotas[group] <= 0) return false;
    const double rate = terms_.quotas[group] / terms_.gateways;
    quota_credit_[group] =
        std::min(quota_burst(rate), quota_credit_[group] + rate * seconds(now_ - quota_refilled_at_[group]));
    quota_refilled_at_[group] = now_;
    if (quota_credit_[group] < 1) return true;
    quota_credit_[group] -= 1;
    return false;
}

// Requests wait before their prefill: without room at a decode server no prefill is started.
bool Router::try_start(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    ServerIndex s = 0;
    const bool has_room = any_decode_room(q);
    if (has_room && q.probe_deadline > q.arrived_at) {
        const Instant halfway = q.arrived_at + (q.probe_deadline - q.arrived_at) * 0.5, now = now_;
        for (const ServerIndex probed : q.probed_servers) {
            if (!answered_probe_quickly(q, probed) || (probed != q.probed_servers[0] && now < halfway))
                continue;
            candidates_ = {q.probed_servers[0], q.probed_servers[1]};
            q.probe_deadline = q.arrived_at;
            trace_choice(q, probed, true, "it answers at once");
            return send(i, probed, true), true;
        }
        if (now < q.probe_deadline) {
            host_.request_waits(i, "asked readers have not answered");
            schedule_sweep((now < halfway ? halfway : q.probe_deadline) - now);
            return false;
        }
        q.probe_deadline = q.arrived_at;
    }
    if (has_room && pick_prefill_server(q, s)) return send(i, s, true), true;
    host_.request_waits(i, has_room ? "no reader can take it in time" : "no writer shows room");
    return false;
}

// Time until which an answer is still useful; a request that can't be answered by then is ended instead of
// waiting on. Normally the earlier of latency goal and deadline. After a lost answer it is the deadline: the
// work is done, and most of it is still cached where it ran.
Instant Router::useful_until(const RoutedRequest& q) const {
    return q.answer_lost ? q.deadline : std::min(q.goal_deadline, q.deadline);
}

void Router::serve_queues() {
    refill_slow_start();
    if (now_ - server_checks_since_ >= kServerCheckInterval) {
        server_checks_since_ = now_;
        server_checks_ = 0;
    }
    serve_queue(new_requests_, Stage::queued);
    serve_queue(retries_, Stage::queued_for_retry);
    if (!new_requests_.empty() || !retries_.empty()) schedule_sweep(kServerCheckInterval);
}

// Bounds the work when hundreds of requests wait and each event would examine thousands of servers for each
// of them: past a limit on the servers examined in an interval the remaining requests wait for the next
// interval, and those that have not been tried come first.
void Router::serve_queue(std::deque<std::pair<RequestIndex, std::uint32_t>>& queue, Stage stage) {
    const Duration quick_answer = kMs * (quick_time(prefill_time_) + quick_time(first_token_time_));
    // Each queue may use half of what is left of the interval's limit, so new requests leave some to retries.
    const std::size_t max_checks = server_checks_ / 2 + kMaxServerChecks / 2;
    for (std::size_t n = queue.size(); n > 0 && server_checks_ < max_checks; --n) {
        const auto [i, serial] = queue.front();
        queue.pop_front();
        RoutedRequest& q = requests_[i];
        if (q.serial != serial || q.stage != stage) continue;
        const bool may_try = !is_sabotaged(Sabotage::waiting_tried_once) || now_ == q.arrived_at;
        if (may_try && try_start(i)) continue;
        if (now_ + quick_answer > useful_until(q) && now_ > q.arrived_at) {
            host_.request_ends(i, "it would be settled too late");
            end_request(i, terms_.max_retry_after);
            continue;
        }
        // A prefill whose answer was lost may have left a state on its server. Its release is requested after
        // 0.4 of the time limit, to be in time.
        if (q.attempts > 0 && now_ - q.waiting_since >= terms_.release_within * 0.4) {
            host_.release(i);
            q.waiting_since = now_;
        }
        queue.emplace_back(i, serial);
    }
}

Router::Waiting Router::waiting() const {
    Waiting waiting;
    for (const RoutedRequest& q : requests_) {
        if (q.stage != Stage::queued && q.stage != Stage::queued_for_retry &&
            q.stage != Stage::waiting_for_decode)
            continue;
        if (waiting.requests++ == 0 || q.arrived_at < waiting.oldest) waiting.oldest = q.arrived_at;
    }
    return waiting;
}

void Router::requeue(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    q.stage = Stage::queued_for_retry;
    retries_.emplace_back(i, q.serial);
    schedule_sweep(Duration{0});
}

}  // namespace copperfront
