#include "platform/json_member.h"

namespace copperfront::platform {
namespace {

// Past the string that begins at `at`; the end of the text where it does not end.
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

// Past the value that begins at `at`.
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

JsonMember take_member(std::string_view object, std::string_view key) {
    std::size_t at = skip_space(object, 0);
    if (at < object.size() && object[at] == '{') ++at;
    while (at < object.size()) {
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != '"') break;
        const std::size_t name = at + 1;
        at = end_of_string(object, at);
        const std::string_view found = object.substr(name, at - name - 1);
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != ':') break;
        const std::size_t value = skip_space(object, at + 1);
        at = end_of_value(object, value);
        if (found == key) {
            JsonMember member;
            member.value = object.substr(value, at - value);
            member.rest.append(object.substr(0, value)).append("null").append(object.substr(at));
            return member;
        }
        at = skip_space(object, at);
        if (at >= object.size() || object[at] != ',') break;
        ++at;
    }
    return {{}, std::string(object)};
}

}  // namespace copperfront::platform
