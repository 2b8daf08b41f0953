#include "gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace copperfront {
namespace {

constexpr std::size_t kMostRoutesTold = 1000;
constexpr Span kLookForEnd{20000};
constexpr Span kLookForRead{20000};
constexpr Span kLastWords{200000};  // for callers to take their last answers

// A name for this run of the process: what an earlier run left at engines can't be mistaken for ours.
std::string life_of(Instant start, std::uint32_t seed) {
    char text[40];
    std::snprintf(text, sizeof text, "%llx%04x", static_cast<unsigned long long>(start.us / 1000),
                  seed & 0xffffu);
    return text;
}

bool alike(const Category& a, const Category& b) {
    return a.effect == b.effect && a.group == b.group && a.window == b.window &&
           a.latency_goal == b.latency_goal && a.goal_per_thousand == b.goal_per_thousand &&
           a.token_gap == b.token_gap && a.stream == b.stream;
}

}  // namespace

Gateway::Gateway(Loop& loop, const GatewayTerms& terms, std::uint32_t seed, Log& log,
                 const MakeDesk& make_desk)
    : loop_(loop),
      terms_(terms),
      log_(log),
      life_(life_of(loop.now(), seed)),
      wake_(loop, [this] { desk_->time_came(); }),
      stop_timer_(loop, [this] { look_for_end(); }),
      read_timer_(loop, [this] { look_for_read(); }) {
    const rpc::Hello hello{terms_.name, terms_.zone, life_};
    callers_ =
        std::make_unique<Callers>(loop, terms_.bounds, terms_.name, static_cast<Callers::Owner&>(*this), log);
    engines_ =
        std::make_unique<Engines>(loop, terms_.bounds, hello, static_cast<Engines::Owner&>(*this), log);
    roster_ = std::make_unique<RosterFeed>(
        loop, terms_, hello,
        [this](const std::vector<rpc::RosterEntry>& entries, bool whole, bool stale) {
            list_told(entries, whole, stale);
        },
        [this] { desk_->list_missed(); }, log);
    Outside& outside = *this;
    changed_ = loop.now();
    const Terms core = adopt(terms_);
    if (!terms_.trace.folder.empty())
        trace_ = std::make_unique<TraceFeed>(loop, log, terms_, life_, servers_);
    desk_ = make_desk ? make_desk(core, outside, seed) : std::make_unique<Desk>(core, outside, seed);
    desk_->limits_changed(route_limits(), core.gateways);
    desk_->watched_by(trace_.get());
    desk_->parts_are_learned(terms_.learned_parts);
    if (terms_.core.peers)
        peers_ = std::make_unique<Peers>(loop, Address::parse(terms_.peer_listen), terms_.peers,
                                         [this](std::string_view note) { desk_->peer_told(note); });
    roster_->start();
    for (std::uint32_t n = 0; n < terms_.listener_addresses.size(); ++n) {
        listeners_.push_back(std::make_unique<Listener>(loop, Address::parse(terms_.listener_addresses[n]),
                                                        [this, n](int fd) { callers_->came(fd, n); }));
        listeners_.back()->on_trouble = [this](const std::string& what) {
            log_.say(Weight::error, "callers", "cannot accept connections for a moment", {{"error", what}});
        };
    }
    log_.say(
        Weight::info, "gateway", "started",
        {{"gateway", terms_.name}, {"zone", terms_.zone}, {"address", address().text()}, {"life", life_}});
}

Gateway::~Gateway() = default;

// ---- terms

// The file's names in the module's indices. A category that changes gets a new one, or its old one again
// where it changes back.
Terms Gateway::adopt(const GatewayTerms& terms) {
    Terms core = terms.core;
    category_now_.clear();
    for (std::uint32_t c = 0; c < terms.core.categories.size(); ++c) {
        const std::string& name = terms.categories.name(c);
        const Category& category = terms.core.categories[c];
        std::size_t at = 0;
        while (at < categories_.size() && !(category_names_[at] == name && alike(categories_[at], category)))
            ++at;
        if (at == categories_.size()) {
            categories_.push_back(category);
            category_names_.push_back(name);
        }
        category_now_.push_back(static_cast<std::uint16_t>(at));
    }
    core.categories = categories_;
    group_now_.clear();
    std::vector<double> quotas(groups_.size(), 0);  // a group that is gone has no share
    for (std::uint32_t g = 0; g < terms.core.quotas.size(); ++g) {
        const std::uint32_t at = groups_.index(terms.client_groups.name(g));
        quotas.resize(groups_.size(), 0);
        quotas[at] = terms.core.quotas[g];
        group_now_.push_back(static_cast<std::int32_t>(at));
    }
    core.quotas = quotas;
    route_now_.clear();
    for (const RouteTerms& r : terms.routes) route_now_.push_back(routes_.index(r.name));
    return core;
}

// By RouteIndex; a route that is gone takes nothing more and drains.
std::vector<RouteLimits> Gateway::route_limits() const {
    RouteLimits gone;
    gone.closed = true;
    std::vector<RouteLimits> limits(routes_.size(), gone);
    for (std::size_t place = 0; place < terms_.routes.size(); ++place)
        limits[route_now_[place]] = terms_.routes[place].limits;
    return limits;
}

bool Gateway::change(GatewayTerms terms, std::vector<Fault>& faults) {
    const auto fixed = [&](const char* path, bool changed) {
        if (changed)
            faults.push_back({0, path, "cannot change while the gateway runs; start it anew for that"});
    };
    const auto kept = [](const Names& now, const Names& then) {
        bool same = now.size() >= then.size();
        for (std::uint32_t n = 0; same && n < then.size(); ++n) same = now.name(n) == then.name(n);
        return same;
    };
    fixed("gateway / name", terms.name != terms_.name);
    fixed("gateway / zone", terms.zone != terms_.zone);
    fixed("gateway / roster", terms.roster != terms_.roster);
    fixed("gateway / state-folder", terms.state_folder != terms_.state_folder);
    fixed("trace / folder", terms.trace.folder != terms_.trace.folder);
    fixed("listener", terms.listener_addresses != terms_.listener_addresses);
    fixed("zone", !kept(terms.zones, terms_.zones) || terms.zones.size() != terms_.zones.size());
    bool kinds = kept(terms.kinds, terms_.kinds);
    for (std::uint32_t k = 0; kinds && k < terms_.kinds.size(); ++k)
        kinds = terms.core.kinds[k].role == terms_.core.kinds[k].role;
    fixed("kind", !kinds);
    fixed("allow / peers", terms.core.peers != terms_.core.peers || terms.peers != terms_.peers ||
                               terms.peer_listen != terms_.peer_listen);
    // Notes name categories by their place, which has to be the same at all gateways.
    bool categories =
        kept(terms.categories, terms_.categories) && terms.categories.size() == terms_.categories.size();
    for (std::uint32_t c = 0; categories && c < terms_.core.categories.size(); ++c)
        categories = alike(terms.core.categories[c], terms_.core.categories[c]);
    fixed("category", terms_.core.peers && !categories);
    fixed("allow / ask-for-list", terms.core.ask_for_list != terms_.core.ask_for_list);
    if (!faults.empty()) return false;
    const Terms core = adopt(terms);
    terms_ = std::move(terms);
    ++generation_;
    changed_ = loop_.now();
    callers_->change(terms_.bounds);
    engines_->change(terms_.bounds);
    log_.set_level(terms_.logging.level);
    if (desk_->watching()) log_.say(Weight::warn, "gateway", "watching ends, as the terms have changed");
    desk_->terms_changed(core, route_limits());
    desk_->parts_are_learned(terms_.learned_parts);
    return true;
}

bool Gateway::watch(const GatewayTerms& other, std::vector<Fault>& faults, std::uint32_t seed) {
    const auto same = [&](const char* form, const Names& a, const Names& b) {
        bool alike = a.size() == b.size();
        for (std::uint32_t n = 0; alike && n < a.size(); ++n) alike = a.name(n) == b.name(n);
        if (!alike)
            faults.push_back(
                {0, form, "must be named alike and in the same order in both files to be compared"});
    };
    if (generation_ != 1)
        faults.push_back(
            {0, "", "this gateway's terms have changed since its start; start it anew to watch"});
    same("zone", other.zones, terms_.zones);
    same("kind", other.kinds, terms_.kinds);
    same("category", other.categories, terms_.categories);
    same("client-group", other.client_groups, terms_.client_groups);
    if (!faults.empty()) return false;
    Terms core = other.core;
    core.zone = terms_.core.zone;
    core.ask_for_list = false;  // it is told what the desk is told
    desk_->watch(&core, seed);
    roster_->tell_again();
    log_.say(Weight::info, "gateway", "watching what other terms would decide");
    return true;
}

Gateway::Read Gateway::read(const std::string& path, const Overrides& overrides) {
    Read read;
    read.well = read_terms_file(path, overrides, read.terms, read.faults);
    return read;
}

bool Gateway::take(const std::string& path, Read read) {
    if (read.well && change(std::move(read.terms), read.faults)) {
        refused_.clear();
        if (trace_) trace_->happened(trace::Happening::terms, "", "", static_cast<std::int64_t>(generation_));
        log_.say(Weight::info, "gateway", "new terms hold",
                 {{"generation", static_cast<std::int64_t>(generation_)},
                  {"routes", static_cast<std::int64_t>(terms_.routes.size())}});
        return true;
    }
    refused_ = text_of(path, read.faults);
    log_.say(Weight::error, "gateway", "new terms are refused; the old ones stay",
             {{"generation", static_cast<std::int64_t>(generation_)}, {"error", refused_}});
    return false;
}

bool Gateway::reload(const std::string& path, const Overrides& overrides) {
    return take(path, read(path, overrides));
}

void Gateway::reload_aside(const std::string& path, const Overrides& overrides) {
    if (reading_.valid()) {
        read_again_ = true;
        return;
    }
    reading_path_ = path;
    reading_overrides_ = overrides;
    // The thread shares nothing with the loop: it gets copies, and its result is handed over whole. sfsexp
    // keeps a state of its own for the process, which is why there is one such thread at most.
    reading_ = std::async(std::launch::async, [path, overrides] { return read(path, overrides); });
    read_timer_.set(kLookForRead);
}

void Gateway::look_for_read() {
    if (reading_.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        read_timer_.set(kLookForRead);
        return;
    }
    take(reading_path_, reading_.get());
    if (!std::exchange(read_again_, false)) return;
    const std::string path = reading_path_;
    reload_aside(path, Overrides(reading_overrides_));
}

rpc::Json Gateway::status() const {
    const Tally& t = desk_->tally();
    rpc::Json routes = rpc::Json::array();
    for (std::uint32_t r = 0; r < routes_.size() && routes.size() < kMostRoutesTold; ++r) {
        const RouteCounts c = desk_->admission().counts(r);
        if (c.taken == 0 && c.refused == 0) continue;
        rpc::Json row = {{"route", routes_.name(r)},
                         {"taken", c.taken},
                         {"refused", c.refused},
                         {"inHand", c.in_hand},
                         {"held", c.held},
                         {"promptTokens", c.prompt_tokens},
                         {"furtherRefused", c.further_refused}};
        if (c.limit < kNoLimit) row["limit"] = c.limit;
        routes.push_back(std::move(row));
    }
    return {{"gateway", terms_.name},
            {"life", life_},
            {"generation", generation_},
            {"partOfFleet", terms_.learned_parts ? desk_->part() : 1.0 / terms_.core.gateways},
            {"termsForS", static_cast<double>((loop_.now() - changed_).us) / 1e6},
            {"refused", refused_},
            {"stopping", stopping_},
            {"roster", roster_->live() ? "live" : "lost"},
            {"servers", roster_->size()},
            {"callers", callers_->size()},
            {"open", desk_->open_queries()},
            {"came", t.came},
            {"settled", t.settled},
            {"declined", t.declined},
            {"givenUp", t.given_up},
            {"left", t.left},
            {"overLimit", t.over_limit},
            {"notAgain", t.not_again},
            {"notConnected", t.not_connected},
            {"traceWritten", trace_ ? trace_->recorder().written() : 0},
            {"traceDropped", trace_ ? trace_->recorder().dropped() : 0},
            {"routes", routes},
            {"peers", peers_told()},
            {"watching", watching_told()}};
}

rpc::Json Gateway::peers_told() const {
    if (!peers_) return nullptr;
    const Peers::Counts& c = peers_->counts();
    return {{"told", c.told}, {"heard", c.heard}, {"dropped", c.dropped}};
}

rpc::Json Gateway::watching_told() const {
    if (!desk_->watching()) return nullptr;
    const Differences& d = desk_->watching()->differences();
    return {{"alike", d.alike}, {"reader", d.reader},  {"writer", d.writer},        {"held", d.held},
            {"ended", d.ended}, {"wentOn", d.went_on}, {"calledOff", d.called_off}, {"probes", d.probes},
            {"notes", d.notes}};
}

// ---- from callers

std::string Gateway::asked(CallerId caller, const rpc::Id& id, const rpc::Ask& ask, std::uint32_t listener) {
    if (stopping_) return "the gateway stops; ask another";
    const std::uint32_t* category = terms_.categories.find(ask.category);
    if (!category) return "unknown category " + ask.category;
    Arrival a;
    a.category = category_now_[*category];
    RouteQuery wanted;
    wanted.category = *category;
    wanted.listener = listener;
    if (!ask.client_group.empty()) {
        const std::uint32_t* group = terms_.client_groups.find(ask.client_group);
        if (!group) return "unknown client group " + ask.client_group;
        a.client_group = group_now_[*group];
        wanted.client_group = *group;
    }
    if (desk_->open_queries() >= terms_.bounds.open_queries) return "too many queries in hand";
    // Attributes that no route asks for are of no interest, and are not kept.
    for (const std::string& attribute : ask.attributes)
        if (const std::uint32_t* known = terms_.attributes.find(attribute))
            wanted.attributes.push_back(*known);
    std::sort(wanted.attributes.begin(), wanted.attributes.end());
    wanted.prompt_tokens = ask.prompt_tokens;
    const std::uint32_t place = terms_.table.find(wanted);
    const RouteTerms& route = terms_.routes[place];
    a.session = mark(ask.session);
    a.beginning = mark(ask.beginning);
    a.prompt_tokens = ask.prompt_tokens;
    a.beginning_tokens = ask.beginning_tokens;
    a.most_tokens = ask.most_tokens;
    a.hint = ask.hint;
    a.budget = std::min(ask.budget, terms_.hard_stops[*category]);
    const QueryIndex query = desk_->open();
    if (query >= open_.size()) open_.resize(query + 1);
    Open& open = open_[query];
    open = {caller,
            id,
            ask,
            terms_.name + "." + life_ + "." + std::to_string(++queries_),
            0,
            "",
            terms_.core.categories[*category].stream};
    by_call_[{caller, id}] = query;
    if (log_.writes(Weight::debug))
        log_.say(Weight::debug, "gateway", "query came",
                 {{"query", open.name},
                  {"category", ask.category},
                  {"tokens", ask.prompt_tokens},
                  {"route", route.name},
                  {"generation", static_cast<std::int64_t>(generation_)}});
    if (trace_) {
        const Category& c = terms_.core.categories[*category];
        trace_->came(query, {static_cast<std::int64_t>(queries_), route.name, ask.category, ask.client_group,
                             a.session, a.beginning, generation_, a.prompt_tokens, a.most_tokens, a.budget,
                             c.latency_goal + c.goal_per_thousand * (a.prompt_tokens / 1000)});
    }
    desk_->query_came(query, a, route_now_[place], route.limits, ask.again);
    return "";
}

void Gateway::left(CallerId caller, const rpc::Id& id) {
    const auto it = by_call_.find({caller, id});
    if (it == by_call_.end()) return;
    const QueryIndex query = it->second;
    by_call_.erase(it);
    log_.say(Weight::debug, "gateway", "query left", {{"query", open_[query].name}});
    desk_->query_left(query);
}

// ---- to callers

void Gateway::answer(QueryIndex query, const std::string& line, const char* how) {
    const Open& open = open_[query];
    by_call_.erase({open.caller, open.id});
    callers_->answer(open.caller, open.id, final_line(line));
    if (log_.writes(Weight::debug))
        log_.say(Weight::debug, "gateway", how, {{"query", open.name}, {"tokens", open.tokens}});
}

void Gateway::settled(QueryIndex query) {
    const Open& open = open_[query];
    if (open.streams)
        answer(query, rpc::settled_line(open.id, settled_tokens_), "settled");
    else
        answer(query,
               rpc::result(open.id,
                           {{"tokens", settled_tokens_}, {"text", settled_text_}, {"stopReason", "endTurn"}}),
               "settled");
}

void Gateway::declined(QueryIndex query, Span stay_away, std::string_view why) {
    answer(query, rpc::declined_line(open_[query].id, why, stay_away), "declined");
}

void Gateway::given_up(QueryIndex query, std::string_view why) {
    answer(query, rpc::given_up_line(open_[query].id, why), "given up");
}

void Gateway::closed(QueryIndex query) { open_[query] = {}; }

// ---- to engines

std::string Gateway::state_name(AttemptId attempt) const {
    return terms_.name + "." + life_ + "/" + std::to_string(attempt);
}

rpc::Order Gateway::order_of(const Open& open, Span limit) const {
    rpc::Order order;
    order.query = open.name;
    order.category = open.ask.category;
    order.session = open.ask.session;
    order.beginning = open.ask.beginning;
    order.mark = open.ask.mark;
    order.prompt_tokens = open.ask.prompt_tokens;
    order.beginning_tokens = open.ask.beginning_tokens;
    order.most_tokens = open.ask.most_tokens;
    order.limit = limit;
    order.stream = open.streams;
    return order;
}

void Gateway::send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) {
    rpc::Order order = order_of(open_[query], limit);
    order.state = state_name(attempt);
    order.prompt = open_[query].ask.prompt;
    const rpc::Id id{static_cast<std::int64_t>(attempt)};
    engines_->send(to, attempt, rpc::order_line(id, rpc::kRead, order), true);
    if (log_.writes(Weight::debug))
        log_.say(Weight::debug, "gateway", "launch to read",
                 {{"query", order.query},
                  {"launch", static_cast<std::int64_t>(attempt)},
                  {"server", servers_.name(to)}});
}

void Gateway::send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId state,
                         ServerIndex from, Span limit) {
    const Open& open = open_[query];
    rpc::Order order = order_of(open, limit);
    if (state != 0) {
        order.state = state_name(state);
        order.from = engines_->address(from);
    } else {
        order.prompt = open.ask.prompt;
    }
    const rpc::Id id{static_cast<std::int64_t>(attempt)};
    engines_->send(to, attempt, rpc::order_line(id, rpc::kWrite, order), false);
    if (log_.writes(Weight::debug))
        log_.say(Weight::debug, "gateway", "launch to write",
                 {{"query", order.query},
                  {"launch", static_cast<std::int64_t>(attempt)},
                  {"server", servers_.name(to)}});
}

void Gateway::call_off(AttemptId attempt, ServerIndex at) { engines_->call_off(at, attempt); }

void Gateway::release(ServerIndex at, AttemptId state) { engines_->release(at, state_name(state)); }

void Gateway::probe(ServerIndex server) { engines_->probe(server); }

void Gateway::subscribe() { roster_->ask(); }

// ---- from engines

void Gateway::attempt_over(AttemptId attempt, const Outcome& outcome, double tokens,
                           const std::string& text) {
    settled_tokens_ = tokens;
    settled_text_ = text;
    if (trace_) trace_->whole_answer(tokens);
    desk_->attempt_ended(attempt, outcome);
}

void Gateway::token_came(AttemptId attempt, std::string_view text) {
    QueryIndex query = 0;
    if (!desk_->token_came(attempt, query)) return;
    Open& open = open_[query];
    open.tokens += 1;
    callers_->tokens(open.caller, open.id, text);
}

void Gateway::probe_over(ServerIndex server, bool answered, const LoadReport& report) {
    desk_->probe_answered(server, answered, report);
}

// ---- the list

void Gateway::list_told(const std::vector<rpc::RosterEntry>& entries, bool whole, bool stale) {
    std::vector<Listing> listings;
    for (const rpc::RosterEntry& e : entries) {
        const std::uint32_t* kind = terms_.kinds.find(e.kind);
        const std::uint32_t* zone = terms_.zones.find(e.zone);
        std::string trouble = !kind ? "unknown kind " + e.kind : !zone ? "unknown zone " + e.zone : "";
        const std::uint32_t* known = servers_.find(e.server);
        if (trouble.empty() && !known) {
            try {
                Address::parse(e.server);
            } catch (const NetTrouble& bad) {
                trouble = bad.what();
            }
        }
        if (!trouble.empty()) {
            log_.say(Weight::error, "roster", "an entry of the list cannot be used; it is passed over",
                     {{"server", e.server}, {"error", trouble}});
            continue;
        }
        Listing l;
        l.server = servers_.index(e.server);
        l.mark = mark(e.server);
        l.kind = static_cast<std::uint16_t>(*kind);
        l.zone = static_cast<std::uint16_t>(*zone);
        l.cell = cells_.index(e.zone + "/" + e.cell);
        l.born = {e.born_ms * 1000};
        l.standing = e.standing;
        if (e.standing == Standing::gone)
            engines_->gone(l.server);
        else
            engines_->learn(l.server, e.server);
        listings.push_back(l);
    }
    log_.say(Weight::info, "roster",
             stale   ? "list of the last run"
             : whole ? "whole list"
                     : "changes",
             {{"entries", static_cast<std::int64_t>(listings.size())}});
    if (trace_)
        trace_->happened(trace::Happening::list, "",
                         stale   ? "of the last run"
                         : whole ? "whole"
                                 : "changes",
                         static_cast<std::int64_t>(listings.size()));
    desk_->list_arrived(listings, whole);
}

// ---- time

void Gateway::wake_at(Instant at) { wake_.set(at - loop_.now()); }

void Gateway::log(std::string_view line) {
    // The rules name servers by index; people know them by address.
    unsigned index = 0;
    const std::string text(line);
    if (std::sscanf(text.c_str(), "server %u is ", &index) == 1 && index < servers_.size()) {
        const std::size_t at = text.find(" is ");
        log_.say(Weight::warn, "rules", "server" + text.substr(at), {{"server", servers_.name(index)}});
    } else {
        log_.say(Weight::warn, "rules", line);
    }
}

void Gateway::stop() {
    if (stopping_) {
        stop_by_ = loop_.now();
        return;
    }
    stopping_ = true;
    stop_by_ = loop_.now() + terms_.bounds.stop_within;
    listeners_.clear();
    log_.say(Weight::info, "gateway", "stops; lets open queries end",
             {{"queries", static_cast<std::int64_t>(desk_->open_queries())}});
    look_for_end();
}

void Gateway::look_for_end() {
    if (ended_) return loop_.stop();
    if (desk_->open_queries() > 0 && loop_.now() >= stop_by_) {
        log_.say(Weight::warn, "gateway", "gives up what has not ended in time",
                 {{"queries", static_cast<std::int64_t>(desk_->open_queries())}});
        desk_->give_up_all("the gateway stops");
    }
    const bool owes = desk_->open_queries() > 0 ||
                      ((desk_->attempts_out() > 0 || engines_->owed() > 0) && loop_.now() < stop_by_);
    if (owes) {
        stop_timer_.set(kLookForEnd);
        return;
    }
    callers_->close_all();
    roster_->stop();
    const Tally& t = desk_->tally();
    log_.say(Weight::info, "gateway", "stopped",
             {{"came", static_cast<std::int64_t>(t.came)},
              {"settled", static_cast<std::int64_t>(t.settled)},
              {"declined", static_cast<std::int64_t>(t.declined)},
              {"given_up", static_cast<std::int64_t>(t.given_up)},
              {"left", static_cast<std::int64_t>(t.left)}});
    ended_ = true;
    stop_timer_.set(kLastWords);
}

}  // namespace copperfront
