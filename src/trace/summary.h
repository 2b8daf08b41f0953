// Aggregates a trace by a key: outcomes, quantiles, attempts and waste. Summaries of parts are merged into
// the summary of the whole without loss. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trace/rows.h"
#include "trace/sketch.h"

namespace copperfront::trace {

enum class GroupBy { all, route, category, group, server, minute, gateway };
// Null-terminated names as given on the command line, in the order of GroupBy.
constexpr const char* kGroupByNames[] = {"all", "route", "category", "group", "server", "minute", "gateway"};

struct GroupTotals {
    std::uint64_t requests = 0;
    std::uint64_t outcomes[5] = {};  // indexed by RequestOutcome
    std::uint64_t in_goal = 0;
    std::uint64_t prefills = 0, decodes = 0, hedges = 0;
    double prompt_tokens = 0, prefill_tokens = 0, answer_tokens = 0, completed_prompt_tokens = 0;
    Sketch first_token_ms, total_ms;  // of completed requests
    Sketch queue_time_ms;
    void add(const Row& request);
    void merge(const GroupTotals& other);
    // Fraction of all prefilled prompt tokens that no completed request came of, or that were prefilled more
    // than once.
    double wasted() const;
};

class Summary {
  public:
    explicit Summary(GroupBy by) : by_(by) {}
    // Rows of the other tables are only counted.
    void add(const Row& row, const StringTable& pool);
    void merge(const Summary& other);
    const std::map<std::string, GroupTotals>& groups() const { return groups_; }
    std::uint64_t decisions() const { return decisions_; }
    std::uint64_t dropped() const { return dropped_; }
    GroupBy by() const { return by_; }

    std::string text() const;
    std::string csv() const;
    std::string json() const;

  private:
    GroupBy by_;
    std::map<std::string, GroupTotals> groups_;
    std::uint64_t decisions_ = 0, events_ = 0, dropped_ = 0;
};

// Returns a table of the differences between two summaries, group by group.
std::string difference(const Summary& before, const Summary& after);

// Formats a time in UTC with milliseconds.
std::string time_text(std::int64_t us);

}  // namespace copperfront::trace
