// Arrival times of the bytes of a connection, from which the waiting time of a request pipelined behind
// another one is computed. Times are kept for bytes that are not consumed yet, in a bounded number of marks.
// Beyond that bound later bytes share the time of the last mark, so a request never seems younger than it is.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/units.h"

namespace copperfront {

class ArrivalTimes {
  public:
    // Records that all bytes up to this offset, counted from the start of the connection, have arrived by
    // now.
    void note(std::uint64_t up_to, Instant now) {
        if (marks_.size() >= kMaxMarks) {
            marks_.back().up_to = up_to;
            return;
        }
        marks_.push_back({up_to, now});
    }
    // Returns the highest offset noted, or 0 if there is none.
    std::uint64_t highest_noted() const { return marks_.empty() ? last_noted_ : marks_.back().up_to; }
    // Returns when all bytes before `end_offset` had arrived. Discards the marks up to and including it.
    Instant take_arrival_time(std::uint64_t end_offset) {
        if (marks_.empty()) return last_arrival_;
        const auto passed = std::find_if(marks_.begin(), marks_.end() - 1,
                                         [end_offset](const Mark& mark) { return mark.up_to >= end_offset; });
        marks_.erase(marks_.begin(), passed);
        last_arrival_ = marks_.front().arrived_at;
        if (marks_.front().up_to <= end_offset) {
            last_noted_ = marks_.front().up_to;
            marks_.erase(marks_.begin());
        }
        return last_arrival_;
    }

  private:
    static constexpr std::size_t kMaxMarks = 64;
    struct Mark {
        std::uint64_t up_to = 0;
        Instant arrived_at;
    };
    std::vector<Mark> marks_;
    std::uint64_t last_noted_ = 0;
    Instant last_arrival_;
};

}  // namespace copperfront
