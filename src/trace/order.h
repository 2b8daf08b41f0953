// Reads rows of files in order of time. Memory is bounded by how far blocks overlap, not by the length of the
// files.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "trace/file.h"

namespace copperfront::trace {

// Selects rows. Empty strings match any value.
struct RowFilter {
    std::int64_t from = INT64_MIN, until = INT64_MAX;  // us since 1970, both inclusive
    std::string route, group, server, origin;
    // Only rows of the table of requests have route and group; `cut` finds the matching requests first and
    // then selects all rows that belong to them. Here, rows without the column do not match.
    bool matches(const Row& row, const StringTable& pool) const;
    bool selects_by_request() const { return !route.empty() || !group.empty(); }
};

// Reads one file's rows by time; rows of equal time come in file order, with requests after their decisions.
class TimeOrderedReader {
  public:
    // `offset` is added to every time, in us: by how much the clock of this file's gateway was behind.
    TimeOrderedReader(const TraceFile& file, StringTable& pool, std::int64_t offset = 0,
                      std::int64_t from = INT64_MIN, std::int64_t until = INT64_MAX);
    // Returns false if there are no more rows. Blocks that cannot be read are reported in `errors` and
    // skipped.
    bool next(Row& row);
    const std::vector<std::string>& errors() const { return errors_; }
    std::size_t loaded_blocks() const { return next_rows_.size(); }

  private:
    struct LoadedBlock {
        Batch batch;
        std::vector<std::uint32_t> order;
        std::size_t next_row = 0;
        std::uint32_t block;
    };
    struct Later {
        bool operator()(const std::pair<std::int64_t, std::uint32_t>& a,
                        const std::pair<std::int64_t, std::uint32_t>& b) const {
            return a > b;
        }
    };
    void load_until(std::int64_t at);

    const TraceFile& file_;
    StringTable& pool_;
    std::int64_t offset_, from_, until_;
    std::vector<std::uint32_t> blocks_;  // by their first time
    std::size_t next_block_ = 0;
    std::vector<std::unique_ptr<LoadedBlock>> slots_;
    std::vector<std::uint32_t> free_slots_;
    std::priority_queue<std::pair<std::int64_t, std::uint32_t>,
                        std::vector<std::pair<std::int64_t, std::uint32_t>>, Later>
        next_rows_;  // time of the next row, slot
    std::vector<std::string> errors_;
};

// Merges many files by time; a row that several files hold is returned once.
class Merger {
  public:
    struct Input {
        const TraceFile* file = nullptr;
        std::int64_t offset = 0;
    };
    Merger(const std::vector<Input>& inputs, StringTable& pool, std::int64_t from = INT64_MIN,
           std::int64_t until = INT64_MAX);
    bool next(Row& row);
    std::uint64_t duplicates() const { return duplicates_; }
    std::vector<std::string> errors() const;
    std::size_t loaded_blocks() const;

  private:
    struct InputRow {
        Row row;
        bool has_row = false;
    };
    std::vector<std::unique_ptr<TimeOrderedReader>> readers_;
    std::vector<InputRow> input_rows_;
    // Rows of the current time: how often each was returned, and how often each file contained it.
    struct EqualRows {
        Row row;
        std::uint32_t returned = 0;
        std::vector<std::uint32_t> seen_in_file;
    };
    std::vector<EqualRows> same_time_rows_;
    std::uint64_t duplicates_ = 0;
};

}  // namespace copperfront::trace
