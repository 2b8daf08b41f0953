// Health of servers: outlier ejection by failures and pace, silence, and categories that a server leaves
// unanswered.
#include <algorithm>
#include <cmath>
#include <utility>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// Shut out, a server is tried again by single attempts once its time is over; a good one lets it back in.
bool Rules::is_open(ServerIndex s) const {
    return may_take(s) && (shut_for_[s].us == 0 || (now_ >= shut_until_[s] && waiting_[s] == 0));
}

// Open to this query: not known to leave its category unanswered.
bool Rules::is_open_to(const Query& q, ServerIndex s) const {
    return is_open(s) && now_ >= mutes_[q.facts.category][s].until;
}

// Doubt in a server is the log of the odds that it is ill rather than like its role, gathered from each
// outcome against what the role as a whole shows now: a few samples are enough where they stand out, and a
// fleet that fails or is slow as a whole shuts out nobody. Against servers that answer fast with errors (and,
// with the fewest queued, would draw all traffic), fall silent or lose states or streams.
void Rules::note_bad(ServerIndex s) { weigh(s, std::log(kIllFails / failing(s, 1.0))); }

// The share that fails at the other servers of the role.
double Rules::failing(ServerIndex s, double sample) {
    Learned& share = fails_[role_[s] == Role::reader];
    const double peers = std::max(1.0, peers_[role_[s] == Role::reader]);
    const double others = peers > 1 ? (share.mean * peers - failed_[s]) / (peers - 1) : share.mean;
    learn(share, sample, std::min(kLearn, 1 / peers));
    failed_[s] += kLearn * (sample - failed_[s]);
    return std::clamp(others, kFewFail, kIllFails);
}

// Against servers that run slow without failing. Each is judged by one of the two paces.
void Rules::note_good(ServerIndex s, double pace, bool reading) {
    const double odds = std::log((1 - kIllFails) / (1 - failing(s, 0.0)));
    if (reading != reads(s)) return weigh(s, odds);
    Learned& peers = paces_[reading];
    const double log_pace = std::log(std::max(pace, 1e-9));
    const double slow = peers.samples < kPaceSamples ? 0.0 : log_pace - peers.mean - kSlack;
    if (reading) peers_paced_at_ = now_;
    learn(peers, log_pace, kLearnPool);
    paced_at_[s] = now_;
    ++paced_[s];
    pace_[s] += std::max(kLearn, 1.0 / paced_[s]) * (pace - pace_[s]);
    weigh(s, odds + std::clamp(slow, -kSlack, kMostSlow));
}

void Rules::weigh(ServerIndex s, double odds) {
    doubt_[s] = std::max(0.0, doubt_[s] + odds);
    if (doubt_[s] >= kShutDoubt) return shut_out(s, false);
    if (shut_for_[s].us == 0) return;
    shut_for_[s] = {};
    capacity_changed(s);
    host_.shut(s, false);
    host_.log("server " + std::to_string(s) + " is let in again");
}

// Doubt may shut out no more than half of what can be reached of a role, or the rest would drown; what can't
// be reached, for which one attempt is enough, counts on neither side: a dead zone keeps no failing server
// in.
void Rules::shut_out(ServerIndex s, bool lost) {
    doubt_[s] = kShutDoubt;
    if (!lost && shut_for_[s].us == 0) {
        double peers = 0, shut = 0;
        for (const ServerIndex o : role_[s] == Role::reader ? ready_prefill_ : ready_decode_) {
            if (role_[o] != role_[s] || (shut_for_[o].us > 0 && lost_[o])) continue;
            ++peers;
            shut += shut_for_[o].us > 0;
        }
        if (shut + 1 > peers * kShutPart) return;
    }
    lost_[s] = lost;
    if (shut_for_[s].us == 0) host_.log("server " + std::to_string(s) + " is shut out after failures");
    host_.shut(s, true);
    shut_for_[s] = shut_for_[s].us == 0 ? kShutFirst : std::min(kShutMost, shut_for_[s] * 2);
    shut_until_[s] = now_ + shut_for_[s];
    capacity_changed(s);
}

// What may simply be repeated does not wait for a server that has said nothing at all since its hand-over was
// sent, for far longer than hand-overs usually take: without its state that can only be turned away. Where
// they usually take long, a server that is slow would be left for the next slow one.
void Rules::take_back_unheard(QueryIndex i) {
    Query& q = queries_[i];
    const Category& c = terms_.categories[q.facts.category];
    if (q.begun || q.called_off || heard_at_[q.server] > q.sent) return;
    if (c.effect != Effect::pure || !c.stream) return;
    const Span usual = kMs * (first_time_.mean + kSpreads * first_time_.spread);
    if (first_time_.samples < kPaceSamples || now_ - q.sent < usual) return;
    q.called_off = true;
    note_bad(q.server);
    host_.retract(i, q.attempts - 1);
}

void Rules::watch_on() {
    if (!terms_.cancel || std::exchange(watch_set_, true)) return;
    host_.set_timer(std::max(kWatchEvery, terms_.quantum), kWatchKey);
}

// Against servers that fall silent. An attempt is called off only when for far longer than usual nothing at
// all has been heard from its server since it was sent, or what was sent there later has been answered: a
// jammed server goes on answering others, in their turn. One that does may leave this category alone
// unanswered; what may run only once stays where it is, and warns the next ones.
void Rules::watch() {
    watch_set_ = false;
    bool out = false;
    for (QueryIndex i = 0; i < queries_.size(); ++i) {
        Query& q = queries_[i];
        const bool reading = q.stage == Stage::reading;
        if (!q.out || q.called_off || (!reading && q.stage != Stage::writing)) continue;
        const Category& c = terms_.categories[q.facts.category];
        const ServerIndex s = q.server;
        out = true;
        const Learned& usual = reading ? read_time_ : first_time_;
        const bool lives = heard_at_[s] > q.sent;
        if (usual.samples < kUsualSamples || (lives && passed_[reading][s] <= q.sent)) continue;
        // Of a mixed server one of the two paces is known.
        const double of_late = reading != reads(s)
                                   ? 0.0
                                   : pace_[s] * (reading ? q.queued_tokens + kLeastRead * prompt_.mean : 1.0);
        double far = std::max(kSilentFactor * of_late, usual.mean + kSpreads * usual.spread);
        if (!reading && q.has_state) {
            const Learned& by_way = hand_overs_[way(q.state_at, s)];
            far = std::max(far, by_way.mean + kSpreads * by_way.spread);
        }
        if (now_ - q.sent < std::max(kMs * far, (q.goal - q.came) * kSilentGoal)) continue;
        q.called_off = true;
        lives ? unanswered(q.facts.category, s, true) : note_bad(s);
        if (q.at_reader || (c.effect == Effect::pure && c.stream)) host_.retract(i, q.attempts - 1);
    }
    if (out) watch_on();
}

// They are passed over for the category, and tried again after a time that doubles. Gateways that may tell
// each other do: what may run only once is lost with each try. A message may be lost; nothing rests on one.
void Rules::unanswered(std::uint16_t category, ServerIndex s, bool own) {
    Mute& mute = mutes_[category][s];
    if (own || mute.held.us == 0)
        mute.held = mute.held.us == 0 ? kMuteFirst : std::min(kMuteMost, mute.held * 2);
    // Not all are to try it anew at the same time.
    mute.until = std::max(mute.until, now_ + mute.held * (own ? 1.0 : 1 + chance()));
    if (own) tell_peers('u', s, category);
}

// Some are answered all the same, so one answer is not enough. What was sent before tells nothing.
void Rules::answered(const Query& q, ServerIndex s) {
    Mute& mute = mutes_[q.facts.category][s];
    if (mute.held.us == 0 || q.sent < mute.since) return;
    mute.held = mute.held * 0.25;
    mute.until = now_;
    if (mute.held >= kMuteFirst * 0.25) return;
    mute.held = {};
    tell_peers('a', s, q.facts.category);
}

}  // namespace copperfront
