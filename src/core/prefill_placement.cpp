// Choice of the prefill server for a prompt: the one with the fewest queued tokens, or one that has the
// prefix cached.
#include <algorithm>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// Prefix-cache affinity by weighted rendezvous hashing: all gateways prefer the same server for a prefix, so
// that server most likely prefilled it last. Without it every gateway would prefill the prefix somewhere
// else. A prefix that many sessions share has kPreferredPerBusyServer preferred servers for each server that
// its traffic keeps busy, and the session selects one of them. A server's weight is the part of its prefill
// work that is meant for requests from this gateway's zone; without it a zone with few prefill servers would
// be overloaded.
double Router::affinity_score(const RoutedRequest& q, ServerIndex s) {
    const std::uint64_t prefix = q.info.shared_prefix != 0 ? q.info.shared_prefix : q.info.session;
    const double random =
        prefix != 0 ? unit_interval(mix_bits(prefix ^ mix_bits(name_hash_[s]))) : random_unit();
    return weighted_score(random, prefill_weight(s));
}

double Router::compute_prefill_weight(ServerIndex s) const {
    const double target = 1.0 / static_cast<double>(zones_.size());
    const LocationShare& cell = cells_[cell_[s]];
    const double own_zone = zones_[terms_.zone].prefill_work, its_zone = zones_[zone_[s]].prefill_work;
    if (its_zone <= 0 || cell.prefill_share <= 0) return kMinWeight;
    const double cell_weight = cell.prefill_work / cell.prefill_share;
    if (zone_[s] == terms_.zone) return std::max(kMinWeight, cell_weight * std::min(1.0, target / its_zone));
    const double excess = std::max(0.0, target - own_zone), spare = std::max(0.0, its_zone - target);
    return std::max(kMinWeight, prefill_above_equal_share_ > 0
                                    ? cell_weight * excess * spare / prefill_above_equal_share_ / its_zone
                                    : 0.0);
}

std::size_t Router::preferred_rank(const RoutedRequest& q, double total_weight) const {
    const double servers = std::max(1.0, q.prefix_share * total_weight * kPreferredPerBusyServer);
    return q.info.shared_prefix == 0
               ? 0
               : static_cast<std::size_t>(unit_interval(mix_bits(q.info.session)) * servers);
}

// Scores the candidates with at most this load; the lowest score wins.
void Router::score_candidates(const RoutedRequest& q, double max_load) {
    scores_.clear();
    for (const ServerIndex s : candidates_)
        if (queued_prompt_tokens(s) <= max_load) scores_.emplace_back(affinity_score(q, s), s);
}

// The candidate whose score has this request's rank.
ServerIndex Router::preferred_server(const RoutedRequest& q, double total_weight) {
    const std::size_t rank = std::min(candidates_.size() - 1, preferred_rank(q, total_weight));
    const std::uint64_t prefix = q.info.shared_prefix != 0 ? q.info.shared_prefix : q.info.session;
    // A max-heap of the lowest scores up to that rank. A score is at least random / weight, so most
    // logarithms are skipped.
    scores_.clear();
    for (const ServerIndex s : candidates_) {
        const double random = unit_interval(mix_bits(prefix ^ mix_bits(name_hash_[s]))),
                     weight = prefill_weight(s);
        const bool is_full = scores_.size() > rank;
        if (is_full && random / weight > scores_.front().first) continue;
        scores_.emplace_back(weighted_score(random, weight), s);
        std::push_heap(scores_.begin(), scores_.end());
        if (!is_full) continue;
        std::pop_heap(scores_.begin(), scores_.end());
        scores_.pop_back();
    }
    return scores_.front().second;
}

bool Router::pick_prefill_server(const RoutedRequest& q, ServerIndex& best) {
    const CachedPrefixes prefixes = cached_prefixes_of(q);
    bool any_candidates = false;  // an earlier pass, or this one, had candidates
    // Pass 0: prefill servers. Pass 1: mixed servers. Pass 2: also servers that this request has just found
    // failing, and decode servers that can prefill if no other server is able to. Pass 3: also ejected
    // servers.
    for (const int pass : {0, 1, 2, 3}) {
        bool any_ejected = false, any_other_role = false;
        const auto is_eligible = [&](ServerIndex s) {
            const bool fits_role =
                pass == 0   ? does_prefill(s)
                : pass == 1 ? role_[s] == Role::mixed
                            : role_[s] != Role::decode || (terms_.decode_servers_prefill && !any_candidates);
            any_other_role |= !fits_role;
            if (!fits_role || !may_run_on(q, s) || !may_receive(s)) return false;
            if (pass < 3 && !is_available_to(q, s)) {
                any_ejected = true;
                return false;
            }
            if (now_ - full_at_[s] < kFullBackoff) return false;
            return pass > 1 || !is_avoided(q, s);
        };
        double least = kInfinite, total_weight = 0;
        candidates_.clear();
        const auto consider = [&](ServerIndex s) {
            if (!is_eligible(s)) return;
            candidates_.push_back(s);
            least = std::min(least, queued_prompt_tokens(s));
            total_weight += prefill_weight(s);
        };
        if (pass >= 2 && terms_.decode_servers_prefill && !any_candidates) {
            server_checks_ += server_count_;
            for (ServerIndex s = 0; s < server_count_; ++s) consider(s);
        } else {
            const std::vector<ServerIndex>& candidates = prefill_candidates();
            server_checks_ += candidates.size();
            for (const ServerIndex s : candidates) consider(s);
        }
        if (candidates_.empty()) continue;
        any_candidates = true;
        double preferred_load = kInfinite, preferred_uncached = 0;
        const double typical_prompt = prompt_length_.mean;
        const auto keeps_affinity = [&](ServerIndex s, double cached) {
            const double margin = kAffinityMarginPrompts * typical_prompt +
                                  kReportDeviations * queue_by_kind_[kind_[s]].deviation;
            return queued_prompt_tokens(s) <= least + margin && !is_prefill_late(q, cached, s);
        };
        if (const CachedPrefix* entry = prefixes.session;
            entry && entry->incarnation == incarnation_[entry->server] && is_eligible(entry->server)) {
            best = entry->server;
            if (keeps_affinity(best, expected_cached_tokens(q, prefixes, best)))
                return trace_choice(q, best, true, "it kept the session's text");
        }
        if (q.info.shared_prefix != 0 || q.info.session != 0) {
            best = preferred_server(q, total_weight);
            // A prefix that is new to this gateway is likely to be cached at its preferred server all the
            // same, above all after a restart of the gateway.
            const double usual_cached = cached_share_.mean * q.info.shared_prefix_tokens;
            const double cached =
                prefixes.shared_prefix ? expected_cached_tokens(q, prefixes, best) : usual_cached;
            if (keeps_affinity(best, cached))
                return trace_choice(q, best, true, "it is the home of its text");
            preferred_uncached = q.info.prompt_tokens - cached;
            preferred_load = queued_prompt_tokens(best);
        }
        // Prevents self-reinforcing overload: prefilling a cached prefix again elsewhere costs more than it
        // saves unless the preferred server's queue is longer by at least kAffinityLeaveFactor times the
        // tokens that would be prefilled again.
        std::erase_if(candidates_, [&](ServerIndex s) {
            const double cached = expected_cached_tokens(q, prefixes, s),
                         extra = q.info.prompt_tokens - cached - preferred_uncached;
            return queued_prompt_tokens(s) + kAffinityLeaveFactor * extra > preferred_load ||
                   is_prefill_late(q, cached, s);
        });
        if (candidates_.empty()) {
            // The passes that follow would examine the same servers again.
            if (pass == 0 && !any_ejected && !any_other_role && q.avoided_servers.empty()) return false;
            continue;
        }
        least = kInfinite;
        for (const ServerIndex s : candidates_) least = std::min(least, queued_prompt_tokens(s));
        score_candidates(q, least + kPrefillTiePrompts * typical_prompt);
        best = std::min_element(scores_.begin(), scores_.end())->second;
        return trace_choice(q, best, true,
                            pass < 2 ? "fewest queued prompt tokens" : "all others are shut out");
    }
    return false;
}

// Whether a prefill would end past the latency goal or the client's deadline. Under overload such a prefill
// only makes those behind it late as well. Prompts with a cached prefix pass more easily, as they cost the
// least for the same gain. If this gateway has no unanswered attempt at the server, a prompt counts with at
// most twice the mean prompt length; otherwise a very long prompt would never pass.
bool Router::is_prefill_late(const RoutedRequest& q, double cached, ServerIndex s) const {
    const double pace = current_pace(s, q.goal_deadline - q.arrived_at);
    const double cached_share = cached / std::max(1.0, q.info.prompt_tokens);
    const double goal_share =
        kPrefillGoalShare * (kUncachedGoalShare + (1 - kUncachedGoalShare) * cached_share);
    const double uncached = q.info.prompt_tokens - cached;
    const double tokens =
        queued_prompt_tokens(s) +
        (unanswered_attempts_[s] > 0 ? uncached : std::min(uncached, 2 * prompt_length_.mean));
    const Duration prefill_time = kMs * (pace * (tokens + kMinPrefillPrompts * prompt_length_.mean)),
                   useful_time = useful_until(q) - q.arrived_at;
    return now_ + prefill_time > q.arrived_at + useful_time * goal_share ||
           is_transfer_late(q, s, prefill_time);
}

// Whether the state would wait for a congested link. The request then waits before its prefill, as it does
// for decode servers.
bool Router::is_transfer_late(const RoutedRequest& q, ServerIndex s, Duration prefill_time) const {
    if (!does_prefill(s) || cell_room_[cell_[s]]) return false;
    return now_ + prefill_time + kMs * hand_over_time(zone_room_[zone_[s]] ? 1 : 2) > useful_until(q);
}

// Reports that come with answers are mostly old at a gateway with few requests. A probe waits in a prefill
// server's queue, so a server that answers one at once has no queue. The preferred server is probed, and the
// next one by score.
void Router::probe_preferred_servers(RoutedRequest& q) {
    if (!terms_.probes || !terms_.reports_queued_tokens || probe_credit_ < 2 || !any_decode_room(q)) return;
    scores_.clear();
    double total_weight = 0;
    for (ServerIndex s = 0; s < server_count_; ++s) {
        if (!does_prefill(s) || !is_available_to(q, s) || is_avoided(q, s) ||
            now_ - full_at_[s] < kFullBackoff)
            continue;
        if (is_transfer_late(q, s, {})) continue;
        scores_.emplace_back(affinity_score(q, s), s);
        total_weight += prefill_weight(s);
    }
    if (scores_.size() < 2) return;
    std::sort(scores_.begin(), scores_.end());
    const std::size_t rank = preferred_rank(q, total_weight);
    q.probed_servers = {scores_[rank % scores_.size()].second, scores_[(rank + 1) % scores_.size()].second};
    if (const CachedPrefix* entry = cached_prefixes_of(q).session;
        entry && entry->incarnation == incarnation_[entry->server] && does_prefill(entry->server) &&
        is_available_to(q, entry->server) && !is_avoided(q, entry->server)) {
        if (q.probed_servers[1] == entry->server) q.probed_servers[1] = q.probed_servers[0];
        q.probed_servers[0] = entry->server;
    }
    q.probe_deadline = q.arrived_at + (q.goal_deadline - q.arrived_at) * kProbeGoalShare;
    for (const ServerIndex s : q.probed_servers) probe(s);
    schedule_sweep(terms_.quantum);
}

bool Router::answered_probe_quickly(const RoutedRequest& q, ServerIndex s) const {
    return probe_answered_at_[s] >= q.arrived_at && probe_duration_[s] <= q.probe_deadline - q.arrived_at &&
           is_available_to(q, s) && may_run_on(q, s);
}

}  // namespace copperfront
