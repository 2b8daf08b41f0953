#include "platform/client_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "interning/name_table.h"
#include "platform/json.h"

namespace copperfront::platform {
namespace {

constexpr std::size_t kMaxIdBytes = 128, kMaxKeyBytes = 256;
constexpr double kMaxTimeLeftMs = 3600e3;
constexpr double kMaxHintUs = 3600e6;
constexpr double kMaxOutputTokens = 1 << 20;

// Ids are used in paths and log lines.
bool is_valid_id(std::string_view name) {
    return !name.empty() && name.size() <= kMaxIdBytes && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.';
    });
}

bool parse_number(std::string_view text, double maximum, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() && std::isfinite(number) && number >= 0 &&
           number <= maximum;
}

// Checks without building a tree that the JSON is an object with "messages" and does not nest too deeply for
// a recursive parser.
struct BodyValidator : nlohmann::json_sax<Json> {
    static constexpr int kMaxDepth = 32;
    int depth = 0;
    bool object = false, has_messages = false;
    bool null() override { return depth > 0; }
    bool boolean(bool) override { return depth > 0; }
    bool number_integer(number_integer_t) override { return depth > 0; }
    bool number_unsigned(number_unsigned_t) override { return depth > 0; }
    bool number_float(number_float_t, const string_t&) override { return depth > 0; }
    bool string(string_t&) override { return depth > 0; }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return ++depth <= kMaxDepth; }
    bool key(string_t& name) override {
        has_messages |= depth == 1 && name == "messages";
        return true;
    }
    bool end_object() override {
        --depth;
        return true;
    }
    bool start_array(std::size_t) override { return depth > 0 && ++depth <= kMaxDepth; }
    bool end_array() override {
        --depth;
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }
};

bool is_valid_body(std::string_view body) {
    BodyValidator validator;
    return Json::sax_parse(body, &validator) && validator.has_messages;
}

// Parses X-Facts, such as "prefix=5c0f,prompt_len=5120": each name at most once; unknown names are ignored.
std::string parse_facts(std::string_view facts, double max_prompt_tokens, RequestInfo& a) {
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
        const int field_index = name == "prefix"       ? 0
                                : name == "prompt_len" ? 1
                                : name == "prefix_len" ? 2
                                : name == "max_out"    ? 3
                                                       : -1;
        if (field_index < 0) continue;
        if (std::exchange(seen[field_index], true)) return "X-Facts: an entry comes twice";
        if (field_index == 0) {
            if (value.size() > kMaxKeyBytes) return "X-Facts: prefix is too long";
            a.shared_prefix = hash_of(value);
            continue;
        }
        double* const to = field_index == 1   ? &a.prompt_tokens
                           : field_index == 2 ? &a.shared_prefix_tokens
                                              : &a.max_output_tokens;
        if (!parse_number(value, field_index == 3 ? kMaxOutputTokens : max_prompt_tokens, *to))
            return "X-Facts: a length that is no number, or more than the body can hold";
    }
    if (!seen[1]) return "X-Facts: prompt_len is missing";
    if (a.shared_prefix_tokens > a.prompt_tokens) return "X-Facts: prefix_len is more than prompt_len";
    return "";
}

}  // namespace

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

std::string read_client_request(const http::Head& head, std::string_view body, const SettingNames& names,
                                ClientRequest& request) {
    request = {};
    for (const char* name : {kRequestIdHeader, kTimeLeftHeader, "X-Service-Class", "X-Account",
                             "X-Session-Key", "X-Facts", "X-Repeat", "X-Weight-Hint"})
        if (head.count(name) > 1) return std::string(name) + ": comes more than once";
    const auto header = [&](const char* name) {
        const std::string* value = head.find(name);
        return value ? std::string_view(*value) : std::string_view();
    };
    request.id = header(kRequestIdHeader);
    if (!is_valid_id(request.id))
        return std::string(kRequestIdHeader) + ": missing, too long or not plain letters and digits";
    RequestInfo& a = request.info;
    const std::uint32_t* category = names.categories.find(std::string(header("X-Service-Class")));
    if (!category) return "X-Service-Class: missing or unknown";
    a.category = static_cast<std::uint16_t>(*category);
    // An account that is not in the settings has no quota of its own.
    if (const std::uint32_t* group = names.groups.find(std::string(header("X-Account"))))
        a.client_group = static_cast<std::int32_t>(*group);
    double time_left_ms = 0;
    if (!parse_number(header(kTimeLeftHeader), kMaxTimeLeftMs, time_left_ms))
        return std::string(kTimeLeftHeader) + ": missing or no number of milliseconds";
    a.time_budget = {us_from_ms(time_left_ms)};
    if (header("X-Session-Key").size() > kMaxKeyBytes) return "X-Session-Key: too long";
    a.session = hash_of(header("X-Session-Key"));
    if (const std::string_view hint = header("X-Weight-Hint"); !hint.empty()) {
        double hint_us = 0;
        if (!parse_number(hint, kMaxHintUs, hint_us)) return "X-Weight-Hint: no number of microseconds";
        a.duration_hint = {std::llround(hint_us)};
    }
    const std::string_view repeat = header("X-Repeat");
    if (!repeat.empty() && repeat != "1" && repeat != "again") return "X-Repeat: expected 1 or again";
    request.is_repeat = !repeat.empty();
    if (const std::string problem = parse_facts(header("X-Facts"), static_cast<double>(body.size()), a);
        !problem.empty())
        return problem;
    if (!is_valid_body(body)) return "the body is no JSON object with messages";
    return "";
}

}  // namespace copperfront::platform
