// Explains one request: each decision about it, what was known at that time, and why it was made.
#pragma once

#include <string>
#include <vector>

#include "trace/file.h"

namespace copperfront::trace {

// Identifies a request as the program prints it: gateway, life and number, such as "g1.18f3a.756"; the number
// alone is also accepted.
struct RequestName {
    std::string origin;  // empty: any
    std::int64_t number = 0;
};
// Returns false if the text is no such name.
bool parse_request_name(const std::string& text, RequestName& name);

struct Found {
    std::vector<Row> rows;  // by time
    std::vector<std::string> troubles;
    std::size_t blocks_read = 0;
};
// Returns all rows of one request, and the events during its lifetime that concern the servers that it used,
// as seen by its gateway.
Found rows_of(const std::vector<const TraceFile*>& files, const RequestName& name, Pool& pool);

// Returns an empty string if the rows contain nothing about a request.
std::string story(const std::vector<Row>& rows, const Pool& pool);
// Returns one row as a line of text, without its time.
std::string sentence(const Row& row, const Pool& pool);

}  // namespace copperfront::trace
