#include "hold_simulation.h"

#include <algorithm>
#include <numeric>

namespace copperfront::explore {
namespace {

constexpr Duration ms(std::int64_t x) { return {x * 1000}; }
constexpr Duration kMaxHoldTime = ms(1300);
constexpr Duration kPollInterval = ms(20);
constexpr Duration kCloseTravelTime = ms(2), kResetTravelTime = ms(150);
constexpr Duration kAnswerSlack = ms(66);
constexpr Duration kLeaveSlack = ms(100);
constexpr std::size_t kMaxHangs = 4, kMaxLosses = 4;
constexpr Duration kAgeResolution = ms(50);  // resolution of ages in the hash
constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
constexpr Duration kAdvanceSteps[] = {ms(1), ms(20), ms(120), ms(400)};

Terms terms_for(Effect effect) {
    Terms terms;
    terms.categories.resize(1);
    terms.categories[0].effect = effect;
    terms.categories[0].window = ms(2000);
    terms.categories[0].latency_goal = ms(1000);
    terms.categories[0].token_gap = ms(50);
    terms.kinds = {{Role::prefill, 100000}, {Role::decode, 100000}};
    terms.cancel = true;
    terms.max_attempts = 6;
    terms.max_retry_after = ms(1000);
    terms.quantum = ms(4);
    terms.connect_timeout = ms(250);
    terms.release_within = ms(1000);
    return terms;
}

}  // namespace

HoldSimulation::HoldSimulation(const Options& options)
    : hangs_left_(kMaxHangs), losses_left_(kMaxLosses), effectful_(options.effect == Effect::effectful) {
    dispatcher_ =
        std::make_unique<Dispatcher>(terms_for(options.effect), static_cast<DispatcherHost&>(*this), 7);
    releases_ = std::make_unique<Releases>(static_cast<Clock&>(*this), static_cast<ReleaseHost&>(*this));
    std::vector<ServerListing> list(kServers);
    for (ServerIndex server = 0; server < kServers; ++server) {
        list[server].server = server;
        list[server].kind = server < 2 ? 0 : 1;
        list[server].name_hash = server + 1;
    }
    dispatcher_->list_arrived(list, true);
    next_poll_ = now_;
    for (std::size_t n = 0; n < options.requests; ++n) send_request(options);
}

HoldSimulation::~HoldSimulation() = default;

void HoldSimulation::report_finding(const std::string& description) {
    if (finding_.empty()) finding_ = description;
}

void HoldSimulation::add_to_trace(const std::string& description) {
    trace_ += std::to_string((now_.us - 1'000'000'000) / 1000) + " ms: " + description + "\n";
}

void HoldSimulation::send_request(const Options& options) {
    Request request;
    request.id = "q" + std::to_string(requests_.size());
    request.arrived_at = request.hold_limit_since = now_;
    request.deadline = now_ + options.budget;
    request.request_index = dispatcher_->open(1000 + requests_.size());
    requests_.push_back(request);
    RequestInfo info;
    info.prompt_tokens = 1000;
    info.max_output_tokens = 100;
    info.time_budget = options.budget;
    dispatcher_->request_arrived(request.request_index, info);
}

HoldSimulation::Request* HoldSimulation::find_request(RequestIndex request_index) {
    for (Request& request : requests_) {
        if (request.request_index == request_index) return &request;
    }
    return nullptr;
}

HoldSimulation::Request& HoldSimulation::request_by_id(const std::string& id) {
    return *std::find_if(requests_.begin(), requests_.end(), [&](const Request& r) { return r.id == id; });
}

HoldSimulation::Attempt* HoldSimulation::find(AttemptId attempt_id) {
    const auto it = attempts_.find(attempt_id);
    return it == attempts_.end() ? nullptr : &it->second;
}

void HoldSimulation::remove(AttemptId attempt_id) { attempts_.erase(attempt_id); }

// ---- actions of the gateway

void HoldSimulation::attempt_sent(AttemptId attempt_id, ServerIndex to, RequestIndex request_index,
                                  bool prefill) {
    Request& request = *find_request(request_index);
    add_to_trace(std::string(prefill ? "prefill " : "hand-over ") + std::to_string(attempt_id) + " of " +
                 request.id + " to #" + std::to_string(to));
    const bool already_answered = request.answers > 0 || request.streaming;
    if (already_answered) report_finding("lost: an attempt for a request that has been answered");
    const bool client_long_gone = request.client_left && now_ - request.client_left_at > kLeaveSlack;
    if (client_long_gone) report_finding("lost: an attempt after its client left");
    for (const auto& [id, other] : attempts_) {
        if (other.request == request.id && !other.closed) {
            report_finding("duplicate: a second attempt in flight");
        }
    }
    Attempt attempt;
    attempt.id = attempt_id;
    attempt.request_index = request_index;
    attempt.request = request.id;
    attempt.server = to;
    attempt.prefill = prefill;
    attempt.since = now_;
    attempts_[attempt_id] = attempt;
}

void HoldSimulation::send_prefill(AttemptId attempt_id, ServerIndex to, RequestIndex request_index,
                                  Duration) {
    attempt_sent(attempt_id, to, request_index, true);
}

void HoldSimulation::send_decode(AttemptId attempt_id, ServerIndex to, RequestIndex request_index, AttemptId,
                                 ServerIndex, Duration) {
    attempt_sent(attempt_id, to, request_index, false);
}

void HoldSimulation::cancel_attempt(AttemptId attempt_id, ServerIndex) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr) return;
    add_to_trace("cancel " + std::to_string(attempt_id));
    if (attempt->phase == Phase::connecting) return remove(attempt_id);
    attempt->closed = true;
    attempt->closed_at = now_;
    attempt->close_travel_time = kCloseTravelTime;
    restart_hold_limit(attempt->request);
}

bool HoldSimulation::cancel_if_unsent(AttemptId attempt_id, ServerIndex) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr || attempt->phase != Phase::connecting) return false;
    add_to_trace("withdraw unsent " + std::to_string(attempt_id));
    remove(attempt_id);
    return true;
}

void HoldSimulation::release(ServerIndex at, AttemptId state) {
    for (const Request& request : requests_) {
        const RequestKey key = dispatcher_->key_of(request.request_index);
        for (const HoldLedger::Entry& entry : ledger().entries(key)) {
            if (entry.attempt != state) continue;
            ReleaseOrder order;
            order.key = key;
            order.id = request.id;
            order.server = at;
            order.prefill_unanswered = entry.reason != HoldReason::prefill_answered;
            order.request_open = request.answers == 0 && !request.client_left;
            return releases_->order(order);
        }
    }
}

void HoldSimulation::request_answered(RequestIndex request_index, bool is_rejection) {
    Request& request = *find_request(request_index);
    add_to_trace("final answer to " + request.id + (is_rejection ? ": rejected" : ""));
    if (++request.answers > 1) report_finding("lost: a second final answer");
    if (!request.streaming && now_ > request.deadline + kAnswerSlack) {
        report_finding("lost: a final answer too late");
    }
    if (is_rejection && effectful_ && request.executions > 0) {
        report_finding("duplicate: rejected after it has run");
    }
}

ReleaseCallId HoldSimulation::start_release(ServerIndex server, const std::string& id) {
    const ReleaseCallId call = next_release_call_++;
    release_calls_[call] = {call, server, id, now_};
    add_to_trace("release of " + id + " to #" + std::to_string(server));
    return call;
}

void HoldSimulation::cancel_release(ReleaseCallId call) { release_calls_.erase(call); }

// ---- actions of servers, clients and the network

// The time limit on held states restarts in full with the outcome of an attempt.
void HoldSimulation::restart_hold_limit(const std::string& request) {
    request_by_id(request).hold_limit_since = now_;
}

void HoldSimulation::end_attempt(AttemptId attempt_id, Ending ending, bool state_missing) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr) return;
    const Attempt ended = *attempt;
    remove(attempt_id);
    states_.attempt_ended(ended.request, std::to_string(attempt_id));
    restart_hold_limit(ended.request);
    AttemptOutcome outcome;
    outcome.ending = ending;
    outcome.state_missing = state_missing;
    if (ending != Ending::unreachable && ending != Ending::connection_lost) last_heard_[ended.server] = now_;
    dispatcher_->attempt_ended(attempt_id, outcome);
}

void HoldSimulation::reset(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.closed = true;
    attempt.closed_at = now_;
    attempt.close_travel_time = kResetTravelTime;
    restart_hold_limit(attempt.request);
    AttemptOutcome outcome;
    outcome.ending = Ending::connection_lost;
    dispatcher_->attempt_ended(attempt_id, outcome);
}

void HoldSimulation::arrive(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.phase = Phase::working;
    if (attempt.prefill) return;
    if (!states_.hand_over_arrived(attempt.request, std::to_string(attempt_id))) {
        if (attempt.closed) return remove(attempt_id);
        end_attempt(attempt_id, Ending::refused, true);
    }
}

void HoldSimulation::take_state(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    if (!states_.fetch(attempt.request, std::to_string(attempt_id))) {
        if (attempt.closed) return remove(attempt_id);
        return end_attempt(attempt_id, Ending::refused, true);
    }
    if (++request_by_id(attempt.request).executions > 1 && effectful_) {
        report_finding("duplicate: an effect happened twice");
    }
    if (attempt.closed) return;
    start_stream(attempt_id);
}

void HoldSimulation::start_stream(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.phase = Phase::streaming;
    last_heard_[attempt.server] = now_;
    RequestIndex request_index = 0;
    const std::string request = attempt.request;
    if (dispatcher_->token_received(attempt_id, request_index)) request_by_id(request).streaming = true;
}

void HoldSimulation::server_sees_close(AttemptId attempt_id) {
    const Attempt& attempt = *find(attempt_id);
    states_.attempt_ended(attempt.request, std::to_string(attempt_id));
    restart_hold_limit(attempt.request);
    remove(attempt_id);
}

void HoldSimulation::add_attempt_events(std::vector<Event>& events, AttemptId id) {
    const Attempt& attempt = attempts_.at(id);
    const std::string name = std::to_string(id);
    const bool server_is_running = is_running(attempt.server);
    const auto add = [&](const std::string& description, std::function<void()> action) {
        events.push_back({description + " " + name, std::move(action)});
    };
    switch (attempt.phase) {
        case Phase::connecting:
            add("connected", [this, id] {
                if (dispatcher_->may_still_send(id, find_request(attempts_.at(id).request_index)->client_left,
                                                {}) != Denial::none) {
                    return end_attempt(id, Ending::unreachable);
                }
                find(id)->phase = Phase::in_socket;
            });
            add("connection refused", [this, id] { end_attempt(id, Ending::unreachable); });
            return;
        case Phase::in_socket:
            if (server_is_running) add("arrived", [this, id] { arrive(id); });
            add("reset unread", [this, id] { reset(id); });
            return;
        case Phase::working:
            break;
        case Phase::partly_answered:
            add("reset partly answered", [this, id] { end_attempt(id, Ending::connection_lost); });
            return;
        case Phase::streaming:
            if (server_is_running) {
                add("stream ended", [this, id] { end_attempt(id, Ending::completed); });
            }
            add("stream broke", [this, id] { end_attempt(id, Ending::connection_lost); });
            return;
    }
    add("reset while working", [this, id] { reset(id); });
    if (!server_is_running) return;
    add("refused", [this, id] { end_attempt(id, Ending::refused); });
    add("error", [this, id] { end_attempt(id, Ending::error); });
    if (!attempt.prefill) {
        add("state taken, stream begins", [this, id] { take_state(id); });
        return;
    }
    add("prefilled", [this, id] {
        states_.prefill_ended(find(id)->request, std::to_string(id));
        end_attempt(id, Ending::prefilled);
    });
    add("prefilled, answer lost", [this, id] {
        states_.prefill_ended(find(id)->request, std::to_string(id));
        end_attempt(id, Ending::connection_lost);
    });
    add("prefilled, answer partly sent", [this, id] {
        Attempt& prefill = *find(id);
        states_.prefill_ended(prefill.request, std::to_string(id));
        prefill.phase = Phase::partly_answered;
        prefill.since = now_;
        last_heard_[prefill.server] = now_;
        restart_hold_limit(prefill.request);
        dispatcher_->answer_began(id);
    });
}

// Events of an attempt that the gateway has closed: a running server sees the close soon, and may have read
// before that what lay in its socket.
void HoldSimulation::add_closed_events(std::vector<Event>& events, AttemptId attempt_id) {
    const Attempt& attempt = attempts_.at(attempt_id);
    if (!is_running(attempt.server)) return;
    const std::string name = std::to_string(attempt_id);
    events.push_back({"close seen " + name, [this, attempt_id] { server_sees_close(attempt_id); }});
    if (attempt.phase == Phase::in_socket) {
        events.push_back({"arrived late " + name, [this, attempt_id] { arrive(attempt_id); }});
    }
    if (attempt.phase == Phase::working && attempt.prefill) {
        events.push_back({"prefilled late " + name, [this, attempt_id] {
                              const std::string request = find(attempt_id)->request;
                              states_.prefill_ended(request, std::to_string(attempt_id));
                              server_sees_close(attempt_id);
                          }});
    }
}

void HoldSimulation::add_release_events(std::vector<Event>& events, ReleaseCallId call) {
    const ReleaseCall& release_call = release_calls_.at(call);
    const std::string name = std::to_string(call) + " of " + release_call.request;
    if (is_running(release_call.server)) {
        events.push_back({"release answered " + name, [this, call] { answer_release(call, true); }});
    }
    if (losses_left_ == 0) return;
    if (is_running(release_call.server)) {
        events.push_back({"release done, answer lost " + name, [this, call] {
                              --losses_left_;
                              answer_release(call, false);
                          }});
    }
    events.push_back({"release lost " + name, [this, call] {
                          --losses_left_;
                          release_calls_.erase(call);
                          releases_->call_ended(call, false);
                      }});
}

// Its server is running and has read the release.
void HoldSimulation::answer_release(ReleaseCallId call, bool answer_arrives) {
    const auto it = release_calls_.find(call);
    if (it == release_calls_.end()) return;
    const ReleaseCall done = it->second;
    release_calls_.erase(it);
    states_.release(done.request);
    if (answer_arrives) last_heard_[done.server] = now_;
    releases_->call_ended(call, answer_arrives);
}

void HoldSimulation::add_server_events(std::vector<Event>& events) {
    for (ServerIndex server = 0; server < kServers; ++server) {
        const std::string name = " #" + std::to_string(server);
        if (is_running(server)) {
            // One server runs at any time, or no release could be answered.
            if (hung_.size() + 1 < kServers && hangs_left_ > 0) {
                events.push_back({"hangs" + name, [this, server] {
                                      --hangs_left_;
                                      hung_.insert(server);
                                  }});
            }
        } else {
            events.push_back({"resumes" + name, [this, server] {
                                  hung_.erase(server);
                                  hung_until_[server] = now_;
                              }});
        }
    }
}

std::vector<HoldSimulation::Event> HoldSimulation::events() {
    std::vector<Event> all;
    for (const Duration duration : kAdvanceSteps) {
        all.push_back({"", [this, duration] { advance(duration); }});
    }
    for (const auto& [attempt_id, attempt] : attempts_) {
        attempt.closed ? add_closed_events(all, attempt_id) : add_attempt_events(all, attempt_id);
    }
    for (const auto& [call, release_call] : release_calls_) add_release_events(all, call);
    for (Request& request : requests_) {
        if (request.client_left || request.answers > 0) continue;
        all.push_back({"client leaves " + request.id, [this, id = request.id] {
                           Request& leaving = request_by_id(id);
                           leaving.client_left = true;
                           leaving.client_left_at = now_;
                           dispatcher_->client_left(leaving.request_index);
                       }});
    }
    add_server_events(all);
    return all;
}

void HoldSimulation::step(const Chooser& choose) {
    const std::vector<Event> possible = events();
    const Event& event = possible[choose(possible.size())];
    if (!event.name.empty()) add_to_trace(event.name);
    event.action();
    // Handle what has become due at the same instant.
    advance({0});
}

// ---- time

void HoldSimulation::poll() {
    const Duration limit = guard().answer_completion_time();
    std::vector<AttemptId> incomplete, closes_seen;
    for (const auto& [attempt_id, attempt] : attempts_) {
        const bool answer_incomplete = attempt.phase == Phase::partly_answered && !attempt.closed;
        if (answer_incomplete && now_ - attempt.since >= limit) incomplete.push_back(attempt_id);
        const bool close_arrived = attempt.closed && now_ - attempt.closed_at >= attempt.close_travel_time;
        if (close_arrived && is_running(attempt.server)) closes_seen.push_back(attempt_id);
    }
    for (const AttemptId attempt_id : incomplete) {
        add_to_trace("abandons the rest of the answer of " + std::to_string(attempt_id));
        remove(attempt_id);
        AttemptOutcome outcome;
        outcome.ending = Ending::connection_lost;
        outcome.closed_by_gateway = true;
        dispatcher_->attempt_ended(attempt_id, outcome);
    }
    for (const AttemptId attempt_id : closes_seen) {
        if (find(attempt_id) != nullptr) server_sees_close(attempt_id);
    }
    // A running server answers a release soon.
    std::vector<ReleaseCallId> overdue_calls;
    for (const auto& [call, release_call] : release_calls_) {
        if (is_running(release_call.server) && now_ - release_call.since >= ms(100)) {
            overdue_calls.push_back(call);
        }
    }
    for (const ReleaseCallId call : overdue_calls) answer_release(call, true);
    releases_->send_due();
}

void HoldSimulation::advance(Duration duration) {
    const Instant until = now_ + duration;
    while (finding_.empty()) {
        const Instant next = std::min(wake_at_, next_poll_);
        if (next > until) break;
        now_ = std::max(now_, next);
        if (wake_at_ <= now_) {
            wake_at_ = {INT64_MAX};
            dispatcher_->run_due_timers();
        }
        if (next_poll_ <= now_) {
            next_poll_ = now_ + kPollInterval;
            poll();
        }
        check();
    }
    now_ = std::max(now_, until);
    check();
}

void HoldSimulation::check() {
    for (Request& request : requests_) {
        const bool finished = request.answers > 0 || request.client_left || request.streaming;
        if (!finished && now_ > request.deadline + kAnswerSlack) report_finding("lost: no final answer");
        bool any_working = false;
        for (const auto& [attempt_id, attempt] : attempts_) {
            if (attempt.request != request.id) continue;
            const bool is_working = attempt.phase == Phase::working || attempt.phase == Phase::streaming;
            any_working = any_working || is_working;
        }
        if (!states_.is_held(request.id) || any_working) {
            request.hold_limit_since = now_;
            continue;
        }
        if (now_ - request.hold_limit_since > kMaxHoldTime) report_finding("held state: " + request.id);
    }
    if (guard().violations() > 0) report_finding("the gateway has counted a violation of its own");
}

void HoldSimulation::recover_and_finish() {
    hung_.clear();
    add_to_trace("all servers run again");
    advance(ms(6000));
    for (const Request& request : requests_) {
        if (states_.is_held(request.id)) report_finding("held state: " + request.id + " is never released");
    }
    // Streams that no event has ended are not an error.
    const bool all_finished = std::all_of(requests_.begin(), requests_.end(),
                                          [](const Request& r) { return r.answers > 0 || r.client_left; });
    if (!all_finished) return;
    if (ledger().size() > 0 || releases_->owed() > 0) {
        report_finding("books: the ledger or the releases are not empty at the end");
    }
}

std::size_t HoldSimulation::hash() const {
    std::size_t seed = 0;
    const auto mix = [&seed](std::size_t value) { seed ^= value + kGoldenRatio + (seed << 6) + (seed >> 2); };
    const auto mix_time = [&](Instant at) {
        mix(static_cast<std::size_t>((now_.us - at.us) / kAgeResolution.us));
    };
    for (const auto& [attempt_id, attempt] : attempts_) {
        mix(attempt.server);
        mix(static_cast<std::size_t>(attempt.phase));
        mix(attempt.closed);
        mix_time(attempt.since);
    }
    for (const auto& [call, release_call] : release_calls_) mix(release_call.server + 100);
    for (const ServerIndex server : hung_) mix(server + 200);
    for (const Request& request : requests_) {
        mix(static_cast<std::size_t>(request.answers));
        mix(request.client_left);
        mix(request.streaming);
        mix(request.executions);
        mix_time(request.arrived_at);
        mix_time(request.hold_limit_since);
        mix(states_.is_held(request.id));
        const RequestKey key = dispatcher_->key_of(request.request_index);
        mix(dispatcher_->ledger().entries(key).size());
        mix(static_cast<std::size_t>(dispatcher_->ledger().release_need(key, now_)));
    }
    mix(hangs_left_);
    mix(losses_left_);
    mix(releases_->owed());
    mix(releases_->late_attempts().size());
    return seed;
}

void HoldSimulation::visit_by_last_heard(const ServerVisitor& visit) const {
    std::vector<ServerIndex> servers(kServers);
    std::iota(servers.begin(), servers.end(), ServerIndex{0});
    std::stable_sort(servers.begin(), servers.end(),
                     [this](ServerIndex a, ServerIndex b) { return last_heard_[a] > last_heard_[b]; });
    for (const ServerIndex server : servers) {
        if (!visit(server)) return;
    }
}

}  // namespace copperfront::explore
