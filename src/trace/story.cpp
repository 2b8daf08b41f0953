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

std::string describe_candidates(const Row& d, const Pool& pool, bool is_prefill) {
    using namespace decision_column;
    const auto& servers = d.lists[0];
    const auto& load_values = d.lists[1];
    if (servers.empty()) return {};
    std::string out = "; of " + std::to_string(d[of]) + " that could be taken";
    for (std::size_t n = 0; n < servers.size(); ++n) {
        out += n == 0 ? ": " : ", ";
        out += pool.text(servers[n]);
        if (n < load_values.size())
            out += " " + (is_prefill ? std::to_string(load_values[n]) + " tokens queued"
                          : load_values[n] > 0
                              ? std::to_string(load_values[n]) + " tokens of room"
                              : std::to_string(wrapping_subtract(0, load_values[n])) + " tokens of ours");
    }
    if (d[of] > static_cast<std::int64_t>(servers.size())) out += ", ...";
    return out;
}

std::string describe_decision(const Row& d, const Pool& pool) {
    using namespace decision_column;
    const std::string& server_name = pool.text(d[server]);
    const std::string& reason = pool.text(d[why]);
    const auto decision_kind = static_cast<Deed>(d[what]);
    switch (decision_kind) {
        case Deed::held:
            return with_reason("held", reason);
        case Deed::read:
        case Deed::write: {
            const bool is_prefill = decision_kind == Deed::read;
            return with_reason(std::string(is_prefill ? "read" : "write") + " at " + server_name +
                                   ", launch " + std::to_string(d[attempt]) + ", given " + ms(d[limit]),
                               reason) +
                   describe_candidates(d, pool, is_prefill);
        }
        case Deed::over:
            return with_reason("launch " + std::to_string(d[attempt]) + " at " + server_name +
                                   " is over after " + ms(d[took]) + ", " + ending_text(d[ending]),
                               reason);
        case Deed::first_token:
            return "first token from " + server_name + ", " + ms(d[took]) + " after launch " +
                   std::to_string(d[attempt]);
        case Deed::copy:
            return with_reason("a second copy goes out", reason);
        case Deed::called_off:
            return with_reason(
                "launch " + std::to_string(d[attempt]) + " at " + server_name + " is called off", reason);
        case Deed::released:
            return "what launch " + std::to_string(d[attempt]) + " left at " + server_name + " is let go";
        case Deed::declined:
        case Deed::given_up:
        case Deed::limited:
        case Deed::settled:
            return with_reason(text_of(decision_kind), reason);
    }
    return "deed " + std::to_string(d[what]) + " of a later version";
}

std::string describe_event(const Row& e, const Pool& pool) {
    using namespace event_column;
    std::string out = text_of(static_cast<Happening>(e[what]));
    if (e[server] != 0) out += ", " + pool.text(e[server]);
    if (e[text] != 0) out += ": " + pool.text(e[text]);
    if (e[number] != 0) out += " (" + std::to_string(e[number]) + ")";
    return out;
}

std::string describe_request(const Row& q, const Pool& pool) {
    using namespace query_column;
    std::string out = with_reason(text_of(static_cast<Fate>(q[outcome])), pool.text(q[reason]));
    out += " after " + ms(q[took]);
    if (q[first_token] >= 0) out += ", first token after " + ms(q[first_token]);
    out += ", " + std::to_string(q[answer_tokens]) + " tokens, " + std::to_string(q[reads]) + " reads and " +
           std::to_string(q[writes]) + " writes";
    if (q[copies] > 0) out += ", " + std::to_string(q[copies]) + " second copies";
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

Found rows_of(const std::vector<const TraceFile*>& files, const RequestName& name, Pool& pool) {
    Found found;
    const auto read = [&](const TraceFile& file, std::uint32_t block, const auto& matches) {
        const BlockInfo& info = file.index().blocks[block];
        Batch batch(info.table);
        std::string why;
        ++found.blocks_read;
        if (!file.read(info, pool, batch, why)) {
            found.troubles.push_back(file.name() + ": " + std::to_string(info.rows) + " rows at byte " +
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
        first = std::min(first, r.table == Table::queries ? arrival_time(r) : r.at());
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
        return a.at() != b.at() ? a.at() < b.at() : (a.table == Table::queries) < (b.table == Table::queries);
    });
    return found;
}

std::string sentence(const Row& row, const Pool& pool) {
    switch (row.table) {
        case Table::queries:
            return describe_request(row, pool);
        case Table::decisions:
            return describe_decision(row, pool);
        case Table::events:
            return describe_event(row, pool);
    }
    return {};
}

std::string story(const std::vector<Row>& rows, const Pool& pool) {
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
            arrived_at = std::min(arrived_at, r.table == Table::queries ? arrival_time(r) : r.at());
            if (r.table == Table::queries) request_row = &r;
        }
        using namespace query_column;
        out += "query " + pool.text(origin) + "." + std::to_string(number) + ", came " +
               time_text(arrived_at) + "\n";
        if (request_row) {
            out += "  " + std::to_string((*request_row)[prompt_tokens]) + " prompt tokens, at most " +
                   std::to_string((*request_row)[most_tokens]) + " to write; category " +
                   pool.text((*request_row)[category]) + ", route " + pool.text((*request_row)[route]);
            if ((*request_row)[group] != 0) out += ", client group " + pool.text((*request_row)[group]);
            if ((*request_row)[session] != 0) out += ", of a session";
            out += "; waits " + ms((*request_row)[budget]) + ", latency goal " +
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
                   std::string(r.table == Table::events ? "(" + sentence(r, pool) + ")" : sentence(r, pool)) +
                   "\n";
        }
    }
    return out;
}

}  // namespace copperfront::trace
