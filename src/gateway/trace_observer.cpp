#include "gateway/trace_observer.h"

#include <cmath>
#include <filesystem>
#include <stdexcept>

namespace copperfront {
namespace {

using namespace trace;

static_assert(static_cast<int>(copperfront::RequestOutcome::over_limit) ==
              static_cast<int>(trace::RequestOutcome::over_limit));

std::int64_t to_integer(double v) {
    return std::isfinite(v) ? static_cast<std::int64_t>(std::clamp(v, -9e15, 9e15)) : 0;
}

}  // namespace

TraceObserver::TraceObserver(Loop& loop, Log& log, const GatewayTerms& terms, const std::string& instance_id,
                             const NameTable& servers)
    : loop_(loop),
      log_(log),
      servers_(servers),
      flush_interval_(terms.trace.storage.flush_interval),
      flush_timer_(loop, [this] {
          recorder_->tick(loop_.now());
          for (const std::string& problem : recorder_->take_messages())
              log_.log(Severity::error, "trace", problem);
          flush_timer_.set(flush_interval_);
      }) {
    std::error_code error;
    std::filesystem::create_directories(terms.trace.folder, error);
    if (error || !std::filesystem::is_directory(terms.trace.folder))
        throw std::runtime_error("trace / folder " + terms.trace.folder +
                                 " cannot be made: " + error.message());
    recorder_ = std::make_unique<Recorder>(disk_, terms.trace.storage, terms.trace.folder, terms.name,
                                           instance_id, terms.zone, loop.now());
    record_event(EventKind::started, "", "", 0);
    flush_timer_.set(flush_interval_);
}

TraceObserver::~TraceObserver() { record_event(EventKind::stopped, "", "", 0); }

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

void TraceObserver::request_arrived(RequestIndex query, const RequestDetails& d) {
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
Row& TraceObserver::decision_row(DecisionKind kind, RequestIndex query) {
    decision_row_.values.fill(0);
    decision_row_.lists[0].clear();
    decision_row_.lists[1].clear();
    decision_row_[decision_column::at] = loop_.now().us;
    decision_row_[decision_column::origin] = recorder_->origin();
    decision_row_[decision_column::request] = requests_[query].number;
    decision_row_[decision_column::kind] = static_cast<std::int64_t>(kind);
    return decision_row_;
}

void TraceObserver::request_waits(RequestIndex query, std::string_view why) {
    Row& r = decision_row(DecisionKind::queued, query);
    r[decision_column::why] = literal_code(why);
    write_row(r);
}

void TraceObserver::attempt_started(RequestIndex query, AttemptId attempt, ServerIndex to, bool is_prefill,
                                    Duration limit, const ServerChoice& choice) {
    Row& r = decision_row(is_prefill ? DecisionKind::prefill : DecisionKind::decode, query);
    r[decision_column::server] = server_code(to);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::why] = literal_code(choice.why);
    r[decision_column::time_limit] = limit.us;
    r[decision_column::candidate_count] = static_cast<std::int64_t>(choice.candidate_count);
    for (const Host::Candidate& s : choice.candidates) {
        r.lists[0].push_back(server_code(s.server));
        r.lists[1].push_back(to_integer(s.load_or_room));
    }
    write_row(r);
}

void TraceObserver::attempt_ended(RequestIndex query, AttemptId attempt, ServerIndex at, Ending ending,
                                  Duration took, std::string_view why) {
    Row& r = decision_row(DecisionKind::attempt_ended, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::ending] = static_cast<std::int64_t>(ending);
    r[decision_column::duration] = took.us;
    r[decision_column::why] = literal_code(why);
    write_row(r);
}

void TraceObserver::first_token(RequestIndex query, AttemptId attempt, ServerIndex at, Duration took) {
    Row& r = decision_row(DecisionKind::first_token, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(attempt);
    r[decision_column::duration] = took.us;
    write_row(r);
}

void TraceObserver::hedged(RequestIndex query, ServerIndex slow) {
    Row& r = decision_row(DecisionKind::hedge, query);
    r[decision_column::server] = server_code(slow);
    r[decision_column::why] = literal_code("no first token yet");
    write_row(r);
}

void TraceObserver::released(RequestIndex query, ServerIndex at, AttemptId state) {
    Row& r = decision_row(DecisionKind::released, query);
    r[decision_column::server] = server_code(at);
    r[decision_column::attempt] = static_cast<std::int64_t>(state);
    write_row(r);
}

void TraceObserver::ended(RequestIndex query, copperfront::RequestOutcome fate, std::string_view why,
                          const RequestSummary& a) {
    const RequestColumns& k = requests_[query];
    Row q(Table::requests);
    using namespace request_column;
    const Instant now = loop_.now();
    q[at] = now.us;
    q[origin] = recorder_->origin();
    q[request_column::request] = k.number;
    q[duration] = (now - a.arrived_at).us;
    q[route] = k.route;
    q[category] = k.category;
    q[group] = k.group;
    q[session] = k.session;
    q[shared_prefix] = k.beginning;
    q[prompt_tokens] = k.prompt_tokens;
    q[max_output_tokens] = k.most_tokens;
    q[time_budget] = k.budget;
    q[outcome] = static_cast<std::int64_t>(fate);
    q[reason] = literal_code(why);
    q[request_column::first_token] = a.first_token.us;
    q[answer_tokens] = to_integer(a.tokens > 0                                     ? a.tokens
                                  : fate == copperfront::RequestOutcome::completed ? answer_tokens_
                                                                                   : 0);
    q[prefills] = a.prefills;
    q[decodes] = a.decodes;
    if (a.prefills > 0) q[prefill_server] = server_code(a.prefill_server);
    if (a.decodes > 0) q[decode_server] = server_code(a.decode_server);
    q[prefill_tokens] = to_integer(a.prefill_tokens);
    q[request_column::queue_time] = a.prefills + a.decodes > 0 ? (a.first_attempt - a.arrived_at).us : -1;
    q[hedges] = a.hedges;
    q[terms_generation] = k.generation;
    q[latency_goal] = k.latency_goal;
    write_row(q);
}

void TraceObserver::ejection_changed(ServerIndex s, bool ejected) {
    record_event(ejected ? EventKind::ejected : EventKind::readmitted, servers_.name(s), "", 0);
}

void TraceObserver::record_event(EventKind kind, const std::string& server, const std::string& text,
                                 std::int64_t number) {
    Row e(Table::events);
    e[event_column::at] = loop_.now().us;
    e[event_column::origin] = recorder_->origin();
    e[event_column::kind] = static_cast<std::int64_t>(kind);
    e[event_column::server] = recorder_->code(server);
    e[event_column::text] = recorder_->code(text);
    e[event_column::number] = number;
    write_row(e);
}

}  // namespace copperfront
