// A trace that tells nothing of its callers: sessions, beginnings, client groups, routes and gateways get
// marks that only the holder of a key could make. What was equal stays equal under one key, and nothing comes
// back without it.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "trace/rows.h"

namespace copperfront::trace {

struct Coarsening {
    std::int64_t time_us = 0;  // times are cut to this; 0: kept
    std::int64_t tokens = 0;   // sizes are rounded up to a multiple of this; 0: kept
};

class Anonymiser {
  public:
    // The key: any bytes but none; HMAC-SHA256 (RFC 2104) makes the marks.
    Anonymiser(std::string key, const Coarsening& coarsening, Pool& pool);
    void change(Row& row);

  private:
    std::uint64_t mark(const char* kind, const std::string& value) const;
    std::int64_t mark_of(const char* kind, std::int64_t value);
    std::int64_t name_of(const char* kind, std::int64_t code);

    std::string key_;
    Coarsening coarsening_;
    Pool& pool_;
    // Of names, which are few. Marks of sessions are made anew each time: there may be millions.
    std::unordered_map<std::string, std::int64_t> names_;
};

}  // namespace copperfront::trace
