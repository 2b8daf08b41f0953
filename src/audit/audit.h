// Checks the five rules, as worded by the users, on the records of a scenario and summarises its results.
// Reads what clients, servers and the roster recorded on their sockets, and nothing recorded by the gateways
// themselves.
#pragma once

#include <string>
#include <vector>

#include "audit/history.h"

namespace copperfront::audit {

struct Breach {
    int rule = 0;
    std::string request_name, attempt, what;
    RecordPosition position;
    std::string trace_name;   // name of the request at its gateway, if known
    std::string explanation;  // explanation of its decisions, where traces were kept
};

struct ColdStartBudget {  // load of one cold start relative to its limit
    std::string process;
    double share = 0;           // maximum share of the budget that was used in any window
    double informed_share = 0;  // share of that work that came from gateways that knew of the start
    bool fell_over = false;
};

struct Quantiles {
    std::size_t count = 0;
    double p50 = 0, p90 = 0, p99 = 0;
};

struct CategoryReport {
    std::string name;
    std::size_t requests = 0, completed = 0, in_goal = 0, rejected = 0, abandoned = 0, not_accepted = 0,
                client_left = 0, lost = 0;
    Quantiles first_ms, token_interval_ms;
    double attempts = 0;  // per request that was taken
};

struct Report {
    std::vector<Breach> breaches;
    std::vector<CategoryReport> categories;
    std::vector<ColdStartBudget> budgets;
    double prefill_work = 0, prefill_wasted = 0, decode_work = 0, decode_wasted = 0;  // tokens
    Timestamp longest_held = 0, latest_answer = 0;
    std::vector<std::string> notes, gaps;
    // A verdict requires complete records, so gaps prevent a pass.
    bool passed() const { return breaches.empty() && gaps.empty(); }
};

Report check(const History& history);
std::string text_of(const Report& report);
std::string json_of(const Report& report);

}  // namespace copperfront::audit
