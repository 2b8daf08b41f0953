// What a trace comes to, by one key or another: outcomes, quantiles, attempts and waste. Two summaries of
// parts are added up to that of the whole without any loss. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trace/rows.h"
#include "trace/sketch.h"

namespace copperfront::trace {

enum class By { all, route, category, group, server, minute, gateway };
// Null-terminated words as they are said on the command line, in the order of By.
constexpr const char* kByWords[] = {"all", "route", "category", "group", "server", "minute", "gateway"};

struct Sums {
    std::uint64_t queries = 0;
    std::uint64_t fates[5] = {};  // by Fate
    std::uint64_t in_goal = 0;
    std::uint64_t reads = 0, writes = 0, copies = 0;
    double prompt_tokens = 0, read_tokens = 0, answer_tokens = 0, settled_prompts = 0;
    Sketch first_ms, whole_ms;  // of those settled
    Sketch held_ms;
    void add(const Row& query);
    void merge(const Sums& other);
    // Prompt tokens read that no settled query came of, and those read more than once, as a part of all that
    // were read.
    double wasted() const;
};

class Summary {
  public:
    explicit Summary(By by) : by_(by) {}
    // Rows of other tables are counted, no more.
    void add(const Row& row, const Pool& pool);
    void merge(const Summary& other);
    const std::map<std::string, Sums>& groups() const { return groups_; }
    std::uint64_t decisions() const { return decisions_; }
    std::uint64_t dropped() const { return dropped_; }
    By by() const { return by_; }

    std::string text() const;
    std::string csv() const;
    std::string json() const;

  private:
    By by_;
    std::map<std::string, Sums> groups_;
    std::uint64_t decisions_ = 0, events_ = 0, dropped_ = 0;
};

// What has changed from one to the other, group by group, as a table.
std::string difference(const Summary& before, const Summary& after);

// A point in time as people read it, in UTC with milliseconds.
std::string time_text(std::int64_t us);

}  // namespace copperfront::trace
