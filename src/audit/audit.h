// Checks the five rules on the records of a day, with the wording that the users gave them, and tells how the
// day went. It reads what peers saw on their sockets and nothing of the gateways' own.
#pragma once

#include <string>
#include <vector>

#include "audit/history.h"

namespace copperfront::audit {

struct Breach {
    int rule = 0;
    std::string query, attempt, what;
    Where where;
    std::string traced;  // the query's name at its gateway, where it is known
    std::string story;   // of its decisions, where traces were kept
};

struct Budget {  // of one cold start
    std::string engine;
    double share = 0;  // the most of its budget that was used in any window
    double told = 0;   // part of the work there that came from gateways that knew of its start
    bool fell = false;
};

struct Quantiles {
    std::size_t count = 0;
    double half = 0, ninety = 0, ninety_nine = 0;
};

struct CategoryReport {
    std::string name;
    std::size_t asked = 0, settled = 0, in_goal = 0, declined = 0, given_up = 0, not_taken = 0, left = 0,
                lost = 0;
    Quantiles first_ms, pace_ms;
    double attempts = 0;  // a query that was taken
};

struct Report {
    std::vector<Breach> breaches;
    std::vector<CategoryReport> categories;
    std::vector<Budget> budgets;
    double read_work = 0, read_wasted = 0, write_work = 0, write_wasted = 0;  // tokens
    Stamp longest_pinned = 0, longest_late = 0;
    std::vector<std::string> notes, gaps;
    // A verdict needs whole records: gaps are no clean bill.
    bool clean() const { return breaches.empty() && gaps.empty(); }
};

Report check(const History& history);
std::string text_of(const Report& report);
std::string json_of(const Report& report);

}  // namespace copperfront::audit
