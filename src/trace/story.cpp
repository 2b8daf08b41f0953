#include "trace/story.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>

#include "trace/summary.h"

namespace copperfront::trace {
namespace {

std::string ms(std::int64_t us) {
    char text[40];
    std::snprintf(text, sizeof text, "%.1f ms", static_cast<double>(us) / 1000);
    return text;
}

constexpr const char* kEndingTexts[] = {"settled", "error",     "full",   "late", "unreachable",
                                        "broken",  "retracted", "unsent", "read"};

std::string ending_text(std::int64_t n) {
    return n >= 0 && n < static_cast<std::int64_t>(std::size(kEndingTexts)) ? kEndingTexts[n]
                                                                            : "ended " + std::to_string(n);
}

std::string with_reason(const std::string& what, const std::string& why) {
    return why.empty() ? what : what + ": " + why;
}

std::string describe_candidates(const Row& d, const StringTable& pool, bool is_prefill) {
    using namespace decision_column;
    const auto& servers = d.lists[0];
    const auto& load_values = d.lists[1];
    if (servers.empty()) return {};
    std::string out = "; of " + std::to_string(d[candidate_count]) + " that could be taken";
    for (std::size_t n = 0; n < servers.size(); ++n) {
        out += n == 0 ? ": " : ", ";
        out += pool.text(servers[n]);
        if (n < load_values.size())
            out += " " + (is_prefill ? std::to_string(load_values[n]) + " tokens queued"
                          : load_values[n] > 0
                              ? std::to_string(load_values[n]) + " tokens of room"
                              : std::to_string(wrapping_subtract(0, load_values[n])) + " tokens of ours");
    }
    if (d[candidate_count] > static_cast<std::int64_t>(servers.size())) out += ", ...";
    return out;
}

std::string describe_decision(const Row& d, const StringTable& pool) {
    using namespace decision_column;
    const std::string& server_name = pool.text(d[server]);
    const std::string& reason = pool.text(d[why]);
    const auto decision_kind = static_cast<DecisionKind>(d[kind]);
    switch (decision_kind) {
        case DecisionKind::queued:
            return with_reason("held", reason);
        case DecisionKind::prefill:
        case DecisionKind::decode: {
            const bool is_prefill = decision_kind == DecisionKind::prefill;
            return with_reason(std::string(is_prefill ? "read" : "write") + " at " + server_name +
                                   ", launch " + std::to_string(d[attempt]) + ", given " + ms(d[time_limit]),
                               reason) +
                   describe_candidates(d, pool, is_prefill);
        }
        case DecisionKind::attempt_ended:
            return with_reason("launch " + std::to_string(d[attempt]) + " at " + server_name +
                                   " is over after " + ms(d[duration]) + ", " + ending_text(d[ending]),
                               reason);
        case DecisionKind::first_token:
            return "first token from " + server_name + ", " + ms(d[duration]) + " after launch " +
                   std::to_string(d[attempt]);
        case DecisionKind::hedge:
            return with_reason("a second copy goes out", reason);
        case DecisionKind::cancelled:
            return with_reason(
                "launch " + std::to_string(d[attempt]) + " at " + server_name + " is called off", reason);
        case DecisionKind::released:
            return "what launch " + std::to_string(d[attempt]) + " left at " + server_name + " is let go";
        case DecisionKind::rejected:
        case DecisionKind::abandoned:
        case DecisionKind::over_limit:
        case DecisionKind::completed:
            return with_reason(text_of(decision_kind), reason);
    }
    return "deed " + std::to_string(d[kind]) + " of a later version";
}

std::string describe_event(const Row& e, const StringTable& pool) {
    using namespace event_column;
    std::string out = text_of(static_cast<EventKind>(e[kind]));
    if (e[server] != 0) out += ", " + pool.text(e[server]);
    if (e[text] != 0) out += ": " + pool.text(e[text]);
    if (e[number] != 0) out += " (" + std::to_string(e[number]) + ")";
    return out;
}

std::string describe_request(const Row& q, const StringTable& pool) {
    using namespace request_column;
    std::string out = with_reason(text_of(static_cast<RequestOutcome>(q[outcome])), pool.text(q[reason]));
    out += " after " + ms(q[duration]);
    if (q[first_token] >= 0) out += ", first token after " + ms(q[first_token]);
    out += ", " + std::to_string(q[answer_tokens]) + " tokens, " + std::to_string(q[prefills]) +
           " reads and " + std::to_string(q[decodes]) + " writes";
    if (q[hedges] > 0) out += ", " + std::to_string(q[hedges]) + " second copies";
    return out;
}

}  // namespace

bool parse_request_name(const std::string& text, RequestName& name) {
    const std::size_t dot = text.find_last_of("./");
    name.origin = dot == std::string::npos ? "" : text.substr(0, dot);
    const char* from = text.data() + (dot == std::string::npos ? 0 : dot + 1);
    const auto end = std::from_chars(from, text.data() + text.size(), name.number);
    return end.ec == std::errc() && end.ptr == text.data() + text.size() && name.number > 0;
}

RequestRows find_request(const std::vector<const TraceFile*>& files, const RequestName& name,
                         StringTable& pool) {
    RequestRows found;
    const auto read = [&](const TraceFile& file, std::uint32_t block, const auto& matches) {
        const BlockInfo& info = file.index().blocks[block];
        Batch batch(info.table);
        std::string why;
        ++found.blocks_read;
        if (!file.read(info, pool, batch, why)) {
            found.errors.push_back(file.name() + ": " + std::to_string(info.rows) + " rows at byte " +
                                   std::to_string(info.offset) + " cannot be read: " + why);
            return;
        }
        for (std::size_t n = 0; n < batch.rows(); ++n)
            if (matches(batch, n)) found.rows.push_back(batch.row(n));
    };
    const std::int64_t origin = name.origin.empty() ? 0 : pool.code(name.origin);
    for (const TraceFile* file : files)
        for (const std::uint32_t b : file->blocks_of_request(name.origin, name.number))
            read(*file, b, [&](const Batch& batch, std::size_t n) {
                return batch.value(n, 2) == name.number && (origin == 0 || batch.value(n, 1) == origin);
            });
    if (found.rows.empty()) return found;
    // Events of its servers in the meantime, as far as its gateway noticed them.
    std::int64_t first = INT64_MAX, last = INT64_MIN;
    std::set<std::int64_t> servers;
    std::set<std::int64_t> origins;
    for (const Row& r : found.rows) {
        first = std::min(first, r.table == Table::requests ? arrival_time(r) : r.at());
        last = std::max(last, r.at());
        origins.insert(r[1]);
        if (r.table == Table::decisions) servers.insert(r[decision_column::server]);
    }
    servers.erase(0);
    for (const TraceFile* file : files)
        for (const std::uint32_t b : file->blocks_between(first, last)) {
            if (file->index().blocks[b].table != Table::events) continue;
            read(*file, b, [&](const Batch& batch, std::size_t n) {
                return batch.at(n) >= first && batch.at(n) <= last && origins.count(batch.value(n, 1)) &&
                       (batch.value(n, event_column::server) == 0 ||
                        servers.count(batch.value(n, event_column::server)));
            });
        }
    std::stable_sort(found.rows.begin(), found.rows.end(), [](const Row& a, const Row& b) {
        // The row of a request comes after its other rows of the same time, whichever block holds it.
        return a.at() != b.at() ? a.at() < b.at()
                                : (a.table == Table::requests) < (b.table == Table::requests);
    });
    return found;
}

std::string describe(const Row& row, const StringTable& pool) {
    switch (row.table) {
        case Table::requests:
            return describe_request(row, pool);
        case Table::decisions:
            return describe_decision(row, pool);
        case Table::events:
            return describe_event(row, pool);
    }
    return {};
}

std::string explain_request(const std::vector<Row>& rows, const StringTable& pool) {
    std::string out;
    // A number alone may match requests of several gateways; each gets its own explanation.
    std::vector<std::int64_t> origins;
    for (const Row& r : rows)
        if (r.table != Table::events && std::find(origins.begin(), origins.end(), r[1]) == origins.end())
            origins.push_back(r[1]);
    for (const std::int64_t origin : origins) {
        const Row* request_row = nullptr;
        std::int64_t number = 0, arrived_at = INT64_MAX;
        for (const Row& r : rows) {
            if (r[1] != origin || r.table == Table::events) continue;
            number = r[2];
            arrived_at = std::min(arrived_at, r.table == Table::requests ? arrival_time(r) : r.at());
            if (r.table == Table::requests) request_row = &r;
        }
        using namespace request_column;
        out += "query " + pool.text(origin) + "." + std::to_string(number) + ", came " +
               time_text(arrived_at) + "\n";
        if (request_row) {
            out += "  " + std::to_string((*request_row)[prompt_tokens]) + " prompt tokens, at most " +
                   std::to_string((*request_row)[max_output_tokens]) + " to write; category " +
                   pool.text((*request_row)[category]) + ", route " + pool.text((*request_row)[route]);
            if ((*request_row)[group] != 0) out += ", client group " + pool.text((*request_row)[group]);
            if ((*request_row)[session] != 0) out += ", of a session";
            out += "; waits " + ms((*request_row)[time_budget]) + ", latency goal " +
                   ms((*request_row)[latency_goal]) + "\n";
        } else {
            out += "  its end is not in these files\n";
        }
        for (const Row& r : rows) {
            if (r[1] != origin) continue;
            char at[32];
            std::snprintf(at, sizeof at, "  %+10.1f ms  ",
                          static_cast<double>(wrapping_subtract(r.at(), arrived_at)) / 1000);
            out += at +
                   std::string(r.table == Table::events ? "(" + describe(r, pool) + ")" : describe(r, pool)) +
                   "\n";
        }
    }
    return out;
}

}  // namespace copperfront::trace
