#include "trace/sketch.h"

#include <algorithm>
#include <cmath>

namespace copperfront::trace {
namespace {

constexpr double kLeast = 1e-9, kMost = 1e18;
const double kGrowth = std::log((1 + Sketch::kError) / (1 - Sketch::kError));

}  // namespace

void Sketch::add(double sample, std::uint64_t times) {
    if (times == 0 || std::isnan(sample)) return;
    sample = std::clamp(sample, 0.0, kMost);
    least_ = count_ == 0 ? sample : std::min(least_, sample);
    most_ = std::max(most_, sample);
    count_ += times;
    sum_ += sample * static_cast<double>(times);
    if (sample < kLeast)
        zeros_ += times;
    else
        buckets_[static_cast<std::int32_t>(std::ceil(std::log(sample) / kGrowth))] += times;
}

void Sketch::merge(const Sketch& other) {
    if (other.count_ == 0) return;
    least_ = count_ == 0 ? other.least_ : std::min(least_, other.least_);
    most_ = std::max(most_, other.most_);
    count_ += other.count_;
    zeros_ += other.zeros_;
    sum_ += other.sum_;
    for (const auto& [bucket, times] : other.buckets_) buckets_[bucket] += times;
}

double Sketch::quantile(double part) const {
    if (count_ == 0) return 0;
    const auto rank =
        static_cast<std::uint64_t>(std::clamp(part, 0.0, 1.0) * static_cast<double>(count_ - 1));
    std::uint64_t seen = zeros_;
    if (rank < seen) return 0;
    for (const auto& [bucket, times] : buckets_) {
        seen += times;
        // The middle of a bucket, as far as the error goes; no further out than any sample.
        if (rank < seen) return std::clamp(std::exp(bucket * kGrowth) * (1 - kError), least_, most_);
    }
    return most_;
}

}  // namespace copperfront::trace
