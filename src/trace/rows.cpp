#include "trace/rows.h"

namespace copperfront::trace {
namespace {

constexpr Column kQueries[] = {
    {"at", Encoding::delta, 1, "when the query ended, us since 1970"},
    {"origin", Encoding::name, 1, "the gateway's name and life"},
    {"query", Encoding::delta, 1, "its number at that gateway"},
    {"took", Encoding::number, 1, "us from its coming to its end"},
    {"route", Encoding::name, 1, "the route that it took"},
    {"category", Encoding::name, 1, ""},
    {"group", Encoding::name, 1, "its client group"},
    {"session", Encoding::hash, 1, "a mark of the session"},
    {"beginning", Encoding::hash, 1, "a mark of the opening text that it shares"},
    {"prompt_tokens", Encoding::number, 1, "tokens"},
    {"most_tokens", Encoding::number, 1, "upper limit of the answer, tokens"},
    {"budget", Encoding::number, 1, "us that its client waits for a first token"},
    {"outcome", Encoding::number, 1, "0 settled, 1 declined, 2 given up, 3 left, 4 over a limit"},
    {"reason", Encoding::name, 1, "of a decline or of giving up"},
    {"first_token", Encoding::number, 1, "us from its coming to its first token; -1: none"},
    {"answer_tokens", Encoding::number, 1, "tokens that its caller got"},
    {"reads", Encoding::number, 1, "launches to readers"},
    {"writes", Encoding::number, 1, "launches to writers"},
    {"reader", Encoding::name, 1, "the last that read it"},
    {"writer", Encoding::name, 1, "the last that it was sent to"},
    {"read_tokens", Encoding::number, 1, "prompt tokens of all reads and of writes without a state"},
    {"held", Encoding::number, 2, "us from its coming to its first launch; -1: none was made"},
    {"copies", Encoding::number, 2, "second copies made of it"},
    {"generation", Encoding::number, 2, "of the terms that it came with"},
    {"latency_goal", Encoding::number, 2, "us, of its prompt's length"},
};
constexpr Column kDecisions[] = {
    {"at", Encoding::delta, 2, "us since 1970"},
    {"origin", Encoding::name, 2, "the gateway's name and life"},
    {"query", Encoding::delta, 2, "its number at that gateway"},
    {"what", Encoding::number, 2,
     "0 held, 1 read, 2 write, 3 a launch is over, 4 first token, 5 second copy, 6 called off, 7 declined, 8 "
     "given up, "
     "9 over a limit, 10 released, 11 settled"},
    {"server", Encoding::name, 2, "the one that was taken, or that it is about"},
    {"launch", Encoding::number, 2, "its number at that gateway; 0: none"},
    {"why", Encoding::name, 2, "the reason, where there is one to tell"},
    {"ending", Encoding::number, 2,
     "of a launch: 0 settled, 1 error, 2 full, 3 late, 4 unreachable, 5 broken, 6 retracted, 7 unsent, 8 "
     "read"},
    {"took", Encoding::number, 2, "us, of a launch that is over or of a first token since its launch"},
    {"limit", Encoding::number, 2, "us that the launch was given"},
    {"seen", Encoding::names, 2, "the servers that were compared, the best first, eight at most"},
    {"loads", Encoding::numbers, 2,
     "what each showed: of readers tokens that wait to be read, of writers tokens of room by their reports; "
     "without "
     "reports 0 less what this gateway's own streams hold"},
    {"of", Encoding::number, 2, "how many could have been taken"},
};
constexpr Column kEvents[] = {
    {"at", Encoding::delta, 2, "us since 1970"},
    {"origin", Encoding::name, 2, "the gateway's name and life"},
    {"what", Encoding::number, 2,
     "0 started, 1 stopped, 2 list, 3 shut out, 4 let in, 5 terms, 6 rows dropped, 7 probe lost, 8 note"},
    {"server", Encoding::name, 2, ""},
    {"text", Encoding::name, 2, ""},
    {"number", Encoding::number, 2, "of rows, of servers or of the generation"},
};
static_assert(std::size(kQueries) <= kMaxColumns);

}  // namespace

std::span<const Column> columns_of(Table table) {
    switch (table) {
        case Table::requests:
            return kQueries;
        case Table::decisions:
            return kDecisions;
        case Table::events:
            return kEvents;
    }
    return {};
}

const char* name_of(Table table) {
    constexpr const char* kNames[] = {"", "queries", "decisions", "events"};
    return kNames[static_cast<std::size_t>(table)];
}

const char* text_of(RequestOutcome fate) {
    constexpr const char* kTexts[] = {"settled", "declined", "given up", "left", "over a limit"};
    const auto n = static_cast<std::size_t>(fate);
    return n < std::size(kTexts) ? kTexts[n] : "unknown";
}
const char* text_of(DecisionKind kind) {
    constexpr const char* kTexts[] = {"held",        "read",         "write",      "launch over",
                                      "first token", "second copy",  "called off", "declined",
                                      "given up",    "over a limit", "released",   "settled"};
    const auto n = static_cast<std::size_t>(kind);
    return n < std::size(kTexts) ? kTexts[n] : "unknown";
}
const char* text_of(EventKind kind) {
    constexpr const char* kTexts[] = {"started", "stopped", "list",       "shut out", "let in",
                                      "terms",   "dropped", "probe lost", "note"};
    const auto n = static_cast<std::size_t>(kind);
    return n < std::size(kTexts) ? kTexts[n] : "unknown";
}

Batch::Batch(Table table)
    : table_(table), columns_(columns_of(table)), values_(columns_.size()), list_ends_(columns_.size()) {}

std::size_t Batch::list_index(Table table, std::size_t column) {
    std::size_t index = 0;
    const auto columns = columns_of(table);
    for (std::size_t c = 0; c < column; ++c) index += is_list(columns[c].encoding);
    return index;
}

void Batch::add(const Row& row) {
    std::size_t list = 0;
    for (std::size_t c = 0; c < columns_.size(); ++c) {
        if (!is_list(columns_[c].encoding)) {
            values_[c].push_back(row.values[c]);
            continue;
        }
        const auto& all = row.lists[list++];
        values_[c].insert(values_[c].end(), all.begin(), all.end());
        list_ends_[c].push_back(static_cast<std::uint32_t>(values_[c].size()));
    }
}

Row Batch::row(std::size_t n) const {
    Row row(table_);
    const auto columns = columns_of(table_);
    std::size_t list = 0;
    for (std::size_t c = 0; c < columns.size(); ++c) {
        if (!is_list(columns[c].encoding)) {
            row.values[c] = values_[c][n];
            continue;
        }
        const std::uint32_t from = n == 0 ? 0 : list_ends_[c][n - 1];
        row.lists[list++].assign(values_[c].begin() + from, values_[c].begin() + list_ends_[c][n]);
    }
    return row;
}

void Batch::clear() {
    for (auto& v : values_) v.clear();
    for (auto& e : list_ends_) e.clear();
}

}  // namespace copperfront::trace
