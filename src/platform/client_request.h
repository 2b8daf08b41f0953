// Parses a client's HTTP request into the facts that routing uses. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "core/router.h"
#include "http/message.h"
#include "platform/settings.h"

namespace copperfront::platform {

inline constexpr const char* kCompletionsPath = "/v1/chat/completions";
inline constexpr const char* kReadyPath = "/health/ready";
inline constexpr const char* kLivePath = "/health/live";
inline constexpr const char* kRequestIdHeader = "X-Correlation-Id";
inline constexpr const char* kTimeLeftHeader = "X-Time-Left-Ms";

struct ClientRequest {
    std::string id;
    RequestInfo info;
    bool is_repeat = false;  // the client marked it as a repeat
};

// Parses a request into `request`. Returns an empty string, or the error text for a 400 response. The body is
// checked as well: a model server closes its connection on a malformed body, including other requests that
// wait on it.
std::string read_client_request(const http::Head& head, std::string_view body, const SettingNames& names,
                                ClientRequest& request);

// Returns the path of a request target, without its query string.
std::string_view path_of(std::string_view target);

}  // namespace copperfront::platform
