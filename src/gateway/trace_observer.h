// Writes the events that the dispatcher reports as rows of the trace.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/dispatcher_observer.h"
#include "logging/log.h"
#include "net/loop.h"
#include "terms/terms_file.h"
#include "trace/recorder.h"

namespace copperfront {

class TraceObserver : public DispatcherObserver {
  public:
    // Properties of a request that the dispatcher does not know.
    struct RequestDetails {
        std::int64_t number = 0;
        std::string_view route, category, group;
        std::uint64_t session = 0, beginning = 0, generation = 0;
        double prompt_tokens = 0, most_tokens = 0;
        Duration budget, latency_goal;
    };
    // Creates the trace folder if it is missing; throws std::runtime_error if that fails.
    TraceObserver(Loop& loop, Log& log, const GatewayTerms& terms, const std::string& instance_id,
                  const NameTable& servers);
    ~TraceObserver() override;

    void request_arrived(RequestIndex query, const RequestDetails& details);
    // Token count of an answer that is not streamed; called before its request ends.
    void set_answer_tokens(double tokens) { answer_tokens_ = tokens; }
    void record_event(trace::EventKind kind, const std::string& server, const std::string& text,
                      std::int64_t number);
    const trace::Recorder& recorder() const { return *recorder_; }

    void request_waits(RequestIndex query, std::string_view why) override;
    void attempt_started(RequestIndex query, AttemptId attempt, ServerIndex server, bool is_prefill,
                         Duration limit, const ServerChoice& choice) override;
    void attempt_ended(RequestIndex query, AttemptId attempt, ServerIndex server, Ending ending,
                       Duration took, std::string_view why) override;
    void first_token(RequestIndex query, AttemptId attempt, ServerIndex server, Duration took) override;
    void hedged(RequestIndex query, ServerIndex slow) override;
    void released(RequestIndex query, ServerIndex server, AttemptId state) override;
    void ended(RequestIndex query, RequestOutcome fate, std::string_view why,
               const RequestSummary& account) override;
    void ejection_changed(ServerIndex server, bool ejected) override;

  private:
    struct RequestColumns {
        std::int64_t number = 0, route = 0, category = 0, group = 0, session = 0, beginning = 0,
                     generation = 0, prompt_tokens = 0, most_tokens = 0, budget = 0, latency_goal = 0;
    };
    trace::Row& decision_row(trace::DecisionKind kind, RequestIndex query);
    std::int64_t code_of(std::string_view text);
    // Code of a text whose storage lives as long as the process.
    std::int64_t literal_code(std::string_view text);
    std::int64_t server_code(ServerIndex s);
    // Uses the row's time stamp, so that the clock is read once for each row.
    void write_row(const trace::Row& row) { recorder_->add(row, Instant{row.at()}); }

    Loop& loop_;
    Log& log_;
    const NameTable& servers_;
    trace::RealDisk disk_;
    std::unique_ptr<trace::Recorder> recorder_;
    std::vector<RequestColumns> requests_;    // by request
    std::vector<std::int64_t> server_codes_;  // by server; 0: not assigned yet
    trace::Row decision_row_{trace::Table::decisions};
    std::string lookup_text_;
    // Cache by address: reasons are string literals, so the same few addresses recur.
    std::array<std::pair<const char*, std::int64_t>, 32> literal_codes_{};
    double answer_tokens_ = 0;
    Duration flush_interval_;
    Timer flush_timer_;
};

}  // namespace copperfront
