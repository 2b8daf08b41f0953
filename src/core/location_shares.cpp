// Roles of servers, and the shares of prefill and decode servers in each cell and zone.
#include <algorithm>
#include <utility>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// Computes the shares of prefill servers, decode servers and prefills of each cell and zone. Prefills are
// shifted towards prefill servers with decode servers in the same cell, the more the longer hand-overs
// between cells take compared with those within one.
void Router::compute_fleet_shares() {
    cells_.assign(cells_.size(), {});
    zones_.assign(zones_.size(), {});
    double prefill_servers = 0, decode_servers = 0, total_work = 0;
    const double same_cell_time = hand_over_time(0),
                 extra_time =
                     std::max({0.0, hand_over_time(1) - same_cell_time, hand_over_time(2) - same_cell_time});
    const double locality = extra_time > 0 ? extra_time / (extra_time + prefill_time_.mean) : 0.0;
    shares_computed_at_ = now_;
    const bool had_prefill_servers = std::exchange(has_prefill_servers_, false);
    for (ServerIndex s = 0; s < server_count_; ++s)
        has_prefill_servers_ |= is_ready(s) && role_[s] == Role::prefill;
    // From now on mixed servers are judged by the other kind of attempt (prefills or hand-overs).
    for (ServerIndex s = 0; s < server_count_ && had_prefill_servers != has_prefill_servers_; ++s)
        if (role_[s] == Role::mixed) pace_samples_[s] = 0;
    for (ServerIndex s = 0; s < server_count_; ++s) {
        if (cell_[s] >= cells_.size()) cells_.resize(cell_[s] + 1);
        if (zone_[s] >= zones_.size()) zones_.resize(zone_[s] + 1);
        cells_[cell_[s]].zone = zone_[s];
        if (!is_ready(s)) continue;
        prefill_servers += does_prefill(s);
        decode_servers += does_decode(s);
        cells_[cell_[s]].prefill_share += does_prefill(s);
        cells_[cell_[s]].decode_share += does_decode(s);
    }
    for (LocationShare& cell : cells_) {
        cell.prefill_share /= std::max(1.0, prefill_servers);
        cell.decode_share /= std::max(1.0, decode_servers);
        cell.prefill_work = std::min(kMaxPrefillShareFactor * cell.prefill_share, cell.decode_share);
        total_work += cell.prefill_work;
    }
    for (LocationShare& cell : cells_) {
        cell.prefill_work =
            cell.prefill_share +
            (total_work > 0 ? locality * (cell.prefill_work / total_work - cell.prefill_share) : 0.0);
        zones_[cell.zone].prefill_share += cell.prefill_share;
        zones_[cell.zone].prefill_work += cell.prefill_work;
        zones_[cell.zone].excess += std::max(0.0, cell.prefill_work - cell.decode_share);
        zones_[cell.zone].spare += std::max(0.0, cell.decode_share - cell.prefill_work);
    }
    role_sizes_ = {decode_servers, prefill_servers};
    net_spare_of_zones_ = prefill_above_equal_share_ = 0;
    for (const LocationShare& zone : zones_) {
        net_spare_of_zones_ += std::max(0.0, zone.spare - zone.excess);
        prefill_above_equal_share_ +=
            std::max(0.0, zone.prefill_work - 1.0 / static_cast<double>(zones_.size()));
    }
    prefill_weights_.resize(server_count_);
    for (ServerIndex s = 0; s < server_count_; ++s) prefill_weights_[s] = compute_prefill_weight(s);
}

// Called after the server list or the terms have changed.
void Router::listed_servers_changed() {
    ready_prefill_.clear();
    ready_decode_.clear();
    cold_servers_.clear();
    for (ServerIndex s = 0; s < server_count_; ++s) {
        if (!is_ready(s)) continue;
        if (role_[s] != Role::decode) ready_prefill_.push_back(s);
        if (role_[s] != Role::prefill) ready_decode_.push_back(s);
        if (is_cold(s)) cold_servers_.push_back(s);
    }
    prefill_candidates_.invalidate();
    decode_candidates_.invalidate();
    servers_with_room_.invalidate();
}

// Called when a server may have become able or unable to receive requests.
void Router::availability_changed(ServerIndex s) {
    if (role_[s] != Role::decode) prefill_candidates_.invalidate();
    if (role_[s] == Role::prefill) return;
    decode_candidates_.invalidate();
    servers_with_room_.invalidate();
}

// Mixed servers decode: prefills there slow down all answers that they stream, and only mixed and decode
// servers can decode. They count as prefill servers where there are no others.
bool Router::does_prefill(ServerIndex s) const {
    return role_[s] == Role::prefill || (role_[s] == Role::mixed && !has_prefill_servers_);
}

bool Router::does_decode(ServerIndex s) const { return role_[s] != Role::prefill; }

bool Router::is_ready(ServerIndex s) const { return status_[s] == ServerStatus::ready; }

}  // namespace copperfront
