#include "gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace copperfront {
namespace {

constexpr std::size_t kMaxRoutesInStatus = 1000;
constexpr Duration kShutdownPollInterval{20000};
constexpr Duration kReloadPollInterval{20000};
constexpr Duration kFinalFlushTime{200000};  // for clients to receive their last answers

// Identifies this run of the process, so that states that an earlier run left at servers are not taken for
// its own.
std::string make_instance_id(Instant start, std::uint32_t seed) {
    char text[40];
    std::snprintf(text, sizeof text, "%llx%04x", static_cast<unsigned long long>(start.us / 1000),
                  seed & 0xffffu);
    return text;
}

bool equal(const Category& a, const Category& b) {
    return a.effect == b.effect && a.group == b.group && a.window == b.window &&
           a.latency_goal == b.latency_goal && a.goal_per_thousand == b.goal_per_thousand &&
           a.token_gap == b.token_gap && a.stream == b.stream;
}

}  // namespace

Gateway::Gateway(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log,
                 const MakeDispatcher& make_dispatcher)
    : loop_(loop),
      terms_(terms),
      log_(log),
      instance_id_(make_instance_id(loop.now(), seed)),
      wakeup_timer_(loop, [this] { dispatcher_->run_due_timers(); }),
      stop_timer_(loop, [this] { continue_shutdown(); }),
      reload_timer_(loop, [this] { poll_reload(); }) {
    const rpc::Hello hello{terms_.name, terms_.zone, instance_id_};
    client_connections_ = std::make_unique<RpcClientConnections>(
        loop, terms_.bounds, terms_.name, static_cast<RpcClientConnections::Owner&>(*this), log);
    server_connections_ = std::make_unique<ServerConnections>(
        loop, terms_.bounds, hello, static_cast<ServerConnections::Owner&>(*this), log);
    roster_ = std::make_unique<RosterClient>(
        loop, terms_, hello,
        [this](const std::vector<rpc::RosterEntry>& entries, bool is_snapshot, bool stale) {
            list_received(entries, is_snapshot, stale);
        },
        [this] { dispatcher_->list_fetch_failed(); }, log);
    DispatcherHost& host = *this;
    terms_changed_at_ = loop.now();
    const Terms core = to_core_terms(terms_);
    if (!terms_.trace.folder.empty())
        trace_ = std::make_unique<TraceObserver>(loop, log, terms_, instance_id_, servers_);
    dispatcher_ =
        make_dispatcher ? make_dispatcher(core, host, seed) : std::make_unique<Dispatcher>(core, host, seed);
    dispatcher_->limits_changed(route_limits(), core.gateways);
    dispatcher_->set_observer(trace_.get());
    dispatcher_->set_share_is_learned(terms_.learned_shares);
    if (terms_.core.peers)
        peers_ = std::make_unique<PeerNotes>(
            loop, Address::parse(terms_.peer_listen), terms_.peers,
            [this](std::string_view note) { dispatcher_->peer_note_received(note); });
    roster_->start();
    for (std::uint32_t n = 0; n < terms_.listener_addresses.size(); ++n) {
        listeners_.push_back(
            std::make_unique<Listener>(loop, Address::parse(terms_.listener_addresses[n]),
                                       [this, n](int fd) { client_connections_->add_connection(fd, n); }));
        listeners_.back()->on_accept_error = [this](const std::string& what) {
            log_.log(Severity::error, "callers", "cannot accept connections for a moment", {{"error", what}});
        };
    }
    log_.log(Severity::info, "gateway", "started",
             {{"gateway", terms_.name},
              {"zone", terms_.zone},
              {"address", address().text()},
              {"life", instance_id_}});
}

Gateway::~Gateway() = default;

// ---- terms

// Maps the names of the file to the indices of the router. A changed category gets a new index, or its old
// one if it changes back.
Terms Gateway::to_core_terms(const GatewayTerms& terms) {
    Terms core = terms.core;
    category_index_.clear();
    for (std::uint32_t c = 0; c < terms.core.categories.size(); ++c) {
        const std::string& name = terms.categories.name(c);
        const Category& category = terms.core.categories[c];
        std::size_t index = 0;
        while (index < categories_.size() &&
               !(category_names_[index] == name && equal(categories_[index], category)))
            ++index;
        if (index == categories_.size()) {
            categories_.push_back(category);
            category_names_.push_back(name);
        }
        category_index_.push_back(static_cast<std::uint16_t>(index));
    }
    core.categories = categories_;
    client_group_index_.clear();
    std::vector<double> quotas(groups_.size(), 0);  // a removed group has no quota
    for (std::uint32_t g = 0; g < terms.core.quotas.size(); ++g) {
        const std::uint32_t index = groups_.intern(terms.client_groups.name(g));
        quotas.resize(groups_.size(), 0);
        quotas[index] = terms.core.quotas[g];
        client_group_index_.push_back(static_cast<std::int32_t>(index));
    }
    core.quotas = quotas;
    route_index_.clear();
    for (const RouteTerms& r : terms.routes) route_index_.push_back(routes_.intern(r.name));
    return core;
}

// By RouteIndex. A removed route accepts no new requests and drains.
std::vector<RouteLimits> Gateway::route_limits() const {
    RouteLimits removed_route;
    removed_route.closed = true;
    std::vector<RouteLimits> limits(routes_.size(), removed_route);
    for (std::size_t place = 0; place < terms_.routes.size(); ++place)
        limits[route_index_[place]] = terms_.routes[place].limits;
    return limits;
}

bool Gateway::change_terms(GatewayTerms terms, std::vector<Diagnostic>& diagnostics) {
    const auto must_not_change = [&](const char* path, bool changed) {
        if (changed)
            diagnostics.push_back(
                {0, path, "cannot change while the gateway runs; restart the gateway to change it"});
    };
    const auto keeps_indices = [](const NameTable& now, const NameTable& before) {
        bool same = now.size() >= before.size();
        for (std::uint32_t n = 0; same && n < before.size(); ++n) same = now.name(n) == before.name(n);
        return same;
    };
    must_not_change("gateway / name", terms.name != terms_.name);
    must_not_change("gateway / zone", terms.zone != terms_.zone);
    must_not_change("gateway / roster", terms.roster != terms_.roster);
    must_not_change("gateway / state-folder", terms.state_folder != terms_.state_folder);
    must_not_change("trace / folder", terms.trace.folder != terms_.trace.folder);
    must_not_change("listener", terms.listener_addresses != terms_.listener_addresses);
    must_not_change("zone",
                    !keeps_indices(terms.zones, terms_.zones) || terms.zones.size() != terms_.zones.size());
    bool kinds = keeps_indices(terms.kinds, terms_.kinds);
    for (std::uint32_t k = 0; kinds && k < terms_.kinds.size(); ++k)
        kinds = terms.core.kinds[k].role == terms_.core.kinds[k].role;
    must_not_change("kind", !kinds);
    must_not_change("allow / peers", terms.core.peers != terms_.core.peers || terms.peers != terms_.peers ||
                                         terms.peer_listen != terms_.peer_listen);
    // Peer notes refer to categories by their index, which must be the same at all gateways.
    bool categories = keeps_indices(terms.categories, terms_.categories) &&
                      terms.categories.size() == terms_.categories.size();
    for (std::uint32_t c = 0; categories && c < terms_.core.categories.size(); ++c)
        categories = equal(terms.core.categories[c], terms_.core.categories[c]);
    must_not_change("category", terms_.core.peers && !categories);
    must_not_change("allow / ask-for-list", terms.core.ask_for_list != terms_.core.ask_for_list);
    if (!diagnostics.empty()) return false;
    const Terms core = to_core_terms(terms);
    terms_ = std::move(terms);
    ++generation_;
    terms_changed_at_ = loop_.now();
    client_connections_->set_bounds(terms_.bounds);
    server_connections_->set_bounds(terms_.bounds);
    log_.set_level(terms_.logging.level);
    if (dispatcher_->shadow_evaluation())
        log_.log(Severity::warn, "gateway", "shadow evaluation ends because the terms have changed");
    dispatcher_->terms_changed(core, route_limits());
    dispatcher_->set_share_is_learned(terms_.learned_shares);
    return true;
}

bool Gateway::start_shadow_evaluation(const GatewayTerms& other, std::vector<Diagnostic>& diagnostics,
                                      std::uint32_t seed) {
    const auto same = [&](const char* form, const NameTable& a, const NameTable& b) {
        bool equal_names = a.size() == b.size();
        for (std::uint32_t n = 0; equal_names && n < a.size(); ++n) equal_names = a.name(n) == b.name(n);
        if (!equal_names)
            diagnostics.push_back({0, form, "must have the same names in the same order in both files"});
    };
    if (generation_ != 1)
        diagnostics.push_back(
            {0, "",
             "the terms of this gateway have changed since its start; restart it for shadow evaluation"});
    same("zone", other.zones, terms_.zones);
    same("kind", other.kinds, terms_.kinds);
    same("category", other.categories, terms_.categories);
    same("client-group", other.client_groups, terms_.client_groups);
    if (!diagnostics.empty()) return false;
    Terms core = other.core;
    core.zone = terms_.core.zone;
    core.ask_for_list = false;  // the shadow evaluation gets the same lists as the dispatcher
    dispatcher_->evaluate_shadow_terms(&core, seed);
    roster_->replay_list();
    log_.log(Severity::info, "gateway", "shadow evaluation of other terms started");
    return true;
}

Gateway::LoadedTerms Gateway::load_terms(const std::string& path, const Overrides& overrides) {
    LoadedTerms loaded;
    loaded.ok = read_terms_file(path, overrides, loaded.terms, loaded.diagnostics);
    return loaded;
}

bool Gateway::apply_loaded(const std::string& path, LoadedTerms loaded) {
    if (loaded.ok && change_terms(std::move(loaded.terms), loaded.diagnostics)) {
        reload_error_.clear();
        if (trace_)
            trace_->record_event(trace::EventKind::new_terms, "", "", static_cast<std::int64_t>(generation_));
        log_.log(Severity::info, "gateway", "new terms hold",
                 {{"generation", static_cast<std::int64_t>(generation_)},
                  {"routes", static_cast<std::int64_t>(terms_.routes.size())}});
        return true;
    }
    reload_error_ = format_diagnostics(path, loaded.diagnostics);
    log_.log(Severity::error, "gateway", "new terms are refused; the old ones stay",
             {{"generation", static_cast<std::int64_t>(generation_)}, {"error", reload_error_}});
    return false;
}

bool Gateway::reload(const std::string& path, const Overrides& overrides) {
    return apply_loaded(path, load_terms(path, overrides));
}

void Gateway::reload_in_background(const std::string& path, const Overrides& overrides) {
    if (pending_reload_.valid()) {
        reload_again_ = true;
        return;
    }
    reload_path_ = path;
    reload_overrides_ = overrides;
    // The thread shares no data with the loop: it gets copies, and its result is taken over when it is
    // complete. sfsexp keeps process-wide state, so there is at most one such thread.
    pending_reload_ =
        std::async(std::launch::async, [path, overrides] { return load_terms(path, overrides); });
    reload_timer_.set(kReloadPollInterval);
}

void Gateway::poll_reload() {
    if (pending_reload_.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        reload_timer_.set(kReloadPollInterval);
        return;
    }
    apply_loaded(reload_path_, pending_reload_.get());
    if (!std::exchange(reload_again_, false)) return;
    const std::string path = reload_path_;
    reload_in_background(path, Overrides(reload_overrides_));
}

rpc::Json Gateway::status() const {
    const DispatcherCounters& t = dispatcher_->counters();
    rpc::Json routes = rpc::Json::array();
    for (std::uint32_t r = 0; r < routes_.size() && routes.size() < kMaxRoutesInStatus; ++r) {
        const RouteCounts c = dispatcher_->admission().counts(r);
        if (c.admitted == 0 && c.rejected == 0) continue;
        rpc::Json row = {{"route", routes_.name(r)},
                         {"taken", c.admitted},
                         {"refused", c.rejected},
                         {"inHand", c.in_flight},
                         {"held", c.queued},
                         {"promptTokens", c.prompt_tokens},
                         {"furtherRefused", c.retries_denied}};
        if (c.limit < kNoLimit) row["limit"] = c.limit;
        routes.push_back(std::move(row));
    }
    return {{"gateway", terms_.name},
            {"life", instance_id_},
            {"generation", generation_},
            {"partOfFleet", terms_.learned_shares ? dispatcher_->share() : 1.0 / terms_.core.gateways},
            {"termsForS", static_cast<double>((loop_.now() - terms_changed_at_).us) / 1e6},
            {"refused", reload_error_},
            {"stopping", stopping_},
            {"roster", roster_->is_synced() ? "live" : "lost"},
            {"servers", roster_->size()},
            {"callers", client_connections_->size()},
            {"open", dispatcher_->open_requests()},
            {"came", t.received},
            {"settled", t.completed},
            {"declined", t.rejected},
            {"givenUp", t.abandoned},
            {"left", t.client_left},
            {"overLimit", t.over_limit},
            {"notAgain", t.retries_denied},
            {"notConnected", t.connect_timeouts},
            {"traceWritten", trace_ ? trace_->recorder().written() : 0},
            {"traceDropped", trace_ ? trace_->recorder().dropped() : 0},
            {"routes", routes},
            {"peers", peer_status()},
            {"watching", shadow_status()}};
}

rpc::Json Gateway::peer_status() const {
    if (!peers_) return nullptr;
    const PeerNotes::Counts& c = peers_->counts();
    return {{"told", c.sent}, {"heard", c.received}, {"dropped", c.dropped}};
}

rpc::Json Gateway::shadow_status() const {
    if (!dispatcher_->shadow_evaluation()) return nullptr;
    const ShadowDifferences& d = dispatcher_->shadow_evaluation()->differences();
    return {{"alike", d.same_server},
            {"reader", d.other_prefill_server},
            {"writer", d.other_decode_server},
            {"held", d.not_sent},
            {"ended", d.ended_early},
            {"wentOn", d.continued},
            {"calledOff", d.cancelled},
            {"probes", d.probes},
            {"notes", d.peer_notes}};
}

// ---- from clients

std::string Gateway::request_received(ClientId client, const rpc::Id& id, const rpc::GenerateRequest& params,
                                      std::uint32_t listener) {
    if (stopping_) return "the gateway stops; ask another";
    const std::uint32_t* category = terms_.categories.find(params.category);
    if (!category) return "unknown category " + params.category;
    RequestInfo info;
    info.category = category_index_[*category];
    RouteRequest route_request;
    route_request.category = *category;
    route_request.listener = listener;
    if (!params.client_group.empty()) {
        const std::uint32_t* group = terms_.client_groups.find(params.client_group);
        if (!group) return "unknown client group " + params.client_group;
        info.client_group = client_group_index_[*group];
        route_request.client_group = *group;
    }
    if (dispatcher_->open_requests() >= terms_.bounds.max_open_requests) return "too many queries in hand";
    // Attributes that no route uses as a condition are ignored and not stored.
    for (const std::string& attribute : params.attributes)
        if (const std::uint32_t* known = terms_.attributes.find(attribute))
            route_request.attributes.push_back(*known);
    std::sort(route_request.attributes.begin(), route_request.attributes.end());
    route_request.prompt_tokens = params.prompt_tokens;
    const std::uint32_t position = terms_.table.find(route_request);
    const RouteTerms& route = terms_.routes[position];
    info.session = hash_of(params.session);
    info.shared_prefix = hash_of(params.shared_prefix);
    info.prompt_tokens = params.prompt_tokens;
    info.shared_prefix_tokens = params.shared_prefix_tokens;
    info.max_output_tokens = params.max_output_tokens;
    info.duration_hint = params.duration_hint;
    info.time_budget = std::min(params.time_budget, terms_.deadlines[*category]);
    const RequestIndex query = dispatcher_->open();
    if (query >= open_requests_.size()) open_requests_.resize(query + 1);
    OpenRequest& open_request = open_requests_[query];
    open_request = {client,
                    id,
                    params,
                    terms_.name + "." + instance_id_ + "." + std::to_string(++request_count_),
                    0,
                    "",
                    terms_.core.categories[*category].stream};
    request_by_id_[{client, id}] = query;
    if (log_.is_enabled(Severity::debug))
        log_.log(Severity::debug, "gateway", "query came",
                 {{"query", open_request.name},
                  {"category", params.category},
                  {"tokens", params.prompt_tokens},
                  {"route", route.name},
                  {"generation", static_cast<std::int64_t>(generation_)}});
    if (trace_) {
        const Category& c = terms_.core.categories[*category];
        trace_->request_arrived(
            query,
            {static_cast<std::int64_t>(request_count_), route.name, params.category, params.client_group,
             info.session, info.shared_prefix, generation_, info.prompt_tokens, info.max_output_tokens,
             info.time_budget, c.latency_goal + c.goal_per_thousand * (info.prompt_tokens / 1000)});
    }
    dispatcher_->request_arrived(query, info, route_index_[position], route.limits, params.is_repeat);
    return "";
}

void Gateway::client_left(ClientId client, const rpc::Id& id) {
    const auto it = request_by_id_.find({client, id});
    if (it == request_by_id_.end()) return;
    const RequestIndex query = it->second;
    request_by_id_.erase(it);
    log_.log(Severity::debug, "gateway", "query left", {{"query", open_requests_[query].name}});
    dispatcher_->client_left(query);
}

// ---- to clients

void Gateway::answer(RequestIndex query, const std::string& line, const char* outcome) {
    const OpenRequest& open_request = open_requests_[query];
    request_by_id_.erase({open_request.client, open_request.id});
    client_connections_->answer(open_request.client, open_request.id, rewrite_final_line(line));
    if (log_.is_enabled(Severity::debug))
        log_.log(Severity::debug, "gateway", outcome,
                 {{"query", open_request.name}, {"tokens", open_request.tokens}});
}

void Gateway::completed(RequestIndex query) {
    const OpenRequest& open_request = open_requests_[query];
    if (open_request.is_streamed)
        answer(query, rpc::completed_line(open_request.id, answer_tokens_), "settled");
    else
        answer(
            query,
            rpc::result_line(open_request.id,
                             {{"tokens", answer_tokens_}, {"text", answer_text_}, {"stopReason", "endTurn"}}),
            "settled");
}

void Gateway::rejected(RequestIndex query, Duration retry_after, std::string_view why) {
    answer(query, rpc::rejected_line(open_requests_[query].id, why, retry_after), "declined");
}

void Gateway::abandoned(RequestIndex query, std::string_view why) {
    answer(query, rpc::abandoned_line(open_requests_[query].id, why), "given up");
}

void Gateway::closed(RequestIndex query) { open_requests_[query] = {}; }

// ---- to servers

std::string Gateway::state_name(AttemptId attempt) const {
    return terms_.name + "." + instance_id_ + "/" + std::to_string(attempt);
}

rpc::AttemptRequest Gateway::make_attempt_request(const OpenRequest& open_request, Duration limit) const {
    rpc::AttemptRequest attempt_request;
    attempt_request.query = open_request.name;
    attempt_request.category = open_request.params.category;
    attempt_request.session = open_request.params.session;
    attempt_request.shared_prefix = open_request.params.shared_prefix;
    attempt_request.idempotency_key = open_request.params.idempotency_key;
    attempt_request.prompt_tokens = open_request.params.prompt_tokens;
    attempt_request.shared_prefix_tokens = open_request.params.shared_prefix_tokens;
    attempt_request.max_output_tokens = open_request.params.max_output_tokens;
    attempt_request.limit = limit;
    attempt_request.stream = open_request.is_streamed;
    return attempt_request;
}

void Gateway::send_prefill(AttemptId attempt, ServerIndex to, RequestIndex query, Duration limit) {
    rpc::AttemptRequest attempt_request = make_attempt_request(open_requests_[query], limit);
    attempt_request.state = state_name(attempt);
    attempt_request.prompt = open_requests_[query].params.prompt;
    const rpc::Id id{static_cast<std::int64_t>(attempt)};
    server_connections_->send(to, attempt, rpc::attempt_request_line(id, rpc::kPrefill, attempt_request),
                              true);
    if (log_.is_enabled(Severity::debug))
        log_.log(Severity::debug, "gateway", "launch to read",
                 {{"query", attempt_request.query},
                  {"launch", static_cast<std::int64_t>(attempt)},
                  {"server", servers_.name(to)}});
}

void Gateway::send_decode(AttemptId attempt, ServerIndex to, RequestIndex query, AttemptId state,
                          ServerIndex from, Duration limit) {
    const OpenRequest& open_request = open_requests_[query];
    rpc::AttemptRequest attempt_request = make_attempt_request(open_request, limit);
    if (state != 0) {
        attempt_request.state = state_name(state);
        attempt_request.state_address = server_connections_->address(from);
    } else {
        attempt_request.prompt = open_request.params.prompt;
    }
    const rpc::Id id{static_cast<std::int64_t>(attempt)};
    server_connections_->send(to, attempt, rpc::attempt_request_line(id, rpc::kDecode, attempt_request),
                              false);
    if (log_.is_enabled(Severity::debug))
        log_.log(Severity::debug, "gateway", "launch to write",
                 {{"query", attempt_request.query},
                  {"launch", static_cast<std::int64_t>(attempt)},
                  {"server", servers_.name(to)}});
}

void Gateway::cancel_attempt(AttemptId attempt, ServerIndex at) {
    server_connections_->cancel_attempt(at, attempt);
}

void Gateway::release(ServerIndex at, AttemptId state) {
    server_connections_->release(at, state_name(state));
}

void Gateway::probe(ServerIndex server) { server_connections_->probe(server); }

void Gateway::subscribe() { roster_->request_list(); }

// ---- from servers

void Gateway::attempt_ended(AttemptId attempt, const AttemptOutcome& outcome, double tokens,
                            const std::string& text) {
    answer_tokens_ = tokens;
    answer_text_ = text;
    if (trace_) trace_->set_answer_tokens(tokens);
    dispatcher_->attempt_ended(attempt, outcome);
}

void Gateway::token_received(AttemptId attempt, std::string_view text) {
    RequestIndex query = 0;
    if (!dispatcher_->token_received(attempt, query)) return;
    OpenRequest& open_request = open_requests_[query];
    open_request.tokens += 1;
    client_connections_->tokens(open_request.client, open_request.id, text);
}

void Gateway::probe_ended(ServerIndex server, bool answered, const LoadReport& report) {
    dispatcher_->probe_answered(server, answered, report);
}

// ---- the server list

void Gateway::list_received(const std::vector<rpc::RosterEntry>& entries, bool is_snapshot, bool stale) {
    std::vector<ServerListing> listings;
    for (const rpc::RosterEntry& e : entries) {
        const std::uint32_t* kind = terms_.kinds.find(e.kind);
        const std::uint32_t* zone = terms_.zones.find(e.zone);
        std::string error = !kind ? "unknown kind " + e.kind : !zone ? "unknown zone " + e.zone : "";
        const std::uint32_t* known = servers_.find(e.server);
        if (error.empty() && !known) {
            try {
                Address::parse(e.server);
            } catch (const NetworkError& exception) {
                error = exception.what();
            }
        }
        if (!error.empty()) {
            log_.log(Severity::error, "roster", "an entry of the list cannot be used; it is passed over",
                     {{"server", e.server}, {"error", error}});
            continue;
        }
        ServerListing listing;
        listing.server = servers_.intern(e.server);
        listing.name_hash = hash_of(e.server);
        listing.kind = static_cast<std::uint16_t>(*kind);
        listing.zone = static_cast<std::uint16_t>(*zone);
        listing.cell = cells_.intern(e.zone + "/" + e.cell);
        listing.started_at = {e.started_at_ms * 1000};
        listing.status = e.status;
        if (e.status == ServerStatus::removed)
            server_connections_->remove_server(listing.server);
        else
            server_connections_->set_address(listing.server, e.server);
        listings.push_back(listing);
    }
    log_.log(Severity::info, "roster",
             stale         ? "list of the last run"
             : is_snapshot ? "whole list"
                           : "changes",
             {{"entries", static_cast<std::int64_t>(listings.size())}});
    if (trace_)
        trace_->record_event(trace::EventKind::server_list, "",
                             stale         ? "of the last run"
                             : is_snapshot ? "whole"
                                           : "changes",
                             static_cast<std::int64_t>(listings.size()));
    dispatcher_->list_arrived(listings, is_snapshot);
}

// ---- time

void Gateway::schedule_wakeup(Instant at) { wakeup_timer_.set(at - loop_.now()); }

void Gateway::log(std::string_view line) {
    // The router names servers by index; the log names them by address.
    unsigned index = 0;
    const std::string text(line);
    if (std::sscanf(text.c_str(), "server %u is ", &index) == 1 && index < servers_.size()) {
        const std::size_t at = text.find(" is ");
        log_.log(Severity::warn, "rules", "server" + text.substr(at), {{"server", servers_.name(index)}});
    } else {
        log_.log(Severity::warn, "rules", line);
    }
}

void Gateway::stop() {
    if (stopping_) {
        stop_deadline_ = loop_.now();
        return;
    }
    stopping_ = true;
    stop_deadline_ = loop_.now() + terms_.bounds.shutdown_timeout;
    listeners_.clear();
    log_.log(Severity::info, "gateway", "stopping; waiting for open requests to end",
             {{"queries", static_cast<std::int64_t>(dispatcher_->open_requests())}});
    continue_shutdown();
}

void Gateway::continue_shutdown() {
    if (ended_) return loop_.stop();
    if (dispatcher_->open_requests() > 0 && loop_.now() >= stop_deadline_) {
        log_.log(Severity::warn, "gateway", "gives up what has not ended in time",
                 {{"queries", static_cast<std::int64_t>(dispatcher_->open_requests())}});
        dispatcher_->abandon_all("the gateway stops");
    }
    const bool has_work = dispatcher_->open_requests() > 0 ||
                          ((dispatcher_->attempts_out() > 0 || server_connections_->owed_releases() > 0) &&
                           loop_.now() < stop_deadline_);
    if (has_work) {
        stop_timer_.set(kShutdownPollInterval);
        return;
    }
    client_connections_->close_all();
    roster_->stop();
    const DispatcherCounters& t = dispatcher_->counters();
    log_.log(Severity::info, "gateway", "stopped",
             {{"came", static_cast<std::int64_t>(t.received)},
              {"settled", static_cast<std::int64_t>(t.completed)},
              {"declined", static_cast<std::int64_t>(t.rejected)},
              {"given_up", static_cast<std::int64_t>(t.abandoned)},
              {"left", static_cast<std::int64_t>(t.client_left)}});
    ended_ = true;
    stop_timer_.set(kFinalFlushTime);
}

}  // namespace copperfront
