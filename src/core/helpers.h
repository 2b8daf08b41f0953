// Arithmetic and containers that the router uses; nothing here takes decisions.
#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>

namespace copperfront {

// Exponentially weighted average of samples, with their mean deviation. Sample n weighs at least 1/n, so that
// the average starts as the plain mean; `min_weight` is the weight of samples from then on.
struct ExponentialAverage {
    double mean = 0, deviation = 0;
    std::uint64_t samples = 0;

    void add_sample(double sample, double min_weight) {
        ++samples;
        const double weight = std::max(min_weight, 1.0 / static_cast<double>(samples));
        const double error = std::abs(sample - mean);
        mean += weight * (sample - mean);
        deviation += weight * ((samples == 1 ? sample / 2 : error) - deviation);
    }
};

// Spreads the bits of a hash evenly (finalizer of splitmix64).
inline std::uint64_t mix_bits(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Maps 64 random bits to [0, 1).
inline double unit_interval(std::uint64_t bits) {
    return static_cast<double>(bits >> 11) / 9007199254740992.0;
}

// Exponential variate with rate `weight`, from a uniform one in [0, 1). Among several, each is the lowest
// with a probability proportional to its weight, as in weighted rendezvous hashing.
inline double weighted_score(double random, double weight) { return -std::log(1 - random) / weight; }

// Cache that keeps the newest entries in two generations of bounded size: a full generation replaces the
// previous one.
template <class Value>
class GenerationalCache {
  public:
    explicit GenerationalCache(std::size_t capacity) : capacity_(capacity) {}
    void put(std::uint64_t key, const Value& value) {
        if (current_.size() >= capacity_) {
            previous_ = std::move(current_);
            current_ = {};
        }
        current_[key] = value;
    }
    const Value* find(std::uint64_t key) const {
        if (const auto it = current_.find(key); it != current_.end()) return &it->second;
        if (const auto it = previous_.find(key); it != previous_.end()) return &it->second;
        return nullptr;
    }

  private:
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Value> current_, previous_;
};

// A note from one gateway to the others: a letter for its type, the last five hexadecimal digits of a
// server's name hash, and a decimal value. It is kept to a few bytes, as each byte is charged. 'w': stream
// tokens sent to the server, in units of kTokensPerNoteUnit. 'u': the server leaves category `value`
// unanswered. 'a': it answers that category again.
struct PeerNote {
    char type = 0;
    std::uint32_t server_hash = 0, value = 0;

    static constexpr double kMaxValue = 99'999'999;
    static std::uint32_t hash_suffix(std::uint64_t server_hash) {
        return static_cast<std::uint32_t>(server_hash & 0xfffff);
    }
    static PeerNote make(char type, std::uint64_t server_hash, double value) {
        return {type, hash_suffix(server_hash),
                static_cast<std::uint32_t>(std::clamp(value, 0.0, kMaxValue))};
    }
    std::string text() const {
        char out[32];
        std::snprintf(out, sizeof out, "%c%05x%u", type, server_hash, value);
        return out;
    }
    // Returns false if the text is no valid note.
    static bool parse(std::string_view text, PeerNote& note) {
        if (text.size() < 7) return false;
        const char *const middle = text.data() + 6, *const end = text.data() + text.size();
        note.type = text[0];
        const auto hash_end = std::from_chars(text.data() + 1, middle, note.server_hash, 16);
        const auto value_end = std::from_chars(middle, end, note.value);
        return hash_end.ec == std::errc{} && hash_end.ptr == middle && value_end.ec == std::errc{} &&
               value_end.ptr == end && note.value <= static_cast<std::uint32_t>(kMaxValue);
    }
};

}  // namespace copperfront
