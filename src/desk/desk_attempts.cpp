// Attempts of a request from their start to their end, and what is held for it meanwhile.
#include <algorithm>

#include "core/sabotage.h"
#include "desk/desk.h"
#include "desk/desk_turn.h"

namespace copperfront {

void Desk::chose(QueryIndex, ServerIndex, bool, const char* why, std::span<const Sight> seen,
                 std::size_t of) {
    // The attempt follows within the same call, so this is what it is told with.
    seen_.assign(seen.begin(), seen.end());
    choice_ = {why, seen_, of};
}

void Desk::held(QueryIndex query, const char* why) {
    Ticket& ticket = tickets_[query];
    // The rules say it each time that they look; a reason is news once.
    if (!witness_ || ticket.why == why || ticket.ended || ticket.done) return;
    ticket.why = why;
    witness_->held(face(query), why);
}

void Desk::start_attempt(QueryIndex query, ServerIndex server, const AttemptLimits& limits) {
    const Span limit = limits.answer;
    Ticket& ticket = tickets_[query];
    const AttemptId id = next_attempt_++;
    Attempt made;
    made.query = query;
    made.server = server;
    made.sent = outside_.now();
    made.write_by = made.sent + limits.write;
    made.reading = server < role_.size() && role_[server] == Role::reader;
    ++ticket.made;
    ticket.attempts.push_back(id);
    const QueryIndex asked = face(query);
    SendGuard::AttemptStart facts;
    facts.answered = ticket.ended || ticket.done || tickets_[asked].ended || tickets_[asked].bound != 0;
    facts.attempt_out = ticket.out > 0;
    facts.may_have_run = ticket.may_have_run;
    facts.effect = ticket.effect;
    facts.made = ticket.made;
    facts.most = max_attempts_;
    facts.left = limit;
    const Denial denial = guard_.may_start(facts);
    ++ticket.out;
    if (denial == Denial::none) {
        if (!made.reading) {
            made.state = ticket.state;
            made.tokens = ticket.prompt_tokens;
            if (server < own_tokens_.size()) own_tokens_[server] += made.tokens;
        }
        if (ticket.held) admission_.held(ticket.route, -1);
        ticket.held = false;
        // The first attempt of each stage; what follows was asked for in may_attempt_again.
        bool& begun = made.reading ? ticket.read_begun : ticket.write_begun;
        if (!begun) admission_.first_attempt_started(ticket.route, outside_.now());
        begun = true;
        attempts_.emplace(id, made);
        ledger_.attempt_started(ticket.key, id, server, made.reading, outside_.now());
        if (watching_ && !ticket.copy) watching_->started(query, server, made.reading);
        set_alarm(limit, Ring::limit, id);
        if (witness_) {
            Account& account = tickets_[asked].account;
            if (account.reads + account.writes == 0) account.first_attempt = outside_.now();
            ++(made.reading ? account.reads : account.writes);
            (made.reading ? account.reader : account.writer) = server;
            if (made.reading || made.state == 0) account.read_tokens += ticket.prompt_tokens;
            witness_->started(asked, id, server, made.reading, limit, choice_);
        }
        const Span connect = ticket.connect.us > 0 ? std::min(ticket.connect, limits.write) : limits.write;
        if (connect < limit) set_alarm(connect, Ring::connect, id);
        if (made.reading) {
            ++tally_.reads;
            outside_.send_read(id, server, asked, limit);
        } else {
            ++tally_.writes;
            outside_.send_write(id, server, asked, made.state, ticket.state_at, limit);
        }
        return;
    }
    Outcome outcome;
    outcome.ending = denial == Denial::no_time_left ? Ending::late : Ending::unsent;
    made.unsent = true;
    attempts_.emplace(id, made);
    posted_.emplace_back(id, outcome);
}

Denial Desk::may_be_written(AttemptId attempt, bool client_gone, Span told) {
    const auto it = attempts_.find(attempt);
    SendGuard::AttemptWrite facts;
    facts.client_gone = client_gone;
    facts.now = outside_.now();
    if (it != attempts_.end()) {
        const Ticket& ticket = tickets_[it->second.query];
        facts.write_by = it->second.write_by;
        facts.effect = ticket.effect;
        facts.may_have_run = ticket.may_have_run;
        if (!client_gone) guard_.check_deadline(told, ticket.deadline - facts.now);
    }
    return guard_.may_write(facts);
}

// It is over, with this outcome, only once its close has reached its server: an attempt elsewhere before that
// would be a second copy of it.
void Desk::call_off(AttemptId attempt, const Outcome& outcome, const char* why) {
    Attempt& mine = attempts_.at(attempt);
    outside_.call_off(attempt, mine.server);
    over_once_closed(mine, attempt, outcome, why);
}

void Desk::over_once_closed(Attempt& mine, AttemptId attempt, const Outcome& outcome, const char* why) {
    mine.called_off = true;
    const Ticket& ticket = tickets_[mine.query];
    // No other attempt of it follows.
    if (ticket.ended || ticket.done) {
        posted_.emplace_back(attempt, outcome);
        return;
    }
    mine.pending = outcome;
    mine.why = why;
    set_alarm(SendGuard::close_travel_time(), Ring::called_off, attempt);
}

void Desk::retract(QueryIndex query, std::uint32_t number) {
    Ticket& ticket = tickets_[query];
    if (number >= ticket.attempts.size()) return;
    const auto it = attempts_.find(ticket.attempts[number]);
    if (it == attempts_.end() || it->second.begun || it->second.called_off || it->second.unsent) return;
    ++tally_.called_off;
    Outcome outcome;
    outcome.ending = Ending::retracted;
    if (!outside_.unsend(it->first, it->second.server))
        return call_off(it->first, outcome, "it is no longer wanted");
    // What was never sent has left nothing behind, and tells nothing of its server where its query is over.
    it->second.called_off = true;
    outcome.ending = ticket.ended || ticket.done ? Ending::unsent : Ending::unreachable;
    posted_.emplace_back(it->first, outcome);
}

// A state that no attempt waits for is let go wherever it may lie. A read whose answer never came may have
// left one too, so its reader is told as well.
void Desk::release(QueryIndex query) {
    Ticket& ticket = tickets_[query];
    AttemptId awaited = 0;
    for (const AttemptId id : ticket.attempts) {
        const auto it = attempts_.find(id);
        if (it != attempts_.end() && !it->second.called_off && it->second.state != 0)
            awaited = it->second.state;
    }
    release_held(query, awaited);
    if (awaited == 0) ticket.state = 0;
}

// All that may be held for it but what the prefill `except` has left. What was told before is not told again:
// the ledger knows whether it is still owed.
void Desk::release_held(QueryIndex query, AttemptId except) {
    const RequestKey key = tickets_[query].key;
    const std::vector<HoldLedger::Entry> entries = ledger_.entries(key);
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.wanted) continue;
        ledger_.want_release(key, entry.attempt);
    }
    for (const HoldLedger::Entry& entry : entries) {
        if (entry.attempt == except || entry.wanted) continue;
        ++tally_.releases;
        if (witness_) witness_->released(face(query), entry.server, entry.attempt);
        outside_.release(entry.server, entry.attempt);
        if (!outside_.releases_are_answered()) ledger_.assume_released(key, entry.attempt);
    }
}

void Desk::set_lease_alarm(QueryIndex query) {
    if (!ledger_.has_lease() || !outside_.releases_are_answered()) return;
    if (ledger_.entries(tickets_[query].key).empty()) return;
    set_alarm(ledger_.lease_end(tickets_[query].key) - outside_.now(), Ring::lease, query);
}

// What is held for a request may not outlive its lease behind a call that nothing was heard of: it is
// released. The call itself stays out. Had it arrived and taken the state, the release changes nothing for
// it; if it still waits for the state, the release lets go of nothing and is owed again after its end; if it
// arrives later, its server says that the state has gone, which proves that it never ran.
void Desk::lease_ends(QueryIndex query) {
    Ticket& ticket = tickets_[query];
    if (!ticket.used || ledger_.need_of_release(ticket.key, outside_.now()) == HoldLedger::Need::nothing)
        return;
    if (ledger_.lease_end(ticket.key) > outside_.now()) return set_lease_alarm(query);
    if (ledger_.need_of_release(ticket.key, outside_.now()) != HoldLedger::Need::due) return;
    ++tally_.leases_ended;
    release_held(query, 0);
    ticket.state = 0;
    if (!ticket.ended && !ticket.done) rules_.state_expired(query);
}

bool Desk::may_attempt_again(QueryIndex query, Ending after) {
    Ticket& ticket = tickets_[query];
    const Cause cause = after == Ending::unreachable                          ? Cause::unreachable
                        : after == Ending::full                               ? Cause::full
                        : after == Ending::late || after == Ending::retracted ? Cause::silent
                                                                              : Cause::failed;
    const auto c = static_cast<std::size_t>(cause);
    if (ticket.after[c] < ticket.most_after[c] &&
        admission_.may_attempt_again(ticket.route, outside_.now())) {
        ++ticket.after[c];
        return true;
    }
    ++tally_.not_again;
    return false;
}

bool Desk::token_came(AttemptId attempt, QueryIndex& query) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.called_off || it->second.reading) return false;
    Attempt& l = it->second;
    Ticket& ticket = tickets_[l.query];
    query = face(l.query);
    if (l.server < own_tokens_.size()) {
        l.tokens += 1;
        own_tokens_[l.server] += 1;
    }
    if (l.begun) {
        l.heard = outside_.now();
        admission_.tokens_came(ticket.route, 1, l.heard);
        if (witness_) tickets_[query].account.tokens += 1;
        return tickets_[query].bound == attempt && !tickets_[query].ended;
    }
    if (ticket.done || tickets_[query].ended || tickets_[query].bound != 0 || !ticket.streams) return false;
    const Turn turn(*this);
    l.begun = true;
    l.heard = outside_.now();
    if (witness_) {
        tickets_[query].account.first_token = outside_.now() - tickets_[query].came;
        tickets_[query].account.tokens += 1;
        witness_->first_token(query, attempt, l.server, outside_.now() - l.sent);
    }
    tickets_[query].bound = attempt;
    set_alarm(ticket.silence, Ring::stream, attempt);
    // With the first token the state has been fetched; whatever else lies about for this query goes now.
    ledger_.assume_released(ticket.key, l.state);
    release_held(l.query, 0);
    ledger_.stream_began(ticket.key, attempt, outside_.now());
    ticket.state = 0;
    admission_.began(ticket.route, outside_.now() - ticket.came, outside_.now());
    admission_.tokens_came(ticket.route, 1, outside_.now());
    const QueryIndex winner = l.query;
    if (watching_ && !ticket.copy) watching_->stream_began(winner, outside_.now() - l.sent);
    rules_.stream_began(winner, outside_.now() - l.sent);
    call_off_pair(winner);
    return true;
}

void Desk::answer_began(AttemptId attempt) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.called_off) return;
    ledger_.answer_began(tickets_[it->second.query].key, attempt, outside_.now());
}

void Desk::attempt_ended(AttemptId attempt, Outcome outcome) {
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.called_off) return;
    const Turn turn(*this);
    Attempt& mine = it->second;
    if (outcome.closed_here && !mine.begun)
        return over_once_closed(mine, attempt, outcome, "its answer was spoilt");
    finish(attempt, outcome);
}

void Desk::finish(AttemptId id, Outcome outcome, std::string_view why) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) return;
    const Attempt l = it->second;
    attempts_.erase(it);
    if (l.server < own_tokens_.size())
        own_tokens_[l.server] = std::max(0.0, own_tokens_[l.server] - l.tokens);
    note_report(l.server, outcome.report);
    Ticket& ticket = tickets_[l.query];
    --ticket.out;
    ++tally_.endings[static_cast<std::size_t>(outcome.ending)];
    outcome.took = outside_.now() - l.sent;
    if (is_sabotaged(Sabotage::retry_after_may_have_run) && !l.reading && outcome.ending == Ending::broken) {
        outcome.ending = Ending::unreachable;
    }
    const QueryIndex asked = face(l.query);
    if (witness_) witness_->attempt_over(asked, id, l.server, outcome.ending, outcome.took, why);
    outcome.over = ticket.ended || ticket.done;
    const Ending e = outcome.ending;
    const bool never_there = e == Ending::unsent || e == Ending::unreachable || e == Ending::full;
    if (e == Ending::settled) {
        ledger_.assume_released(ticket.key, l.state);
        release_held(l.query, 0);
    }
    ledger_.attempt_over(ticket.key, id, e, outside_.now());
    if (l.reading && !never_there) set_lease_alarm(l.query);
    if (!l.reading && !never_there) ticket.may_have_run = true;
    if (l.reading && e == Ending::read) {
        ticket.state = id;
        ticket.state_at = l.server;
    }
    if (e == Ending::settled && l.state == ticket.state) ticket.state = 0;
    const AttemptId bound = tickets_[asked].bound;
    if (!tickets_[asked].ended && !ticket.done) {
        if (e == Ending::settled && (bound == 0 || bound == id)) {
            set_down(l.query);
            end(asked, Fate::settled, "");
            ++tally_.settled;
            outcome.over = true;
            outside_.settled(asked);
        } else if (bound == id) {
            // A begun stream that breaks is lost: the caller has part of an answer, and is told so at once.
            set_down(l.query);
            end(asked, Fate::given_up, "the stream broke");
            ++tally_.given_up;
            ++tally_.streams_broken;
            outcome.over = true;
            outside_.given_up(asked, "the stream broke");
        }
    }
    if (watching_ && !ticket.copy) watching_->attempt_ended(l.query, l.server, outcome);
    rules_.attempt_ended(l.query, l.server, outcome);
    // Settled without a first token to tell of it: the other one is of no more use.
    if (e == Ending::settled && outcome.over) call_off_pair(l.query);
}

}  // namespace copperfront
