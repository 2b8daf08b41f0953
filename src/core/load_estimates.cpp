// What a server has in hand: queued prompt tokens, free memory and cached prefixes, from load reports and
// from what this gateway has sent.
#include <algorithm>
#include <cmath>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// A report may be asked for more often than it is made: the same figure again is the same report, and what
// was sent before the last answer that still held the old one is in the new one at the earliest.
void Rules::note_report(ServerIndex s, const LoadReport& report) {
    const auto take = [](double told, double& held, Learned& average, double& since, double& newer) {
        if (told < 0) return;
        if (told != held) since = newer;
        held = told;
        newer = 0;
        learn(average, told, kLearnPool);
    };
    // What the terms do not promise is left alone.
    const double memory = terms_.reports_memory ? report.memory_share : -1;
    const double unread = terms_.reports_unread ? report.unread_thousands * 1000 : -1;
    take(memory, reported_memory_[s], told_memory_[kind_[s]], sent_streams_[s], newer_streams_[s]);
    take(unread, reported_unread_[s], told_unread_[kind_[s]], sent_unread_[s], newer_unread_[s]);
    if (memory >= 0 || unread >= 0) told_at_[s] = now_;
    memory_told_ |= memory >= 0 && writes(s);
}

Rules::Texts Rules::texts_of(const Query& q) const {
    return {sessions_.find(q.facts.session), beginnings_.find(q.facts.beginning)};
}

double Rules::expected_kept(const Query& q, const Texts& texts, ServerIndex s) const {
    double kept = 0;
    if (const KeptText* t = texts.session)
        if (t->reader == s && t->life == life_[s]) kept = t->tokens;
    if (const KeptText* t = texts.beginning)
        if (t->reader == s && t->life == life_[s]) kept = std::max(kept, q.facts.beginning_tokens);
    return std::min(kept, q.facts.prompt_tokens);
}

// The output estimate is the client's hint, or half of the most that it allows.
double Rules::stream_estimate(const Query& q) const {
    const Category& c = terms_.categories[q.facts.category];
    const double answer =
        q.facts.hint.us > 0 && c.token_gap.us > 0 ? q.facts.hint / c.token_gap : q.facts.most_tokens / 2;
    return q.facts.prompt_tokens + answer;
}

// Servers not heard of count as the average of those heard of, of their kind: one for all would send
// everything to the kind with the largest memory. A report fades into that average as the streams that it
// counted end, or gateways that hear of a server seldom would all trust what is long gone.
double Rules::told(ServerIndex s, const std::vector<double>& figure,
                   const std::vector<Learned>& average) const {
    const double mean = average[kind_[s]].mean;
    return figure[s] < 0 ? mean : mean + (figure[s] - mean) * still_running(told_at_[s]);
}

double Rules::still_running(Instant then) const {
    const double usual = stream_time_.mean > 0 ? stream_time_.mean / 1000 : kRateWindowS;
    return std::exp(-seconds(now_ - then) / usual);
}

// Streams sent since a report end too; else notes of peers alone would fill a server for good.
void Rules::note_sent(ServerIndex s, double tokens) {
    for (auto* sent : {&sent_streams_, &newer_streams_})
        (*sent)[s] = (*sent)[s] * still_running(sent_at_[s]) + tokens;
    sent_at_[s] = now_;
}

double Rules::sent_since(ServerIndex s) const { return sent_streams_[s] * still_running(sent_at_[s]); }

double Rules::reader_load(ServerIndex s) const {
    if (told_unread_[kind_[s]].samples == 0) return unread_[s];
    // What of ours has been read waits no more, even if an idle reader's report stays the same.
    return told(s, reported_unread_, told_unread_) + std::min(sent_unread_[s], unread_[s]);
}

// A kind of which nothing was heard counts as empty, so that it is tried.
double Rules::writer_room(ServerIndex s) const {
    if (!memory_told_) return -streams_[s];
    return (1 - told(s, reported_memory_, told_memory_)) * memory_[s] - sent_since(s);
}

bool Rules::shows_room(ServerIndex s) const {
    if (reported_memory_[s] >= 0 && memory_[s] > 0 &&
        told(s, reported_memory_, told_memory_) + sent_since(s) / memory_[s] > kRoomShare)
        return false;
    return now_ - full_at_[s] >= kFullFor;
}

bool Rules::has_room(ServerIndex s) const { return is_open(s) && shows_room(s); }

bool Rules::any_room(const Query& q) {
    const bool any_server = !q.may_have_run || terms_.categories[q.facts.category].effect == Effect::pure;
    if (!any_server) return look_for_room(q, ready_decode_);
    // Reported loads fade with each moment.
    const bool valid = !memory_told_ && servers_with_room_.is_valid(now_);
    if (!valid) {
        servers_with_room_.make(ready_decode_, [this](ServerIndex s) {
            if (shut_until_[s] > now_) servers_with_room_.valid_until(shut_until_[s]);
            if (full_at_[s] + kFullFor > now_) servers_with_room_.valid_until(full_at_[s] + kFullFor);
            if (is_cold(s)) servers_with_room_.valid_until(born_[s] + terms_.warm_within);
            return has_room(s);
        });
    }
    if (!valid || !room_is_of_all_) look_for_room(q, servers_with_room_.servers());
    room_is_of_all_ = true;
    return !servers_with_room_.empty();
}

// Notes in which cells and zones this request may find room.
bool Rules::look_for_room(const Query& q, const std::vector<ServerIndex>& among) {
    cell_room_.assign(cells_.size(), false);
    zone_room_.assign(zones_.size(), false);
    room_is_of_all_ = false;
    bool any = false;
    for (const ServerIndex s : among)
        if (may_go(q, s) && has_room(s)) any = cell_room_[cell_[s]] = zone_room_[zone_[s]] = true;
    return any;
}

// Prefill servers that may be sent something: ready, not turned away from of late, and not over what a cold
// one may take.
const std::vector<ServerIndex>& Rules::prefill_candidates() {
    if (!prefill_candidates_.is_valid(now_)) {
        prefill_candidates_.make(ready_prefill_, [this](ServerIndex s) {
            const Instant full_until = full_at_[s] + kFullFor;
            if (full_until > now_) prefill_candidates_.valid_until(full_until);
            if (is_cold(s)) prefill_candidates_.valid_until(born_[s] + terms_.warm_within);
            return may_take(s) && full_until <= now_;
        });
    }
    return prefill_candidates_.servers();
}

const std::vector<ServerIndex>& Rules::decode_candidates() {
    if (!decode_candidates_.is_valid(now_)) {
        decode_candidates_.make(ready_decode_, [this](ServerIndex s) {
            if (is_cold(s)) decode_candidates_.valid_until(born_[s] + terms_.warm_within);
            return may_take(s);
        });
    }
    return decode_candidates_.servers();
}

// What a read sent now would take, by what reads took of late for each token that this gateway had queued:
// here, as far as that is fresh, else at the role as a whole. Both fade, or a jam that is over would last.
// Where a reader's load is reported, it tells a jam by itself; single reports are off by far, so the pace is
// that of all reads together.
double Rules::pace_now(ServerIndex s, Span goal) const {
    if (told_unread_[kind_[s]].samples > 0)
        return read_tokens_.samples < kPaceSamples ? 0.0 : read_time_.mean / read_tokens_.mean;
    const double usual = usual_pace(goal);
    if (paced_[s] == 0 || !reads(s)) return usual;
    return usual + (pace_[s] - usual) * std::exp((paced_at_[s] - now_) / goal / kFresh);
}

// Of the role as a whole. Many servers are compared for the same request.
double Rules::usual_pace(Span goal) const {
    if (paces_[1].samples == 0) return 0;
    UsualPace& last = usual_pace_;
    if (last.at != now_ || last.goal != goal || last.samples != paces_[1].samples) {
        const double pace = std::exp(paces_[1].mean) * std::exp((peers_paced_at_ - now_) / goal / kFresh);
        last = {now_, goal, paces_[1].samples, pace};
    }
    return last.pace;
}

}  // namespace copperfront
