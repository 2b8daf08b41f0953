#include "hold_world.h"

#include <algorithm>
#include <numeric>

namespace copperfront::explore {
namespace {

constexpr Span ms(std::int64_t x) { return {x * 1000}; }
constexpr Span kHeldAtMost = ms(1300);
constexpr Span kLookEvery = ms(20);
constexpr Span kCloseTravels = ms(2), kResetTravels = ms(150);
constexpr Span kAnswerSlack = ms(66);
constexpr Span kAfterLeaving = ms(100);
constexpr std::size_t kMostHangs = 4, kMostLosses = 4;
constexpr Span kAlikeWithin = ms(50);  // ages of what there is, for the hash
constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
constexpr Span kSteps[] = {ms(1), ms(20), ms(120), ms(400)};

Terms terms_with(Effect effect) {
    Terms terms;
    terms.categories.resize(1);
    terms.categories[0].effect = effect;
    terms.categories[0].window = ms(2000);
    terms.categories[0].latency_goal = ms(1000);
    terms.categories[0].token_gap = ms(50);
    terms.kinds = {{Role::reader, 100000}, {Role::writer, 100000}};
    terms.cancel = true;
    terms.max_attempts = 6;
    terms.max_stay_away = ms(1000);
    terms.quantum = ms(4);
    terms.connect_within = ms(250);
    terms.release_within = ms(1000);
    return terms;
}

}  // namespace

HoldWorld::HoldWorld(const Shape& shape)
    : hangs_left_(kMostHangs), losses_left_(kMostLosses), effectful_(shape.effect == Effect::effectful) {
    desk_ = std::make_unique<Desk>(terms_with(shape.effect), static_cast<Outside&>(*this), 7);
    releases_ = std::make_unique<Releases>(static_cast<Clock&>(*this), static_cast<ReleasePool&>(*this));
    std::vector<Listing> list(kServers);
    for (ServerIndex server = 0; server < kServers; ++server) {
        list[server].server = server;
        list[server].kind = server < 2 ? 0 : 1;
        list[server].mark = server + 1;
    }
    desk_->list_arrived(list, true);
    next_look_ = now_;
    for (std::size_t n = 0; n < shape.requests; ++n) ask(shape);
}

HoldWorld::~HoldWorld() = default;

void HoldWorld::wrong(const std::string& what) {
    if (finding_.empty()) finding_ = what;
}

void HoldWorld::note(const std::string& what) {
    trace_ += std::to_string((now_.us - 1'000'000'000) / 1000) + " ms: " + what + "\n";
}

void HoldWorld::ask(const Shape& shape) {
    Request request;
    request.id = "q" + std::to_string(requests_.size());
    request.came = request.time_runs_since = now_;
    request.deadline = now_ + shape.budget;
    request.query = desk_->open(1000 + requests_.size());
    requests_.push_back(request);
    Arrival facts;
    facts.prompt_tokens = 1000;
    facts.most_tokens = 100;
    facts.budget = shape.budget;
    desk_->query_came(request.query, facts);
}

HoldWorld::Request* HoldWorld::request_of(QueryIndex query) {
    for (Request& request : requests_) {
        if (request.query == query) return &request;
    }
    return nullptr;
}

HoldWorld::Request& HoldWorld::request_named(const std::string& id) {
    return *std::find_if(requests_.begin(), requests_.end(), [&](const Request& r) { return r.id == id; });
}

HoldWorld::Attempt* HoldWorld::find(AttemptId attempt_id) {
    const auto it = attempts_.find(attempt_id);
    return it == attempts_.end() ? nullptr : &it->second;
}

void HoldWorld::remove(AttemptId attempt_id) { attempts_.erase(attempt_id); }

// ---- what the gateway does

void HoldWorld::sent(AttemptId attempt_id, ServerIndex to, QueryIndex query, bool prefill) {
    Request& request = *request_of(query);
    note(std::string(prefill ? "prefill " : "hand-over ") + std::to_string(attempt_id) + " of " + request.id +
         " to #" + std::to_string(to));
    const bool answered = request.answers > 0 || request.streaming;
    if (answered) wrong("lost: an attempt for a request that has been answered");
    const bool too_late = request.left && now_ - request.left_at > kAfterLeaving;
    if (too_late) wrong("lost: an attempt after its client left");
    for (const auto& [id, other] : attempts_) {
        if (other.request == request.id && !other.closed) wrong("duplicate: a second attempt out");
    }
    Attempt made;
    made.id = attempt_id;
    made.query = query;
    made.request = request.id;
    made.server = to;
    made.prefill = prefill;
    made.since = now_;
    attempts_[attempt_id] = made;
}

void HoldWorld::send_read(AttemptId attempt_id, ServerIndex to, QueryIndex query, Span) {
    sent(attempt_id, to, query, true);
}

void HoldWorld::send_write(AttemptId attempt_id, ServerIndex to, QueryIndex query, AttemptId, ServerIndex,
                           Span) {
    sent(attempt_id, to, query, false);
}

void HoldWorld::call_off(AttemptId attempt_id, ServerIndex) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr) return;
    note("call off " + std::to_string(attempt_id));
    if (attempt->phase == Phase::dialling) return remove(attempt_id);
    attempt->closed = true;
    attempt->closed_at = now_;
    attempt->close_travels = kCloseTravels;
    outcome_at_server(attempt->request);
}

bool HoldWorld::unsend(AttemptId attempt_id, ServerIndex) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr || attempt->phase != Phase::dialling) return false;
    note("take back unsent " + std::to_string(attempt_id));
    remove(attempt_id);
    return true;
}

void HoldWorld::release(ServerIndex at, AttemptId state) {
    for (const Request& request : requests_) {
        const RequestKey key = desk_->key_of(request.query);
        for (const HoldLedger::Entry& entry : ledger().entries(key)) {
            if (entry.attempt != state) continue;
            ReleaseOrder order;
            order.key = key;
            order.id = request.id;
            order.server = at;
            order.unheard = entry.reason != HoldReason::prefill_answered;
            order.may_be_followed = request.answers == 0 && !request.left;
            return releases_->order(order);
        }
    }
}

void HoldWorld::answered(QueryIndex query, bool rejected) {
    Request& request = *request_of(query);
    note("final answer to " + request.id + (rejected ? ": rejected" : ""));
    if (++request.answers > 1) wrong("lost: a second final answer");
    if (!request.streaming && now_ > request.deadline + kAnswerSlack) wrong("lost: a final answer too late");
    if (rejected && effectful_ && request.runs > 0) wrong("duplicate: rejected after it has run");
}

ReleaseCallId HoldWorld::start_release(ServerIndex server, const std::string& id) {
    const ReleaseCallId call = next_release_call_++;
    release_calls_[call] = {call, server, id, now_};
    note("release of " + id + " to #" + std::to_string(server));
    return call;
}

void HoldWorld::cancel_release(ReleaseCallId call) { release_calls_.erase(call); }

// ---- what servers, clients and the network do

// The time of what is held starts again in full with an attempt's outcome.
void HoldWorld::outcome_at_server(const std::string& request) {
    request_named(request).time_runs_since = now_;
}

void HoldWorld::end_attempt(AttemptId attempt_id, Ending ending, bool no_state) {
    Attempt* const attempt = find(attempt_id);
    if (attempt == nullptr) return;
    const Attempt ended = *attempt;
    remove(attempt_id);
    states_.attempt_over(ended.request, std::to_string(attempt_id));
    outcome_at_server(ended.request);
    Outcome outcome;
    outcome.ending = ending;
    outcome.no_state = no_state;
    if (ending != Ending::unreachable && ending != Ending::broken) heard_[ended.server] = now_;
    desk_->attempt_ended(attempt_id, outcome);
}

void HoldWorld::reset(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.closed = true;
    attempt.closed_at = now_;
    attempt.close_travels = kResetTravels;
    outcome_at_server(attempt.request);
    Outcome outcome;
    outcome.ending = Ending::broken;
    desk_->attempt_ended(attempt_id, outcome);
}

void HoldWorld::arrive(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.phase = Phase::working;
    if (attempt.prefill) return;
    if (!states_.hand_over_arrived(attempt.request, std::to_string(attempt_id))) {
        if (attempt.closed) return remove(attempt_id);
        end_attempt(attempt_id, Ending::full, true);
    }
}

void HoldWorld::take_state(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    if (!states_.fetch(attempt.request, std::to_string(attempt_id))) {
        if (attempt.closed) return remove(attempt_id);
        return end_attempt(attempt_id, Ending::full, true);
    }
    if (++request_named(attempt.request).runs > 1 && effectful_) wrong("duplicate: an effect twice");
    if (attempt.closed) return;
    first_event(attempt_id);
}

void HoldWorld::first_event(AttemptId attempt_id) {
    Attempt& attempt = *find(attempt_id);
    attempt.phase = Phase::streaming;
    heard_[attempt.server] = now_;
    QueryIndex query = 0;
    const std::string request = attempt.request;
    if (desk_->token_came(attempt_id, query)) request_named(request).streaming = true;
}

void HoldWorld::server_sees_close(AttemptId attempt_id) {
    const Attempt& attempt = *find(attempt_id);
    states_.attempt_over(attempt.request, std::to_string(attempt_id));
    outcome_at_server(attempt.request);
    remove(attempt_id);
}

void HoldWorld::add_attempt_events(std::vector<Event>& events, AttemptId attempt_id) {
    const Attempt& attempt = attempts_.at(attempt_id);
    const std::string name = std::to_string(attempt_id);
    const bool runs_now = runs(attempt.server);
    const auto add = [&](const std::string& what, std::function<void()> act) {
        events.push_back({what + " " + name, std::move(act)});
    };
    switch (attempt.phase) {
        case Phase::dialling:
            add("connected", [this, attempt_id] {
                if (desk_->may_be_written(attempt_id, request_of(attempts_.at(attempt_id).query)->left, {}) !=
                    Denial::none) {
                    return end_attempt(attempt_id, Ending::unreachable);
                }
                find(attempt_id)->phase = Phase::in_socket;
            });
            add("connection refused", [this, attempt_id] { end_attempt(attempt_id, Ending::unreachable); });
            return;
        case Phase::in_socket:
            if (runs_now) add("arrived", [this, attempt_id] { arrive(attempt_id); });
            add("reset unread", [this, attempt_id] { reset(attempt_id); });
            return;
        case Phase::working:
            break;
        case Phase::half_sent:
            add("reset half sent", [this, attempt_id] { end_attempt(attempt_id, Ending::broken); });
            return;
        case Phase::streaming:
            if (runs_now) {
                add("stream ended", [this, attempt_id] { end_attempt(attempt_id, Ending::settled); });
            }
            add("stream broke", [this, attempt_id] { end_attempt(attempt_id, Ending::broken); });
            return;
    }
    add("reset at work", [this, attempt_id] { reset(attempt_id); });
    if (!runs_now) return;
    add("turned away", [this, attempt_id] { end_attempt(attempt_id, Ending::full); });
    add("error", [this, attempt_id] { end_attempt(attempt_id, Ending::error); });
    if (!attempt.prefill) {
        add("taken and begun", [this, attempt_id] { take_state(attempt_id); });
        return;
    }
    add("read", [this, attempt_id] {
        states_.prefill_ended(find(attempt_id)->request, std::to_string(attempt_id));
        end_attempt(attempt_id, Ending::read);
    });
    add("read, answer lost", [this, attempt_id] {
        states_.prefill_ended(find(attempt_id)->request, std::to_string(attempt_id));
        end_attempt(attempt_id, Ending::broken);
    });
    add("read, answer half sent", [this, attempt_id] {
        Attempt& mine = *find(attempt_id);
        states_.prefill_ended(mine.request, std::to_string(attempt_id));
        mine.phase = Phase::half_sent;
        mine.since = now_;
        heard_[mine.server] = now_;
        outcome_at_server(mine.request);
        desk_->answer_began(attempt_id);
    });
}

// The gateway has closed it; a running server sees that soon, and may have read what lay in its socket
// before.
void HoldWorld::add_closed_events(std::vector<Event>& events, AttemptId attempt_id) {
    const Attempt& attempt = attempts_.at(attempt_id);
    if (!runs(attempt.server)) return;
    const std::string name = std::to_string(attempt_id);
    events.push_back({"close seen " + name, [this, attempt_id] { server_sees_close(attempt_id); }});
    if (attempt.phase == Phase::in_socket) {
        events.push_back({"arrived late " + name, [this, attempt_id] { arrive(attempt_id); }});
    }
    if (attempt.phase == Phase::working && attempt.prefill) {
        events.push_back({"read late " + name, [this, attempt_id] {
                              const std::string request = find(attempt_id)->request;
                              states_.prefill_ended(request, std::to_string(attempt_id));
                              server_sees_close(attempt_id);
                          }});
    }
}

void HoldWorld::add_release_events(std::vector<Event>& events, ReleaseCallId call) {
    const ReleaseCall& mine = release_calls_.at(call);
    const std::string name = std::to_string(call) + " of " + mine.request;
    if (runs(mine.server)) {
        events.push_back({"release answered " + name, [this, call] { answer_release(call, true); }});
    }
    if (losses_left_ == 0) return;
    if (runs(mine.server)) {
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

// Its server runs and has read it.
void HoldWorld::answer_release(ReleaseCallId call, bool answer_arrives) {
    const auto it = release_calls_.find(call);
    if (it == release_calls_.end()) return;
    const ReleaseCall done = it->second;
    release_calls_.erase(it);
    states_.release(done.request);
    if (answer_arrives) heard_[done.server] = now_;
    releases_->call_ended(call, answer_arrives);
}

void HoldWorld::add_server_events(std::vector<Event>& events) {
    for (ServerIndex server = 0; server < kServers; ++server) {
        const std::string name = " #" + std::to_string(server);
        if (runs(server)) {
            // One runs at any time, or nobody could be told.
            if (hung_.size() + 1 < kServers && hangs_left_ > 0) {
                events.push_back({"hangs" + name, [this, server] {
                                      --hangs_left_;
                                      hung_.insert(server);
                                  }});
            }
        } else {
            events.push_back({"runs on" + name, [this, server] {
                                  hung_.erase(server);
                                  hung_until_[server] = now_;
                              }});
        }
    }
}

std::vector<HoldWorld::Event> HoldWorld::events() {
    std::vector<Event> all;
    for (const Span span : kSteps) {
        all.push_back({"", [this, span] { pass(span); }});
    }
    for (const auto& [attempt_id, attempt] : attempts_) {
        attempt.closed ? add_closed_events(all, attempt_id) : add_attempt_events(all, attempt_id);
    }
    for (const auto& [call, mine] : release_calls_) add_release_events(all, call);
    for (Request& request : requests_) {
        if (request.left || request.answers > 0) continue;
        all.push_back({"client leaves " + request.id, [this, id = request.id] {
                           Request& mine = request_named(id);
                           mine.left = true;
                           mine.left_at = now_;
                           desk_->query_left(mine.query);
                       }});
    }
    add_server_events(all);
    return all;
}

void HoldWorld::step(const Chooser& choose) {
    const std::vector<Event> possible = events();
    const Event& event = possible[choose(possible.size())];
    if (!event.name.empty()) note(event.name);
    event.act();
    // Whatever has become due in the same moment.
    pass({0});
}

// ---- time

void HoldWorld::look() {
    const Span within = guard().answer_completion_time();
    std::vector<AttemptId> incomplete, seen;
    for (const auto& [attempt_id, attempt] : attempts_) {
        const bool half = attempt.phase == Phase::half_sent && !attempt.closed;
        if (half && now_ - attempt.since >= within) incomplete.push_back(attempt_id);
        const bool close_arrived = attempt.closed && now_ - attempt.closed_at >= attempt.close_travels;
        if (close_arrived && runs(attempt.server)) seen.push_back(attempt_id);
    }
    for (const AttemptId attempt_id : incomplete) {
        note("gives up the rest of the answer of " + std::to_string(attempt_id));
        remove(attempt_id);
        Outcome outcome;
        outcome.ending = Ending::broken;
        outcome.closed_here = true;
        desk_->attempt_ended(attempt_id, outcome);
    }
    for (const AttemptId attempt_id : seen) {
        if (find(attempt_id) != nullptr) server_sees_close(attempt_id);
    }
    // A running server that is asked answers soon.
    std::vector<ReleaseCallId> old;
    for (const auto& [call, mine] : release_calls_) {
        if (runs(mine.server) && now_ - mine.since >= ms(100)) old.push_back(call);
    }
    for (const ReleaseCallId call : old) answer_release(call, true);
    releases_->look();
}

void HoldWorld::pass(Span span) {
    const Instant until = now_ + span;
    while (finding_.empty()) {
        const Instant next = std::min(wake_, next_look_);
        if (next > until) break;
        now_ = std::max(now_, next);
        if (wake_ <= now_) {
            wake_ = {INT64_MAX};
            desk_->time_came();
        }
        if (next_look_ <= now_) {
            next_look_ = now_ + kLookEvery;
            look();
        }
        check();
    }
    now_ = std::max(now_, until);
    check();
}

void HoldWorld::check() {
    for (Request& request : requests_) {
        const bool over = request.answers > 0 || request.left || request.streaming;
        if (!over && now_ > request.deadline + kAnswerSlack) wrong("lost: no final answer");
        bool attempt_out = false;
        for (const auto& [attempt_id, attempt] : attempts_) {
            if (attempt.request != request.id) continue;
            const bool at_work = attempt.phase == Phase::working || attempt.phase == Phase::streaming;
            attempt_out = attempt_out || at_work;
        }
        if (!states_.is_held(request.id) || attempt_out) {
            request.time_runs_since = now_;
            continue;
        }
        if (now_ - request.time_runs_since > kHeldAtMost) wrong("held state: " + request.id);
    }
    if (guard().violations() > 0) wrong("the gateway counts a violation of its own");
}

void HoldWorld::heal_and_end() {
    hung_.clear();
    note("all run again");
    pass(ms(6000));
    for (const Request& request : requests_) {
        if (states_.is_held(request.id)) wrong("held state: " + request.id + " is never released");
    }
    // Streams that nobody has ended are of no concern.
    const bool all_over = std::all_of(requests_.begin(), requests_.end(),
                                      [](const Request& r) { return r.answers > 0 || r.left; });
    if (!all_over) return;
    if (ledger().size() > 0 || releases_->owed() > 0) wrong("books: something is left in them");
}

std::size_t HoldWorld::hash() const {
    std::size_t seed = 0;
    const auto mix = [&seed](std::size_t value) { seed ^= value + kGoldenRatio + (seed << 6) + (seed >> 2); };
    const auto mix_time = [&](Instant at) {
        mix(static_cast<std::size_t>((now_.us - at.us) / kAlikeWithin.us));
    };
    for (const auto& [attempt_id, attempt] : attempts_) {
        mix(attempt.server);
        mix(static_cast<std::size_t>(attempt.phase));
        mix(attempt.closed);
        mix_time(attempt.since);
    }
    for (const auto& [call, mine] : release_calls_) mix(mine.server + 100);
    for (const ServerIndex server : hung_) mix(server + 200);
    for (const Request& request : requests_) {
        mix(static_cast<std::size_t>(request.answers));
        mix(request.left);
        mix(request.streaming);
        mix(request.runs);
        mix_time(request.came);
        mix_time(request.time_runs_since);
        mix(states_.is_held(request.id));
        const RequestKey key = desk_->key_of(request.query);
        mix(desk_->ledger().entries(key).size());
        mix(static_cast<std::size_t>(desk_->ledger().need_of_release(key, now_)));
    }
    mix(hangs_left_);
    mix(losses_left_);
    mix(releases_->owed());
    mix(releases_->late_attempts().size());
    return seed;
}

void HoldWorld::visit_by_last_heard(const ServerVisitor& visit) const {
    std::vector<ServerIndex> servers(kServers);
    std::iota(servers.begin(), servers.end(), ServerIndex{0});
    std::stable_sort(servers.begin(), servers.end(),
                     [this](ServerIndex a, ServerIndex b) { return heard_[a] > heard_[b]; });
    for (const ServerIndex server : servers) {
        if (!visit(server)) return;
    }
}

}  // namespace copperfront::explore
