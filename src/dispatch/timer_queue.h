// Timers in order of their due time. Timers whose subject has ended are removed from time to time, as a due
// time may be an hour away and every request sets some.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace copperfront {

// `Timer` is ordered by operator>: the smallest is due first.
template <class Timer>
class TimerQueue {
  public:
    bool empty() const { return heap_.empty(); }
    std::size_t size() const { return heap_.size(); }
    const Timer& top() const { return heap_.front(); }
    void push(const Timer& timer) {
        heap_.push_back(timer);
        std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
    }
    void pop() {
        std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
        heap_.pop_back();
        if (heap_.capacity() > 4 * std::max(kLeastRemovalSize, heap_.size())) heap_.shrink_to_fit();
    }
    // Whether the timers have doubled since the last removal, so that another one is worth its cost.
    bool has_grown() const { return heap_.size() >= next_removal_size_; }
    template <class Predicate>
    void remove_if(Predicate is_obsolete) {
        std::erase_if(heap_, is_obsolete);
        std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
        next_removal_size_ = std::max(kLeastRemovalSize, heap_.size() * 2);
        if (heap_.capacity() > 2 * next_removal_size_) heap_.shrink_to_fit();
    }

  private:
    static constexpr std::size_t kLeastRemovalSize = 1024;
    std::vector<Timer> heap_;
    std::size_t next_removal_size_ = kLeastRemovalSize;
};

}  // namespace copperfront
