#include "dispatch/dispatcher.h"

#include <algorithm>

#include "dispatch/event_scope.h"
#include "limits/stream_silence.h"

namespace copperfront {

Dispatcher::Dispatcher(const Terms& terms, DispatcherHost& host, std::uint32_t seed)
    : kinds_(terms.kinds),
      categories_(terms.categories),
      max_attempts_(terms.max_attempts),
      host_(host),
      admission_(terms.gateways, host.now()),
      fleet_share_(terms.gateways),
      guard_(terms.release_within),
      ledger_(terms.release_within),
      router_(terms, *this, seed) {
    admission_.change({{RouteLimits{}}}, terms.gateways, host.now());
}

void Dispatcher::limits_changed(std::span<const RouteLimits> routes, int gateways) {
    admission_.change(routes, gateways, host_.now());
}

void Dispatcher::terms_changed(const Terms& terms, std::span<const RouteLimits> routes) {
    const EventScope scope(*this);
    kinds_ = terms.kinds;
    categories_ = terms.categories;
    max_attempts_ = terms.max_attempts;
    shadow_evaluation_.reset();  // its categories and client groups may no longer match the new terms
    fleet_share_.change(terms.gateways);
    guard_.set_release_within(terms.release_within);
    ledger_.set_release_within(terms.release_within);
    admission_.change(routes, terms.gateways, host_.now());
    router_.terms_changed(terms);
}

// ---- this gateway's share of the fleet's limits

void Dispatcher::set_share_is_learned(bool learned) {
    share_is_learned_ = learned;
    if (!learned) admission_.set_share(0);
}

void Dispatcher::evaluate_shadow_terms(const Terms* terms, std::uint32_t seed) {
    const EventScope scope(*this);
    shadow_evaluation_.reset();
    if (!terms) return;
    shadow_evaluation_ = std::make_unique<ShadowEvaluation>(
        *terms,
        ShadowEvaluation::Hooks{[this] { return host_.now(); },
                                [this](Duration from_now, TimerKey key) {
                                    schedule_timer(from_now, TimerKind::shadow_evaluation, key);
                                }},
        seed);
}

double Dispatcher::share() const { return fleet_share_.value(host_.now()); }

void Dispatcher::record_load_report(ServerIndex server, const LoadReport& report) {
    if (!share_is_learned_ || report.memory_share < 0 || server >= server_memory_.size() ||
        server_memory_[server] <= 0)
        return;
    fleet_share_.report(own_tokens_[server], report.memory_share * server_memory_[server], host_.now());
    admission_.set_share(share());
}

// ---- requests

RequestIndex Dispatcher::open(RequestKey key) {
    recycle_indexes();
    RequestIndex request = 0;
    if (free_indexes_.empty()) {
        request = static_cast<RequestIndex>(requests_.size());
        requests_.emplace_back();
    } else {
        request = free_indexes_.back();
        free_indexes_.pop_back();
    }
    requests_[request] = TrackedRequest{};
    requests_[request].in_use = true;
    requests_[request].key = key != 0 ? key : next_key_++;
    return request;
}

void Dispatcher::request_arrived(RequestIndex request, RequestInfo info, RouteIndex route,
                                 const RouteLimits& limits, bool is_repeat) {
    const EventScope scope(*this);
    TrackedRequest& tracked = requests_[request];
    const Category& category = categories_[info.category];
    ++open_count_;
    ++counters_.received;
    const AdmissionDecision decision =
        admission_.request_arrived(route, info.prompt_tokens, is_repeat, host_.now());
    if (decision.why != RejectReason::none) {
        tracked.ended = true;
        ended_requests_.push_back(request);
        --open_count_;
        ++counters_.rejected;
        ++counters_.over_limit;
        tracked.summary.arrived_at = tracked.arrived_at = host_.now();
        if (observer_)
            observer_->ended(request, RequestOutcome::over_limit, text_of(decision.why), tracked.summary);
        host_.rejected(request, decision.retry_after, text_of(decision.why));
        return;
    }
    tracked.route = route;
    tracked.prompt_tokens = info.prompt_tokens;
    tracked.arrived_at = tracked.summary.arrived_at = host_.now();
    tracked.streams = category.stream;
    tracked.effect = category.effect;
    // An explicit token gap applies as it stands: the time a client waits for a first token says nothing
    // about how long a healthy stream may pause.
    tracked.max_silence =
        limits.token_gap.us > 0 ? limits.token_gap : max_stream_silence(category, info.time_budget);
    tracked.connect_limit = limits.connect;
    for (int cause = 0; cause < kRetryCauses; ++cause) tracked.max_retries[cause] = limits.max_after[cause];
    info.prefill_timeout = limits.prefill;
    info.hand_over_timeout = limits.hand_over;
    info.first_token_timeout = limits.first_token;
    if (limits.max_attempts < kNoAttemptLimit) info.max_attempts = limits.max_attempts;
    if (limits.total.us > 0) {
        info.time_budget = std::min(info.time_budget, limits.total);
        schedule_timer(limits.total, TimerKind::total_limit, request);
        tracked.total_limit = limits.total;
    }
    tracked.deadline = tracked.arrived_at + info.time_budget;
    tracked.queued = true;
    admission_.queued(route, 1);
    if (const Duration hedge_delay = admission_.hedge_after(route);
        hedge_delay.us > 0 && limits.hedging && category.effect == Effect::pure && category.stream) {
        tracked.info = info;
        tracked.hedge_after = hedge_delay;
        schedule_timer(hedge_delay, TimerKind::hedge, request);
    }
    if (shadow_evaluation_) shadow_evaluation_->request_arrived(request, info);
    router_.request_arrived(request, info);
}

void Dispatcher::client_left(RequestIndex request) {
    const EventScope scope(*this);
    TrackedRequest& tracked = requests_[request];
    if (!tracked.in_use || tracked.ended) return;
    ++counters_.client_left;
    end_request(request, RequestOutcome::client_left, "");
    // The router never cancels a stream that has begun; the dispatcher does, because nobody reads it any
    // more.
    if (const auto it = attempts_.find(tracked.streaming_attempt);
        it != attempts_.end() && !it->second.cancelled) {
        AttemptOutcome outcome;
        outcome.ending = Ending::cancelled;
        cancel_then_finish(it->first, outcome, "its client has left");
    }
    const RequestIndex partner = active_partner(request);
    if (!requests_[request].routing_done) router_.client_left(request);
    if (partner != kNoRequest) {
        mark_routing_done(partner);
        router_.client_left(partner);
    }
}

// ---- hedges

RequestIndex Dispatcher::active_partner(RequestIndex request) const {
    const RequestIndex partner = requests_[request].partner;
    // The index may have been reused for another request since.
    if (partner == kNoRequest || !requests_[partner].in_use || requests_[partner].routing_done ||
        requests_[partner].partner != request)
        return kNoRequest;
    // A request that has been answered has no partner that could still be answered.
    return requests_[partner].is_hedge || !requests_[partner].ended ? partner : kNoRequest;
}

// Marks that the router has finished with this request. The index of a hedge becomes free for reuse.
void Dispatcher::mark_routing_done(RequestIndex request) {
    TrackedRequest& tracked = requests_[request];
    tracked.routing_done = true;
    if (!tracked.is_hedge || tracked.ended) return;
    tracked.ended = true;
    ended_requests_.push_back(request);
}

// Guards against a second final answer: while one of the two hedged requests ends or its client leaves, the
// router may also end the other.
bool Dispatcher::is_answered(RequestIndex request) {
    const TrackedRequest& tracked = requests_[request];
    if (!tracked.in_use || tracked.ended || tracked.routing_done) return true;
    if (!requests_[original_of(request)].ended) return false;
    mark_routing_done(request);
    return true;
}

// Returns true, and drops this request, where the router ended it while its partner may still be answered.
bool Dispatcher::yields_to_partner(RequestIndex request) {
    if (active_partner(request) == kNoRequest) return false;
    mark_routing_done(request);
    return true;
}

// Cancels the attempts of the slower partner and releases its states, as if its client had left.
void Dispatcher::cancel_partner(RequestIndex winner) {
    const RequestIndex loser = active_partner(winner);
    if (loser == kNoRequest) return;
    if (requests_[winner].is_hedge) ++counters_.hedges_won;
    mark_routing_done(loser);
    router_.client_left(loser);
}

// The router chooses the servers of a hedge as for any request, except that it first avoids the slow server.
void Dispatcher::start_hedge(RequestIndex request) {
    const TrackedRequest& tracked = requests_[request];
    const bool is_useful = tracked.in_use && !tracked.ended && !tracked.routing_done && !tracked.is_hedge &&
                           tracked.partner == kNoRequest && tracked.streaming_attempt == 0 &&
                           tracked.in_flight > 0 && tracked.hedge_after.us > 0 &&
                           host_.now() - tracked.arrived_at >= tracked.hedge_after;
    if (!is_useful) return;
    const auto slow = attempts_.find(tracked.attempts.back());
    const Duration left = tracked.arrived_at + tracked.info.time_budget - host_.now();
    if (slow == attempts_.end() || left.us <= 0 || !admission_.may_hedge(tracked.route, host_.now())) return;
    RequestInfo info = tracked.info;
    info.time_budget = left;
    info.avoided_server = static_cast<std::int32_t>(slow->second.server);
    const RequestIndex hedge_index = open();  // may move the elements of requests_
    TrackedRequest& original = requests_[request];
    TrackedRequest& hedge = requests_[hedge_index];
    original.partner = hedge_index;
    hedge.is_hedge = true;
    hedge.partner = request;
    hedge.route = original.route;
    hedge.prompt_tokens = original.prompt_tokens;
    hedge.arrived_at = original.arrived_at;
    hedge.deadline = original.deadline;
    hedge.streams = true;
    hedge.effect = original.effect;
    hedge.max_silence = original.max_silence;
    hedge.total_limit = original.total_limit;
    hedge.connect_limit = original.connect_limit;
    // Attempts of a hedge do not count as the first attempts that retry budgets are a share of.
    hedge.prefill_attempted = hedge.decode_attempted = true;
    for (int cause = 0; cause < kRetryCauses; ++cause) hedge.max_retries[cause] = original.max_retries[cause];
    ++counters_.hedges;
    ++original.summary.hedges;
    if (observer_) observer_->hedged(request, slow->second.server);
    router_.request_arrived(hedge_index, info);
}

void Dispatcher::end_request(RequestIndex request, RequestOutcome outcome, std::string_view why) {
    TrackedRequest& tracked = requests_[request];
    tracked.ended = true;
    if (observer_) observer_->ended(request, outcome, why, tracked.summary);
    if (shadow_evaluation_)
        shadow_evaluation_->request_ended(
            request, outcome == RequestOutcome::completed || outcome == RequestOutcome::client_left);
    if (tracked.queued) admission_.queued(tracked.route, -1);
    tracked.queued = false;
    admission_.request_ended(tracked.route, tracked.prompt_tokens, tracked.streaming_attempt != 0,
                             host_.now());
    ended_requests_.push_back(request);
    --open_count_;
}

void Dispatcher::recycle_indexes() {
    if (ended_requests_.empty()) return;
    std::size_t remaining = 0;
    for (const RequestIndex request : ended_requests_) {
        TrackedRequest& tracked = requests_[request];
        if (!tracked.in_use) continue;
        // The attempts of a hedge also refer to the original request.
        const bool referenced = !tracked.is_hedge && tracked.partner != kNoRequest &&
                                requests_[tracked.partner].in_use && requests_[tracked.partner].is_hedge &&
                                requests_[tracked.partner].partner == request;
        if (tracked.in_flight > 0 || referenced) {
            ended_requests_[remaining++] = request;
            continue;
        }
        tracked.in_use = false;
        if (shadow_evaluation_ && !tracked.is_hedge) shadow_evaluation_->request_closed(request);
        free_indexes_.push_back(request);
        if (!tracked.is_hedge) host_.closed(request);
    }
    ended_requests_.resize(remaining);
}

void Dispatcher::reject(RequestIndex request, Duration retry_after) {
    if (is_answered(request) || yields_to_partner(request)) return;
    const RequestIndex original = original_of(request);
    const char* reason = requests_[request].reason;
    const char* why = reason ? reason : "cannot be settled in time now";
    mark_routing_done(request);
    end_request(original, RequestOutcome::rejected, why);
    ++counters_.rejected;
    host_.rejected(original, retry_after, why);
}

void Dispatcher::abandon(RequestIndex request) {
    if (is_answered(request) || yields_to_partner(request)) return;
    const RequestIndex original = original_of(request);
    const char* reason = requests_[request].reason;
    mark_routing_done(request);
    end_request(original, RequestOutcome::abandoned, reason ? reason : "no answer in time");
    ++counters_.abandoned;
    host_.abandoned(original, "no answer in time");
}

void Dispatcher::abandon_all(std::string_view why) {
    const EventScope scope(*this);
    for (RequestIndex request = 0; request < requests_.size(); ++request) {
        if (!requests_[request].in_use || requests_[request].ended || requests_[request].is_hedge) continue;
        ++counters_.abandoned;
        host_.abandoned(request, why);
        end_request(request, RequestOutcome::abandoned, why);
        const RequestIndex partner = active_partner(request);
        if (!requests_[request].routing_done) router_.client_left(request);
        if (partner == kNoRequest) continue;
        mark_routing_done(partner);
        router_.client_left(partner);
    }
}

// ---- server lists and probes

void Dispatcher::list_arrived(std::span<const ServerListing> entries, bool is_snapshot) {
    const EventScope scope(*this);
    for (const ServerListing& entry : entries) {
        if (entry.server >= roles_.size()) {
            roles_.resize(entry.server + 1, Role::mixed);
            server_memory_.resize(entry.server + 1, 0);
            own_tokens_.resize(entry.server + 1, 0);
        }
        roles_[entry.server] = kinds_[entry.kind].role;
        // A prefill server holds cached prefixes and states in transit, which this gateway cannot attribute
        // to itself.
        server_memory_[entry.server] =
            roles_[entry.server] == Role::prefill ? 0 : kinds_[entry.kind].memory_tokens;
    }
    if (shadow_evaluation_) shadow_evaluation_->list_arrived(entries, is_snapshot);
    router_.list_arrived(entries, is_snapshot);
}

void Dispatcher::list_fetch_failed() {
    const EventScope scope(*this);
    if (shadow_evaluation_) shadow_evaluation_->list_fetch_failed();
    router_.list_fetch_failed();
}

void Dispatcher::probe(ServerIndex server) {
    ++counters_.probes;
    host_.probe(server);
}

void Dispatcher::probe_answered(ServerIndex server, bool answered, const LoadReport& report) {
    const EventScope scope(*this);
    if (answered) record_load_report(server, report);
    if (shadow_evaluation_) shadow_evaluation_->probe_answered(server, answered, report);
    router_.probe_answered(server, answered, report);
}

void Dispatcher::peer_note_received(std::string_view note) {
    const EventScope scope(*this);
    router_.peer_note_received(note);
}

}  // namespace copperfront
