#include "trace/summary.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>
#include <set>

namespace copperfront::trace {
namespace {

std::string formatted(const char* pattern, ...) __attribute__((format(printf, 1, 2)));
std::string formatted(const char* pattern, ...) {
    char text[512];
    va_list args;
    va_start(args, pattern);
    const int n = std::vsnprintf(text, sizeof text, pattern, args);
    va_end(args);
    return std::string(text, static_cast<std::size_t>(std::clamp(n, 0, static_cast<int>(sizeof text) - 1)));
}

double ratio(double a, double b) { return b == 0 ? 0 : a / b; }
double ms(std::int64_t us) { return static_cast<double>(us) / 1000; }

struct Field {
    const char* name;
    double (*of)(const GroupTotals&);
    const char* pattern;  // in the text table
};
template <RequestOutcome outcome>
double outcome_count(const GroupTotals& s) {
    return static_cast<double>(s.outcomes[static_cast<std::size_t>(outcome)]);
}
constexpr Field kFields[] = {
    {"queries", [](const GroupTotals& s) { return static_cast<double>(s.requests); }, "%9.0f"},
    {"settled", outcome_count<RequestOutcome::completed>, "%9.0f"},
    {"in_goal", [](const GroupTotals& s) { return static_cast<double>(s.in_goal); }, "%9.0f"},
    {"declined", outcome_count<RequestOutcome::rejected>, "%9.0f"},
    {"given_up", outcome_count<RequestOutcome::abandoned>, "%9.0f"},
    {"left", outcome_count<RequestOutcome::client_left>, "%9.0f"},
    {"over_limit", outcome_count<RequestOutcome::over_limit>, "%10.0f"},
    {"first_p50_ms", [](const GroupTotals& s) { return s.first_token_ms.quantile(0.5); }, "%12.1f"},
    {"first_p90_ms", [](const GroupTotals& s) { return s.first_token_ms.quantile(0.9); }, "%12.1f"},
    {"first_p99_ms", [](const GroupTotals& s) { return s.first_token_ms.quantile(0.99); }, "%12.1f"},
    {"whole_p50_ms", [](const GroupTotals& s) { return s.total_ms.quantile(0.5); }, "%12.1f"},
    {"whole_p99_ms", [](const GroupTotals& s) { return s.total_ms.quantile(0.99); }, "%12.1f"},
    {"held_p99_ms", [](const GroupTotals& s) { return s.queue_time_ms.quantile(0.99); }, "%11.1f"},
    {"launches",
     [](const GroupTotals& s) {
         return ratio(static_cast<double>(s.prefills + s.decodes), static_cast<double>(s.requests));
     },
     "%8.2f"},
    {"copies", [](const GroupTotals& s) { return static_cast<double>(s.hedges); }, "%6.0f"},
    {"wasted", [](const GroupTotals& s) { return s.wasted(); }, "%6.3f"},
    {"answer_tokens", [](const GroupTotals& s) { return s.answer_tokens; }, "%13.0f"},
};

int width_of(const Field& f) {
    return std::max<int>(static_cast<int>(std::string_view(f.name).size()), std::atoi(f.pattern + 1));
}

std::size_t name_width(const std::map<std::string, GroupTotals>& groups) {
    std::size_t n = 8;
    for (const auto& [name, totals] : groups) n = std::max(n, name.size());
    return std::min<std::size_t>(n, 60);
}

}  // namespace

std::string time_text(std::int64_t us) {
    std::int64_t s = us / 1000000, rest = us % 1000000;
    if (rest < 0) {
        rest += 1000000;
        --s;
    }
    const std::time_t t = static_cast<std::time_t>(s);
    std::tm parts{};
    char text[40];
    if (!gmtime_r(&t, &parts) || std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts) == 0)
        return std::to_string(us) + "us";
    return formatted("%s.%03dZ", text, static_cast<int>(rest / 1000));
}

void GroupTotals::add(const Row& q) {
    using namespace request_column;
    ++requests;
    const auto outcome_index = static_cast<std::size_t>(std::clamp<std::int64_t>(q[outcome], 0, 4));
    ++outcomes[outcome_index];
    prefills += static_cast<std::uint64_t>(std::max<std::int64_t>(0, q[request_column::prefills]));
    decodes += static_cast<std::uint64_t>(std::max<std::int64_t>(0, q[request_column::decodes]));
    hedges += static_cast<std::uint64_t>(std::max<std::int64_t>(0, q[request_column::hedges]));
    prompt_tokens += static_cast<double>(q[request_column::prompt_tokens]);
    prefill_tokens += static_cast<double>(q[request_column::prefill_tokens]);
    answer_tokens += static_cast<double>(q[request_column::answer_tokens]);
    if (q[queue_time] >= 0) queue_time_ms.add(ms(q[queue_time]));
    if (static_cast<RequestOutcome>(outcome_index) != RequestOutcome::completed) return;
    completed_prompt_tokens += static_cast<double>(q[request_column::prompt_tokens]);
    total_ms.add(ms(q[duration]));
    const std::int64_t first = q[first_token] >= 0 ? q[first_token] : q[duration];
    first_token_ms.add(ms(first));
    if (q[latency_goal] > 0) in_goal += first <= q[latency_goal];
}

void GroupTotals::merge(const GroupTotals& other) {
    requests += other.requests;
    for (std::size_t n = 0; n < 5; ++n) outcomes[n] += other.outcomes[n];
    in_goal += other.in_goal;
    prefills += other.prefills;
    decodes += other.decodes;
    hedges += other.hedges;
    prompt_tokens += other.prompt_tokens;
    prefill_tokens += other.prefill_tokens;
    answer_tokens += other.answer_tokens;
    completed_prompt_tokens += other.completed_prompt_tokens;
    first_token_ms.merge(other.first_token_ms);
    total_ms.merge(other.total_ms);
    queue_time_ms.merge(other.queue_time_ms);
}

double GroupTotals::wasted() const {
    return std::max(0.0, ratio(prefill_tokens - completed_prompt_tokens, prefill_tokens));
}

void Summary::add(const Row& row, const StringTable& pool) {
    if (row.table == Table::decisions) {
        ++decisions_;
        return;
    }
    if (row.table == Table::events) {
        ++events_;
        if (row[event_column::kind] == static_cast<std::int64_t>(EventKind::rows_dropped))
            dropped_ += static_cast<std::uint64_t>(row[event_column::number]);
        return;
    }
    using namespace request_column;
    const auto add_to = [&](const std::string& name) { groups_[name.empty() ? "(none)" : name].add(row); };
    switch (by_) {
        case GroupBy::all:
            return add_to("all");
        case GroupBy::route:
            return add_to(pool.text(row[route]));
        case GroupBy::category:
            return add_to(pool.text(row[category]));
        case GroupBy::group:
            return add_to(pool.text(row[group]));
        case GroupBy::minute: {
            // The minute in which the request arrived.
            std::int64_t arrived_at = arrival_time(row);
            arrived_at = wrapping_subtract(arrived_at, ((arrived_at % 60000000) + 60000000) % 60000000);
            return add_to(time_text(arrived_at).substr(0, 16) + "Z");
        }
        case GroupBy::gateway:
            return add_to(pool.text(row[origin]).substr(0, pool.text(row[origin]).rfind('.')));
        case GroupBy::server:
            // Counted for both servers, as either may have caused the result.
            if (row[prefill_server] != 0) add_to(pool.text(row[prefill_server]));
            if (row[decode_server] != 0 && row[decode_server] != row[prefill_server])
                add_to(pool.text(row[decode_server]));
            if (row[prefill_server] == 0 && row[decode_server] == 0) add_to("");
            return;
    }
}

void Summary::merge(const Summary& other) {
    for (const auto& [name, totals] : other.groups_) groups_[name].merge(totals);
    decisions_ += other.decisions_;
    events_ += other.events_;
    dropped_ += other.dropped_;
}

std::string Summary::text() const {
    const auto width = static_cast<int>(name_width(groups_));
    std::string out = formatted("%-*s", width, kGroupByNames[static_cast<std::size_t>(by_)]);
    for (const Field& f : kFields) out += formatted(" %*s", width_of(f), f.name);
    out += "\n";
    for (const auto& [name, totals] : groups_) {
        out += formatted("%-*.60s", width, name.c_str());
        for (const Field& f : kFields) {
            char value[64];
            std::snprintf(value, sizeof value, f.pattern, f.of(totals));
            out += formatted(" %*s", width_of(f), value);
        }
        out += "\n";
    }
    out += formatted("%llu decisions, %llu events", static_cast<unsigned long long>(decisions_),
                     static_cast<unsigned long long>(events_));
    if (dropped_ > 0)
        out += formatted("; %llu rows were dropped while the trace was written",
                         static_cast<unsigned long long>(dropped_));
    return out + "\n";
}

std::string Summary::csv() const {
    std::string out = kGroupByNames[static_cast<std::size_t>(by_)];
    for (const Field& f : kFields) out += std::string(",") + f.name;
    out += "\n";
    for (const auto& [name, totals] : groups_) {
        // RFC 4180: a field that contains a comma, a quote or a newline is quoted.
        if (name.find_first_of(",\"\r\n") == std::string::npos) {
            out += name;
        } else {
            out += '"';
            for (const char c : name) out += c == '"' ? std::string("\"\"") : std::string(1, c);
            out += '"';
        }
        for (const Field& f : kFields) out += formatted(",%.10g", f.of(totals));
        out += "\n";
    }
    return out;
}

std::string Summary::json() const {
    nlohmann::json groups = nlohmann::json::array();
    for (const auto& [name, totals] : groups_) {
        nlohmann::json row = {{kGroupByNames[static_cast<std::size_t>(by_)], name}};
        for (const Field& f : kFields) row[f.name] = f.of(totals);
        groups.push_back(std::move(row));
    }
    const nlohmann::json all = {{"by", kGroupByNames[static_cast<std::size_t>(by_)]},
                                {"groups", groups},
                                {"decisions", decisions_},
                                {"events", events_},
                                {"dropped", dropped_}};
    return all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string difference(const Summary& before, const Summary& after) {
    std::set<std::string> names;
    for (const auto& [name, totals] : before.groups()) names.insert(name);
    for (const auto& [name, totals] : after.groups()) names.insert(name);
    std::size_t width = std::max(name_width(before.groups()), name_width(after.groups()));
    std::string out = formatted("%-*s %-14s %14s %14s %10s\n", static_cast<int>(width),
                                kGroupByNames[static_cast<std::size_t>(before.by())], "figure", "before",
                                "after", "change");
    const GroupTotals nothing;
    for (const std::string& name : names) {
        const auto b = before.groups().find(name), a = after.groups().find(name);
        const GroupTotals& was = b == before.groups().end() ? nothing : b->second;
        const GroupTotals& is = a == after.groups().end() ? nothing : a->second;
        for (const Field& f : kFields) {
            const double x = f.of(was), y = f.of(is);
            if (x == y) continue;
            out += formatted("%-*.60s %-14s %14.10g %14.10g ", static_cast<int>(width), name.c_str(), f.name,
                             x, y);
            out += x == 0 ? formatted("%10s\n", "new") : formatted("%+9.1f%%\n", 100 * (y / x - 1));
        }
    }
    return out;
}

}  // namespace copperfront::trace
