#include "platform/json_member.h"

namespace copperfront::platform {
namespace {

// Returns the position past the string that starts at `at`, or the end of the text if it is not terminated.
std::size_t end_of_string(std::string_view text, std::size_t at) {
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return text.size();
}

std::size_t skip_space(std::string_view text, std::size_t at) {
    while (at < text.size() && std::string_view(" \t\r\n").find(text[at]) != std::string_view::npos) ++at;
    return at;
}

// Returns the position past the value that starts at `at`.
std::size_t end_of_value(std::string_view text, std::size_t at) {
    int depth = 0;
    while (at < text.size()) {
        const char byte = text[at];
        if (byte == '"') {
            at = end_of_string(text, at);
            continue;
        }
        if (byte == '{' || byte == '[') ++depth;
        const bool closes = byte == '}' || byte == ']';
        if (depth == 0 && (closes || byte == ',')) return at;
        if (closes && --depth == 0) return at + 1;
        ++at;
    }
    return text.size();
}

}  // namespace

JsonMember extract_member(std::string_view object, std::string_view key) {
    std::size_t at = skip_space(object, 0);
    if (at < object.size() && object[at] == '{') ++at;
    while (at < object.size()) {
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != '"') break;
        const std::size_t name_begin = at + 1;
        at = end_of_string(object, at);
        const std::string_view found = object.substr(name_begin, at - name_begin - 1);
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != ':') break;
        const std::size_t value_begin = skip_space(object, at + 1);
        at = end_of_value(object, value_begin);
        if (found == key) {
            JsonMember member;
            member.value = object.substr(value_begin, at - value_begin);
            member.rest.append(object.substr(0, value_begin)).append("null").append(object.substr(at));
            return member;
        }
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != ',') break;
        ++at;
    }
    return {{}, std::string(object)};
}

}  // namespace copperfront::platform
