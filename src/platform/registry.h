// What discovery tells: the list of model servers and its changes. Free of I/O.
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
    Instant born;  // on the wall clock; 0: long ago
};

struct News {
    std::uint64_t index = 0;
    bool whole = false;
    std::vector<Entry> entries;
};

// Throws BadInput, also where a single entry can't be read: half a list is no list.
News read_news(const Json& news);
Entry read_entry(const Json& entry);
Entry read_entry_text(std::string_view entry);
// Throws BadInput where no list has so many entries.
void check_entry_count(std::size_t entries);

}  // namespace copperfront::platform
