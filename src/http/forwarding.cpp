#include "http/forwarding.h"

#include <algorithm>
#include <array>

namespace copperfront::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};
constexpr std::array<std::string_view, 3> kRewrittenFields = {"Host", "Content-Length", "Expect"};

template <std::size_t kSize>
bool is_one_of(const std::array<std::string_view, kSize>& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view candidate) { return equals_ignoring_case(candidate, name); });
}

std::string_view trimmed(std::string_view text) {
    const auto is_whitespace = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && is_whitespace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_whitespace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

// Returns whether `list`, a comma-separated field value, contains this element.
bool contains_element(std::string_view list, std::string_view element) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equals_ignoring_case(trimmed(list.substr(0, comma)), element)) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

}  // namespace

bool is_hop_by_hop(const Head& head, std::string_view name) {
    if (is_one_of(kHopByHopFields, name)) return true;
    return std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& field) {
        return equals_ignoring_case(field.first, "Connection") && contains_element(field.second, name);
    });
}

bool is_rewritten(std::string_view name) { return is_one_of(kRewrittenFields, name); }

std::string end_to_end_fields(const Head& head, std::string_view except) {
    std::string lines;
    for (const auto& [name, value] : head.fields) {
        if (is_rewritten(name) || equals_ignoring_case(name, except) || is_hop_by_hop(head, name)) continue;
        lines.append(name).append(": ").append(value).append("\r\n");
    }
    return lines;
}

}  // namespace copperfront::http
