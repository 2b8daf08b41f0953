// Converts rows to JSON lines and back. Columns that are 0 or empty are omitted and read back as 0 or empty.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "trace/rows.h"

namespace copperfront::trace {

class JsonLines {
  public:
    explicit JsonLines(StringTable& pool) : pool_(pool) {}
    // Appends the row without a newline.
    void append(const Row& row, std::string& out);
    // Returns false on failure; `why` says what is wrong and what is expected.
    bool read(std::string_view line, Row& row, std::string& why);

  private:
    const std::string& quoted(std::int64_t code);
    StringTable& pool_;
    std::vector<std::string> quoted_;  // by code; empty: not computed yet
};

}  // namespace copperfront::trace
