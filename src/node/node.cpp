#include "node/node.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/free_memory.h"
#include "core/sabotage.h"
#include "http/forwarding.h"
#include "node/process_memory.h"

namespace copperfront {
namespace {

// Used where the settings give no limit: the usual limits of a process.
constexpr std::size_t kDefaultSockets = 1024;
constexpr double kDefaultMemoryMb = 256;
// Reserved for listeners, discovery, the event loop and connections that are about to close.
constexpr std::size_t kReservedSockets = 24, kReservedSocketsDivisor = 16;
constexpr double kClientShare = 0.48;
constexpr std::size_t kReleaseConnections = 8;      // connections kept for releases
constexpr double kListMemoryShare = 0.125;          // of the memory; limit for one server list
constexpr double kRecentIdMemoryShare = 1.0 / 256;  // of the memory
constexpr Duration kMinIdMemory{10000000};          // time for which an id that may have run is remembered
constexpr double kIdleTimeoutShare = 0.7;           // of the idle time-out of the servers
constexpr Duration kDefaultIdleTimeout{10000000};
// The platform counts a client as lost that waits for more than 5 s after the last event of a server.
constexpr Duration kMaxEventGap{4600000};
// Open client connections delay the exit until at most this long after SIGTERM.
constexpr Duration kClientDrainTimeout{2800000};
// Time after SIGTERM in which late attempts at hanging servers are still followed.
constexpr Duration kLateAttemptDrainTimeout{3000000};
// Fault injection for tests; see core/sabotage.h.
constexpr std::size_t kSabotagedListBytes = 256 << 10;
constexpr Duration kStatusInterval{1000000};
constexpr Duration kMemoryCheckInterval{50000};
// Idle connections to servers that were used since are kept when memory is returned.
constexpr Duration kKeptIdleTime{1000000};
// Memory of an accepted request apart from its text: its attempts, connections and records.
constexpr std::size_t kBytesPerRequest = 4 << 10;
constexpr std::size_t kBytesPerListEntry = 150;  // in the text of a list
constexpr Duration kShutdownPollInterval{20000}, kExitDelay{100000};

struct ConnectionLimits {
    std::size_t clients, servers;
};

ConnectionLimits connection_limits(const platform::NodeTerms& terms) {
    const std::size_t sockets =
        std::max<std::size_t>(terms.max_descriptors > 0 ? terms.max_descriptors : kDefaultSockets, 64);
    const std::size_t free =
        sockets - std::min(sockets / 2, kReservedSockets + sockets / kReservedSocketsDivisor);
    const auto clients = static_cast<std::size_t>(static_cast<double>(free) * kClientShare);
    return {clients, free - clients};
}

std::size_t memory_share(const platform::NodeTerms& terms, double share) {
    const double mb = terms.memory_mb > 0 ? terms.memory_mb : kDefaultMemoryMb;
    return static_cast<std::size_t>(mb * share * (1 << 20));
}

std::size_t max_list_bytes(const platform::NodeTerms& terms) {
    return is_sabotaged(Sabotage::list_bound_small) ? kSabotagedListBytes
                                                    : memory_share(terms, kListMemoryShare);
}

ClientConnections::Bounds client_bounds(const platform::NodeTerms& terms) {
    ClientConnections::Bounds bounds;
    bounds.connections = connection_limits(terms).clients;
    return bounds;
}

Duration idle_timeout(const platform::NodeTerms& terms) {
    return terms.connection_settings.idle_timeout.us > 0
               ? terms.connection_settings.idle_timeout * kIdleTimeoutShare
               : kDefaultIdleTimeout;
}

UpstreamPool::Bounds server_bounds(const platform::NodeTerms& terms) {
    UpstreamPool::Bounds bounds;
    bounds.connections = connection_limits(terms).servers;
    bounds.idle_timeout = idle_timeout(terms);
    return bounds;
}

MemoryBudget::Process process_of(const platform::NodeTerms& terms) {
    const ConnectionLimits connections = connection_limits(terms);
    MemoryBudget::Process process;
    process.limit = memory_share(terms, 1);
    // The list itself is read later, as the gateway listens first.
    process.servers = terms.known_list.size() / kBytesPerListEntry;
    process.connections = connections.clients + connections.servers;
    process.list_bytes = max_list_bytes(terms);
    process.remembered_bytes = memory_share(terms, kRecentIdMemoryShare);
    return process;
}

// At least the longest time for which an attempt of the request may run.
Duration id_memory(const platform::NodeTerms& terms) {
    return std::max(terms.connection_settings.longest_deadline * 2, kMinIdMemory);
}

std::size_t max_recent_ids(const platform::NodeTerms& terms) {
    return memory_share(terms, kRecentIdMemoryShare) / RecentRequestIds::kBytesPerId;
}

// Throws platform::BadInput with the least limit that is enough.
void check_memory_limit(const MemoryBudget::Process& process) {
    if (MemoryBudget::bytes_for_peers(process) > 0) return;
    constexpr std::size_t kMegabyte = 1 << 20;
    throw platform::BadInput("limits.memory_mb: " + std::to_string(process.limit / kMegabyte) +
                             " is too little for " + std::to_string(process.servers) + " servers and " +
                             std::to_string(process.connections) + " connections; expected at least " +
                             std::to_string(MemoryBudget::least_limit(process) / kMegabyte + 1));
}

}  // namespace

Node::Node(Loop& loop, platform::NodeTerms terms, Log& log)
    : loop_(loop),
      terms_(std::move(terms)),
      log_(log),
      request_log_(log),
      status_log_(log),
      recent_ids_(id_memory(terms_), max_recent_ids(terms_)),
      last_status_at_(loop.now()),
      wake_timer_(loop,
                  [this] {
                      loop_.name_event("deadlines and waiting requests");
                      dispatcher_->run_due_timers();
                  }),
      stop_timer_(loop, [this] { poll_shutdown(); }),
      status_timer_(loop, [this] { log_status(); }),
      memory_timer_(loop, [this] { check_process_memory(); }) {
    const ConnectionLimits sizes = connection_limits(terms_);
    const MemoryBudget::Process process = process_of(terms_);
    check_memory_limit(process);
    budget_ = std::make_unique<MemoryBudget>(process);
    max_open_requests_ = sizes.servers - std::min(sizes.servers / 2, kReleaseConnections);
    clients_ = std::make_unique<ClientConnections>(loop, client_bounds(terms_), *budget_,
                                                   static_cast<ClientConnections::Owner&>(*this));
    upstreams_ = std::make_unique<UpstreamPool>(loop, server_bounds(terms_), *budget_,
                                                static_cast<UpstreamPool::Owner&>(*this));
    membership_ = std::make_unique<Membership>(loop, terms_.names.kinds, terms_.names.zones,
                                               static_cast<Membership::Connections&>(*upstreams_),
                                               static_cast<Membership::Owner&>(*this), log);
    Discovery::Callbacks callbacks;
    callbacks.list_received = [this](platform::ServerListUpdate news) {
        membership_->apply_update(std::move(news));
    };
    callbacks.servers_withdrawn = [this](const platform::ServerListUpdate& news) {
        membership_->withdraw(news);
    };
    callbacks.watch_lost = [this] { dispatcher_->list_fetch_failed(); };
    discovery_ =
        std::make_unique<Discovery>(loop, std::move(callbacks), terms_.seed, max_list_bytes(terms_), log);
    DispatcherHost& host = *this;
    dispatcher_ = std::make_unique<Dispatcher>(terms_.core, host, terms_.seed);
    dispatcher_->limits_changed(std::vector<RouteLimits>{limits()}, terms_.core.gateways);
    dispatcher_->ledger().set_server_namer(
        [this](ServerIndex server) { return membership_->name_of(server); });
    // Connections are accepted from here on; requests wait until the server list is available.
    listener_ = std::make_unique<Listener>(loop, Address::parse(terms_.listen),
                                           [this](int fd) { clients_->accept(fd); });
    listener_->on_accept_error = [this](const std::string& what) {
        log_.log(Severity::warn, "clients", "cannot accept connections for a moment", {{"error", what}});
    };
    // This list may be old, so it does not count as a confirmed list for start times.
    membership_->apply_known_list(platform::read_known_list(terms_));
    terms_.known_list.clear();
    discovery_->follow(terms_.discovery);
    status_timer_.set(kStatusInterval);
    log_.log(Severity::info, "node", "started",
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
    limits.connect = terms_.core.connect_timeout;
    limits.token_gap = kMaxEventGap;
    return limits;
}

void Node::change(platform::NodeTerms terms) {
    if (const std::string wrong = platform::reload_conflict(terms_, terms); !wrong.empty()) {
        log_.log(Severity::error, "node", "new terms are refused; the old ones stay", {{"error", wrong}});
        return;
    }
    // Checked before anything changes: the old address stays in use unless the new one is valid.
    try {
        if (!terms.discovery.empty()) Address::parse(terms.discovery);
    } catch (const NetworkError& bad) {
        log_.log(Severity::error, "node", "new terms are refused; the old ones stay",
                 {{"error", std::string("discovery: ") + bad.what()}});
        return;
    }
    terms_ = std::move(terms);
    // The present list is newer than any list in a file.
    terms_.known_list.clear();
    upstreams_->set_idle_timeout(idle_timeout(terms_));
    recent_ids_.set_remember_for(id_memory(terms_));
    dispatcher_->terms_changed(terms_.core, std::vector<RouteLimits>{limits()});
    if (!stopped_) discovery_->follow(terms_.discovery);
    log_.log(Severity::info, "node", "new terms hold", {{"discovery", terms_.discovery}});
}

// ---- from clients

void Node::request_received(ClientId client, const http::Head& head, std::string body, Duration waited) {
    const std::string_view path = platform::path_of(head.target);
    if (path == platform::kReadyPath || path == platform::kLivePath) {
        if (head.method != "GET") return clients_->answer(client, 405, "Allow: GET\r\n", "expected GET");
        const bool ready = path == platform::kLivePath || (!stopping_ && membership_->indices() > 0);
        return clients_->answer(client, ready ? 200 : 503, "", ready ? "ready" : "not ready");
    }
    if (path != platform::kCompletionsPath) return clients_->answer(client, 404, "", "no such path");
    if (head.method != "POST") return clients_->answer(client, 405, "Allow: POST\r\n", "expected POST");
    platform::ClientRequest call;
    if (const std::string wrong = platform::read_client_request(head, body, terms_.names, call);
        !wrong.empty())
        return clients_->answer(client, 400, "", wrong);
    // The request's time has run since its last byte arrived.
    call.info.time_budget = call.info.time_budget - waited;
    if (call.info.time_budget.us <= 0) return clients_->answer(client, 503, "", "its time is over");
    // The id may be that of another client's open request, which must not be affected.
    if (request_of_id_.count(call.id))
        return clients_->answer(client, 409, "", "a call with this id is open");
    if (recent_ids_.may_have_run(hash_of(call.id), loop_.now()))
        return clients_->answer(client, 409, "", "a call with this id may have run");
    if (dispatcher_->open_requests() >= max_open_requests_)
        return clients_->answer(client, 503, "", "too many calls in hand");
    // Header fields that a client adds are meant for the model server too, such as the key by which it
    // recognizes a repeated request.
    std::string forwarded_fields = http::end_to_end_fields(head, platform::kTimeLeftHeader);
    const std::size_t memory = body.capacity() + forwarded_fields.capacity() + kBytesPerRequest;
    if (!budget_->may_accept(memory)) {
        ++refused_for_memory_;
        return clients_->answer(client, 503, "", "no memory for another request");
    }
    if (const Denial denial = guard().may_accept(stopping_, loop_.now() - stop_requested_at_);
        denial != Denial::none)
        return clients_->answer(client, 503, "", text_of(denial));
    // Servers identify requests by id, so a state held for an earlier request with this id counts as held for
    // this one.
    const RequestIndex request = dispatcher_->open(hash_of(call.id));
    if (request >= open_requests_.size()) open_requests_.resize(request + 1);
    reset(request);
    OpenRequest& open = open_requests_[request];
    open.client = client;
    open.id = call.id;
    open.method = head.method;
    open.target = head.target;
    open.body = std::make_shared<const std::string>(std::move(body));
    open.forwarded_fields = std::move(forwarded_fields);
    open.memory = MemoryCharge(*budget_, MemoryUse::requests);
    open.memory.set(memory);
    open.used = true;
    request_of_id_[open.id] = request;
    request_of_client_[client] = request;
    dispatcher_->request_arrived(request, call.info, 0, limits(), call.is_repeat);
}

void Node::client_disconnected(ClientId client) {
    const auto it = request_of_client_.find(client);
    if (it == request_of_client_.end() || is_sabotaged(Sabotage::attempt_after_client_left)) return;
    const RequestIndex request = it->second;
    request_log_.request_ended(open_requests_[request].id, RequestLog::Final::client_left, "", loop_.now());
    request_of_client_.erase(it);
    request_of_id_.erase(open_requests_[request].id);
    free_message(open_requests_[request]);
    dispatcher_->client_left(request);
}

void Node::write_buffer_drained(ClientId client) {
    const auto it = request_of_client_.find(client);
    if (it != request_of_client_.end())
        upstreams_->pause_stream(open_requests_[it->second].streaming_attempt, false);
}

// ---- to clients

Node::OpenRequest& Node::mark_answered(RequestIndex request) {
    OpenRequest& open = open_requests_[request];
    request_of_id_.erase(open.id);
    request_of_client_.erase(open.client);
    free_message(open);
    return open;
}

void Node::completed(RequestIndex request) {
    request_log_.request_ended(open_requests_[request].id, RequestLog::Final::completed, "", loop_.now());
    clients_->end_stream(mark_answered(request).client);
}

void Node::rejected(RequestIndex request, Duration retry_after, std::string_view why) {
    char retry_header[64] = "";
    request_log_.request_ended(open_requests_[request].id, RequestLog::Final::rejected, why, loop_.now());
    recent_ids_.remove(hash_of(open_requests_[request].id));
    if (retry_after.us > 0)
        std::snprintf(retry_header, sizeof retry_header, "Retry-After: %.3f\r\n", retry_after.ms() / 1000);
    clients_->answer(mark_answered(request).client, why == kOverQuota ? 429 : 503, retry_header, why);
}

void Node::abandoned(RequestIndex request, std::string_view why) {
    request_log_.request_ended(open_requests_[request].id, RequestLog::Final::failed, why, loop_.now());
    const OpenRequest& open = mark_answered(request);
    if (open.streaming)
        clients_->abort_response(open.client);
    else
        clients_->answer(open.client, 504, "", why);
}

void Node::closed(RequestIndex request) {
    for (const OpenRequest::Attempt& attempt : open_requests_[request].attempts)
        request_of_attempt_.erase(attempt.id);
    reset(request);
}

// Destroys the entry, as reassigning it would keep the buffers of its strings.
void Node::reset(RequestIndex request) {
    OpenRequest& open = open_requests_[request];
    std::destroy_at(&open);
    std::construct_at(&open);
}

// No further attempt is made for the request; those that are being written share its body.
void Node::free_message(OpenRequest& open) {
    open.body.reset();
    free_memory(open.forwarded_fields);
    open.memory.set(kBytesPerRequest);
}

// ---- to servers

void Node::send(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit, bool prefill) {
    OpenRequest& open = open_requests_[request];
    open.attempts.push_back({attempt, to, prefill});
    request_of_attempt_[attempt] = request;
    request_log_.attempt_started(describe(request, attempt), loop_.now());
    UpstreamPool::OutgoingMessage message;
    message.prefill = prefill;
    message.deadline = loop_.now() + limit;
    std::string& head = message.before;
    head.append(open.method).append(" ").append(open.target).append(" HTTP/1.1\r\nHost: app.svc\r\n");
    head.append(open.forwarded_fields);
    head.append(platform::kTimeLeftHeader).append(": ");
    const std::size_t body_bytes = open.body ? open.body->size() : 0;
    message.after.append("\r\nContent-Length: ").append(std::to_string(body_bytes)).append("\r\n\r\n");
    message.body = open.body;
    upstreams_->send(to, attempt, std::move(message));
}

void Node::send_prefill(AttemptId attempt, ServerIndex to, RequestIndex request, Duration limit) {
    send(attempt, to, request, limit, true);
}

void Node::send_decode(AttemptId attempt, ServerIndex to, RequestIndex request, AttemptId, ServerIndex,
                       Duration limit) {
    send(attempt, to, request, limit, false);
}

void Node::cancel_attempt(AttemptId attempt, ServerIndex) {
    if (const auto it = request_of_attempt_.find(attempt); it != request_of_attempt_.end())
        request_log_.attempt_ended(describe(it->second, attempt), Ending::cancelled,
                                   "cancelled by the gateway", loop_.now());
    upstreams_->cancel(attempt);
}

bool Node::cancel_if_unsent(AttemptId attempt, ServerIndex) { return upstreams_->cancel_unsent(attempt); }

void Node::release(ServerIndex at, AttemptId state) {
    const auto it = request_of_attempt_.find(state);
    if (it == request_of_attempt_.end()) return;
    const OpenRequest& open = open_requests_[it->second];
    const auto still_open = request_of_id_.find(open.id);
    ReleaseOrder order;
    order.key = dispatcher_->key_of(it->second);
    order.id = open.id;
    order.server = at;
    order.request_open = still_open != request_of_id_.end() && still_open->second == it->second;
    for (const HoldLedger::Entry& entry : ledger().entries(order.key)) {
        if (entry.attempt == state) order.prefill_unanswered = entry.reason != HoldReason::prefill_answered;
    }
    const Duration held = loop_.now() - ledger().held_since(order.key);
    const bool lease_ended = loop_.now() >= ledger().lease_end(order.key);
    request_log_.state_released(open.id, membership_->name_of(at), held, lease_ended, loop_.now());
    upstreams_->release(order);
}

Duration Node::held_for(const HoldLedger::ReleaseResult& result) const {
    return result.held_since ? loop_.now() - *result.held_since : Duration{};
}

void Node::release_answered(const std::string& id, const HoldLedger::ReleaseResult& result) {
    const bool in_time = guard().check_released(result.held_since, loop_.now());
    request_log_.release_answered(id, result.proof, held_for(result), in_time, result.history, loop_.now());
}

void Node::release_abandoned(const std::string& id, const HoldLedger::ReleaseResult& result) {
    guard().check_released(result.held_since, loop_.now());
    request_log_.release_abandoned(id, held_for(result), result.history);
}

Denial Node::may_write(AttemptId attempt, Duration remaining) {
    const auto it = request_of_attempt_.find(attempt);
    const bool client_gone =
        it == request_of_attempt_.end() || clients_->has_disconnected(open_requests_[it->second].client);
    return dispatcher_->may_still_send(attempt, client_gone, remaining);
}

void Node::attempt_is_written(AttemptId attempt) {
    const auto it = request_of_attempt_.find(attempt);
    if (it != request_of_attempt_.end()) recent_ids_.add(hash_of(open_requests_[it->second].id), loop_.now());
}

// ---- from servers

RequestLog::Attempt Node::describe(RequestIndex request, AttemptId attempt) const {
    const OpenRequest& open = open_requests_[request];
    RequestLog::Attempt description;
    description.request = open.id;
    description.id = attempt;
    for (const OpenRequest::Attempt& made : open.attempts) {
        if (made.id == attempt) {
            description.server = membership_->name_of(made.server);
            description.prefill = made.prefill;
            break;
        }
        ++description.number;
    }
    return description;
}

void Node::attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, const std::string& what) {
    const auto it = request_of_attempt_.find(attempt);
    if (it != request_of_attempt_.end()) {
        request_log_.attempt_ended(describe(it->second, attempt), outcome.ending, what, loop_.now());
        const OpenRequest& open = open_requests_[it->second];
        if (outcome.ending == Ending::unsent) {
            const ClientId client = open.client;
            clients_->abort_response(client);
            client_disconnected(client);
        }
    }
    dispatcher_->attempt_ended(attempt, outcome);
}

void Node::events_received(AttemptId attempt, std::string_view events, std::size_t) {
    RequestIndex request = 0;
    if (!dispatcher_->token_received(attempt, request)) return;
    OpenRequest& open = open_requests_[request];
    if (!open.streaming) {
        request_log_.first_event(open.id, attempt);
        open.streaming = true;
        open.streaming_attempt = attempt;
        free_message(open);
        clients_->begin_stream(open.client);
    }
    if (!clients_->send_events(open.client, events)) upstreams_->pause_stream(attempt, true);
}

// ---- memory

void Node::check_process_memory() {
    loop_.name_event("memory");
    budget_->set_resident(resident_memory());
    if (budget_->should_trim() && loop_.now() >= next_trim_at_) {
        // Connections that were opened for a burst keep the memory around them from being returned.
        upstreams_->drop_idle(kKeptIdleTime);
        dispatcher_->recycle_indexes();
        trim_process_memory();
        next_trim_at_ = loop_.now() + budget_->trimmed(resident_memory());
    }
    memory_timer_.set(kMemoryCheckInterval);
}

// ---- server list and status

void Node::servers_changed(std::span<const ServerListing> listings, bool is_snapshot) {
    dispatcher_->list_arrived(listings, is_snapshot);
}

void Node::log_status() {
    const Instant now = loop_.now();
    const Loop::LongestEvents events = loop_.take_longest_events();
    const Discovery::Status& list = discovery_->status();
    const Router::Waiting waiting = dispatcher_->waiting();
    GatewayStatus status;
    status.longest_event = events.longest;
    status.longest_event_took = events.took;
    status.busiest_event = events.busiest;
    status.busiest_event_cpu = events.cpu;
    status.cpu = cpu_used();
    status.requests_received = dispatcher_->counters().received;
    status.requests_open = dispatcher_->open_requests();
    status.requests_waiting = waiting.requests;
    if (waiting.requests > 0) status.longest_wait = now - waiting.oldest;
    status.list_version = list.index;
    status.has_discovery_list = list.responses > 0;
    status.list_age = now - list.last_response_at;
    status.list_bytes = list.bytes;
    status.list_entries = membership_->size();
    status.list_responses = list.responses;
    status.failed_list_calls = list.failed_calls;
    status.releases_owed = upstreams_->owed_releases();
    status.releases_overdue = upstreams_->overdue_releases();
    status.late_attempts_not_followed = upstreams_->late_attempts().overflows();
    status.ledger_overflows = dispatcher_->ledger().overflows();
    status.resident_bytes = budget_->resident();
    status.client_input_bytes = budget_->used(MemoryUse::client_input);
    status.request_bytes = budget_->used(MemoryUse::requests);
    status.client_output_bytes = budget_->used(MemoryUse::client_output);
    status.server_input_bytes = budget_->used(MemoryUse::server_input);
    status.budget_bytes = budget_->bytes();
    status.refused_for_memory = refused_for_memory_;
    status.inputs_given_up = clients_->inputs_given_up();
    status.ids_forgotten_early = recent_ids_.forgotten_early();
    status.client_connections = clients_->size();
    status.lingering_connections = loop_.adopted();
    status.server_connections = upstreams_->size();
    status.descriptors = clients_->size() + upstreams_->size() + loop_.adopted();
    status_log_.note(status, now - last_status_at_);
    last_status_at_ = now;
    status_timer_.set(kStatusInterval);
}

void Node::log(std::string_view line) {
    if (log_.is_enabled(Severity::debug)) log_.log(Severity::debug, "rules", line);
}

// ---- shutdown

void Node::stop() {
    if (stopping_) return;
    stopping_ = true;
    stop_requested_at_ = loop_.now();
    log_.log(Severity::info, "node", "stopping; open requests are completed first",
             {{"queries", static_cast<std::int64_t>(dispatcher_->open_requests())}});
    clients_->start_draining();
    poll_shutdown();
}

SendGuard::Shutdown Node::shutdown_facts() const {
    SendGuard::Shutdown facts;
    facts.since_requested = loop_.now() - stop_requested_at_;
    facts.listening = listener_ != nullptr;
    facts.requests = dispatcher_->open_requests();
    facts.attempts = dispatcher_->attempts_out();
    facts.releases = upstreams_->owed_releases();
    if (facts.since_requested < kLateAttemptDrainTimeout)
        facts.releases += upstreams_->late_attempts().size();
    facts.unsent_answers = loop_.adopted();
    return facts;
}

void Node::poll_shutdown() {
    if (stopped_) return loop_.stop();
    if (listener_ && guard().may_stop_listening(shutdown_facts()) == Denial::none) {
        listener_.reset();
        clients_->close_idle();
    }
    // Client connections that are still open delay the exit, but only for kClientDrainTimeout after the stop
    // request.
    const bool clients_left = clients_->size() > 0 && loop_.now() - stop_requested_at_ < kClientDrainTimeout;
    if (guard().may_exit(shutdown_facts()) != Denial::none || clients_left)
        return stop_timer_.set(kShutdownPollInterval);
    discovery_->stop();
    clients_->close_all();
    const DispatcherCounters& requests = dispatcher_->counters();
    const UpstreamPool::Counts& connections = upstreams_->counts();
    const Releases::Counts& releases = upstreams_->release_counts();
    log_.log(
        Severity::info, "node", "stopped",
        {{"came", static_cast<std::int64_t>(requests.received)},
         {"settled", static_cast<std::int64_t>(requests.completed)},
         {"declined", static_cast<std::int64_t>(requests.rejected)},
         {"given_up", static_cast<std::int64_t>(requests.abandoned)},
         {"left", static_cast<std::int64_t>(requests.client_left)},
         {"connections_made", static_cast<std::int64_t>(connections.made)},
         {"connections_reused", static_cast<std::int64_t>(connections.reused)},
         {"releases", static_cast<std::int64_t>(releases.requested)},
         {"releases_again", static_cast<std::int64_t>(releases.repeated)},
         {"releases_lost", static_cast<std::int64_t>(releases.abandoned)},
         {"holds_not_booked", static_cast<std::int64_t>(dispatcher_->ledger().overflows())},
         {"late_attempts_not_followed", static_cast<std::int64_t>(upstreams_->late_attempts().overflows())},
         {"state_leases_ended", static_cast<std::int64_t>(requests.leases_expired)},
         {"violations", static_cast<std::int64_t>(guard().violations())}});
    stopped_ = true;
    stop_timer_.set(kExitDelay);
}

}  // namespace copperfront
