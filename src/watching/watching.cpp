#include "watching/watching.h"

namespace copperfront {

Watching::Watching(const Terms& terms, Hooks hooks, std::uint32_t seed)
    : hooks_(std::move(hooks)), router_(terms, *this, seed) {}

Watching::RequestState& Watching::state_of(QueryIndex request) {
    if (request >= states_.size()) states_.resize(request + 1);
    return states_[request];
}

void Watching::query_came(QueryIndex request, const Arrival& facts) {
    state_of(request) = {};
    state_of(request).tracked = true;
    router_.query_arrived(request, facts);
}

void Watching::start_attempt(QueryIndex request, ServerIndex server, const AttemptLimits&) {
    RequestState& state = state_of(request);
    state.shadow_in_flight = true;
    state.shadow_cancelled = false;
    state.shadow_server = server;
}

void Watching::retract(QueryIndex request, std::uint32_t) { state_of(request).shadow_cancelled = true; }

void Watching::started(QueryIndex request, ServerIndex server, bool is_prefill) {
    RequestState& state = state_of(request);
    state.real_server = server;
    state.is_prefill = is_prefill;
    state.compared = false;
}

// Called once for each real attempt, at its first event: the shadow router may act a little later than the
// real one.
void Watching::compare(RequestState& state) {
    if (state.compared || state.shadow_ended) return;
    state.compared = true;
    if (!state.shadow_in_flight) {
        ++differences_.held;
    } else if (state.shadow_server == state.real_server) {
        ++differences_.alike;
    } else {
        ++(state.is_prefill ? differences_.reader : differences_.writer);
    }
}

void Watching::stream_began(QueryIndex request, Span took) {
    RequestState& state = state_of(request);
    if (!state.tracked) return;
    compare(state);
    if (state.shadow_in_flight && !state.shadow_ended) router_.stream_began(request, took);
}

void Watching::attempt_ended(QueryIndex request, ServerIndex server, const Outcome& outcome) {
    RequestState& state = state_of(request);
    if (!state.tracked) return;
    compare(state);
    if (state.shadow_cancelled && !state.shadow_ended && outcome.ending != Ending::retracted)
        ++differences_.called_off;
    state.shadow_in_flight = state.shadow_cancelled = false;
    router_.attempt_ended(request, server, outcome);
}

void Watching::query_ended(QueryIndex request, bool completed) {
    RequestState& state = state_of(request);
    if (!state.tracked || state.answered) return;
    state.answered = true;
    if (state.shadow_ended && completed) ++differences_.ended;
    if (!state.shadow_ended && !completed) ++differences_.went_on;
    if (state.shadow_ended) return;
    state.shadow_ended = true;
    router_.query_left(request);
}

// Ends an attempt of the shadow router that was never made, as no end of it will ever be reported.
void Watching::end_unmade_attempt(QueryIndex request) {
    RequestState& state = state_of(request);
    if (!state.shadow_in_flight) return;
    state.shadow_in_flight = false;
    Outcome outcome;
    outcome.ending = Ending::unsent;
    outcome.over = true;
    router_.attempt_ended(request, state.shadow_server, outcome);
}

void Watching::query_closed(QueryIndex request) {
    if (!state_of(request).tracked) return;
    query_ended(request, true);
    end_unmade_attempt(request);
    state_of(request).tracked = false;
}

void Watching::probe_answered(ServerIndex server, bool answered, const LoadReport& report) {
    router_.probe_answered(server, answered, report);
}

}  // namespace copperfront
