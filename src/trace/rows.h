// What a trace holds: rows of three tables, kept column by column. The tables' columns are data, so that the
// codec, the tools and the specification (docs/trace-format.md) all speak of the same ones. Free of I/O and
// clocks.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "door/names.h"

namespace copperfront::trace {

constexpr std::uint32_t kOldest = 1, kNewest = 2;  // versions of the format that are written and read

enum class Table : std::uint8_t { queries = 1, decisions = 2, events = 3 };
inline constexpr std::array kTables{Table::queries, Table::decisions, Table::events};

// How a column's values are stored, and so what they are.
enum class Store : std::uint8_t {
    number = 1,   // signed
    delta = 2,    // signed, near the one in the row before
    name = 3,     // text, out of few
    mark = 4,     // 64 bits that mean nothing but equality; 0: none
    numbers = 5,  // a list of signed numbers
    names = 6     // a list of texts
};
constexpr bool is_list(Store s) { return s == Store::numbers || s == Store::names; }
constexpr bool is_name(Store s) { return s == Store::name || s == Store::names; }

struct Column {
    const char* name;
    Store store;
    std::uint32_t since;  // the version that brought it
    const char* meaning;  // with its unit
};
// Column 0 of every table is its time and column 1 its origin: a gateway's name and life, as "g1.18f3a".
std::span<const Column> columns_of(Table table);
const char* name_of(Table table);

// One query, at its end. What is not known is 0; times are in us, since 1970 where they are points in time.
namespace query_column {
enum : std::size_t {
    at,
    origin,
    query,
    took,
    route,
    category,
    group,
    session,
    beginning,
    prompt_tokens,
    most_tokens,
    budget,
    outcome,
    reason,
    first_token,
    answer_tokens,
    reads,
    writes,
    reader,
    writer,
    read_tokens,
    held,
    copies,
    generation,
    latency_goal
};
}
enum class Fate : std::uint8_t { settled, declined, given_up, left, over_limit };
const char* text_of(Fate fate);

// One decision, or what became of one.
namespace decision_column {
enum : std::size_t { at, origin, query, what, server, attempt, why, ending, took, limit, seen, loads, of };
}
enum class Deed : std::uint8_t {
    held,
    read,
    write,
    over,
    first_token,
    copy,
    called_off,
    declined,
    given_up,
    limited,
    released,
    settled
};
const char* text_of(Deed deed);

// What concerns no query.
namespace event_column {
enum : std::size_t { at, origin, what, server, text, number };
}
enum class Happening : std::uint8_t {
    started,
    stopped,
    list,
    shut_out,
    let_in,
    terms,
    dropped,
    probe_lost,
    note
};
const char* text_of(Happening what);

constexpr std::size_t kMostColumns = 25;

// One row on its way between tables. Names are codes of the pool that goes with it.
struct Row {
    Table table = Table::queries;
    std::array<std::int64_t, kMostColumns> values{};
    // Of list columns, in their order.
    std::array<std::vector<std::int64_t>, 2> lists;

    explicit Row(Table t = Table::queries) : table(t) {}
    std::int64_t& operator[](std::size_t column) { return values[column]; }
    std::int64_t operator[](std::size_t column) const { return values[column]; }
    std::int64_t at() const { return values[0]; }
    bool operator==(const Row&) const = default;
};

// Differences and sums of what a foreign file may say: they wrap in place of being undefined.
inline std::int64_t minus(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) - static_cast<std::uint64_t>(b));
}
inline std::int64_t plus(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) + static_cast<std::uint64_t>(b));
}
// When a query came, of its row.
inline std::int64_t came_of(const Row& query) {
    return minus(query[query_column::at], query[query_column::took]);
}

// Texts by number; 0 is no text.
class Pool {
  public:
    Pool() { names_.index(""); }
    std::int64_t code(const std::string& text) { return names_.index(text); }
    const std::string& text(std::int64_t code) const { return names_.name(static_cast<std::uint32_t>(code)); }
    std::size_t size() const { return names_.size(); }

  private:
    Names names_;
};

// Rows of one table, column by column.
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

    // For the codec. Of a list column, `values` holds all lists after one another and `ends` where each ends.
    std::vector<std::int64_t>& values(std::size_t column) { return values_[column]; }
    const std::vector<std::int64_t>& values(std::size_t column) const { return values_[column]; }
    std::vector<std::uint32_t>& ends(std::size_t column) { return ends_[column]; }
    const std::vector<std::uint32_t>& ends(std::size_t column) const { return ends_[column]; }
    // Where in a row's `lists` a column's list is.
    static std::size_t list_place(Table table, std::size_t column);

  private:
    Table table_;
    std::span<const Column> columns_;
    std::vector<std::vector<std::int64_t>> values_;
    std::vector<std::vector<std::uint32_t>> ends_;
};

}  // namespace copperfront::trace
