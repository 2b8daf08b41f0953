// Further attempts of a request, states that wait for a decode server, and final answers.
#include <algorithm>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

// The time in which what may have run may still be sent again: never what runs only once; while its repeat is
// known what is receipted, less what a connection may take. The host keeps to it too, whenever it comes up.
Span Rules::repeat_left(const Query& q) const {
    const Category& c = terms_.categories[q.facts.category];
    if (!q.may_have_run || c.effect == Effect::pure) return q.hard_stop - now_;
    const Span known = q.ran_since + c.window - terms_.connect_within - now_;
    return c.effect == Effect::effectful ? Span{} : known;
}

// Receipted queries that may have run stay within the servers that drop their repeat.
bool Rules::may_go(const Query& q, ServerIndex s) const {
    const Category& c = terms_.categories[q.facts.category];
    if (!q.may_have_run || c.effect == Effect::pure) return true;
    if (repeat_left(q).us <= 0) return false;
    if (c.group == Group::zone) return zone_[s] == q.ran_zone;
    return c.group == Group::all || cell_[s] == q.ran_cell;
}

// The read has ended, so the state goes to the writer with the most free memory now.
void Rules::hand_over(QueryIndex i) {
    Query& q = queries_[i];
    if (standing_[q.state_at] == Standing::gone || life_[q.state_at] != q.state_life || is_overdue(q) ||
        repeat_left(q).us <= 0 || q.attempts >= most_attempts(q)) {
        let_go(i);
        return retry_or_end(i);
    }
    ServerIndex s = 0;
    if (pick_writer(q, s)) return send(i, s, false);
    park(i);
}

void Rules::let_go(QueryIndex i) {
    host_.release(i);
    queries_[i].has_state = false;
}

void Rules::park(QueryIndex i) {
    Query& q = queries_[i];
    q.stage = Stage::parked;
    host_.held(i, "no writer can take its state");
    parked_.emplace_back(i, q.serial);
    wake_soon(terms_.release_within * 0.25);
}

// A state may wait only as long as the rule on held states allows, less a margin for what never connects.
bool Rules::is_overdue(const Query& q) const {
    const Span own = q.facts.hand_over_within, rule = terms_.release_within * 0.6;
    return now_ - q.parked_since >= (own.us > 0 ? std::min(own, rule) : rule);
}

void Rules::serve_parked() {
    for (std::size_t n = parked_.size(); n > 0; --n) {
        const auto [i, serial] = parked_.front();
        parked_.pop_front();
        Query& q = queries_[i];
        if (q.serial != serial || q.stage != Stage::parked) continue;
        ServerIndex s = 0;
        const bool spent = q.attempts >= most_attempts(q);
        if (!spent && (now_ - q.parked_since >= terms_.release_within * 0.4 || any_room(q)) &&
            pick_writer(q, s)) {
            send(i, s, false);
        } else if (is_overdue(q) || spent) {
            let_go(i);
            retry_or_end(i);
        } else {
            parked_.emplace_back(i, serial);
        }
    }
    if (!parked_.empty()) wake_soon(kMs * 20);
}

// A query may come with tighter limits, and each further attempt is taken out of a budget of its own.
std::uint32_t Rules::most_attempts(const Query& q) const {
    const std::uint32_t own = q.facts.most_attempts;
    return own > 0 ? std::min(own, terms_.max_attempts) : terms_.max_attempts;
}

void Rules::retry_or_end(QueryIndex i) {
    Query& q = queries_[i];
    // A read without an attempt left to hand it over would only be waste.
    const char* why = q.may_have_run && repeat_left(q).us <= 0 ? "it may have run"
                      : q.attempts + 2 > most_attempts(q)      ? "it has no launch left"
                      : now_ + terms_.quantum >= q.hard_stop   ? "it has no time left"
                      : !host_.may_attempt_again(i, q.last)    ? "its route has no further launch left"
                                                               : nullptr;
    if (!why) return stand_again(i);
    host_.ends(i, why);
    end(i, terms_.max_stay_away * 0.25);
}

// The final answer, at once. A decline says that trying again is harmless, for as long as a try may take.
void Rules::end(QueryIndex i, Span stay_away) {
    Query& q = queries_[i];
    const Category& c = terms_.categories[q.facts.category];
    if (q.out && q.stage == Stage::writing && q.has_state) note_hand_over(q, now_ - q.sent);
    const bool harmless = (!q.may_have_run && !q.out) || c.effect == Effect::pure ||
                          (c.group == Group::all && repeat_left(q) >= q.facts.budget + terms_.max_stay_away);
    harmless ? host_.decline(i, stay_away) : host_.give_up(i);
    over(i);
}

// No answer lets go of a state, so every end does; what an attempt still out brings back is let go then.
void Rules::over(QueryIndex i) {
    Query& q = queries_[i];
    if (q.out && terms_.cancel && q.stage != Stage::streaming) host_.retract(i, q.attempts - 1);
    q.stage = Stage::over;
    let_go(i);
}

}  // namespace copperfront
