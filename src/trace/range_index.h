// Which blocks may hold something between two values: blocks have ranges that overlap a little, as clocks of
// rows do. Sorted by their beginnings with the greatest end so far, so that a look-up is a binary search and
// a walk over what overlaps, not over all. Against a look at every block: docs/traces.md. Free of I/O.
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
    // Once, after the last add.
    void build() {
        std::stable_sort(ranges_.begin(), ranges_.end(),
                         [](const Range& a, const Range& b) { return a.first < b.first; });
        std::int64_t most = INT64_MIN;
        for (Range& r : ranges_) r.most = most = std::max(most, r.last);
    }
    // Calls `found(block)` for each whose range meets [first, last], by its beginning.
    template <class Found>
    void find(std::int64_t first, std::int64_t last, Found found) const {
        // `most` only grows, so what ends too early all lies before this place.
        auto it = std::partition_point(ranges_.begin(), ranges_.end(),
                                       [&](const Range& r) { return r.most < first; });
        for (; it != ranges_.end() && it->first <= last; ++it)
            if (it->last >= first) found(it->block);
    }
    // The same by looking at every range: what it is measured and tested against.
    template <class Found>
    void scan(std::int64_t first, std::int64_t last, Found found) const {
        for (const Range& r : ranges_)
            if (r.first <= last && r.last >= first) found(r.block);
    }
    std::size_t size() const { return ranges_.size(); }

  private:
    struct Range {
        std::int64_t first, last, most;
        std::uint32_t block;
    };
    std::vector<Range> ranges_;
};

}  // namespace copperfront::trace
