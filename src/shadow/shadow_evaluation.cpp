#include "shadow/shadow_evaluation.h"

namespace copperfront {

ShadowEvaluation::ShadowEvaluation(const Terms& terms, Hooks hooks, std::uint32_t seed)
    : hooks_(std::move(hooks)), router_(terms, *this, seed) {}

ShadowEvaluation::RequestState& ShadowEvaluation::state_of(RequestIndex request) {
    if (request >= states_.size()) states_.resize(request + 1);
    return states_[request];
}

void ShadowEvaluation::request_arrived(RequestIndex request, const RequestInfo& info) {
    state_of(request) = {};
    state_of(request).tracked = true;
    router_.request_arrived(request, info);
}

void ShadowEvaluation::start_attempt(RequestIndex request, ServerIndex server, const AttemptLimits&) {
    RequestState& state = state_of(request);
    state.shadow_in_flight = true;
    state.shadow_cancelled = false;
    state.shadow_server = server;
}

void ShadowEvaluation::cancel_attempt(RequestIndex request, std::uint32_t) {
    state_of(request).shadow_cancelled = true;
}

void ShadowEvaluation::attempt_started(RequestIndex request, ServerIndex server, bool is_prefill) {
    RequestState& state = state_of(request);
    state.real_server = server;
    state.is_prefill = is_prefill;
    state.compared = false;
}

// Called once for each real attempt, at its first event: the shadow router may act a little later than the
// real one.
void ShadowEvaluation::compare(RequestState& state) {
    if (state.compared || state.shadow_ended) return;
    state.compared = true;
    if (!state.shadow_in_flight) {
        ++differences_.not_sent;
    } else if (state.shadow_server == state.real_server) {
        ++differences_.same_server;
    } else {
        ++(state.is_prefill ? differences_.other_prefill_server : differences_.other_decode_server);
    }
}

void ShadowEvaluation::stream_began(RequestIndex request, Duration duration) {
    RequestState& state = state_of(request);
    if (!state.tracked) return;
    compare(state);
    if (state.shadow_in_flight && !state.shadow_ended) router_.stream_began(request, duration);
}

void ShadowEvaluation::attempt_ended(RequestIndex request, ServerIndex server,
                                     const AttemptOutcome& outcome) {
    RequestState& state = state_of(request);
    if (!state.tracked) return;
    compare(state);
    if (state.shadow_cancelled && !state.shadow_ended && outcome.ending != Ending::cancelled)
        ++differences_.cancelled;
    state.shadow_in_flight = state.shadow_cancelled = false;
    router_.attempt_ended(request, server, outcome);
}

void ShadowEvaluation::request_ended(RequestIndex request, bool completed) {
    RequestState& state = state_of(request);
    if (!state.tracked || state.answered) return;
    state.answered = true;
    if (state.shadow_ended && completed) ++differences_.ended_early;
    if (!state.shadow_ended && !completed) ++differences_.continued;
    if (state.shadow_ended) return;
    state.shadow_ended = true;
    router_.client_left(request);
}

// Ends an attempt of the shadow router that was never made, as no end of it will ever be reported.
void ShadowEvaluation::end_unmade_attempt(RequestIndex request) {
    RequestState& state = state_of(request);
    if (!state.shadow_in_flight) return;
    state.shadow_in_flight = false;
    AttemptOutcome outcome;
    outcome.ending = Ending::unsent;
    outcome.request_answered = true;
    router_.attempt_ended(request, state.shadow_server, outcome);
}

void ShadowEvaluation::request_closed(RequestIndex request) {
    if (!state_of(request).tracked) return;
    request_ended(request, true);
    end_unmade_attempt(request);
    state_of(request).tracked = false;
}

void ShadowEvaluation::probe_answered(ServerIndex server, bool answered, const LoadReport& report) {
    router_.probe_answered(server, answered, report);
}

}  // namespace copperfront
