#include "trace/sketch.h"

#include <algorithm>
#include <cmath>

namespace copperfront::trace {
namespace {

constexpr double kMinSample = 1e-9, kMaxSample = 1e18;
const double kGrowth = std::log((1 + Sketch::kRelativeError) / (1 - Sketch::kRelativeError));

}  // namespace

void Sketch::add(double sample, std::uint64_t times) {
    if (times == 0 || std::isnan(sample)) return;
    sample = std::clamp(sample, 0.0, kMaxSample);
    min_ = count_ == 0 ? sample : std::min(min_, sample);
    max_ = std::max(max_, sample);
    count_ += times;
    sum_ += sample * static_cast<double>(times);
    if (sample < kMinSample)
        zeros_ += times;
    else
        buckets_[static_cast<std::int32_t>(std::ceil(std::log(sample) / kGrowth))] += times;
}

void Sketch::merge(const Sketch& other) {
    if (other.count_ == 0) return;
    min_ = count_ == 0 ? other.min_ : std::min(min_, other.min_);
    max_ = std::max(max_, other.max_);
    count_ += other.count_;
    zeros_ += other.zeros_;
    sum_ += other.sum_;
    for (const auto& [bucket, times] : other.buckets_) buckets_[bucket] += times;
}

double Sketch::quantile(double q) const {
    if (count_ == 0) return 0;
    const auto rank = static_cast<std::uint64_t>(std::clamp(q, 0.0, 1.0) * static_cast<double>(count_ - 1));
    std::uint64_t seen = zeros_;
    if (rank < seen) return 0;
    for (const auto& [bucket, times] : buckets_) {
        seen += times;
        // The midpoint of the bucket with regard to the relative error, limited to the range of the samples.
        if (rank < seen) return std::clamp(std::exp(bucket * kGrowth) * (1 - kRelativeError), min_, max_);
    }
    return max_;
}

}  // namespace copperfront::trace
