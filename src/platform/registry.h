// Discovery data: the list of model servers and its updates. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/rules.h"
#include "platform/json.h"

namespace copperfront::platform {

struct Entry {
    std::string name, address, zone, kind, cell;
    Standing standing = Standing::ready;
    Instant born;  // start of the server by the wall clock; 0: long ago
};

struct News {
    std::uint64_t index = 0;
    bool whole = false;
    std::vector<Entry> entries;
};

// Throws BadInput, also if a single entry is invalid: an incomplete list must not be used.
News read_server_list(const Json& json);
Entry read_entry(const Json& entry);
Entry read_entry_text(std::string_view entry);
// Throws BadInput if a list may not have that many entries.
void check_entry_count(std::size_t entries);

}  // namespace copperfront::platform
