// Parses arbitrary bytes as a request or a response, whole and in pieces of a chosen size: the verdict and
// the body must be the same, and never larger than the limits allow. An event stream is split into complete
// events only.
#include <cstdlib>
#include <string>

#include "http/message.h"
#include "platform/answers.h"

using namespace copperfront;

namespace {

void require(bool condition) {
    if (!condition) std::abort();
}

struct ParseResult {
    std::string body;
    http::ParseError error = http::ParseError::none;
    bool done = false;
    std::size_t consumed = 0;
    bool operator==(const ParseResult&) const = default;
};

constexpr std::uint64_t kMaxBodyBytes = 2000;

ParseResult parse(http::MessageKind sort, std::string_view bytes, std::size_t step) {
    ParseResult out;
    http::Message m(sort, {600, kMaxBodyBytes}, [&](std::string_view piece) { out.body.append(piece); });
    while (out.consumed < bytes.size() && m.error() == http::ParseError::none && !m.done()) {
        const std::string_view piece = bytes.substr(out.consumed, step);
        const std::size_t accepted = m.take(piece);
        require(accepted <= piece.size());
        out.consumed += accepted;
        if (accepted < piece.size()) break;
    }
    out.error = m.error();
    out.done = m.done();
    require(!(out.done && out.error != http::ParseError::none));
    require(!m.done() || m.head_done());
    require(m.error() == http::ParseError::none || !m.what().empty());
    return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) return 0;
    std::string bytes(reinterpret_cast<const char*>(data + 2), size - 2);
    bytes += "\n\n\n\n\n\n\n\n";  // bytes that arrive one by one may need a few more for a verdict
    const auto sort = data[0] % 2 ? http::MessageKind::request : http::MessageKind::response;
    const ParseResult whole = parse(sort, bytes, bytes.size() + 1);
    const ParseResult split = parse(sort, bytes, 1 + data[1] % 40);
    require(whole.done == split.done);
    // If a message has two faults, the split may decide which one is found first.
    require((whole.error == http::ParseError::none) == (split.error == http::ParseError::none));
    if (whole.done) require(whole == split && whole.body.size() <= kMaxBodyBytes);

    platform::EventStreamParser events;
    std::string out, piece;
    std::size_t count = 0;
    for (std::size_t at = 0; at < bytes.size(); at += 1 + data[1] % 40) {
        const bool is_valid = events.take(std::string_view(bytes).substr(at, 1 + data[1] % 40), piece, count);
        out += piece;
        if (!is_valid) break;
    }
    require(bytes.compare(0, out.size(), out) == 0);
    return 0;
}
