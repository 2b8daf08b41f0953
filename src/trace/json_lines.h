// Rows as JSON lines and back. Columns that are 0 or empty are left out, and come back as that.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "trace/rows.h"

namespace copperfront::trace {

class JsonLines {
  public:
    explicit JsonLines(Pool& pool) : pool_(pool) {}
    // Without a newline.
    void append(const Row& row, std::string& out);
    // False: `why` tells what is wrong and what is expected.
    bool read(std::string_view line, Row& row, std::string& why);

  private:
    const std::string& quoted(std::int64_t code);
    Pool& pool_;
    std::vector<std::string> quoted_;  // by code; empty: not made yet
};

}  // namespace copperfront::trace
