// Selects the header fields that an intermediary forwards (RFC 9110, section 7.6.1). No I/O.
#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace copperfront::http {

// Returns whether the field concerns only the connection it was received on: the fields of the standard, and
// those that `Connection` names.
bool is_hop_by_hop(const Head& head, std::string_view name);

// Returns whether the field frames or addresses the message, so that the forwarder writes its own.
bool is_rewritten(std::string_view name);

// Returns all other fields as header lines, each with its line end, in the order received. Also omits the
// field `except`, ignoring case.
std::string end_to_end_fields(const Head& head, std::string_view except);

}  // namespace copperfront::http
