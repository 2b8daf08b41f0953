// Which decode server takes a state: the one with the most free memory when the read has ended.
#include <algorithm>
#include <cmath>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// What was compared, for whoever keeps a trace of it. Nothing here depends on that.
bool Rules::tell(const Query& q, ServerIndex taken, bool reading, const char* why) {
    if (!host_.keeps_trace()) return true;
    sights_.clear();
    for (const ServerIndex s : candidates_) sights_.push_back({s, reading ? reader_load(s) : writer_room(s)});
    const std::size_t told = std::min(sights_.size(), kSightsTold);
    const auto end = sights_.begin() + static_cast<std::ptrdiff_t>(told);
    std::partial_sort(sights_.begin(), end, sights_.end(), [&](const Host::Sight& a, const Host::Sight& b) {
        return reading ? a.figure < b.figure : a.figure > b.figure;
    });
    host_.chose(static_cast<QueryIndex>(&q - queries_.data()), taken, reading, why, {sights_.begin(), end},
                candidates_.size());
    return true;
}

// Against cells whose writers drown because all gateways favour the reader's cell at once: ties favour it
// only as far as its writers' part matches its readers' part of the reads. What is over goes to cells with
// writers to spare, of the same zone first. If all draw so, each writer gets its part.
double Rules::writer_part(ServerIndex s, ServerIndex reader) const {
    const Mix& here = cells_[cell_[reader]];
    const Mix& there = cells_[cell_[s]];
    const Mix& zone = zones_[zone_[reader]];
    if (there.writers <= 0 || here.reads <= 0) return kLeastPart;
    if (cell_[s] == cell_[reader])
        return std::max(kLeastPart, std::min(here.reads, here.writers) / there.writers);
    const double over = std::max(0.0, here.reads - here.writers);
    const double stays = zone.over > 0 ? std::min(1.0, zone.spare / zone.over) : 1.0;
    const double spare = std::max(0.0, there.writers - there.reads) / there.writers;
    if (zone_[s] == zone_[reader])
        return std::max(kLeastPart, zone.spare > 0 ? over * stays * spare / zone.spare : 0.0);
    const Mix& far = zones_[zone_[s]];
    const double left = far.spare > 0 ? std::max(0.0, 1 - far.over / far.spare) : 0.0;
    return std::max(kLeastPart, far_spare_ > 0 ? over * (1 - stays) * spare * left / far_spare_ : 0.0);
}

// The same for all servers of a cell in a zone, so that one choice works it out once for each.
double Rules::part_of_place(ServerIndex s, ServerIndex reader) {
    PartOfCell& known = parts_of_cells_[cell_[s]];
    if (!known.is_known || known.zone != zone_[s]) known = {true, zone_[s], writer_part(s, reader)};
    return known.part;
}

// How far a state goes: within its cell, over the cell's link, or on to another zone.
std::size_t Rules::way(ServerIndex from, ServerIndex to) const {
    return cell_[from] == cell_[to] ? 0 : zone_[from] == zone_[to] ? 1 : 2;
}

void Rules::note_hand_over(const Query& q, Span took) {
    const std::size_t w = way(q.state_at, q.server);
    learn(hand_overs_[w], took.ms(), kLearnPool);
    handed_at_[w] = now_;
}

// What was learned fades, as a way that is avoided teaches nothing more.
double Rules::hand_over_time(std::size_t w) const {
    return hand_overs_[w].mean * std::exp(-seconds(now_ - handed_at_[w]) / kRateWindowS);
}

// Whether a connection that this gateway has used is likely to rest there.
bool Rules::is_connected(ServerIndex s) const {
    return connected_at_[s].us != 0 && now_ - connected_at_[s] < terms_.connections_rest * kConnectedPart;
}

// Against a handshake for nearly every request of a gateway whose fleet is large for its traffic: a tie
// within a cell goes to a connected server, once there are enough of them to spread the requests over.
ServerIndex Rules::connected_instead(ServerIndex drawn, double least_room) {
    if (is_connected(drawn)) return drawn;
    std::size_t connected = 0;
    lots_.clear();
    for (std::size_t n = 0; n < candidates_.size(); ++n) {
        const ServerIndex s = candidates_[n];
        if (rooms_[n] < least_room || !is_connected(s)) continue;
        ++connected;
        if (cell_[s] == cell_[drawn] && zone_[s] == zone_[drawn]) lots_.emplace_back(0, s);
    }
    if (connected < kConnectedEnough || lots_.empty()) return drawn;
    const auto place = static_cast<std::size_t>(chance() * static_cast<double>(lots_.size()));
    return lots_[std::min(place, lots_.size() - 1)].second;
}

// Of the candidates with at least this room, each by its part.
ServerIndex Rules::draw_among_ties(const Query& q, double least_room) {
    ServerIndex drawn = candidates_.front();
    double first = kInfinite;
    parts_of_cells_.assign(cells_.size(), {});
    for (std::size_t n = 0; n < candidates_.size(); ++n) {
        if (rooms_[n] < least_room) continue;
        const ServerIndex s = candidates_[n];
        const double chance_of_it = chance(), part = part_of_place(s, q.state_at);
        // An arrival is at least the number drawn over the part, which spares most of them.
        if (chance_of_it / part >= first) continue;
        const double arrival = arrival_at(chance_of_it, part);
        if (arrival >= first) continue;
        first = arrival;
        drawn = s;
    }
    return connected_instead(drawn, least_room);
}

bool Rules::pick_writer(const Query& q, ServerIndex& best) {
    // Against links that are jammed: the state would be there too late, and hold up those behind it.
    std::array<bool, 3> late{};
    for (const std::size_t w : {1, 2})
        late[w] = hand_over_time(w) > hand_over_time(0) && now_ + kMs * hand_over_time(w) > q.goal;
    for (const int pass : {0, 1, 2}) {
        const auto fit = [&](ServerIndex s) {
            if (!may_go(q, s)) return false;
            if (pass < 2 && !is_open_to(q, s)) return false;
            if (pass > 0) return true;
            return !avoids(q, s) && shows_room(s) && !late[way(q.state_at, s)];
        };
        double most = -kInfinite;
        candidates_.clear();
        rooms_.clear();
        for (const ServerIndex s : decode_candidates()) {
            if (!fit(s)) continue;
            candidates_.push_back(s);
            rooms_.push_back(writer_room(s));
            most = std::max(most, rooms_.back());
        }
        if (candidates_.empty()) continue;
        best = draw_among_ties(q, most - kWriterTie * stream_estimate(q));
        return tell(q, best, false, pass == 0 ? "most free memory" : "no open writer shows room");
    }
    return false;
}

}  // namespace copperfront
