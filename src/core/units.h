// Points in time and durations as distinct types, so that one cannot be used in place of the other. Both
// count microseconds.
#pragma once

#include <compare>
#include <cstdint>

namespace copperfront {

struct Duration {
    std::int64_t us = 0;
    auto operator<=>(const Duration&) const = default;
    double ms() const { return static_cast<double>(us) / 1000.0; }
};

struct Instant {
    std::int64_t us = 0;
    auto operator<=>(const Instant&) const = default;
};

constexpr Duration operator+(Duration a, Duration b) { return {a.us + b.us}; }
constexpr Duration operator-(Duration a, Duration b) { return {a.us - b.us}; }
constexpr Duration operator*(Duration a, double factor) {
    return {static_cast<std::int64_t>(static_cast<double>(a.us) * factor)};
}
constexpr double operator/(Duration a, Duration b) {
    return static_cast<double>(a.us) / static_cast<double>(b.us);
}
constexpr Instant operator+(Instant a, Duration b) { return {a.us + b.us}; }
constexpr Instant operator-(Instant a, Duration b) { return {a.us - b.us}; }
constexpr Duration operator-(Instant a, Instant b) { return {a.us - b.us}; }

}  // namespace copperfront
