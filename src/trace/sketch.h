// Quantile sketch with a bounded relative error, using buckets that grow by a constant factor, as in DDSketch
// (Masson, Rim, Lee: VLDB 2019). Sketches are merged without loss: the result equals the sketch of all
// samples together. Free of I/O.
#pragma once

#include <cstdint>
#include <map>

namespace copperfront::trace {

class Sketch {
  public:
    // Every quantile is within 1% of a sample of that rank.
    static constexpr double kRelativeError = 0.01;

    // Samples below 1e-9 count as 0.
    void add(double sample, std::uint64_t times = 1);
    void merge(const Sketch& other);
    // Returns 0 if there are no samples. `q` ranges from 0 to 1.
    double quantile(double q) const;
    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }
    double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
    std::size_t buckets() const { return buckets_.size(); }

  private:
    // Buckets by the logarithm of their samples: between 1e-9 and 1e18 there are at most 3,108.
    std::map<std::int32_t, std::uint64_t> buckets_;
    std::uint64_t zeros_ = 0, count_ = 0;
    double sum_ = 0, min_ = 0, max_ = 0;
};

}  // namespace copperfront::trace
