// Rows of files in the order of time, in memory that is bounded by how far blocks overlap, not by how long
// the files are.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "trace/file.h"

namespace copperfront::trace {

// Which rows are wanted. Empty texts: any.
struct Wanted {
    std::int64_t from = INT64_MIN, until = INT64_MAX;  // us since 1970, both included
    std::string route, group, server, origin;
    // Of route and group only queries tell; what else belongs to those queries is told by a look at them
    // first, which `cut` does. Of rows without the column, none fits.
    bool fits(const Row& row, const Pool& pool) const;
    bool by_query() const { return !route.empty() || !group.empty(); }
};

// One file's rows by time; rows of one time in the order of the file, queries after their decisions.
class TimeOrder {
  public:
    // `offset` is added to every time: what the clock of this file's gateway was behind by, in us.
    TimeOrder(const TraceFile& file, Pool& pool, std::int64_t offset = 0, std::int64_t from = INT64_MIN,
              std::int64_t until = INT64_MAX);
    // False: there are no more. Blocks that cannot be read are told in `troubles` and passed over.
    bool next(Row& row);
    const std::vector<std::string>& troubles() const { return troubles_; }
    std::size_t blocks_held() const { return held_.size(); }

  private:
    struct Held {
        Batch batch;
        std::vector<std::uint32_t> order;
        std::size_t at = 0;
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
    Pool& pool_;
    std::int64_t offset_, from_, until_;
    std::vector<std::uint32_t> blocks_;  // by their first time
    std::size_t next_block_ = 0;
    std::vector<std::unique_ptr<Held>> slots_;
    std::vector<std::uint32_t> free_;
    std::priority_queue<std::pair<std::int64_t, std::uint32_t>,
                        std::vector<std::pair<std::int64_t, std::uint32_t>>, Later>
        held_;  // next time, slot
    std::vector<std::string> troubles_;
};

// Many files by time, with what stands in several of them once.
class Merger {
  public:
    struct Input {
        const TraceFile* file = nullptr;
        std::int64_t offset = 0;
    };
    Merger(const std::vector<Input>& inputs, Pool& pool, std::int64_t from = INT64_MIN,
           std::int64_t until = INT64_MAX);
    bool next(Row& row);
    std::uint64_t duplicates() const { return duplicates_; }
    std::vector<std::string> troubles() const;
    std::size_t blocks_held() const;

  private:
    struct Head {
        Row row;
        bool there = false;
    };
    std::vector<std::unique_ptr<TimeOrder>> orders_;
    std::vector<Head> heads_;
    // Rows of the present time: how often each was given out, and how often each file has had it.
    struct Same {
        Row row;
        std::uint32_t given = 0;
        std::vector<std::uint32_t> by_file;
    };
    std::vector<Same> same_time_;
    std::uint64_t duplicates_ = 0;
};

}  // namespace copperfront::trace
