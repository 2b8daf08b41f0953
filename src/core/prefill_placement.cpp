// Which prefill server reads a prompt: the one with the fewest queued tokens, or one that has the prefix
// cached.
#include <algorithm>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// Against texts that every gateway has read somewhere else: a text's home is drawn by a lot that falls alike
// at all gateways, so that it is the likeliest to have read the text last. A beginning that many sessions
// share has as many homes as its part of the traffic would keep busy, and the session tells which. The lot is
// drawn by the part of a reader's work that is this zone's, or a zone with few readers would drown them.
double Rules::lot(const Query& q, ServerIndex s) {
    const std::uint64_t text = q.facts.beginning != 0 ? q.facts.beginning : q.facts.session;
    const double drawn = text != 0 ? unit(mixed(text ^ mixed(mark_[s]))) : chance();
    return arrival_at(drawn, reader_part(s));
}

double Rules::part_of_reads(ServerIndex s) const {
    const double wanted = 1.0 / static_cast<double>(zones_.size());
    const Mix& cell = cells_[cell_[s]];
    const double here = zones_[terms_.zone].reads, there = zones_[zone_[s]].reads;
    if (there <= 0 || cell.readers <= 0) return kLeastPart;
    const double own = cell.reads / cell.readers;
    if (zone_[s] == terms_.zone) return std::max(kLeastPart, own * std::min(1.0, wanted / there));
    const double over = std::max(0.0, wanted - here), spare = std::max(0.0, there - wanted);
    return std::max(kLeastPart, spare_readers_ > 0 ? own * over * spare / spare_readers_ / there : 0.0);
}

std::size_t Rules::home_place(const Query& q, double readers) const {
    const double homes = std::max(1.0, q.part * readers * kHomesPart);
    return q.facts.beginning == 0 ? 0 : static_cast<std::size_t>(unit(mixed(q.facts.session)) * homes);
}

// The candidates' lots, of those with at most this load.
void Rules::gather_lots(const Query& q, double most_load) {
    lots_.clear();
    for (const ServerIndex s : candidates_)
        if (reader_load(s) <= most_load) lots_.emplace_back(lot(q, s), s);
}

// The candidate whose lot has the place that is this request's.
ServerIndex Rules::home_of(const Query& q, double readers) {
    const std::size_t place = std::min(candidates_.size() - 1, home_place(q, readers));
    const std::uint64_t text = q.facts.beginning != 0 ? q.facts.beginning : q.facts.session;
    // The lots up to that place, the greatest first. A lot is at least the number drawn over the part, which
    // spares most of them.
    lots_.clear();
    for (const ServerIndex s : candidates_) {
        const double drawn = unit(mixed(text ^ mixed(mark_[s]))), part = reader_part(s);
        const bool full = lots_.size() > place;
        if (full && drawn / part > lots_.front().first) continue;
        lots_.emplace_back(arrival_at(drawn, part), s);
        std::push_heap(lots_.begin(), lots_.end());
        if (!full) continue;
        std::pop_heap(lots_.begin(), lots_.end());
        lots_.pop_back();
    }
    return lots_.front().second;
}

bool Rules::pick_reader(const Query& q, ServerIndex& best) {
    const Texts texts = texts_of(q);
    bool left = false;  // somebody to read who has not found himself shut out
    // Prefill servers; mixed servers; also what this request has just found bad, and decode servers that read
    // where nobody else is left; what is ejected.
    for (const int pass : {0, 1, 2, 3}) {
        bool any_ejected = false, of_other_role = false;
        const auto fit = [&](ServerIndex s) {
            const bool by_role = pass == 0   ? reads(s)
                                 : pass == 1 ? role_[s] == Role::mixed
                                             : role_[s] != Role::writer || (terms_.writers_read && !left);
            of_other_role |= !by_role;
            if (!by_role || !may_go(q, s) || !may_take(s)) return false;
            if (pass < 3 && !is_open_to(q, s)) {
                any_ejected = true;
                return false;
            }
            if (now_ - full_at_[s] < kFullFor) return false;
            return pass > 1 || !avoids(q, s);
        };
        double least = kInfinite, readers = 0;
        candidates_.clear();
        const auto consider = [&](ServerIndex s) {
            if (!fit(s)) return;
            candidates_.push_back(s);
            least = std::min(least, reader_load(s));
            readers += reader_part(s);
        };
        if (pass >= 2 && terms_.writers_read && !left) {
            looks_ += servers_;
            for (ServerIndex s = 0; s < servers_; ++s) consider(s);
        } else {
            const std::vector<ServerIndex>& able = prefill_candidates();
            looks_ += able.size();
            for (const ServerIndex s : able) consider(s);
        }
        if (candidates_.empty()) continue;
        left = true;
        double home_end = kInfinite, home_own = 0;
        const double typical = prompt_.mean;
        const auto keeps_to = [&](ServerIndex s, double kept) {
            const double margin = kKeptMargin * typical + kScatter * told_unread_[kind_[s]].spread;
            return reader_load(s) <= least + margin && !read_late(q, kept, s);
        };
        if (const KeptText* t = texts.session; t && t->life == life_[t->reader] && fit(t->reader)) {
            best = t->reader;
            if (keeps_to(best, expected_kept(q, texts, best)))
                return tell(q, best, true, "it kept the session's text");
        }
        if (q.facts.beginning != 0 || q.facts.session != 0) {
            best = home_of(q, readers);
            // A text never met here is likely to lie at its home all the same, above all after a restart.
            const double usual = kept_share_.mean * q.facts.beginning_tokens;
            const double kept = texts.beginning ? expected_kept(q, texts, best) : usual;
            if (keeps_to(best, kept)) return tell(q, best, true, "it is the home of its text");
            home_own = q.facts.prompt_tokens - kept;
            home_end = reader_load(best);
        }
        // Against jams that feed on themselves: a text that is read anew elsewhere costs more than it saves
        // where the home's queue is not longer by far more than that.
        std::erase_if(candidates_, [&](ServerIndex s) {
            const double kept = expected_kept(q, texts, s), more = q.facts.prompt_tokens - kept - home_own;
            return reader_load(s) + kLeaveCost * more > home_end || read_late(q, kept, s);
        });
        if (candidates_.empty()) {
            // The passes that follow would look at the same servers again.
            if (pass == 0 && !any_ejected && !of_other_role && q.avoid.empty()) return false;
            continue;
        }
        least = kInfinite;
        for (const ServerIndex s : candidates_) least = std::min(least, reader_load(s));
        gather_lots(q, least + kReaderTie * typical);
        best = std::min_element(lots_.begin(), lots_.end())->second;
        return tell(q, best, true, pass < 2 ? "fewest queued prompt tokens" : "all others are shut out");
    }
    return false;
}

// Against jams: a read that would end past the latency goal, or the client's patience, only makes those
// behind it late as well. What was kept passes more easily, as it costs the jam least for the same gain. A
// long prompt counts as a typical one where nothing of ours is out, or it would never pass.
bool Rules::read_late(const Query& q, double kept, ServerIndex s) const {
    const double pace = pace_now(s, q.goal - q.came);
    const double share = kept / std::max(1.0, q.facts.prompt_tokens);
    const double fill = kFillGoal * (kFillUnkept + (1 - kFillUnkept) * share);
    const double own = q.facts.prompt_tokens - kept;
    const double tokens = reader_load(s) + (waiting_[s] > 0 ? own : std::min(own, 2 * prompt_.mean));
    const Span read = kMs * (pace * (tokens + kLeastRead * prompt_.mean)), useful = of_use_until(q) - q.came;
    return now_ + read > q.came + useful * fill || link_late(q, s, read);
}

// What is read there would wait for a jammed link: it is held before its read, as for writers.
bool Rules::link_late(const Query& q, ServerIndex s, Span read) const {
    if (!reads(s) || cell_room_[cell_[s]]) return false;
    return now_ + read + kMs * hand_over_time(zone_room_[zone_[s]] ? 1 : 2) > of_use_until(q);
}

// Reports that come with the answers of a gateway that is sent little are mostly old. A probe waits in a
// reader's queue, so one that answers at once has none: the text's home is asked, and the next by its lot.
void Rules::ask_readers(Query& q) {
    if (!terms_.probes || !terms_.reports_unread || probes_due_ < 2 || !any_room(q)) return;
    lots_.clear();
    double readers = 0;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!reads(s) || !is_open_to(q, s) || avoids(q, s) || now_ - full_at_[s] < kFullFor) continue;
        if (link_late(q, s, {})) continue;
        lots_.emplace_back(lot(q, s), s);
        readers += reader_part(s);
    }
    if (lots_.size() < 2) return;
    std::sort(lots_.begin(), lots_.end());
    const std::size_t place = home_place(q, readers);
    q.asked = {lots_[place % lots_.size()].second, lots_[(place + 1) % lots_.size()].second};
    if (const KeptText* t = texts_of(q).session; t && t->life == life_[t->reader] && reads(t->reader) &&
                                                 is_open_to(q, t->reader) && !avoids(q, t->reader)) {
        if (q.asked[1] == t->reader) q.asked[1] = q.asked[0];
        q.asked[0] = t->reader;
    }
    q.ask_until = q.came + (q.goal - q.came) * kAskPart;
    for (const ServerIndex s : q.asked) probe(s);
    wake_soon(terms_.quantum);
}

bool Rules::answers_at_once(const Query& q, ServerIndex s) const {
    return answered_at_[s] >= q.came && answer_took_[s] <= q.ask_until - q.came && is_open_to(q, s) &&
           may_go(q, s);
}

}  // namespace copperfront
