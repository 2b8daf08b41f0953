// Roles of servers, and the parts of prefill and decode servers of each cell and zone.
#include <algorithm>
#include <utility>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// The parts of readers, writers and reads of each cell and zone. Reads lean towards readers beside writers as
// far as hand-overs out of a cell take longer than those within it.
void Rules::weigh_cells() {
    cells_.assign(cells_.size(), {});
    zones_.assign(zones_.size(), {});
    double readers = 0, writers = 0, reads_all = 0;
    const double near = hand_over_time(0),
                 far = std::max({0.0, hand_over_time(1) - near, hand_over_time(2) - near});
    const double beside = far > 0 ? far / (far + read_time_.mean) : 0.0;
    weighed_at_ = now_;
    const bool had = std::exchange(has_readers_, false);
    for (ServerIndex s = 0; s < servers_; ++s) has_readers_ |= ready(s) && role_[s] == Role::reader;
    // Mixed servers are judged by another pace from now on.
    for (ServerIndex s = 0; s < servers_ && had != has_readers_; ++s)
        if (role_[s] == Role::mixed) paced_[s] = 0;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (cell_[s] >= cells_.size()) cells_.resize(cell_[s] + 1);
        if (zone_[s] >= zones_.size()) zones_.resize(zone_[s] + 1);
        cells_[cell_[s]].zone = zone_[s];
        if (!ready(s)) continue;
        readers += reads(s);
        writers += writes(s);
        cells_[cell_[s]].readers += reads(s);
        cells_[cell_[s]].writers += writes(s);
    }
    for (Mix& cell : cells_) {
        cell.readers /= std::max(1.0, readers);
        cell.writers /= std::max(1.0, writers);
        cell.reads = std::min(kReadStretch * cell.readers, cell.writers);
        reads_all += cell.reads;
    }
    for (Mix& cell : cells_) {
        cell.reads = cell.readers + (reads_all > 0 ? beside * (cell.reads / reads_all - cell.readers) : 0.0);
        zones_[cell.zone].readers += cell.readers;
        zones_[cell.zone].reads += cell.reads;
        zones_[cell.zone].over += std::max(0.0, cell.reads - cell.writers);
        zones_[cell.zone].spare += std::max(0.0, cell.writers - cell.reads);
    }
    peers_ = {writers, readers};
    far_spare_ = spare_readers_ = 0;
    for (const Mix& zone : zones_) {
        far_spare_ += std::max(0.0, zone.spare - zone.over);
        spare_readers_ += std::max(0.0, zone.reads - 1.0 / static_cast<double>(zones_.size()));
    }
    reader_parts_.resize(servers_);
    for (ServerIndex s = 0; s < servers_; ++s) reader_parts_[s] = part_of_reads(s);
}

// After the list or the terms have changed.
void Rules::listed_servers_changed() {
    ready_prefill_.clear();
    ready_decode_.clear();
    cold_.clear();
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!ready(s)) continue;
        if (role_[s] != Role::writer) ready_prefill_.push_back(s);
        if (role_[s] != Role::reader) ready_decode_.push_back(s);
        if (is_cold(s)) cold_.push_back(s);
    }
    prefill_candidates_.invalidate();
    decode_candidates_.invalidate();
    servers_with_room_.invalidate();
}

// Whether it may be sent something may have changed.
void Rules::capacity_changed(ServerIndex s) {
    if (role_[s] != Role::writer) prefill_candidates_.invalidate();
    if (role_[s] == Role::reader) return;
    decode_candidates_.invalidate();
    servers_with_room_.invalidate();
}

// Mixed servers write: what they read slows all answers that they write, and only they and the writers can
// write. They count as readers where there are no others.
bool Rules::reads(ServerIndex s) const {
    return role_[s] == Role::reader || (role_[s] == Role::mixed && !has_readers_);
}

bool Rules::writes(ServerIndex s) const { return role_[s] != Role::reader; }

bool Rules::ready(ServerIndex s) const { return standing_[s] == Standing::ready; }

}  // namespace copperfront
