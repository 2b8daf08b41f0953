// Data model of a trace: rows of three tables, stored column by column. The columns of the tables are
// described as data, so that the codec, the tools and the specification (docs/trace-format.md) share one
// definition. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "interning/name_table.h"

namespace copperfront::trace {

constexpr std::uint32_t kOldestVersion = 1,
                        kNewestVersion =
                            2;  // oldest and newest version of the format that is written and read

enum class Table : std::uint8_t { requests = 1, decisions = 2, events = 3 };
inline constexpr std::array kTables{Table::requests, Table::decisions, Table::events};

// Encoding of a column's values, which also determines their type.
enum class Encoding : std::uint8_t {
    number = 1,   // signed
    delta = 2,    // signed, close to the value in the previous row
    name = 3,     // text with few distinct values
    hash = 4,     // 64-bit hash without further meaning, for equality only; 0: none
    numbers = 5,  // a list of signed numbers
    names = 6     // a list of texts
};
constexpr bool is_list(Encoding s) { return s == Encoding::numbers || s == Encoding::names; }
constexpr bool is_name(Encoding s) { return s == Encoding::name || s == Encoding::names; }

struct Column {
    const char* name;
    Encoding encoding;
    std::uint32_t since_version;  // version of the format that introduced it
    const char* description;      // with its unit
};
// Column 0 of every table is its time, column 1 its origin: the name and life of a gateway, such as
// "g1.18f3a".
std::span<const Column> columns_of(Table table);
const char* name_of(Table table);

// One request, recorded at its end. Unknown values are 0; times are in us, since 1970 if they are points in
// time.
namespace request_column {
enum : std::size_t {
    at,
    origin,
    request,
    duration,
    route,
    category,
    group,
    session,
    shared_prefix,
    prompt_tokens,
    max_output_tokens,
    time_budget,
    outcome,
    reason,
    first_token,
    answer_tokens,
    prefills,
    decodes,
    prefill_server,
    decode_server,
    prefill_tokens,
    queue_time,
    hedges,
    terms_generation,
    latency_goal
};
}
enum class RequestOutcome : std::uint8_t { completed, rejected, abandoned, client_left, over_limit };
const char* text_of(RequestOutcome fate);

// One decision about a request, or its result.
namespace decision_column {
enum : std::size_t {
    at,
    origin,
    request,
    kind,
    server,
    attempt,
    why,
    ending,
    duration,
    time_limit,
    candidates,
    candidate_loads,
    candidate_count
};
}
enum class DecisionKind : std::uint8_t {
    queued,
    prefill,
    decode,
    attempt_ended,
    first_token,
    hedge,
    cancelled,
    rejected,
    abandoned,
    over_limit,
    released,
    completed
};
const char* text_of(DecisionKind kind);

// Events that concern no single request.
namespace event_column {
enum : std::size_t { at, origin, kind, server, text, number };
}
enum class EventKind : std::uint8_t {
    started,
    stopped,
    server_list,
    ejected,
    readmitted,
    new_terms,
    rows_dropped,
    probe_lost,
    note
};
const char* text_of(EventKind kind);

constexpr std::size_t kMaxColumns = 25;

// One row in transit between tables. Names are codes of the string table that goes with it.
struct Row {
    Table table = Table::requests;
    std::array<std::int64_t, kMaxColumns> values{};
    // Values of the list columns, in column order.
    std::array<std::vector<std::int64_t>, 2> lists;

    explicit Row(Table t = Table::requests) : table(t) {}
    std::int64_t& operator[](std::size_t column) { return values[column]; }
    std::int64_t operator[](std::size_t column) const { return values[column]; }
    std::int64_t at() const { return values[0]; }
    bool operator==(const Row&) const = default;
};

// Difference and sum of values from untrusted files: they wrap around instead of being undefined.
inline std::int64_t wrapping_subtract(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) - static_cast<std::uint64_t>(b));
}
inline std::int64_t wrapping_add(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) + static_cast<std::uint64_t>(b));
}
// Arrival time of a request, from its row.
inline std::int64_t arrival_time(const Row& request) {
    return wrapping_subtract(request[request_column::at], request[request_column::duration]);
}

// Interned texts, by code; code 0 is the empty text.
class StringTable {
  public:
    StringTable() { names_.intern(""); }
    std::int64_t code(const std::string& text) { return names_.intern(text); }
    const std::string& text(std::int64_t code) const { return names_.name(static_cast<std::uint32_t>(code)); }
    std::size_t size() const { return names_.size(); }

  private:
    NameTable names_;
};

// Rows of one table, stored column by column.
class Batch {
  public:
    explicit Batch(Table table);
    Table table() const { return table_; }
    std::size_t rows() const { return values_[0].size(); }
    void add(const Row& row);
    Row row(std::size_t n) const;
    std::int64_t at(std::size_t n) const { return values_[0][n]; }
    std::int64_t value(std::size_t n, std::size_t column) const { return values_[column][n]; }
    void clear();

    // For the codec. In a list column, `values` holds the concatenated lists and `list_ends` the end of each.
    std::vector<std::int64_t>& values(std::size_t column) { return values_[column]; }
    const std::vector<std::int64_t>& values(std::size_t column) const { return values_[column]; }
    std::vector<std::uint32_t>& list_ends(std::size_t column) { return list_ends_[column]; }
    const std::vector<std::uint32_t>& list_ends(std::size_t column) const { return list_ends_[column]; }
    // Index into a row's `lists` of a list column.
    static std::size_t list_index(Table table, std::size_t column);

  private:
    Table table_;
    std::span<const Column> columns_;
    std::vector<std::vector<std::int64_t>> values_;
    std::vector<std::vector<std::uint32_t>> list_ends_;
};

}  // namespace copperfront::trace
