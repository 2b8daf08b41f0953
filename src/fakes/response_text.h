// Text of the messages that fake servers write.
#pragma once

#include <cstdio>
#include <string>

namespace copperfront::fake_server {

inline constexpr const char* kEventStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// One chunk of a chunked body; empty text would end the body.
inline std::string chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// A complete response. `fields`: further header lines, each with its line end.
inline std::string response(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace copperfront::fake_server
