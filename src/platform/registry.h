// Discovery data: the list of model servers and its updates. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/router.h"
#include "platform/json.h"

namespace copperfront::platform {

struct ServerEntry {
    std::string name, address, zone, kind, cell;
    ServerStatus status = ServerStatus::ready;
    Instant started_at;  // start of the server by the wall clock; 0: long ago
};

struct ServerListUpdate {
    std::uint64_t index = 0;
    bool is_snapshot = false;
    std::vector<ServerEntry> entries;
};

// Throws BadInput, also if a single entry is invalid: an incomplete list must not be used.
ServerListUpdate read_server_list(const Json& json);
ServerEntry read_entry(const Json& entry);
ServerEntry read_entry_text(std::string_view entry);
// Throws BadInput if a list may not have that many entries.
void check_entry_count(std::size_t entries);

}  // namespace copperfront::platform
