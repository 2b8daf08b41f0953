#include "gateway/trace_feed.h"

#include <cmath>
#include <filesystem>
#include <stdexcept>

namespace copperfront {
namespace {

using namespace trace;

static_assert(static_cast<int>(copperfront::Fate::over_limit) == static_cast<int>(trace::Fate::over_limit));

std::int64_t to_integer(double v) {
    return std::isfinite(v) ? static_cast<std::int64_t>(std::clamp(v, -9e15, 9e15)) : 0;
}

}  // namespace

TraceObserver::TraceObserver(Loop& loop, Log& log, const GatewayTerms& terms, const std::string& instance_id,
                             const Names& servers)
    : loop_(loop),
      log_(log),
      servers_(servers),
      flush_interval_(terms.trace.keeping.hand_over),
      flush_timer_(loop, [this] {
          recorder_->tick(loop_.now());
          for (const std::string& problem : recorder_->news()) log_.say(Weight::error, "trace", problem);
          flush_timer_.set(flush_interval_);
      }) {
    std::error_code error;
    std::filesystem::create_directories(terms.trace.folder, error);
    if (error || !std::filesystem::is_directory(terms.trace.folder))
        throw std::runtime_error("trace / folder " + terms.trace.folder +
                                 " cannot be made: " + error.message());
    recorder_ = std::make_unique<Recorder>(disk_, terms.trace.keeping, terms.trace.folder, terms.name,
                                           instance_id, terms.zone, loop.now());
    record_event(Happening::started, "", "", 0);
    flush_timer_.set(flush_interval_);
}

TraceObserver::~TraceObserver() { record_event(Happening::stopped, "", "", 0); }

std::int64_t TraceObserver::code_of(std::string_view text) {
    if (text.empty()) return 0;
    lookup_text_.assign(text);
    return recorder_->code(lookup_text_);
}

std::int64_t TraceObserver::literal_code(std::string_view text) {
    if (text.empty()) return 0;
    auto& [address, code] =
        literal_codes_[(reinterpret_cast<std::uintptr_t>(text.data()) >> 3) % literal_codes_.size()];
    if (address != text.data()) {
        address = text.data();
        code = code_of(text);
    }
    return code;
}

std::int64_t TraceObserver::server_code(ServerIndex s) {
    if (s >= server_codes_.size()) server_codes_.resize(s + 1, 0);
    if (server_codes_[s] == 0) server_codes_[s] = recorder_->code(servers_.name(s));
    return server_codes_[s];
}

void TraceObserver::request_arrived(QueryIndex query, const RequestDetails& d) {
    if (query >= requests_.size()) requests_.resize(query + 1);
    requests_[query] = {d.number,
                        code_of(d.route),
                        code_of(d.category),
                        code_of(d.group),
                        static_cast<std::int64_t>(d.session),
                        static_cast<std::int64_t>(d.beginning),
                        static_cast<std::int64_t>(d.generation),
                        to_integer(d.prompt_tokens),
                        to_integer(d.most_tokens),
                        d.budget.us,
                        d.latency_goal.us};
}

// Reuses one row, so that a decision allocates no memory.
Row& TraceObserver::decision_row(Deed deed, QueryIndex query) {
    decision_row_.values.fill(0);
    decision_row_.lists[0].clear();
    decision_row_.lists[1].clear();
    decision_row_[decision_column::at] = loop_.now().us;
    decision_row_[decision_column::origin] = recorder_->origin();
    decision_row_[decision_column::query] = requests_[query].number;
    decision_row_[decision_column::what] = static_cast<std::int64_t>(deed);
    return decision_row_;
}

void TraceObserver::held(QueryIndex query, std::string_view why) {
    Row& r = decision_row(Deed::held, query);
    r[decision_column::why] = literal_code(why);
    write_row(r);
}

void TraceObserver::started(QueryIndex query, AttemptId attempt, ServerIndex to, bool is_prefill, Span limit,
                            const Choice& choice) {
    Row& r = decision_row(is_prefill ? Deed::read : Deed::write, query);
    r[decision_column::server] = server_code(to);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::why] = literal_code(choice.why);
    r[decision_column::limit] = limit.us;
    r[decision_column::of] = static_cast<std::int64_t>(choice.of);
    for (const Host::Sight& s : choice.seen) {
        r.lists[0].push_back(server_code(s.server));
        r.lists[1].push_back(to_integer(s.figure));
    }
    write_row(r);
}

void TraceObserver::attempt_over(QueryIndex query, AttemptId attempt, ServerIndex at, Ending ending,
                                 Span took, std::string_view why) {
    Row& r = decision_row(Deed::over, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::ending] = static_cast<std::int64_t>(ending);
    r[decision_column::took] = took.us;
    r[decision_column::why] = literal_code(why);
    write_row(r);
}

void TraceObserver::first_token(QueryIndex query, AttemptId attempt, ServerIndex at, Span took) {
    Row& r = decision_row(Deed::first_token, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::took] = took.us;
    write_row(r);
}

void TraceObserver::copied(QueryIndex query, ServerIndex slow) {
    Row& r = decision_row(Deed::copy, query);
    r[decision_column::server] = server_code(slow);
    r[decision_column::why] = literal_code("no first token yet");
    write_row(r);
}

void TraceObserver::released(QueryIndex query, ServerIndex at, AttemptId state) {
    Row& r = decision_row(Deed::released, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(state);
    write_row(r);
}

void TraceObserver::ended(QueryIndex query, copperfront::Fate fate, std::string_view why, const Account& a) {
    const RequestColumns& k = requests_[query];
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
    q[reason] = literal_code(why);
    q[query_column::first_token] = a.first_token.us;
    q[answer_tokens] = to_integer(a.tokens > 0                         ? a.tokens
                                  : fate == copperfront::Fate::settled ? answer_tokens_
                                                                       : 0);
    q[reads] = a.reads;
    q[writes] = a.writes;
    if (a.reads > 0) q[reader] = server_code(a.reader);
    if (a.writes > 0) q[writer] = server_code(a.writer);
    q[read_tokens] = to_integer(a.read_tokens);
    q[query_column::held] = a.reads + a.writes > 0 ? (a.first_attempt - a.came).us : -1;
    q[copies] = a.copies;
    q[generation] = k.generation;
    q[latency_goal] = k.latency_goal;
    write_row(q);
}

void TraceObserver::shut(ServerIndex s, bool ejected) {
    record_event(ejected ? Happening::shut_out : Happening::let_in, servers_.name(s), "", 0);
}

void TraceObserver::record_event(Happening what, const std::string& server, const std::string& text,
                                 std::int64_t number) {
    Row e(Table::events);
    e[event_column::at] = loop_.now().us;
    e[event_column::origin] = recorder_->origin();
    e[event_column::what] = static_cast<std::int64_t>(what);
    e[event_column::server] = recorder_->code(server);
    e[event_column::text] = recorder_->code(text);
    e[event_column::number] = number;
    write_row(e);
}

}  // namespace copperfront
