// Which header fields an intermediary passes on (RFC 9110, section 7.6.1). Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace copperfront::http {

// Whether the field concerns only the connection it came on: the standard's own, and those that `Connection`
// names.
bool is_hop_by_hop(const Head& head, std::string_view name);

// Whether the field frames or addresses the message, so that whoever sends the message on writes it anew.
bool is_rewritten(std::string_view name);

// All other fields as header lines, each with its line end, in the order in which they came. `except` is left
// out as well, in any case of its letters.
std::string end_to_end_fields(const Head& head, std::string_view except);

}  // namespace copperfront::http
