#include "platform/call.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "door/names.h"
#include "platform/json.h"

namespace copperfront::platform {
namespace {

constexpr std::size_t kMostId = 128, kMostKey = 256;
constexpr double kMostLeftMs = 3600e3;
constexpr double kMostHintUs = 3600e6;
constexpr double kMostAnswer = 1 << 20;  // tokens

// Names that go into paths and log lines.
bool is_plain(std::string_view name) {
    return !name.empty() && name.size() <= kMostId && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.';
    });
}

bool read_number(std::string_view text, double most, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() && std::isfinite(number) && number >= 0 &&
           number <= most;
}

// Checks that JSON nests no deeper than a parser that recurses could bear, without keeping any of it.
struct Shape : nlohmann::json_sax<Json> {
    static constexpr int kDeepest = 32;
    int depth = 0;
    bool object = false, messages = false;
    bool null() override { return depth > 0; }
    bool boolean(bool) override { return depth > 0; }
    bool number_integer(number_integer_t) override { return depth > 0; }
    bool number_unsigned(number_unsigned_t) override { return depth > 0; }
    bool number_float(number_float_t, const string_t&) override { return depth > 0; }
    bool string(string_t&) override { return depth > 0; }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return ++depth <= kDeepest; }
    bool key(string_t& name) override {
        messages |= depth == 1 && name == "messages";
        return true;
    }
    bool end_object() override {
        --depth;
        return true;
    }
    bool start_array(std::size_t) override { return depth > 0 && ++depth <= kDeepest; }
    bool end_array() override {
        --depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }
};

bool is_well(std::string_view body) {
    Shape shape;
    return Json::sax_parse(body, &shape) && shape.messages;
}

// "prefix=5c0f,prompt_len=5120": each name once; those that are not known are passed over.
std::string read_facts(std::string_view facts, double most_tokens, Arrival& a) {
    bool seen[4] = {};
    while (!facts.empty()) {
        const std::size_t comma = facts.find(',');
        std::string_view entry = facts.substr(0, comma);
        facts.remove_prefix(comma == std::string_view::npos ? facts.size() : comma + 1);
        while (!entry.empty() && entry.front() == ' ') entry.remove_prefix(1);
        while (!entry.empty() && entry.back() == ' ') entry.remove_suffix(1);
        const std::size_t equals = entry.find('=');
        if (equals == std::string_view::npos)
            return "X-Facts: expected name=value entries with commas between";
        const std::string_view name = entry.substr(0, equals), value = entry.substr(equals + 1);
        const int which = name == "prefix"       ? 0
                          : name == "prompt_len" ? 1
                          : name == "prefix_len" ? 2
                          : name == "max_out"    ? 3
                                                 : -1;
        if (which < 0) continue;
        if (std::exchange(seen[which], true)) return "X-Facts: an entry comes twice";
        if (which == 0) {
            if (value.size() > kMostKey) return "X-Facts: prefix is too long";
            a.beginning = mark(value);
            continue;
        }
        double* const to = which == 1 ? &a.prompt_tokens : which == 2 ? &a.beginning_tokens : &a.most_tokens;
        if (!read_number(value, which == 3 ? kMostAnswer : most_tokens, *to))
            return "X-Facts: a length that is no number, or more than the body can hold";
    }
    if (!seen[1]) return "X-Facts: prompt_len is missing";
    if (a.beginning_tokens > a.prompt_tokens) return "X-Facts: prefix_len is more than prompt_len";
    return "";
}

}  // namespace

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

std::string read_call(const http::Head& head, std::string_view body, const Named& named, Call& call) {
    call = {};
    for (const char* name : {kIdHeader, kLeftHeader, "X-Service-Class", "X-Account", "X-Session-Key",
                             "X-Facts", "X-Repeat", "X-Weight-Hint"})
        if (head.count(name) > 1) return std::string(name) + ": comes more than once";
    const auto header = [&](const char* name) {
        const std::string* value = head.find(name);
        return value ? std::string_view(*value) : std::string_view();
    };
    call.id = header(kIdHeader);
    if (!is_plain(call.id))
        return std::string(kIdHeader) + ": missing, too long or not plain letters and digits";
    Arrival& a = call.facts;
    const std::uint32_t* category = named.categories.find(std::string(header("X-Service-Class")));
    if (!category) return "X-Service-Class: missing or unknown";
    a.category = static_cast<std::uint16_t>(*category);
    // An account that is not among the settings has no share of its own.
    if (const std::uint32_t* group = named.groups.find(std::string(header("X-Account"))))
        a.client_group = static_cast<std::int32_t>(*group);
    double left = 0;
    if (!read_number(header(kLeftHeader), kMostLeftMs, left))
        return std::string(kLeftHeader) + ": missing or no number of milliseconds";
    a.budget = {micros(left)};
    if (header("X-Session-Key").size() > kMostKey) return "X-Session-Key: too long";
    a.session = mark(header("X-Session-Key"));
    if (const std::string_view hint = header("X-Weight-Hint"); !hint.empty()) {
        double us = 0;
        if (!read_number(hint, kMostHintUs, us)) return "X-Weight-Hint: no number of microseconds";
        a.hint = {std::llround(us)};
    }
    const std::string_view repeat = header("X-Repeat");
    if (!repeat.empty() && repeat != "1" && repeat != "again") return "X-Repeat: expected 1 or again";
    call.again = !repeat.empty();
    if (const std::string wrong = read_facts(header("X-Facts"), static_cast<double>(body.size()), a);
        !wrong.empty())
        return wrong;
    if (!is_well(body)) return "the body is no JSON object with messages";
    return "";
}

}  // namespace copperfront::platform
