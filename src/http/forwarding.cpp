#include "http/forwarding.h"

#include <algorithm>
#include <array>

namespace copperfront::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};
constexpr std::array<std::string_view, 3> kRewritten = {"Host", "Content-Length", "Expect"};

template <std::size_t kSize>
bool is_one_of(const std::array<std::string_view, kSize>& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return alike(known, name); });
}

std::string_view trimmed(std::string_view text) {
    const auto is_blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

// Whether `list`, a field's value with commas between its elements, has this element.
bool names_element(std::string_view list, std::string_view element) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (alike(trimmed(list.substr(0, comma)), element)) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

}  // namespace

bool is_hop_by_hop(const Head& head, std::string_view name) {
    if (is_one_of(kHopByHop, name)) return true;
    return std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& field) {
        return alike(field.first, "Connection") && names_element(field.second, name);
    });
}

bool is_rewritten(std::string_view name) { return is_one_of(kRewritten, name); }

std::string end_to_end_fields(const Head& head, std::string_view except) {
    std::string lines;
    for (const auto& [name, value] : head.fields) {
        if (is_rewritten(name) || alike(name, except) || is_hop_by_hop(head, name)) continue;
        lines.append(name).append(": ").append(value).append("\r\n");
    }
    return lines;
}

}  // namespace copperfront::http
