#include "desk/desk.h"

#include <algorithm>

#include "desk/desk_turn.h"
#include "limits/stream_watch.h"

namespace copperfront {

Desk::Desk(const Terms& terms, Outside& outside, std::uint32_t seed)
    : kinds_(terms.kinds),
      categories_(terms.categories),
      max_attempts_(terms.max_attempts),
      outside_(outside),
      admission_(terms.gateways, outside.now()),
      share_(terms.gateways),
      guard_(terms.release_within),
      ledger_(terms.release_within),
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
    max_attempts_ = terms.max_attempts;
    watching_.reset();  // its categories and groups may no longer be those of the desk
    share_.change(terms.gateways);
    guard_.change(terms.release_within);
    ledger_.change(terms.release_within);
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

QueryIndex Desk::open(RequestKey key) {
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
    tickets_[query].key = key != 0 ? key : next_key_++;
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
    if (limits.most_attempts < kAnyNumber) facts.most_attempts = limits.most_attempts;
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
    if (const auto it = attempts_.find(ticket.bound); it != attempts_.end() && !it->second.called_off) {
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
    const auto slow = attempts_.find(now.attempts.back());
    const Span left = now.came + now.facts.budget - outside_.now();
    if (slow == attempts_.end() || left.us <= 0 || !admission_.may_copy(now.route, outside_.now())) return;
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
    // Its attempts are none of the first ones that budgets are a share of.
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
        // What was asked is named by a second copy's attempts as well.
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

// ---- the list and probes

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

}  // namespace copperfront
