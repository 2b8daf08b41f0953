// JSON-RPC 2.0 messages (specification at jsonrpc.org, 2013), one message a line, without batches, as in the
// Model Context Protocol since its version 2025-06-18. Does no I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace copperfront::rpc {

using Json = nlohmann::json;
using Id = std::variant<std::monostate, std::int64_t, std::string>;  // monostate: none, or null

// Error codes of the JSON-RPC specification.
inline constexpr int kParseError = -32700;
inline constexpr int kInvalidRequest = -32600;
inline constexpr int kMethodNotFound = -32601;
inline constexpr int kInvalidParams = -32602;
inline constexpr int kInternalError = -32603;

enum class MessageKind { request, notification, result, error };

struct Message {
    MessageKind kind = MessageKind::notification;
    Id id;
    std::string method;  // of a request or a notification
    Json body;           // params, result, or the data of an error
    int code = 0;        // of an error
    std::string text;    // of an error
};

// The error to return for a line that is not a valid message.
struct InvalidMessage {
    int code = kParseError;
    std::string text;
    Id id;  // the id of the message, if it could be read
};

// Accepts any bytes; never throws. The nesting depth is bounded, so that a line of brackets cannot exhaust
// the stack.
std::variant<Message, InvalidMessage> parse(std::string_view line);

std::string request_line(const Id& id, std::string_view method, const Json& params);
std::string notification_line(std::string_view method, const Json& params);
std::string result_line(const Id& id, const Json& body);
std::string error_line(const Id& id, int code, std::string_view text, const Json& data = nullptr);

// An id as JSON text; also used in log lines and messages.
std::string text_of(const Id& id);
// Appends a JSON string literal with its quotes. Bytes that are not valid UTF-8 are replaced.
void append_quoted(std::string& out, std::string_view text);

}  // namespace copperfront::rpc
