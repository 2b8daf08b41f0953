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

struct RequestRows {
    std::vector<Row> rows;  // by time
    std::vector<std::string> errors;
    std::size_t blocks_read = 0;
};
// Returns all rows of one request, and the events during its lifetime that concern the servers that it used,
// as seen by its gateway.
RequestRows find_request(const std::vector<const TraceFile*>& files, const RequestName& name,
                         StringTable& pool);

// Returns an empty string if the rows contain nothing about a request.
std::string explain_request(const std::vector<Row>& rows, const StringTable& pool);
// Returns one row as a line of text, without its time.
std::string describe(const Row& row, const StringTable& pool);

}  // namespace copperfront::trace
