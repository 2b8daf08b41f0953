#include "node/node.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/sabotage.h"
#include "http/forwarding.h"

namespace copperfront {
namespace {

// Without a figure of its own, what a process may usually have open.
constexpr std::size_t kUsualSockets = 1024;
constexpr double kUsualMemoryMb = 256;
// Kept for listeners, discovery, the loop's own and connections that are about to close.
constexpr std::size_t kAside = 24, kAsideShare = 16;
constexpr double kClientPart = 0.48;
constexpr std::size_t kReleaseLines = 8;  // connections kept for releases
constexpr double kBodiesPart = 0.125;     // of the memory
constexpr double kListPart = 0.125;       // of the memory; most bytes of one list
constexpr double kIdlePart = 0.7;         // of the time after which a server closes an idle connection
constexpr Span kUsualIdle{10000000};
// The platform takes a client that is left waiting for 5 s after a server's last event as lost.
constexpr Span kLongestGap{4600000};
constexpr Span kClientsEndWithin{2800000};  // after SIGTERM, with nothing else left
// What a server that hangs may still leave is waited for so long after SIGTERM.
constexpr Span kStayForLateAttempts{3000000};
constexpr std::size_t kSabotagedListBytes = 256 << 10;
constexpr Span kStatusEvery{1000000};
constexpr Span kLookForEnd{20000}, kLastWords{100000};

struct Sizes {
    std::size_t clients, servers;
};

Sizes sizes_of(const platform::NodeTerms& terms) {
    const std::size_t sockets = std::max<std::size_t>(terms.sockets > 0 ? terms.sockets : kUsualSockets, 64);
    const std::size_t free = sockets - std::min(sockets / 2, kAside + sockets / kAsideShare);
    const auto clients = static_cast<std::size_t>(static_cast<double>(free) * kClientPart);
    return {clients, free - clients};
}

std::size_t memory_part(const platform::NodeTerms& terms, double part) {
    const double mb = terms.memory_mb > 0 ? terms.memory_mb : kUsualMemoryMb;
    return static_cast<std::size_t>(mb * part * (1 << 20));
}

std::size_t most_list_bytes(const platform::NodeTerms& terms) {
    return is_sabotaged(Sabotage::list_bound_small) ? kSabotagedListBytes : memory_part(terms, kListPart);
}

ClientConnections::Bounds front_bounds(const platform::NodeTerms& terms) {
    ClientConnections::Bounds bounds;
    bounds.connections = sizes_of(terms).clients;
    bounds.body_bytes = memory_part(terms, kBodiesPart);
    return bounds;
}

Span idle_of(const platform::NodeTerms& terms) {
    return terms.links.idle.us > 0 ? terms.links.idle * kIdlePart : kUsualIdle;
}

UpstreamPool::Bounds server_bounds(const platform::NodeTerms& terms) {
    UpstreamPool::Bounds bounds;
    bounds.connections = sizes_of(terms).servers;
    bounds.idle = idle_of(terms);
    return bounds;
}

}  // namespace

Node::Node(Loop& loop, platform::NodeTerms terms, Log& log)
    : loop_(loop),
      terms_(std::move(terms)),
      log_(log),
      request_log_(log),
      status_log_(log),
      status_at_(loop.now()),
      wake_(loop,
            [this] {
                loop_.name_event("deadlines and waiting requests");
                desk_->time_came();
            }),
      stop_timer_(loop, [this] { look_for_end(); }),
      status_timer_(loop, [this] { log_status(); }) {
    const Sizes sizes = sizes_of(terms_);
    most_open_ = sizes.servers - std::min(sizes.servers / 2, kReleaseLines);
    clients_ = std::make_unique<ClientConnections>(loop, front_bounds(terms_),
                                                   static_cast<ClientConnections::Owner&>(*this));
    upstreams_ =
        std::make_unique<UpstreamPool>(loop, server_bounds(terms_), static_cast<UpstreamPool::Owner&>(*this));
    membership_ = std::make_unique<Membership>(loop, terms_.named.kinds, terms_.named.zones,
                                               static_cast<Membership::Connections&>(*upstreams_),
                                               static_cast<Membership::Owner&>(*this), log);
    Discovery::Events events;
    events.told = [this](platform::News news) { membership_->take(std::move(news)); };
    events.withdrawn = [this](const platform::News& news) { membership_->withdraw(news); };
    events.missed = [this] { desk_->list_missed(); };
    discovery_ =
        std::make_unique<Discovery>(loop, std::move(events), terms_.seed, most_list_bytes(terms_), log);
    Outside& outside = *this;
    desk_ = std::make_unique<Desk>(terms_.core, outside, terms_.seed);
    desk_->limits_changed(std::vector<RouteLimits>{limits()}, terms_.core.gateways);
    desk_->ledger().name_servers([this](ServerIndex server) { return membership_->name_of(server); });
    // Connections are taken from here on; what they bring waits until the list is there.
    listener_ = std::make_unique<Listener>(loop, Address::parse(terms_.listen),
                                           [this](int fd) { clients_->came(fd); });
    listener_->on_trouble = [this](const std::string& what) {
        log_.say(Weight::warn, "clients", "cannot accept connections for a moment", {{"error", what}});
    };
    // It may be old, so it confirms nothing.
    membership_->take_known(platform::read_known_list(terms_));
    terms_.known.clear();
    discovery_->follow(terms_.discovery);
    status_timer_.set(kStatusEvery);
    log_.say(Weight::info, "node", "started",
             {{"node", terms_.name},
              {"address", address().text()},
              {"servers", static_cast<std::int64_t>(membership_->size())},
              {"cpu_ms", cpu_used().ms()},
              {"client_connections", static_cast<std::int64_t>(sizes.clients)},
              {"server_connections", static_cast<std::int64_t>(sizes.servers)}});
}

Node::~Node() = default;

RouteLimits Node::limits() const {
    RouteLimits limits;
    limits.connect = terms_.core.connect_within;
    limits.gap = kLongestGap;
    return limits;
}

void Node::change(platform::NodeTerms terms) {
    if (const std::string wrong = platform::stands_against(terms_, terms); !wrong.empty()) {
        log_.say(Weight::error, "node", "new terms are refused; the old ones stay", {{"error", wrong}});
        return;
    }
    // Checked before anything changes: the old address is followed until the new one can be.
    try {
        if (!terms.discovery.empty()) Address::parse(terms.discovery);
    } catch (const NetTrouble& bad) {
        log_.say(Weight::error, "node", "new terms are refused; the old ones stay",
                 {{"error", std::string("discovery: ") + bad.what()}});
        return;
    }
    terms_ = std::move(terms);
    // The list in hand is newer than any that a file could tell.
    terms_.known.clear();
    upstreams_->change(idle_of(terms_));
    desk_->terms_changed(terms_.core, std::vector<RouteLimits>{limits()});
    if (!ended_) discovery_->follow(terms_.discovery);
    log_.say(Weight::info, "node", "new terms hold", {{"discovery", terms_.discovery}});
}

// ---- from clients

void Node::asked(ClientId client, const http::Head& head, std::string body, Span waited) {
    const std::string_view path = platform::path_of(head.target);
    if (path == platform::kReadyPath || path == platform::kLivePath) {
        if (head.method != "GET") return clients_->answer(client, 405, "Allow: GET\r\n", "expected GET");
        const bool ready = path == platform::kLivePath || (!stopping_ && membership_->indices() > 0);
        return clients_->answer(client, ready ? 200 : 503, "", ready ? "ready" : "not ready");
    }
    if (path != platform::kCallPath) return clients_->answer(client, 404, "", "no such path");
    if (head.method != "POST") return clients_->answer(client, 405, "Allow: POST\r\n", "expected POST");
    platform::Call call;
    if (const std::string wrong = platform::read_call(head, body, terms_.named, call); !wrong.empty())
        return clients_->answer(client, 400, "", wrong);
    // Its time has run since its last byte came.
    call.facts.budget = call.facts.budget - waited;
    if (call.facts.budget.us <= 0) return clients_->answer(client, 503, "", "its time is over");
    // Against an id of another's open query: that one is left alone.
    if (by_id_.count(call.id)) return clients_->answer(client, 409, "", "a call with this id is open");
    if (desk_->open_queries() >= most_open_)
        return clients_->answer(client, 503, "", "too many calls in hand");
    if (const Denial denial = guard().may_accept(stopping_, loop_.now() - stop_asked_);
        denial != Denial::none)
        return clients_->answer(client, 503, "", text_of(denial));
    // Servers tell requests by their ids, so what is held for an earlier one with this id is held for this
    // one.
    const QueryIndex query = desk_->open(mark(call.id));
    if (query >= open_.size()) open_.resize(query + 1);
    Open& open = open_[query];
    open = Open{};
    open.client = client;
    open.id = call.id;
    open.method = head.method;
    open.target = head.target;
    open.body = std::move(body);
    // Whatever a client adds belongs to the model server as well, such as the key by which it knows a repeat.
    open.forwarded_fields = http::end_to_end_fields(head, platform::kLeftHeader);
    open.used = true;
    by_id_[open.id] = query;
    by_client_[client] = query;
    desk_->query_came(query, call.facts, 0, limits(), call.again);
}

void Node::left(ClientId client) {
    const auto it = by_client_.find(client);
    if (it == by_client_.end() || is_sabotaged(Sabotage::attempt_after_client_left)) return;
    const QueryIndex query = it->second;
    request_log_.request_over(open_[query].id, RequestLog::Final::client_left, "", loop_.now());
    by_client_.erase(it);
    by_id_.erase(open_[query].id);
    desk_->query_left(query);
}

void Node::may_go_on(ClientId client) {
    const auto it = by_client_.find(client);
    if (it != by_client_.end()) upstreams_->hold_back(open_[it->second].bound, false);
}

// ---- to clients

Node::Open& Node::answered(QueryIndex query) {
    Open& open = open_[query];
    by_id_.erase(open.id);
    by_client_.erase(open.client);
    return open;
}

void Node::settled(QueryIndex query) {
    request_log_.request_over(open_[query].id, RequestLog::Final::completed, "", loop_.now());
    clients_->end_stream(answered(query).client);
}

void Node::declined(QueryIndex query, Span stay_away, std::string_view why) {
    char more[64] = "";
    request_log_.request_over(open_[query].id, RequestLog::Final::rejected, why, loop_.now());
    if (stay_away.us > 0) std::snprintf(more, sizeof more, "Retry-After: %.3f\r\n", stay_away.ms() / 1000);
    clients_->answer(answered(query).client, why == kOverItsShare ? 429 : 503, more, why);
}

void Node::given_up(QueryIndex query, std::string_view why) {
    request_log_.request_over(open_[query].id, RequestLog::Final::failed, why, loop_.now());
    const Open& open = answered(query);
    if (open.streams)
        clients_->break_off(open.client);
    else
        clients_->answer(open.client, 504, "", why);
}

void Node::closed(QueryIndex query) {
    for (const Open::Attempt& attempt : open_[query].attempts) of_attempt_.erase(attempt.id);
    open_[query] = Open{};
}

// ---- to servers

void Node::send(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit, bool reading) {
    Open& open = open_[query];
    open.attempts.push_back({attempt, to, reading});
    of_attempt_[attempt] = query;
    request_log_.attempt_started(described(query, attempt), loop_.now());
    UpstreamPool::Call call;
    call.reading = reading;
    call.until = loop_.now() + limit;
    std::string& head = call.before;
    head.append(open.method).append(" ").append(open.target).append(" HTTP/1.1\r\nHost: app.svc\r\n");
    head.append(open.forwarded_fields);
    head.append(platform::kLeftHeader).append(": ");
    call.after.reserve(open.body.size() + 64);
    call.after.append("\r\nContent-Length: ").append(std::to_string(open.body.size())).append("\r\n\r\n");
    call.after.append(open.body);
    upstreams_->send(to, attempt, std::move(call));
}

void Node::send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) {
    send(attempt, to, query, limit, true);
}

void Node::send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId, ServerIndex,
                      Span limit) {
    send(attempt, to, query, limit, false);
}

void Node::call_off(AttemptId attempt, ServerIndex) {
    if (const auto it = of_attempt_.find(attempt); it != of_attempt_.end())
        request_log_.attempt_over(described(it->second, attempt), Ending::retracted,
                                  "called off by the gateway", loop_.now());
    upstreams_->call_off(attempt);
}

bool Node::unsend(AttemptId attempt, ServerIndex) { return upstreams_->unsend(attempt); }

void Node::release(ServerIndex at, AttemptId state) {
    const auto it = of_attempt_.find(state);
    if (it == of_attempt_.end()) return;
    const Open& open = open_[it->second];
    const auto still_open = by_id_.find(open.id);
    ReleaseOrder order;
    order.key = desk_->key_of(it->second);
    order.id = open.id;
    order.server = at;
    order.may_be_followed = still_open != by_id_.end() && still_open->second == it->second;
    for (const HoldLedger::Entry& entry : ledger().entries(order.key)) {
        if (entry.attempt == state) order.unheard = entry.reason != HoldReason::prefill_answered;
    }
    const Span held = loop_.now() - ledger().held_since(order.key);
    const bool lease_ended = loop_.now() >= ledger().lease_end(order.key);
    request_log_.state_released(open.id, membership_->name_of(at), held, lease_ended, loop_.now());
    upstreams_->release(order);
}

Span Node::held_for(const HoldLedger::ReleaseResult& result) const {
    return result.held_since ? loop_.now() - *result.held_since : Span{};
}

void Node::release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) {
    const bool in_time = guard().check_released(result.held_since, loop_.now());
    request_log_.release_answered(id, result.proof, held_for(result), in_time, result.history, loop_.now());
}

void Node::release_given_up(const std::string& id, const HoldLedger::ReleaseResult& result) {
    guard().check_released(result.held_since, loop_.now());
    request_log_.release_given_up(id, held_for(result), result.history);
}

Denial Node::may_write(AttemptId attempt, Span told) {
    const auto it = of_attempt_.find(attempt);
    const bool gone = it == of_attempt_.end() || clients_->has_left(open_[it->second].client);
    return desk_->may_be_written(attempt, gone, told);
}

// ---- from servers

RequestLog::Attempt Node::described(QueryIndex query, AttemptId attempt) const {
    const Open& open = open_[query];
    RequestLog::Attempt described;
    described.request = open.id;
    described.id = attempt;
    for (const Open::Attempt& made : open.attempts) {
        if (made.id == attempt) {
            described.server = membership_->name_of(made.server);
            described.prefill = made.prefill;
            break;
        }
        ++described.number;
    }
    return described;
}

void Node::attempt_over(AttemptId attempt, const Outcome& outcome, const std::string& what) {
    const auto it = of_attempt_.find(attempt);
    if (it != of_attempt_.end()) {
        request_log_.attempt_over(described(it->second, attempt), outcome.ending, what, loop_.now());
        const Open& open = open_[it->second];
        if (outcome.ending == Ending::unsent) {
            const ClientId client = open.client;
            clients_->break_off(client);
            left(client);
        }
    }
    desk_->attempt_ended(attempt, outcome);
}

void Node::events_came(AttemptId attempt, std::string_view events, std::size_t) {
    QueryIndex query = 0;
    if (!desk_->token_came(attempt, query)) return;
    Open& open = open_[query];
    if (!open.streams) {
        request_log_.first_event(open.id, attempt);
        open.streams = true;
        open.bound = attempt;
        // Nothing is sent for it any more.
        open.body = {};
        open.forwarded_fields = {};
        clients_->begin_stream(open.client);
    }
    if (!clients_->pass_on(open.client, events)) upstreams_->hold_back(attempt, true);
}

// ---- the list

void Node::servers_changed(std::span<const Listing> listings, bool whole) {
    desk_->list_arrived(listings, whole);
}

void Node::log_status() {
    const Instant now = loop_.now();
    const Loop::LongestEvents events = loop_.take_longest_events();
    const Discovery::Status& list = discovery_->status();
    const Rules::Waiting waiting = desk_->waiting();
    GatewayStatus status;
    status.longest_event = events.longest;
    status.longest_event_took = events.took;
    status.busiest_event = events.busiest;
    status.busiest_event_cpu = events.cpu;
    status.cpu = cpu_used();
    status.requests_came = desk_->tally().came;
    status.requests_open = desk_->open_queries();
    status.requests_waiting = waiting.requests;
    if (waiting.requests > 0) status.longest_wait = now - waiting.oldest;
    status.list_version = list.index;
    status.list_was_taken = list.taken > 0;
    status.list_age = now - list.confirmed;
    status.list_bytes = list.bytes;
    status.list_entries = membership_->size();
    status.lists_taken = list.taken;
    status.list_calls_lost = list.lost;
    status.releases_owed = upstreams_->owed();
    status.releases_overdue = upstreams_->overdue();
    status.late_attempts_not_followed = upstreams_->late_attempts().overflows();
    status.holds_not_booked = desk_->ledger().overflows();
    status.descriptors = clients_->size() + upstreams_->size() + loop_.adopted();
    status_log_.note(status, now - status_at_);
    status_at_ = now;
    status_timer_.set(kStatusEvery);
}

void Node::log(std::string_view line) {
    if (log_.writes(Weight::debug)) log_.say(Weight::debug, "rules", line);
}

// ---- the end

void Node::stop() {
    if (stopping_) return;
    stopping_ = true;
    stop_asked_ = loop_.now();
    log_.say(Weight::info, "node", "stops; lets open queries end",
             {{"queries", static_cast<std::int64_t>(desk_->open_queries())}});
    clients_->wind_up();
    look_for_end();
}

SendGuard::Shutdown Node::shutdown_facts() const {
    SendGuard::Shutdown facts;
    facts.since_asked = loop_.now() - stop_asked_;
    facts.listening = listener_ != nullptr;
    facts.requests = desk_->open_queries();
    facts.attempts = desk_->attempts_out();
    facts.releases = upstreams_->owed();
    if (facts.since_asked < kStayForLateAttempts) facts.releases += upstreams_->late_attempts().size();
    facts.unsent_answers = loop_.adopted();
    return facts;
}

void Node::look_for_end() {
    if (ended_) return loop_.stop();
    if (listener_ && guard().may_stop_listening(shutdown_facts()) == Denial::none) {
        listener_.reset();
        clients_->close_unasked();
    }
    // What is still being written to clients has a bound of its own.
    const bool clients_left = clients_->size() > 0 && loop_.now() - stop_asked_ < kClientsEndWithin;
    if (guard().may_exit(shutdown_facts()) != Denial::none || clients_left)
        return stop_timer_.set(kLookForEnd);
    discovery_->stop();
    clients_->close_all();
    const Tally& t = desk_->tally();
    const UpstreamPool::Counts& c = upstreams_->counts();
    const Releases::Counts& r = upstreams_->release_counts();
    log_.say(
        Weight::info, "node", "stopped",
        {{"came", static_cast<std::int64_t>(t.came)},
         {"settled", static_cast<std::int64_t>(t.settled)},
         {"declined", static_cast<std::int64_t>(t.declined)},
         {"given_up", static_cast<std::int64_t>(t.given_up)},
         {"left", static_cast<std::int64_t>(t.left)},
         {"connections_made", static_cast<std::int64_t>(c.made)},
         {"connections_reused", static_cast<std::int64_t>(c.reused)},
         {"releases", static_cast<std::int64_t>(r.ordered)},
         {"releases_again", static_cast<std::int64_t>(r.repeated)},
         {"releases_lost", static_cast<std::int64_t>(r.lost)},
         {"holds_not_booked", static_cast<std::int64_t>(desk_->ledger().overflows())},
         {"late_attempts_not_followed", static_cast<std::int64_t>(upstreams_->late_attempts().overflows())},
         {"state_leases_ended", static_cast<std::int64_t>(t.leases_ended)},
         {"violations", static_cast<std::int64_t>(guard().violations())}});
    ended_ = true;
    stop_timer_.set(kLastWords);
}

}  // namespace copperfront
