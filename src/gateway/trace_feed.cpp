#include "gateway/trace_feed.h"

#include <cmath>
#include <filesystem>
#include <stdexcept>

namespace copperfront {
namespace {

using namespace trace;

static_assert(static_cast<int>(copperfront::Fate::over_limit) == static_cast<int>(trace::Fate::over_limit));

std::int64_t whole(double v) {
    return std::isfinite(v) ? static_cast<std::int64_t>(std::clamp(v, -9e15, 9e15)) : 0;
}

}  // namespace

TraceFeed::TraceFeed(Loop& loop, Log& log, const GatewayTerms& terms, const std::string& life,
                     const Names& servers)
    : loop_(loop),
      log_(log),
      servers_(servers),
      hand_over_(terms.trace.keeping.hand_over),
      tick_(loop, [this] {
          recorder_->tick(loop_.now());
          for (const std::string& news : recorder_->news()) log_.say(Weight::error, "trace", news);
          tick_.set(hand_over_);
      }) {
    std::error_code trouble;
    std::filesystem::create_directories(terms.trace.folder, trouble);
    if (trouble || !std::filesystem::is_directory(terms.trace.folder))
        throw std::runtime_error("trace / folder " + terms.trace.folder +
                                 " cannot be made: " + trouble.message());
    recorder_ = std::make_unique<Recorder>(disk_, terms.trace.keeping, terms.trace.folder, terms.name, life,
                                           terms.zone, loop.now());
    happened(Happening::started, "", "", 0);
    tick_.set(hand_over_);
}

TraceFeed::~TraceFeed() { happened(Happening::stopped, "", "", 0); }

std::int64_t TraceFeed::name(std::string_view text) {
    if (text.empty()) return 0;
    text_.assign(text);
    return recorder_->code(text_);
}

std::int64_t TraceFeed::literal(std::string_view text) {
    if (text.empty()) return 0;
    auto& [place, code] = literals_[(reinterpret_cast<std::uintptr_t>(text.data()) >> 3) % literals_.size()];
    if (place != text.data()) {
        place = text.data();
        code = name(text);
    }
    return code;
}

std::int64_t TraceFeed::server(ServerIndex s) {
    if (s >= codes_.size()) codes_.resize(s + 1, 0);
    if (codes_[s] == 0) codes_[s] = recorder_->code(servers_.name(s));
    return codes_[s];
}

void TraceFeed::came(QueryIndex query, const Facts& f) {
    if (query >= known_.size()) known_.resize(query + 1);
    known_[query] = {f.number,
                     name(f.route),
                     name(f.category),
                     name(f.group),
                     static_cast<std::int64_t>(f.session),
                     static_cast<std::int64_t>(f.beginning),
                     static_cast<std::int64_t>(f.generation),
                     whole(f.prompt_tokens),
                     whole(f.most_tokens),
                     f.budget.us,
                     f.latency_goal.us};
}

// The same row each time, so that nothing is allocated for a decision.
Row& TraceFeed::row(Deed deed, QueryIndex query) {
    row_.values.fill(0);
    row_.lists[0].clear();
    row_.lists[1].clear();
    row_[decision_column::at] = loop_.now().us;
    row_[decision_column::origin] = recorder_->origin();
    row_[decision_column::query] = known_[query].number;
    row_[decision_column::what] = static_cast<std::int64_t>(deed);
    return row_;
}

void TraceFeed::held(QueryIndex query, std::string_view why) {
    Row& r = row(Deed::held, query);
    r[decision_column::why] = literal(why);
    put(r);
}

void TraceFeed::started(QueryIndex query, AttemptId attempt, ServerIndex to, bool reading, Span limit,
                        const Choice& choice) {
    Row& r = row(reading ? Deed::read : Deed::write, query);
    r[decision_column::server] = server(to);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::why] = literal(choice.why);
    r[decision_column::limit] = limit.us;
    r[decision_column::of] = static_cast<std::int64_t>(choice.of);
    for (const Host::Sight& s : choice.seen) {
        r.lists[0].push_back(server(s.server));
        r.lists[1].push_back(whole(s.figure));
    }
    put(r);
}

void TraceFeed::attempt_over(QueryIndex query, AttemptId attempt, ServerIndex at, Ending ending, Span took,
                             std::string_view why) {
    Row& r = row(Deed::over, query);
    r[decision_column::server] = server(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::ending] = static_cast<std::int64_t>(ending);
    r[decision_column::took] = took.us;
    r[decision_column::why] = literal(why);
    put(r);
}

void TraceFeed::first_token(QueryIndex query, AttemptId attempt, ServerIndex at, Span took) {
    Row& r = row(Deed::first_token, query);
    r[decision_column::server] = server(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::took] = took.us;
    put(r);
}

void TraceFeed::copied(QueryIndex query, ServerIndex slow) {
    Row& r = row(Deed::copy, query);
    r[decision_column::server] = server(slow);
    r[decision_column::why] = literal("no first token yet");
    put(r);
}

void TraceFeed::released(QueryIndex query, ServerIndex at, AttemptId state) {
    Row& r = row(Deed::released, query);
    r[decision_column::server] = server(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(state);
    put(r);
}

void TraceFeed::ended(QueryIndex query, copperfront::Fate fate, std::string_view why, const Account& a) {
    const Known& k = known_[query];
    Row q(Table::queries);
    using namespace query_column;
    const Instant now = loop_.now();
    q[at] = now.us;
    q[origin] = recorder_->origin();
    q[query_column::query] = k.number;
    q[took] = (now - a.came).us;
    q[route] = k.route;
    q[category] = k.category;
    q[group] = k.group;
    q[session] = k.session;
    q[beginning] = k.beginning;
    q[prompt_tokens] = k.prompt_tokens;
    q[most_tokens] = k.most_tokens;
    q[budget] = k.budget;
    q[outcome] = static_cast<std::int64_t>(fate);
    q[reason] = literal(why);
    q[query_column::first_token] = a.first_token.us;
    q[answer_tokens] = whole(a.tokens > 0                         ? a.tokens
                             : fate == copperfront::Fate::settled ? whole_tokens_
                                                                  : 0);
    q[reads] = a.reads;
    q[writes] = a.writes;
    if (a.reads > 0) q[reader] = server(a.reader);
    if (a.writes > 0) q[writer] = server(a.writer);
    q[read_tokens] = whole(a.read_tokens);
    q[query_column::held] = a.reads + a.writes > 0 ? (a.first_attempt - a.came).us : -1;
    q[copies] = a.copies;
    q[generation] = k.generation;
    q[latency_goal] = k.latency_goal;
    put(q);
}

void TraceFeed::shut(ServerIndex s, bool out) {
    happened(out ? Happening::shut_out : Happening::let_in, servers_.name(s), "", 0);
}

void TraceFeed::happened(Happening what, const std::string& about, const std::string& text,
                         std::int64_t number) {
    Row e(Table::events);
    e[event_column::at] = loop_.now().us;
    e[event_column::origin] = recorder_->origin();
    e[event_column::what] = static_cast<std::int64_t>(what);
    e[event_column::server] = recorder_->code(about);
    e[event_column::text] = recorder_->code(text);
    e[event_column::number] = number;
    put(e);
}

}  // namespace copperfront
