#include "watching/watching.h"

namespace copperfront {

Watching::Watching(const Terms& terms, Hooks hooks, std::uint32_t seed)
    : hooks_(std::move(hooks)), rules_(terms, *this, seed) {}

Watching::Seen& Watching::seen(QueryIndex query) {
    if (query >= seen_.size()) seen_.resize(query + 1);
    return seen_[query];
}

void Watching::query_came(QueryIndex query, const Arrival& facts) {
    seen(query) = {};
    seen(query).known = true;
    rules_.query_arrived(query, facts);
}

void Watching::start_attempt(QueryIndex query, ServerIndex server, const AttemptLimits&) {
    Seen& s = seen(query);
    s.out = true;
    s.called_off = false;
    s.would = server;
}

void Watching::retract(QueryIndex query, std::uint32_t) { seen(query).called_off = true; }

void Watching::started(QueryIndex query, ServerIndex server, bool reading) {
    Seen& s = seen(query);
    s.made = server;
    s.reading = reading;
    s.compared = false;
}

// Once for each attempt that was made, when it first tells something: the other rules may act a little later
// than these.
void Watching::compare(Seen& s) {
    if (s.compared || s.over) return;
    s.compared = true;
    if (!s.out) {
        ++differences_.held;
    } else if (s.would == s.made) {
        ++differences_.alike;
    } else {
        ++(s.reading ? differences_.reader : differences_.writer);
    }
}

void Watching::stream_began(QueryIndex query, Span took) {
    Seen& s = seen(query);
    if (!s.known) return;
    compare(s);
    if (s.out && !s.over) rules_.stream_began(query, took);
}

void Watching::attempt_ended(QueryIndex query, ServerIndex server, const Outcome& outcome) {
    Seen& s = seen(query);
    if (!s.known) return;
    compare(s);
    if (s.called_off && !s.over && outcome.ending != Ending::retracted) ++differences_.called_off;
    s.out = s.called_off = false;
    rules_.attempt_ended(query, server, outcome);
}

void Watching::query_ended(QueryIndex query, bool settled) {
    Seen& s = seen(query);
    if (!s.known || s.answered) return;
    s.answered = true;
    if (s.over && settled) ++differences_.ended;
    if (!s.over && !settled) ++differences_.went_on;
    if (s.over) return;
    s.over = true;
    rules_.query_left(query);
}

// Against an attempt of the other rules that was never made, so that no end of it will come.
void Watching::settle_books(QueryIndex query) {
    Seen& s = seen(query);
    if (!s.out) return;
    s.out = false;
    Outcome outcome;
    outcome.ending = Ending::unsent;
    outcome.over = true;
    rules_.attempt_ended(query, s.would, outcome);
}

void Watching::query_closed(QueryIndex query) {
    if (!seen(query).known) return;
    query_ended(query, true);
    settle_books(query);
    seen(query).known = false;
}

void Watching::probe_answered(ServerIndex server, bool answered, const LoadReport& report) {
    rules_.probe_answered(server, answered, report);
}

}  // namespace copperfront
