// A client's call, from its headers to an arrival in our words. Free of I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/rules.h"
#include "http/message.h"
#include "platform/settings.h"

namespace copperfront::platform {

inline constexpr const char* kCallPath = "/v1/chat/completions";
inline constexpr const char* kReadyPath = "/health/ready";
inline constexpr const char* kLivePath = "/health/live";
inline constexpr const char* kIdHeader = "X-Correlation-Id";
inline constexpr const char* kLeftHeader = "X-Time-Left-Ms";

struct Call {
    std::string id;
    Arrival facts;
    bool again = false;  // marked as a repeat
};

// Empty: `call` holds it; else what is wrong, for an answer with 400. The body is looked at as well: a model
// server closes on what it can't read, whatever else waits there.
std::string read_call(const http::Head& head, std::string_view body, const Named& named, Call& call);

// The path without its query.
std::string_view path_of(std::string_view target);

}  // namespace copperfront::platform
