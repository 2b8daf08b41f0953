#include "rpc/message.h"

namespace copperfront::rpc {
namespace {

constexpr int kMaxDepth = 32;
constexpr std::size_t kMaxIdBytes = 128;

// nlohmann-json parses without recursion but builds and destroys nested values recursively, so the depth is
// bounded before it gets the line.
bool too_deep(std::string_view line) {
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quoted) {
            if (c == '\\') ++i;
            if (c == '"') quoted = false;
        } else if (c == '"') {
            quoted = true;
        } else if (c == '[' || c == '{') {
            if (++depth > kMaxDepth) return true;
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

bool read_id(const Json& value, Id& id) {
    if (value.is_null()) {
        id = std::monostate{};
    } else if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(INT64_MAX)) return false;
        id = static_cast<std::int64_t>(number);
    } else if (value.is_number_integer()) {
        id = value.get<std::int64_t>();
    } else if (value.is_string() && value.get_ref<const std::string&>().size() <= kMaxIdBytes) {
        id = value.get<std::string>();
    } else {
        return false;
    }
    return true;
}

std::string dump_json(const Json& value) {
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::variant<Message, InvalidMessage> parse(std::string_view line) {
    if (too_deep(line))
        return InvalidMessage{
            kParseError, "more than " + std::to_string(kMaxDepth) + " levels of nesting", {}};
    Json value = Json::parse(line, nullptr, false);
    if (value.is_discarded()) return InvalidMessage{kParseError, "the line is not JSON", {}};
    if (value.is_array())
        return InvalidMessage{kInvalidRequest, "batches are not taken; send one message a line", {}};
    if (!value.is_object()) return InvalidMessage{kInvalidRequest, "not an object", {}};

    Message m;
    const auto id = value.find("id");
    if (id != value.end() && !read_id(*id, m.id))
        return InvalidMessage{kInvalidRequest, "id: expected a whole number, or text of up to 128 bytes", {}};
    const auto invalid = [&](const char* what) { return InvalidMessage{kInvalidRequest, what, m.id}; };
    const auto version = value.find("jsonrpc");
    if (version == value.end() || *version != "2.0") return invalid("jsonrpc: expected \"2.0\"");
    if (const auto method = value.find("method"); method != value.end()) {
        if (!method->is_string()) return invalid("method: expected text");
        m.method = method->get<std::string>();
        m.kind = id == value.end() ? MessageKind::notification : MessageKind::request;
        if (m.kind == MessageKind::request && std::holds_alternative<std::monostate>(m.id))
            return invalid("id: a call needs one that is not null");
        if (const auto params = value.find("params"); params != value.end()) {
            if (!params->is_object()) return invalid("params: expected an object");
            m.body = std::move(*params);
        } else {
            m.body = Json::object();
        }
        return m;
    }
    if (id == value.end()) return invalid("neither a method nor an id");
    if (const auto body = value.find("result"); body != value.end()) {
        if (value.contains("error")) return invalid("both a result and an error");
        m.kind = MessageKind::result;
        m.body = std::move(*body);
        return m;
    }
    const auto error_object = value.find("error");
    if (error_object == value.end() || !error_object->is_object())
        return invalid("neither a method, a result nor an error");
    const auto code = error_object->find("code");
    if (code == error_object->end() || !code->is_number_integer())
        return invalid("error.code: expected a whole number");
    m.kind = MessageKind::error;
    m.code = code->get<int>();
    if (const auto text = error_object->find("message"); text != error_object->end() && text->is_string())
        m.text = text->get<std::string>();
    if (const auto data = error_object->find("data"); data != error_object->end()) m.body = std::move(*data);
    return m;
}

void append_quoted(std::string& out, std::string_view text) {
    bool plain = true;
    for (const char c : text) plain &= c >= 0x20 && c != '"' && c != '\\' && c != 0x7f;
    if (plain) {
        out += '"';
        out += text;
        out += '"';
    } else {
        out += dump_json(Json(std::string(text)));
    }
}

std::string text_of(const Id& id) {
    if (const auto* number = std::get_if<std::int64_t>(&id)) return std::to_string(*number);
    std::string out;
    if (const auto* text = std::get_if<std::string>(&id))
        append_quoted(out, *text);
    else
        out = "null";
    return out;
}

std::string request_line(const Id& id, std::string_view method, const Json& params) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + text_of(id) + ",\"method\":\"";
    out += method;
    out += "\",\"params\":" + dump_json(params) + "}";
    return out;
}

std::string notification_line(std::string_view method, const Json& params) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"method\":\"";
    out += method;
    out += "\",\"params\":" + dump_json(params) + "}";
    return out;
}

std::string result_line(const Id& id, const Json& body) {
    return "{\"jsonrpc\":\"2.0\",\"id\":" + text_of(id) + ",\"result\":" + dump_json(body) + "}";
}

std::string error_line(const Id& id, int code, std::string_view text, const Json& data) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + text_of(id) +
                      ",\"error\":{\"code\":" + std::to_string(code) + ",\"message\":";
    append_quoted(out, text);
    if (!data.is_null()) out += ",\"data\":" + dump_json(data);
    out += "}}";
    return out;
}

}  // namespace copperfront::rpc
