#include "desk/desk.h"

#include <algorithm>

#include "limits/stream_watch.h"

namespace copperfront {

// What the rules' own acts bring about (a launch that can't be made, one called off) reaches them after the
// present call, never from within it; and an index is free again only once nothing can name it.
class Desk::Turn {
  public:
    explicit Turn(Desk& desk) : desk_(desk) { desk_.sweep(); }
    ~Turn() {
        while (!desk_.posted_.empty()) {
            const auto [launch, outcome] = desk_.posted_.front();
            desk_.posted_.pop_front();
            desk_.finish(launch, outcome);
        }
        desk_.wish_to_wake();
    }

  private:
    Desk& desk_;
};

Desk::Desk(const Terms& terms, Outside& outside, std::uint32_t seed)
    : kinds_(terms.kinds),
      categories_(terms.categories),
      max_launches_(terms.max_launches),
      outside_(outside),
      admission_(terms.gateways, outside.now()),
      share_(terms.gateways),
      guard_(terms.release_within),
      rules_(terms, *this, seed) {
    admission_.change({{RouteLimits{}}}, terms.gateways, outside.now());
}

void Desk::limits_changed(std::span<const RouteLimits> routes, int gateways) {
    admission_.change(routes, gateways, outside_.now());
}

void Desk::terms_changed(const Terms& terms, std::span<const RouteLimits> routes) {
    const Turn turn(*this);
    kinds_ = terms.kinds;
    categories_ = terms.categories;
    max_launches_ = terms.max_launches;
    watching_.reset();  // its categories and groups may no longer be those of the desk
    share_.change(terms.gateways);
    guard_.change(terms.release_within);
    admission_.change(routes, terms.gateways, outside_.now());
    rules_.terms_changed(terms);
}

// ---- this gateway's part of the fleet's limits

void Desk::parts_are_learned(bool learned) {
    parts_learned_ = learned;
    if (!learned) admission_.part_is(0);
}

void Desk::watch(const Terms* terms, std::uint32_t seed) {
    const Turn turn(*this);
    watching_.reset();
    if (!terms) return;
    watching_ = std::make_unique<Watching>(
        *terms,
        Watching::Hooks{[this] { return outside_.now(); },
                        [this](Span from_now, TimerKey key) { set_alarm(from_now, Ring::watching, key); }},
        seed);
}

double Desk::part() const { return share_.value(outside_.now()); }

void Desk::note_report(ServerIndex server, const LoadReport& report) {
    if (!parts_learned_ || report.memory_share < 0 || server >= memory_.size() || memory_[server] <= 0)
        return;
    share_.report(own_tokens_[server], report.memory_share * memory_[server], outside_.now());
    admission_.part_is(part());
}

// ---- queries

QueryIndex Desk::open() {
    sweep();
    QueryIndex query = 0;
    if (free_.empty()) {
        query = static_cast<QueryIndex>(tickets_.size());
        tickets_.emplace_back();
    } else {
        query = free_.back();
        free_.pop_back();
    }
    tickets_[query] = Ticket{};
    tickets_[query].used = true;
    return query;
}

void Desk::query_came(QueryIndex query, Arrival facts, RouteIndex route, const RouteLimits& limits,
                      bool again) {
    const Turn turn(*this);
    Ticket& ticket = tickets_[query];
    const Category& category = categories_[facts.category];
    ++open_;
    ++tally_.came;
    const Verdict verdict = admission_.query_came(route, facts.prompt_tokens, again, outside_.now());
    if (verdict.why != Refusal::none) {
        ticket.ended = true;
        ended_.push_back(query);
        --open_;
        ++tally_.declined;
        ++tally_.over_limit;
        ticket.account.came = ticket.came = outside_.now();
        if (witness_) witness_->ended(query, Fate::over_limit, text_of(verdict.why), ticket.account);
        outside_.declined(query, verdict.come_back, text_of(verdict.why));
        return;
    }
    ticket.route = route;
    ticket.prompt_tokens = facts.prompt_tokens;
    ticket.came = ticket.account.came = outside_.now();
    ticket.streams = category.stream;
    ticket.effect = category.effect;
    // A gap that is told stands alone: how long a client waits for a first token tells nothing of how long a
    // sound stream may rest.
    ticket.silence = limits.gap.us > 0 ? limits.gap : longest_silence(category, facts.budget);
    ticket.connect = limits.connect;
    for (int cause = 0; cause < kCauses; ++cause) ticket.most_after[cause] = limits.most_after[cause];
    facts.read_within = limits.read;
    facts.hand_over_within = limits.hand_over;
    facts.first_token_within = limits.first_token;
    if (limits.most_launches < kAnyNumber) facts.most_launches = limits.most_launches;
    if (limits.whole.us > 0) {
        facts.budget = std::min(facts.budget, limits.whole);
        set_alarm(limits.whole, Ring::whole, query);
        ticket.whole = limits.whole;
    }
    ticket.deadline = ticket.came + facts.budget;
    ticket.held = true;
    admission_.held(route, 1);
    if (const Span after = admission_.copy_after(route);
        after.us > 0 && limits.second_copies && category.effect == Effect::pure && category.stream) {
        ticket.facts = facts;
        ticket.copy_after = after;
        set_alarm(after, Ring::copy, query);
    }
    if (watching_) watching_->query_came(query, facts);
    rules_.query_arrived(query, facts);
}

void Desk::query_left(QueryIndex query) {
    const Turn turn(*this);
    Ticket& ticket = tickets_[query];
    if (!ticket.used || ticket.ended) return;
    ++tally_.left;
    end(query, Fate::left, "");
    // The rules never call off a stream that has begun; one that nobody reads ends all the same.
    if (const auto it = launches_.find(ticket.bound); it != launches_.end() && !it->second.called_off) {
        Outcome outcome;
        outcome.ending = Ending::retracted;
        call_off(it->first, outcome, "its client has left");
    }
    const QueryIndex pair = live_pair(query);
    if (!tickets_[query].done) rules_.query_left(query);
    if (pair != kNobody) {
        set_down(pair);
        rules_.query_left(pair);
    }
}

// ---- second copies

QueryIndex Desk::live_pair(QueryIndex query) const {
    const QueryIndex pair = tickets_[query].pair;
    // An index may have been given to another query since.
    if (pair == kNobody || !tickets_[pair].used || tickets_[pair].done || tickets_[pair].pair != query)
        return kNobody;
    // A query that has been answered has no pair that could still be.
    return tickets_[pair].copy || !tickets_[pair].ended ? pair : kNobody;
}

// Nothing more comes of this one of the two.
void Desk::set_down(QueryIndex query) {
    Ticket& ticket = tickets_[query];
    ticket.done = true;
    if (!ticket.copy || ticket.ended) return;
    ticket.ended = true;
    ended_.push_back(query);
}

// Against a second final answer: while one of a pair ends or leaves, the rules may find an end for the other.
bool Desk::is_answered(QueryIndex query) {
    const Ticket& ticket = tickets_[query];
    if (!ticket.used || ticket.ended || ticket.done) return true;
    if (!tickets_[face(query)].ended) return false;
    set_down(query);
    return true;
}

// Whether an end that the rules have found for this one is none yet, as its pair may still be answered.
bool Desk::steps_back(QueryIndex query) {
    if (live_pair(query) == kNobody) return false;
    set_down(query);
    return true;
}

// The slower one is called off, and what it holds is let go, as for a query that left.
void Desk::call_off_pair(QueryIndex winner) {
    const QueryIndex loser = live_pair(winner);
    if (loser == kNobody) return;
    if (tickets_[winner].copy) ++tally_.copies_won;
    set_down(loser);
    rules_.query_left(loser);
}

// The rules choose its servers as for any query; it only knows where not to go first.
void Desk::make_copy(QueryIndex query) {
    const Ticket& now = tickets_[query];
    const bool of_use = now.used && !now.ended && !now.done && !now.copy && now.pair == kNobody &&
                        now.bound == 0 && now.out > 0 && now.copy_after.us > 0 &&
                        outside_.now() - now.came >= now.copy_after;
    if (!of_use) return;
    const auto slow = launches_.find(now.launches.back());
    const Span left = now.came + now.facts.budget - outside_.now();
    if (slow == launches_.end() || left.us <= 0 || !admission_.may_copy(now.route, outside_.now())) return;
    Arrival facts = now.facts;
    facts.budget = left;
    facts.avoid = static_cast<std::int32_t>(slow->second.server);
    const QueryIndex copy = open();  // other tickets may move
    Ticket& first = tickets_[query];
    Ticket& second = tickets_[copy];
    first.pair = copy;
    second.copy = true;
    second.pair = query;
    second.route = first.route;
    second.prompt_tokens = first.prompt_tokens;
    second.came = first.came;
    second.deadline = first.deadline;
    second.streams = true;
    second.effect = first.effect;
    second.silence = first.silence;
    second.whole = first.whole;
    second.connect = first.connect;
    // Its launches are none of the first ones that budgets are a share of.
    second.read_begun = second.write_begun = true;
    for (int cause = 0; cause < kCauses; ++cause) second.most_after[cause] = first.most_after[cause];
    ++tally_.copies;
    ++first.account.copies;
    if (witness_) witness_->copied(query, slow->second.server);
    rules_.query_arrived(copy, facts);
}

void Desk::end(QueryIndex query, Fate fate, std::string_view why) {
    Ticket& ticket = tickets_[query];
    ticket.ended = true;
    if (witness_) witness_->ended(query, fate, why, ticket.account);
    if (watching_) watching_->query_ended(query, fate == Fate::settled || fate == Fate::left);
    if (ticket.held) admission_.held(ticket.route, -1);
    ticket.held = false;
    admission_.query_over(ticket.route, ticket.prompt_tokens, ticket.bound != 0, outside_.now());
    ended_.push_back(query);
    --open_;
}

void Desk::sweep() {
    if (ended_.empty()) return;
    std::size_t kept = 0;
    for (const QueryIndex query : ended_) {
        Ticket& ticket = tickets_[query];
        if (!ticket.used) continue;
        // What was asked is named by a second copy's launches as well.
        const bool named = !ticket.copy && ticket.pair != kNobody && tickets_[ticket.pair].used &&
                           tickets_[ticket.pair].copy && tickets_[ticket.pair].pair == query;
        if (ticket.out > 0 || named) {
            ended_[kept++] = query;
            continue;
        }
        ticket.used = false;
        if (watching_ && !ticket.copy) watching_->query_closed(query);
        free_.push_back(query);
        if (!ticket.copy) outside_.closed(query);
    }
    ended_.resize(kept);
}

void Desk::decline(QueryIndex query, Span stay_away) {
    if (is_answered(query) || steps_back(query)) return;
    const QueryIndex asked = face(query);
    const char* told = tickets_[query].why;
    const char* why = told ? told : "cannot be settled in time now";
    set_down(query);
    end(asked, Fate::declined, why);
    ++tally_.declined;
    outside_.declined(asked, stay_away, why);
}

void Desk::give_up(QueryIndex query) {
    if (is_answered(query) || steps_back(query)) return;
    const QueryIndex asked = face(query);
    const char* why = tickets_[query].why;
    set_down(query);
    end(asked, Fate::given_up, why ? why : "no answer in time");
    ++tally_.given_up;
    outside_.given_up(asked, "no answer in time");
}

void Desk::give_up_all(std::string_view why) {
    const Turn turn(*this);
    for (QueryIndex query = 0; query < tickets_.size(); ++query) {
        if (!tickets_[query].used || tickets_[query].ended || tickets_[query].copy) continue;
        ++tally_.given_up;
        outside_.given_up(query, why);
        end(query, Fate::given_up, why);
        const QueryIndex pair = live_pair(query);
        if (!tickets_[query].done) rules_.query_left(query);
        if (pair == kNobody) continue;
        set_down(pair);
        rules_.query_left(pair);
    }
}

// ---- launches

void Desk::chose(QueryIndex, ServerIndex, bool, const char* why, std::span<const Sight> seen,
                 std::size_t of) {
    // The launch follows within the same call, so this is what it is told with.
    seen_.assign(seen.begin(), seen.end());
    choice_ = {why, seen_, of};
}

void Desk::held(QueryIndex query, const char* why) {
    Ticket& ticket = tickets_[query];
    // The rules say it each time that they look; a reason is news once.
    if (!witness_ || ticket.why == why || ticket.ended || ticket.done) return;
    ticket.why = why;
    witness_->held(face(query), why);
}

void Desk::launch(QueryIndex query, ServerIndex server, const AttemptLimits& limits) {
    const Span limit = limits.answer;
    Ticket& ticket = tickets_[query];
    const LaunchId id = next_launch_++;
    Launch made;
    made.query = query;
    made.server = server;
    made.sent = outside_.now();
    made.write_by = made.sent + limits.write;
    made.reading = server < role_.size() && role_[server] == Role::reader;
    ++ticket.made;
    ticket.launches.push_back(id);
    const QueryIndex asked = face(query);
    SendGuard::AttemptStart facts;
    facts.answered = ticket.ended || ticket.done || tickets_[asked].ended || tickets_[asked].bound != 0;
    facts.attempt_out = ticket.out > 0;
    facts.may_have_run = ticket.may_have_run;
    facts.effect = ticket.effect;
    facts.made = ticket.made;
    facts.most = max_launches_;
    facts.left = limit;
    const Denial denial = guard_.may_start(facts);
    ++ticket.out;
    if (denial == Denial::none) {
        if (!made.reading) {
            made.state = ticket.state;
            made.tokens = ticket.prompt_tokens;
            if (server < own_tokens_.size()) own_tokens_[server] += made.tokens;
        }
        if (ticket.held) admission_.held(ticket.route, -1);
        ticket.held = false;
        // The first launch of each stage; what follows was asked for in may_launch_again.
        bool& begun = made.reading ? ticket.read_begun : ticket.write_begun;
        if (!begun) admission_.launched_first(ticket.route, outside_.now());
        begun = true;
        launches_.emplace(id, made);
        if (watching_ && !ticket.copy) watching_->launched(query, server, made.reading);
        set_alarm(limit, Ring::limit, id);
        if (witness_) {
            Account& account = tickets_[asked].account;
            if (account.reads + account.writes == 0) account.first_launch = outside_.now();
            ++(made.reading ? account.reads : account.writes);
            (made.reading ? account.reader : account.writer) = server;
            if (made.reading || made.state == 0) account.read_tokens += ticket.prompt_tokens;
            witness_->launched(asked, id, server, made.reading, limit, choice_);
        }
        const Span connect = ticket.connect.us > 0 ? std::min(ticket.connect, limits.write) : limits.write;
        if (connect < limit) set_alarm(connect, Ring::connect, id);
        if (made.reading) {
            ++tally_.reads;
            outside_.send_read(id, server, asked, limit);
        } else {
            ++tally_.writes;
            outside_.send_write(id, server, asked, made.state, ticket.state_at, limit);
        }
        return;
    }
    Outcome outcome;
    outcome.ending = denial == Denial::no_time_left ? Ending::late : Ending::unsent;
    made.unsent = true;
    launches_.emplace(id, made);
    posted_.emplace_back(id, outcome);
}

Denial Desk::may_be_written(LaunchId launch, bool client_gone, Span told) {
    const auto it = launches_.find(launch);
    if (it != launches_.end() && !client_gone) {
        const Ticket& ticket = tickets_[it->second.query];
        guard_.check_deadline(told, ticket.deadline - outside_.now());
        guard_.check_effect(ticket.effect, ticket.may_have_run);
    }
    SendGuard::AttemptWrite facts;
    facts.client_gone = client_gone;
    facts.now = outside_.now();
    facts.write_by = it != launches_.end() ? it->second.write_by : Instant{};
    return guard_.may_write(facts);
}

// It is over, with this outcome, only once its close has reached its server: an attempt elsewhere before that
// would be a second copy of it.
void Desk::call_off(LaunchId launch, const Outcome& outcome, const char* why) {
    Launch& mine = launches_.at(launch);
    outside_.call_off(launch, mine.server);
    over_once_closed(mine, launch, outcome, why);
}

void Desk::over_once_closed(Launch& mine, LaunchId launch, const Outcome& outcome, const char* why) {
    mine.called_off = true;
    const Ticket& ticket = tickets_[mine.query];
    // No other attempt of it follows.
    if (ticket.ended || ticket.done) {
        posted_.emplace_back(launch, outcome);
        return;
    }
    mine.pending = outcome;
    mine.why = why;
    set_alarm(SendGuard::close_travel_time(), Ring::called_off, launch);
}

void Desk::retract(QueryIndex query, std::uint32_t number) {
    Ticket& ticket = tickets_[query];
    if (number >= ticket.launches.size()) return;
    const auto it = launches_.find(ticket.launches[number]);
    if (it == launches_.end() || it->second.begun || it->second.called_off || it->second.unsent) return;
    ++tally_.called_off;
    Outcome outcome;
    outcome.ending = Ending::retracted;
    if (!outside_.unsend(it->first, it->second.server))
        return call_off(it->first, outcome, "it is no longer wanted");
    // What was never sent has left nothing behind, and tells nothing of its server where its query is over.
    it->second.called_off = true;
    outcome.ending = ticket.ended || ticket.done ? Ending::unsent : Ending::unreachable;
    posted_.emplace_back(it->first, outcome);
}

// A state that no launch waits for is let go wherever it may lie. A read whose answer never came may have
// left one too, so its reader is told as well.
void Desk::release(QueryIndex query) {
    Ticket& ticket = tickets_[query];
    LaunchId awaited = 0;
    for (const LaunchId id : ticket.launches) {
        const auto it = launches_.find(id);
        if (it != launches_.end() && !it->second.called_off && it->second.state != 0)
            awaited = it->second.state;
    }
    drop_states(query, awaited);
    if (awaited == 0) ticket.state = 0;
}

void Desk::drop_states(QueryIndex query, LaunchId except) {
    Ticket& ticket = tickets_[query];
    std::erase_if(ticket.may_lie, [&](const State& state) {
        if (state.launch == except) return false;
        ++tally_.releases;
        if (witness_) witness_->released(face(query), state.at, state.launch);
        outside_.release(state.at, state.launch, state.held_since);
        return true;
    });
}

void Desk::hold_state(Ticket& ticket, QueryIndex query, ServerIndex server, LaunchId launch) {
    ticket.may_lie.push_back({server, launch, outside_.now()});
    if (!guard_.has_state_lease() || !outside_.may_lie_unread()) return;
    const Span left = guard_.state_lease_end(outside_.now()) - outside_.now();
    set_alarm(left, Ring::lease, query);
}

// The rule counts from a request's last outcome, and an answer proves that its attempt had arrived. A
// time-out, a call-off or a connection that never came up proves nothing.
void Desk::renew_leases(QueryIndex query) {
    for (State& state : tickets_[query].may_lie) state.held_since = outside_.now();
}

// What is held for a request may not outlive its lease behind a call that nothing was heard of: it is
// released. The call itself stays out. Had it arrived and taken the state, the release changes nothing for
// it; if it still waits for the state, or arrives later, its server says that the state has gone, which
// proves that it never ran.
void Desk::lease_ends(QueryIndex query) {
    Ticket& ticket = tickets_[query];
    if (!ticket.used || ticket.may_lie.empty()) return;
    Instant first = ticket.may_lie.front().held_since;
    for (const State& state : ticket.may_lie) first = std::min(first, state.held_since);
    const Span left = guard_.state_lease_end(first) - outside_.now();
    if (left.us > 0) return set_alarm(left, Ring::lease, query);
    ++tally_.leases_ended;
    drop_states(query, 0);
    ticket.state = 0;
    if (!ticket.ended && !ticket.done) rules_.state_expired(query);
}

bool Desk::may_launch_again(QueryIndex query, Ending after) {
    Ticket& ticket = tickets_[query];
    const Cause cause = after == Ending::unreachable                          ? Cause::unreachable
                        : after == Ending::full                               ? Cause::full
                        : after == Ending::late || after == Ending::retracted ? Cause::silent
                                                                              : Cause::failed;
    const auto c = static_cast<std::size_t>(cause);
    if (ticket.after[c] < ticket.most_after[c] && admission_.may_launch_again(ticket.route, outside_.now())) {
        ++ticket.after[c];
        return true;
    }
    ++tally_.not_again;
    return false;
}

bool Desk::token_came(LaunchId launch, QueryIndex& query) {
    const auto it = launches_.find(launch);
    if (it == launches_.end() || it->second.called_off || it->second.reading) return false;
    Launch& l = it->second;
    Ticket& ticket = tickets_[l.query];
    query = face(l.query);
    if (l.server < own_tokens_.size()) {
        l.tokens += 1;
        own_tokens_[l.server] += 1;
    }
    if (l.begun) {
        l.heard = outside_.now();
        admission_.tokens_came(ticket.route, 1, l.heard);
        if (witness_) tickets_[query].account.tokens += 1;
        return tickets_[query].bound == launch && !tickets_[query].ended;
    }
    if (ticket.done || tickets_[query].ended || tickets_[query].bound != 0 || !ticket.streams) return false;
    const Turn turn(*this);
    l.begun = true;
    l.heard = outside_.now();
    if (witness_) {
        tickets_[query].account.first_token = outside_.now() - tickets_[query].came;
        tickets_[query].account.tokens += 1;
        witness_->first_token(query, launch, l.server, outside_.now() - l.sent);
    }
    tickets_[query].bound = launch;
    set_alarm(ticket.silence, Ring::stream, launch);
    // With the first token the state has been fetched; whatever else lies about for this query goes now.
    std::erase_if(ticket.may_lie, [&](const State& state) { return state.launch == l.state; });
    drop_states(l.query, 0);
    ticket.state = 0;
    admission_.began(ticket.route, outside_.now() - ticket.came, outside_.now());
    admission_.tokens_came(ticket.route, 1, outside_.now());
    const QueryIndex winner = l.query;
    if (watching_ && !ticket.copy) watching_->stream_began(winner, outside_.now() - l.sent);
    rules_.stream_began(winner, outside_.now() - l.sent);
    call_off_pair(winner);
    return true;
}

void Desk::launch_ended(LaunchId launch, Outcome outcome) {
    const auto it = launches_.find(launch);
    if (it == launches_.end() || it->second.called_off) return;
    const Turn turn(*this);
    Launch& mine = it->second;
    if (outcome.closed_here && !mine.begun)
        return over_once_closed(mine, launch, outcome, "its answer was spoilt");
    finish(launch, outcome);
}

void Desk::finish(LaunchId id, Outcome outcome, std::string_view why) {
    const auto it = launches_.find(id);
    if (it == launches_.end()) return;
    const Launch l = it->second;
    launches_.erase(it);
    if (l.server < own_tokens_.size())
        own_tokens_[l.server] = std::max(0.0, own_tokens_[l.server] - l.tokens);
    note_report(l.server, outcome.report);
    Ticket& ticket = tickets_[l.query];
    --ticket.out;
    ++tally_.endings[static_cast<std::size_t>(outcome.ending)];
    outcome.took = outside_.now() - l.sent;
    const QueryIndex asked = face(l.query);
    if (witness_) witness_->launch_over(asked, id, l.server, outcome.ending, outcome.took, why);
    outcome.over = ticket.ended || ticket.done;
    const Ending e = outcome.ending;
    const bool never_there = e == Ending::unsent || e == Ending::unreachable || e == Ending::full;
    if (e == Ending::read || e == Ending::full || e == Ending::error) renew_leases(l.query);
    if (l.reading && !never_there) hold_state(ticket, l.query, l.server, id);
    if (!l.reading && !never_there) ticket.may_have_run = true;
    if (l.reading && e == Ending::read) {
        ticket.state = id;
        ticket.state_at = l.server;
    }
    if (e == Ending::settled) {
        std::erase_if(ticket.may_lie, [&](const State& state) { return state.launch == l.state; });
        if (l.state == ticket.state) ticket.state = 0;
    }
    const LaunchId bound = tickets_[asked].bound;
    if (!tickets_[asked].ended && !ticket.done) {
        if (e == Ending::settled && (bound == 0 || bound == id)) {
            set_down(l.query);
            end(asked, Fate::settled, "");
            ++tally_.settled;
            outcome.over = true;
            outside_.settled(asked);
        } else if (bound == id) {
            // A begun stream that breaks is lost: the caller has part of an answer, and is told so at once.
            set_down(l.query);
            end(asked, Fate::given_up, "the stream broke");
            ++tally_.given_up;
            ++tally_.streams_broken;
            outcome.over = true;
            outside_.given_up(asked, "the stream broke");
        }
    }
    if (watching_ && !ticket.copy) watching_->launch_ended(l.query, l.server, outcome);
    rules_.launch_ended(l.query, l.server, outcome);
    // Settled without a first token to tell of it: the other one is of no more use.
    if (e == Ending::settled && outcome.over) call_off_pair(l.query);
}

// ---- the list, probes and time

void Desk::list_arrived(std::span<const Listing> entries, bool whole) {
    const Turn turn(*this);
    for (const Listing& entry : entries) {
        if (entry.server >= role_.size()) {
            role_.resize(entry.server + 1, Role::mixed);
            memory_.resize(entry.server + 1, 0);
            own_tokens_.resize(entry.server + 1, 0);
        }
        role_[entry.server] = kinds_[entry.kind].role;
        // What a reader holds are texts and states on their way, not this gateway's to tell.
        memory_[entry.server] = role_[entry.server] == Role::reader ? 0 : kinds_[entry.kind].memory_tokens;
    }
    if (watching_) watching_->list_arrived(entries, whole);
    rules_.list_arrived(entries, whole);
}

void Desk::list_missed() {
    const Turn turn(*this);
    if (watching_) watching_->list_missed();
    rules_.list_missed();
}

void Desk::probe(ServerIndex server) {
    ++tally_.probes;
    outside_.probe(server);
}

void Desk::probe_answered(ServerIndex server, bool answered, const LoadReport& report) {
    const Turn turn(*this);
    if (answered) note_report(server, report);
    if (watching_) watching_->probe_answered(server, answered, report);
    rules_.probe_answered(server, answered, report);
}

void Desk::peer_told(std::string_view note) {
    const Turn turn(*this);
    rules_.peer_told(note);
}

void Desk::set_alarm(Span from_now, Ring ring, std::uint64_t key) {
    alarms_.push({outside_.now() + from_now, next_order_++, ring, key});
}

void Desk::wish_to_wake() {
    if (alarms_.empty()) return;
    const Instant first = alarms_.top().at;
    if (wishing_ && first == wished_) return;
    wishing_ = true;
    wished_ = first;
    outside_.wake_at(first);
}

void Desk::time_came() {
    const Turn turn(*this);
    wishing_ = false;
    // What is set meanwhile rings at the next call, or a timer of no length would ring for ever.
    const std::uint64_t until = next_order_;
    const Instant now = outside_.now();
    while (!alarms_.empty() && alarms_.top().at <= now && alarms_.top().order < until) {
        const Alarm alarm = alarms_.top();
        alarms_.pop();
        ring(alarm);
    }
}

void Desk::ring(const Alarm& alarm) {
    switch (alarm.ring) {
        case Ring::rules:
            return rules_.timer_rang(alarm.key);
        case Ring::watching:
            if (watching_) watching_->timer_rang(alarm.key);
            return;
        case Ring::copy:
            return make_copy(static_cast<QueryIndex>(alarm.key));
        case Ring::lease:
            return lease_ends(static_cast<QueryIndex>(alarm.key));
        case Ring::whole:
            return ring_whole(static_cast<QueryIndex>(alarm.key));
        case Ring::limit:
        case Ring::connect:
        case Ring::called_off:
        case Ring::stream:
            return ring_launch(alarm);
    }
}

void Desk::ring_whole(QueryIndex query) {
    // The index may have been given to another query since: only one that came so long ago is meant.
    const Ticket& ticket = tickets_[query];
    if (!ticket.used || ticket.ended || ticket.bound == 0 || ticket.whole.us <= 0 ||
        outside_.now() - ticket.came < ticket.whole)
        return;
    const auto it = launches_.find(ticket.bound);
    if (it == launches_.end()) return;
    outside_.call_off(it->first, it->second.server);
    Outcome outcome;
    outcome.ending = Ending::broken;
    finish(it->first, outcome, "all of it took longer than its route allows");
}

void Desk::ring_launch(const Alarm& alarm) {
    const LaunchId launch = alarm.key;
    const auto it = launches_.find(launch);
    if (it == launches_.end()) return;
    if (alarm.ring == Ring::called_off) {
        const Outcome outcome = it->second.pending;
        return finish(launch, outcome, it->second.why);
    }
    if (it->second.called_off) return;
    if (alarm.ring == Ring::stream) return stream_may_be_silent(launch);
    if (it->second.begun) return;
    Outcome outcome;
    if (alarm.ring == Ring::connect) {
        // Never sent, so it cannot have run: any category may go again, and at once.
        if (!outside_.unsend(launch, it->second.server)) return;
        ++tally_.not_connected;
        outcome.ending = Ending::unreachable;
        return finish(launch, outcome, "its connection was not made in time");
    }
    outcome.ending = Ending::late;
    call_off(launch, outcome, "its time limit has passed");
}

// Against an answer whose end is lost in silence: its caller would wait for ever.
void Desk::stream_may_be_silent(LaunchId launch) {
    const Launch& mine = launches_.at(launch);
    const Span left = mine.heard + tickets_[mine.query].silence - outside_.now();
    if (left.us > 0) return set_alarm(left, Ring::stream, launch);
    ++tally_.streams_silent;
    outside_.call_off(launch, mine.server);
    Outcome outcome;
    outcome.ending = Ending::broken;
    finish(launch, outcome, "its stream fell silent");
}

}  // namespace copperfront
