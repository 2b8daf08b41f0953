// Extracts one member from the text of a JSON object without parsing its value, for a value that is long and
// parsed elsewhere or not at all. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace copperfront::platform {

struct JsonMember {
    std::string_view value;  // its text, a view into the object's; empty: no such member
    std::string rest;        // the object's text with the value replaced by null
};

// Extracts a member of the outermost object. Doesn't validate the JSON: that is left to the parsers of the
// two parts.
JsonMember extract_member(std::string_view object, std::string_view key);

}  // namespace copperfront::platform
