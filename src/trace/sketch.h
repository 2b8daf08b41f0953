// Quantiles of many samples within a relative error that is told, in buckets that grow by a fixed factor, as
// DDSketch (Masson, Rim, Lee: VLDB 2019) describes them. Two sketches are merged without any loss: the result
// is that of all samples in one. Free of I/O.
#pragma once

#include <cstdint>
#include <map>

namespace copperfront::trace {

class Sketch {
  public:
    // Every quantile is within 1% of a sample of that rank.
    static constexpr double kError = 0.01;

    // Samples under 1e-9 count as 0.
    void add(double sample, std::uint64_t times = 1);
    void merge(const Sketch& other);
    // 0 of no samples. `part` from 0 to 1.
    double quantile(double part) const;
    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }
    double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
    std::size_t buckets() const { return buckets_.size(); }

  private:
    // Buckets by the logarithm of their samples: from 1e-9 to 1e18 there are 3,108 at most.
    std::map<std::int32_t, std::uint64_t> buckets_;
    std::uint64_t zeros_ = 0, count_ = 0;
    double sum_ = 0, least_ = 0, most_ = 0;
};

}  // namespace copperfront::trace
