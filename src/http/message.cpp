#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "core/free_memory.h"

namespace copperfront::http {
namespace {

namespace beast = boost::beast;

// Limit for a chunk's size line with its extensions, and for all trailers together.
constexpr std::size_t kMaxChunkFramingBytes = 4096;
constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMinBodyEndBytes = 5;  // "0" and two line ends

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return to_lower(x) == to_lower(y); });
}

const std::string* Head::find(std::string_view name) const {
    for (const auto& [candidate, value] : fields)
        if (equals_ignoring_case(candidate, name)) return &value;
    return nullptr;
}

std::size_t Head::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [&](const auto& f) { return equals_ignoring_case(f.first, name); }));
}

// Common interface of Beast's request and response parsers.
class Message::Parser {
  public:
    virtual ~Parser() = default;
    virtual std::size_t put(std::string_view bytes, beast::error_code& error) = 0;
    virtual void put_eof(beast::error_code& error) = 0;
    virtual bool head_done() const = 0;
    virtual bool done() const = 0;
    virtual bool is_persistent() const = 0;
    virtual bool chunked() const = 0;

    template <bool kIsRequest>
    class BeastParser;
};

template <bool kIsRequest>
class Message::Parser::BeastParser : public Message::Parser, private beast::http::basic_parser<kIsRequest> {
    using Base = beast::http::basic_parser<kIsRequest>;

  public:
    explicit BeastParser(Message& message) : message_(message) {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(message.bounds_.head_bytes + 4));
        this->body_limit(message.bounds_.body_bytes);
    }
    std::size_t put(std::string_view bytes, beast::error_code& error) override {
        return Base::put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    }
    void put_eof(beast::error_code& error) override { Base::put_eof(error); }
    bool head_done() const override { return this->is_header_done(); }
    bool done() const override { return this->is_done(); }
    bool is_persistent() const override { return this->keep_alive(); }
    bool chunked() const override { return Base::chunked(); }

  private:
    using View = beast::string_view;
    using Error = beast::error_code;

    void on_request_impl(beast::http::verb, View method, View target, int, Error&) override {
        message_.head_.method.assign(method.data(), method.size());
        message_.head_.target.assign(target.data(), target.size());
    }
    void on_response_impl(int code, View, int, Error&) override { message_.head_.status = code; }
    void on_field_impl(beast::http::field, View name, View value, Error& error) override {
        if (in_trailers_) return;  // trailers are not used
        auto& fields = message_.head_.fields;
        if (fields.size() >= kMaxFields) {
            error = beast::http::error::header_limit;
            return;
        }
        fields.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
    }
    void on_header_impl(Error& error) override {
        in_trailers_ = true;
        message_.head_.chunked = Base::chunked();
        message_.head_.keep_alive = this->keep_alive();
        if (const auto length = this->content_length()) {
            message_.head_.has_length = true;
            message_.head_.length = *length;
        }
        if (!message_.validate_head()) error = beast::http::error::bad_value;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
    std::size_t on_body_impl(View body, Error&) override { return deliver(body); }
    void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override { return deliver(body); }
    void on_finish_impl(Error&) override {}

    std::size_t deliver(View body) {
        if (message_.body_) message_.body_({body.data(), body.size()});
        return body.size();
    }

    Message& message_;
    bool in_trailers_ = false;
};

Message::Message(MessageKind kind, const Bounds& bounds, Body body)
    : kind_(kind), bounds_(bounds), body_(std::move(body)) {}

Message::~Message() = default;

bool Message::began() const { return parser_ || !buffer_.empty(); }
bool Message::head_done() const { return parser_ && parser_->head_done(); }
bool Message::done() const { return error_ == ParseError::none && parser_ && parser_->done(); }

std::size_t Message::memory_bytes() const {
    std::size_t bytes = sizeof(*this) + buffer_.capacity() + head_.target.capacity();
    bytes += head_.fields.capacity() * sizeof(head_.fields[0]);
    for (const auto& [name, value] : head_.fields) bytes += name.capacity() + value.capacity();
    return bytes;
}

void Message::fail(ParseError error, std::string error_text) {
    error_ = error;
    error_text_ = std::move(error_text);
    free_memory(buffer_);
}

// A close is the regular end only of a response without length or chunked coding; any other message is
// truncated.
bool Message::end_of_input() {
    if (error_ != ParseError::none || !head_done()) return false;
    beast::error_code error;
    parser_->put_eof(error);
    return !error && parser_->done();
}

std::size_t Message::take(std::string_view bytes) {
    if (error_ != ParseError::none || done() || bytes.empty()) return 0;
    std::size_t taken = 0;
    if (!parser_) {
        taken = parse_head(bytes);
        if (!parser_ || error_ != ParseError::none || done()) return taken;
        bytes.remove_prefix(taken);
    }
    while (!bytes.empty() && error_ == ParseError::none && !done()) {
        // An incomplete size line has to be passed to the parser again, joined with the rest.
        const bool is_continued = !buffer_.empty();
        std::string_view input = bytes;
        if (is_continued) {
            const std::size_t appended = std::min(bytes.size(), kMaxChunkFramingBytes);
            buffer_.append(bytes.substr(0, appended));
            input = buffer_;
            // The parser looks at the last chunk twice and then needs at least the shortest end of a body.
            if (buffer_.size() < kMinBodyEndBytes) {
                if (!is_plausible_size_line()) fail(ParseError::malformed, "a chunk without a size");
                return taken + appended;
            }
        }
        beast::error_code error;
        const std::size_t before =
            is_continued ? buffer_.size() - std::min(bytes.size(), kMaxChunkFramingBytes) : 0;
        const std::size_t used = parser_->put(input, error);
        const std::size_t used_new = used > before ? used - before : 0;
        if (error == beast::http::error::need_more) error = {};
        if (error) {
            fail(error == beast::http::error::body_limit ? ParseError::body_too_long : ParseError::malformed,
                 error.message());
            return taken + used_new;
        }
        if (parser_->done()) {
            free_memory(buffer_);
            return taken + used_new;
        }
        if (is_continued) {
            const std::size_t added = input.size() - before;
            buffer_.erase(0, used);
            taken += added;
            bytes.remove_prefix(added);
        } else {
            taken += bytes.size();
            buffer_.assign(bytes.substr(used));
            bytes = {};
        }
        if (buffer_.size() > kMaxChunkFramingBytes)
            return fail(ParseError::malformed, "a size line or trailers that do not end"), taken;
        if (!is_plausible_size_line()) return fail(ParseError::malformed, "a chunk without a size"), taken;
    }
    return taken;
}

// Detects an invalid size line before it is complete, as the rest may never arrive.
bool Message::is_plausible_size_line() const {
    if (!head_.chunked || buffer_.empty()) return true;
    std::string_view line = buffer_;
    if (line.substr(0, 2) == "\r\n") line.remove_prefix(2);
    if (line.empty() || line == "\r") return true;
    const std::size_t digits = line.find_first_not_of("0123456789abcdefABCDEF");
    const char next = digits == std::string_view::npos ? ';' : line[digits];
    return digits != 0 && std::string_view("; \t\r").find(next) != std::string_view::npos;
}

// Buffers the head until it is complete, rejects anything that Beast would repair or ignore, and then parses
// it in one step.
std::size_t Message::parse_head(std::string_view bytes) {
    const std::size_t before = buffer_.size();
    const std::size_t room = bounds_.head_bytes + 4 - std::min(before, bounds_.head_bytes + 4);
    buffer_.append(bytes.substr(0, room));
    std::size_t end = buffer_.find("\r\n\r\n", before < 3 ? 0 : before - 3);
    const std::size_t scan_end = end == std::string::npos ? buffer_.size() : end + 4;
    for (std::size_t i = before < 1 ? 0 : before - 1; i < scan_end; ++i) {
        const auto c = static_cast<unsigned char>(buffer_[i]);
        const bool last = i + 1 == scan_end;  // bytes after the head are not part of it
        const char next = last ? '\0' : buffer_[i + 1];
        if (c == '\r' && !last && next != '\n')
            return fail(ParseError::malformed, "a bare CR in the head"), bytes.size();
        if (c == '\n' && (i == 0 || buffer_[i - 1] != '\r'))
            return fail(ParseError::malformed, "a bare LF in the head"), bytes.size();
        // Rejects folded field lines, which some recipients join and others do not.
        if (c == '\n' && (next == ' ' || next == '\t') && !last)
            return fail(ParseError::malformed, "a folded line in the head"), bytes.size();
        if ((c < 0x20 && c != '\r' && c != '\n' && c != '\t') || c == 0x7f)
            return fail(ParseError::malformed, "a control byte in the head"), bytes.size();
    }
    if (before == 0 && buffer_.front() == '\r')
        return fail(ParseError::malformed, "an empty first line"), bytes.size();
    if (end == std::string::npos) {
        if (buffer_.size() > bounds_.head_bytes)
            return fail(ParseError::head_too_long, "the head does not end"), bytes.size();
        return bytes.size();
    }
    if (end + 4 > bounds_.head_bytes)
        return fail(ParseError::head_too_long, "the head is too long"), bytes.size();
    const std::string head = buffer_.substr(0, end + 4);
    free_memory(buffer_);
    if (kind_ == MessageKind::request)
        parser_ = std::make_unique<Parser::BeastParser<true>>(*this);
    else
        parser_ = std::make_unique<Parser::BeastParser<false>>(*this);
    beast::error_code error;
    parser_->put(head, error);
    // The head is complete, so need_more concerns only the body.
    if (error == beast::http::error::need_more && parser_->head_done()) error = {};
    if (error_ == ParseError::none && error)
        fail(error == beast::http::error::body_limit     ? ParseError::body_too_long
             : error == beast::http::error::header_limit ? ParseError::head_too_long
                                                         : ParseError::malformed,
             error.message());
    return head.size() - before;
}

// Rejects messages whose end is ambiguous: the bytes that follow would be a second message to one of two
// recipients (request smuggling).
bool Message::validate_head() {
    const std::size_t lengths = head_.count("Content-Length"), codings = head_.count("Transfer-Encoding");
    const std::string* length = head_.find("Content-Length");
    const std::string* coding = head_.find("Transfer-Encoding");
    const char* problem = nullptr;
    if (lengths > 1) problem = "more than one Content-Length";
    if (codings > 1) problem = "more than one Transfer-Encoding";
    if (lengths > 0 && codings > 0) problem = "both Content-Length and Transfer-Encoding";
    if (length && (length->empty() || length->size() > 18 ||
                   !std::all_of(length->begin(), length->end(), [](char c) { return c >= '0' && c <= '9'; })))
        problem = "a Content-Length that is no number";
    if (coding && !equals_ignoring_case(*coding, "chunked")) problem = "a transfer coding other than chunked";
    if (kind_ == MessageKind::request && head_.count("Host") != 1) problem = "no Host, or more than one";
    if (problem) fail(ParseError::malformed, problem);
    return problem == nullptr;
}

}  // namespace copperfront::http
