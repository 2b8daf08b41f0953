// Extracts selected rows from trace files, by time alone or with all rows of the matching requests.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "trace/order.h"

namespace copperfront::trace {

struct CutResult {
    bool complete = true;  // false: `put` stopped the work
    std::uint64_t rows = 0, requests = 0;
    std::size_t blocks_read = 0, blocks = 0;
    std::vector<std::string> errors;
};

// Passes every selected row to `put`, file by file in the order of the files; if it returns false, the work
// stops. With a route, a group or a server in the filter, a matching request brings all of its rows in that
// time range, and events are included if they concern the server. Memory holds one block and the numbers of
// the matching requests. `progress` receives the bytes read so far and the total.
CutResult cut(const std::vector<const TraceFile*>& files, const RowFilter& filter, StringTable& pool,
              const std::function<bool(const Row&)>& put,
              const std::function<void(std::uint64_t, std::uint64_t)>& progress = {});

}  // namespace copperfront::trace
