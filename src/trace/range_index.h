// Interval index: finds the blocks that may contain a value in a range. The ranges of blocks overlap a
// little, as the clocks of rows do. They are sorted by their start and augmented with the maximum end so far,
// so that a look-up is a binary search and a walk over the overlapping ranges rather than over all. A
// comparison with scanning every block is in docs/traces.md. Free of I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace copperfront::trace {

class RangeIndex {
  public:
    void add(std::int64_t first, std::int64_t last, std::uint32_t block) {
        ranges_.push_back({first, last, last, block});
    }
    // To be called once, after the last add.
    void build() {
        std::stable_sort(ranges_.begin(), ranges_.end(),
                         [](const Range& a, const Range& b) { return a.first < b.first; });
        std::int64_t max_last = INT64_MIN;
        for (Range& r : ranges_) r.max_last = max_last = std::max(max_last, r.last);
    }
    // Calls `callback(block)` for each block whose range intersects [first, last], in order of the start of
    // the ranges.
    template <class Callback>
    void find(std::int64_t first, std::int64_t last, Callback callback) const {
        // `max_last` never decreases, so all ranges that end too early lie before this position.
        auto it = std::partition_point(ranges_.begin(), ranges_.end(),
                                       [&](const Range& r) { return r.max_last < first; });
        for (; it != ranges_.end() && it->first <= last; ++it)
            if (it->last >= first) callback(it->block);
    }
    // The same by a linear scan over all ranges: the reference for tests and benchmarks.
    template <class Callback>
    void scan(std::int64_t first, std::int64_t last, Callback callback) const {
        for (const Range& r : ranges_)
            if (r.first <= last && r.last >= first) callback(r.block);
    }
    std::size_t size() const { return ranges_.size(); }

  private:
    struct Range {
        std::int64_t first, last, max_last;
        std::uint32_t block;
    };
    std::vector<Range> ranges_;
};

}  // namespace copperfront::trace
