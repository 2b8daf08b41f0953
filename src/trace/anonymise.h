// Anonymises a trace: sessions, shared prefixes, client groups, routes, servers and gateways are replaced by
// keyed hashes (HMAC-SHA256) that only the holder of the key can compute. Equal values stay equal under one
// key, and the original values cannot be recovered without it.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "trace/rows.h"

namespace copperfront::trace {

struct Coarsening {
    std::int64_t time_us = 0;  // times are rounded down to a multiple of this; 0: kept
    std::int64_t tokens = 0;   // token counts are rounded up to a multiple of this; 0: kept
};

class Anonymiser {
  public:
    // `key` is any non-empty string of bytes, used as the key of HMAC-SHA256 (RFC 2104).
    Anonymiser(std::string key, const Coarsening& coarsening, StringTable& pool);
    void anonymise(Row& row);

  private:
    std::uint64_t keyed_hash(const char* kind, const std::string& value) const;
    std::int64_t anonymised_hash(const char* kind, std::int64_t value);
    std::int64_t anonymised_name(const char* kind, std::int64_t code);

    std::string key_;
    Coarsening coarsening_;
    StringTable& pool_;
    // Caches anonymised names, which are few. Hashes of sessions are recomputed each time: there may be
    // millions.
    std::unordered_map<std::string, std::int64_t> names_;
};

}  // namespace copperfront::trace
