// Incremental parser for one HTTP/1.1 message, with fixed limits. It is stricter than the standard wherever
// two recipients could interpret a message differently: such a message is malformed, and everything after it
// on its connection is unusable. Built on Boost.Beast's parser. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperfront::http {

struct Bounds {
    std::size_t head_bytes = 8192;
    std::uint64_t body_bytes = 256 * 1024;  // total of all chunks if chunked
};

enum class ParseError { none, malformed, head_too_long, body_too_long };

struct Head {
    std::string method, target;  // of a request
    int status = 0;              // of a response
    bool keep_alive = true, chunked = false;
    bool has_length = false;
    std::uint64_t length = 0;
    std::vector<std::pair<std::string, std::string>> fields;

    // Finds a field by its name, ignoring case. Returns null if it is absent.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
};

// Compares ASCII text, ignoring case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

enum class MessageKind { request, response };

class Message {
  public:
    // Receives a piece of the body; the view is valid only during the call.
    using Body = std::function<void(std::string_view)>;
    Message(MessageKind kind, const Bounds& bounds, Body body);
    ~Message();
    Message(const Message&) = delete;
    Message& operator=(const Message&) = delete;

    // Consumes the bytes that belong to this message and returns their number. Consumes nothing once the
    // message is complete or malformed.
    std::size_t take(std::string_view bytes);
    // Call when the peer has closed its side. Returns whether that completes the message.
    bool end_of_input();

    bool began() const;
    bool head_done() const;
    bool done() const;
    ParseError error() const { return error_; }
    const std::string& what() const { return error_text_; }  // description of the error
    const Head& head() const { return head_; }
    // Bytes that the message takes in memory, without its body.
    std::size_t memory_bytes() const;

  private:
    class Parser;
    std::size_t parse_head(std::string_view bytes);
    void fail(ParseError error, std::string error_text);
    bool validate_head();
    bool is_plausible_size_line() const;
    void feed();

    const MessageKind kind_;
    const Bounds bounds_;
    const Body body_;
    Head head_;
    ParseError error_ = ParseError::none;
    std::string error_text_;
    std::string buffer_;  // bytes of an incomplete element: the head, or a chunk's size line
    std::unique_ptr<Parser> parser_;
};

}  // namespace copperfront::http
