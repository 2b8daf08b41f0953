// Puts what a desk tells into the rows of a trace. Only words change here; nothing is decided.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "desk/witness.h"
#include "logging/log.h"
#include "net/loop.h"
#include "terms/terms_file.h"
#include "trace/recorder.h"

namespace copperfront {

class TraceFeed : public Witness {
  public:
    // What the desk does not know of a query.
    struct Facts {
        std::int64_t number = 0;
        std::string_view route, category, group;
        std::uint64_t session = 0, beginning = 0, generation = 0;
        double prompt_tokens = 0, most_tokens = 0;
        Span budget, latency_goal;
    };
    // The folder is made where it is missing; std::runtime_error where that cannot be.
    TraceFeed(Loop& loop, Log& log, const GatewayTerms& terms, const std::string& life, const Names& servers);
    ~TraceFeed() override;

    void came(QueryIndex query, const Facts& facts);
    // Of an answer that comes in one piece, before it ends.
    void whole_answer(double tokens) { whole_tokens_ = tokens; }
    void happened(trace::Happening what, const std::string& server, const std::string& text,
                  std::int64_t number);
    const trace::Recorder& recorder() const { return *recorder_; }

    void held(QueryIndex query, std::string_view why) override;
    void started(QueryIndex query, AttemptId attempt, ServerIndex server, bool reading, Span limit,
                 const Choice& choice) override;
    void attempt_over(QueryIndex query, AttemptId attempt, ServerIndex server, Ending ending, Span took,
                      std::string_view why) override;
    void first_token(QueryIndex query, AttemptId attempt, ServerIndex server, Span took) override;
    void copied(QueryIndex query, ServerIndex slow) override;
    void released(QueryIndex query, ServerIndex server, AttemptId state) override;
    void ended(QueryIndex query, Fate fate, std::string_view why, const Account& account) override;
    void shut(ServerIndex server, bool out) override;

  private:
    struct Known {
        std::int64_t number = 0, route = 0, category = 0, group = 0, session = 0, beginning = 0,
                     generation = 0, prompt_tokens = 0, most_tokens = 0, budget = 0, latency_goal = 0;
    };
    trace::Row& row(trace::Deed deed, QueryIndex query);
    std::int64_t name(std::string_view text);
    // Of a text that stays where it is for as long as the process runs.
    std::int64_t literal(std::string_view text);
    std::int64_t server(ServerIndex s);
    // One reading of the clock for each row.
    void put(const trace::Row& row) { recorder_->add(row, Instant{row.at()}); }

    Loop& loop_;
    Log& log_;
    const Names& servers_;
    trace::RealDisk disk_;
    std::unique_ptr<trace::Recorder> recorder_;
    std::vector<Known> known_;         // by query
    std::vector<std::int64_t> codes_;  // by server; 0: not made yet
    trace::Row row_{trace::Table::decisions};
    std::string text_;
    // Reasons come as literals, so the same few places in memory are met over and over.
    std::array<std::pair<const char*, std::int64_t>, 32> literals_{};
    double whole_tokens_ = 0;
    Span hand_over_;
    Timer tick_;
};

}  // namespace copperfront
