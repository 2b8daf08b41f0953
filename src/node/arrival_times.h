// When the bytes of a connection came, so that a request which waits behind another one is known to have
// waited. Kept for the bytes that have not been taken yet, in a bounded number of marks: past it neighbours
// share the earlier time, so that a request never seems younger than it is.
#pragma once

#include <cstdint>
#include <deque>

#include "core/units.h"

namespace copperfront {

class ArrivalTimes {
  public:
    // Up to the byte with this number, counted from the first of the connection, all have come by now.
    void note(std::uint64_t up_to, Instant now) {
        if (marks_.size() >= kMostMarks) {
            marks_.back().up_to = up_to;
            return;
        }
        marks_.push_back({up_to, now});
    }
    // The highest number noted; 0: none.
    std::uint64_t newest() const { return marks_.empty() ? newest_ : marks_.back().up_to; }
    // When the byte with this number had come. Marks before it are forgotten.
    Instant arrived(std::uint64_t byte) {
        while (marks_.size() > 1 && marks_.front().up_to < byte) marks_.pop_front();
        if (marks_.empty()) return last_;
        last_ = marks_.front().at;
        if (marks_.front().up_to <= byte) {
            newest_ = marks_.front().up_to;
            marks_.pop_front();
        }
        return last_;
    }

  private:
    static constexpr std::size_t kMostMarks = 64;
    struct Mark {
        std::uint64_t up_to = 0;
        Instant at;
    };
    std::deque<Mark> marks_;
    std::uint64_t newest_ = 0;
    Instant last_;
};

}  // namespace copperfront
