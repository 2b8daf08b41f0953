// One query's story: each decision about it, what was known when it was taken, and why.
#pragma once

#include <string>
#include <vector>

#include "trace/file.h"

namespace copperfront::trace {

// A query as the program names it everywhere: gateway, life and number, as "g1.18f3a.756"; the number alone
// may do.
struct QueryName {
    std::string origin;  // empty: any
    std::int64_t number = 0;
};
// False: it is no such name.
bool read_query_name(const std::string& text, QueryName& name);

struct Found {
    std::vector<Row> rows;  // by time
    std::vector<std::string> troubles;
    std::size_t blocks_read = 0;
};
// All rows of one query, and what happened meanwhile to the servers that it met at its gateway.
Found rows_of(const std::vector<const TraceFile*>& files, const QueryName& name, Pool& pool);

// Empty: the rows hold nothing of a query.
std::string story(const std::vector<Row>& rows, const Pool& pool);
// One row as a line, its time apart.
std::string sentence(const Row& row, const Pool& pool);

}  // namespace copperfront::trace
