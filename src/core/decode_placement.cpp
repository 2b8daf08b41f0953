// Choice of the decode server for a request's state: the one with the most free memory when the prefill has
// ended.
#include <algorithm>
#include <cmath>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// Reports the compared candidates to a trace, if one is kept. No decision depends on this.
// Always returns true, so that a choice can end with it.
bool Router::trace_choice(const RoutedRequest& q, ServerIndex chosen, bool is_prefill, const char* why) {
    if (!host_.is_tracing()) return true;
    traced_candidates_.clear();
    for (const ServerIndex s : candidates_)
        traced_candidates_.push_back({s, is_prefill ? queued_prompt_tokens(s) : decode_room(s)});
    const std::size_t traced = std::min(traced_candidates_.size(), kTracedCandidates);
    const auto end = traced_candidates_.begin() + static_cast<std::ptrdiff_t>(traced);
    std::partial_sort(traced_candidates_.begin(), end, traced_candidates_.end(),
                      [&](const Host::Candidate& a, const Host::Candidate& b) {
                          return is_prefill ? a.load_or_room < b.load_or_room
                                            : a.load_or_room > b.load_or_room;
                      });
    host_.server_chosen(static_cast<RequestIndex>(&q - requests_.data()), chosen, is_prefill, why,
                        {traced_candidates_.begin(), end}, candidates_.size());
    return true;
}

// Weight of a decode server in a tie. It keeps a cell's decode servers from being overloaded because all
// gateways favour the cell of the prefill server at once: ties favour that cell only as far as its decode
// share matches its share of the prefills. The excess goes to cells with decode servers to spare, first in
// the same zone. If all gateways weigh so, each decode server gets its share.
double Router::decode_weight(ServerIndex s, ServerIndex prefill_server) const {
    const LocationShare& here = cells_[cell_[prefill_server]];
    const LocationShare& there = cells_[cell_[s]];
    const LocationShare& zone = zones_[zone_[prefill_server]];
    if (there.decode_share <= 0 || here.prefill_work <= 0) return kMinWeight;
    if (cell_[s] == cell_[prefill_server])
        return std::max(kMinWeight, std::min(here.prefill_work, here.decode_share) / there.decode_share);
    const double excess = std::max(0.0, here.prefill_work - here.decode_share);
    const double stays_in_zone = zone.excess > 0 ? std::min(1.0, zone.spare / zone.excess) : 1.0;
    const double spare = std::max(0.0, there.decode_share - there.prefill_work) / there.decode_share;
    if (zone_[s] == zone_[prefill_server])
        return std::max(kMinWeight, zone.spare > 0 ? excess * stays_in_zone * spare / zone.spare : 0.0);
    const LocationShare& other_zone = zones_[zone_[s]];
    const double remaining =
        other_zone.spare > 0 ? std::max(0.0, 1 - other_zone.excess / other_zone.spare) : 0.0;
    return std::max(kMinWeight, net_spare_of_zones_ > 0
                                    ? excess * (1 - stays_in_zone) * spare * remaining / net_spare_of_zones_
                                    : 0.0);
}

// The weight is the same for all servers of one cell in one zone, so one choice computes it once for each.
double Router::cached_decode_weight(ServerIndex s, ServerIndex prefill_server) {
    CellWeight& cell = cell_weights_[cell_[s]];
    if (!cell.is_known || cell.zone != zone_[s]) cell = {true, zone_[s], decode_weight(s, prefill_server)};
    return cell.weight;
}

// Network distance that a state is transferred over. 0: within the cell, 1: to another cell of the zone, 2:
// to another zone.
std::size_t Router::distance_class(ServerIndex from, ServerIndex to) const {
    return cell_[from] == cell_[to] ? 0 : zone_[from] == zone_[to] ? 1 : 2;
}

void Router::note_hand_over(const RoutedRequest& q, Duration duration) {
    const std::size_t distance = distance_class(q.state_server, q.server);
    add_sample(hand_over_times_[distance], duration.ms(), kRoleSampleWeight);
    last_hand_over_at_[distance] = now_;
}

// The learned time fades, as a distance that is avoided yields no new samples.
double Router::hand_over_time(std::size_t distance) const {
    return hand_over_times_[distance].mean *
           std::exp(-seconds(now_ - last_hand_over_at_[distance]) / kRateTimeConstantS);
}

// Whether an idle connection from this gateway to the server is likely to exist.
bool Router::is_connected(ServerIndex s) const {
    return connected_at_[s].us != 0 &&
           now_ - connected_at_[s] < terms_.connection_idle_timeout * kConnectedIdleShare;
}

// Avoids a handshake for nearly every request of a gateway whose fleet is large for its traffic: a tie within
// a cell goes to a connected server, once enough servers are connected to spread the requests over.
ServerIndex Router::prefer_connected(ServerIndex picked, double least_room) {
    if (is_connected(picked)) return picked;
    std::size_t connected = 0;
    scores_.clear();
    for (std::size_t n = 0; n < candidates_.size(); ++n) {
        const ServerIndex s = candidates_[n];
        if (candidate_room_[n] < least_room || !is_connected(s)) continue;
        ++connected;
        if (cell_[s] == cell_[picked] && zone_[s] == zone_[picked]) scores_.emplace_back(0, s);
    }
    if (connected < kMinConnectedServers || scores_.empty()) return picked;
    const auto position = static_cast<std::size_t>(random_unit() * static_cast<double>(scores_.size()));
    return scores_[std::min(position, scores_.size() - 1)].second;
}

// Picks one of the candidates with at least this room, at random by weight.
ServerIndex Router::pick_among_ties(const RoutedRequest& q, double least_room) {
    ServerIndex picked = candidates_.front();
    double lowest = kInfinite;
    cell_weights_.assign(cells_.size(), {});
    for (std::size_t n = 0; n < candidates_.size(); ++n) {
        if (candidate_room_[n] < least_room) continue;
        const ServerIndex s = candidates_[n];
        const double random = random_unit(), weight = cached_decode_weight(s, q.state_server);
        // A score is at least random / weight, so most logarithms are skipped.
        if (random / weight >= lowest) continue;
        const double score = weighted_score(random, weight);
        if (score >= lowest) continue;
        lowest = score;
        picked = s;
    }
    return prefer_connected(picked, least_room);
}

bool Router::pick_decode_server(const RoutedRequest& q, ServerIndex& best) {
    // Congested links: a state sent over one would arrive too late, and delay those behind it.
    std::array<bool, 3> late{};
    for (const std::size_t distance : {1, 2})
        late[distance] = hand_over_time(distance) > hand_over_time(0) &&
                         now_ + kMs * hand_over_time(distance) > q.goal_deadline;
    for (const int pass : {0, 1, 2}) {
        const auto is_eligible = [&](ServerIndex s) {
            if (!may_run_on(q, s)) return false;
            if (pass < 2 && !is_available_to(q, s)) return false;
            if (pass > 0) return true;
            return !is_avoided(q, s) && has_free_memory(s) && !late[distance_class(q.state_server, s)];
        };
        double most_room = -kInfinite;
        candidates_.clear();
        candidate_room_.clear();
        for (const ServerIndex s : decode_candidates()) {
            if (!is_eligible(s)) continue;
            candidates_.push_back(s);
            candidate_room_.push_back(decode_room(s));
            most_room = std::max(most_room, candidate_room_.back());
        }
        if (candidates_.empty()) continue;
        best = pick_among_ties(q, most_room - kDecodeTieStreams * estimated_stream_tokens(q));
        return trace_choice(q, best, false, pass == 0 ? "most free memory" : "no open writer shows room");
    }
    return false;
}

}  // namespace copperfront
