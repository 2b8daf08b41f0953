// Takes one member out of the text of a JSON object without reading its value, for a value that is long and
// read elsewhere, or not at all. Free of I/O.
#pragma once

#include <string>
#include <string_view>

namespace copperfront::platform {

struct JsonMember {
    std::string_view value;  // its text, a part of the object's; empty: there is no such member
    std::string rest;        // the object's text with null in the place of the value
};

// Of the outermost object. What is no JSON is left to whoever reads the parts.
JsonMember take_member(std::string_view object, std::string_view key);

}  // namespace copperfront::platform
