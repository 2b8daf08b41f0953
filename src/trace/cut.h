// Cuts out of files what is wanted, by time alone or with the whole stories of the queries that fit.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "trace/order.h"

namespace copperfront::trace {

struct CutResult {
    bool well = true;  // false: `put` wanted no more
    std::uint64_t rows = 0, queries = 0;
    std::size_t blocks_read = 0, blocks = 0;
    std::vector<std::string> troubles;
};

// Gives every wanted row to `put`, file by file in the files' order; false from it ends the work. With a
// route, a group or a server, a query that fits brings all of its rows of that time, and events come where
// they are about the server. In memory: one block, and the numbers of the queries that fit. `progress` gets
// bytes read and all.
CutResult cut(const std::vector<const TraceFile*>& files, const Wanted& wanted, Pool& pool,
              const std::function<bool(const Row&)>& put,
              const std::function<void(std::uint64_t, std::uint64_t)>& progress = {});

}  // namespace copperfront::trace
