#include "logging/standard_error.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace copperfront {
namespace {

constexpr int kMaxPollAttempts = 8;  // poll() may be interrupted or lack memory

}  // namespace

bool StandardErrorSink::is_writable() const {
    pollfd standard_error{STDERR_FILENO, POLLOUT, 0};
    int ready = -1;
    for (int n = 0; n < kMaxPollAttempts && ready < 0; ++n) ready = poll(&standard_error, 1, 0);
    return ready == 1 && (standard_error.revents & POLLOUT) != 0;
}

void StandardErrorSink::sink_it_(const spdlog::details::log_msg& message) {
    spdlog::memory_buf_t line;
    if (has_partial_line_) line.push_back('\n');
    formatter_->format(message, line);
    if (!write({line.data(), line.size()})) ++dropped_lines_;
}

// A pipe that is writable accepts PIPE_BUF bytes without blocking.
bool StandardErrorSink::write(std::string_view bytes) {
    while (!bytes.empty()) {
        if (!is_writable()) return false;
        const std::size_t part = std::min<std::size_t>(bytes.size(), PIPE_BUF);
        const ssize_t written = ::write(STDERR_FILENO, bytes.data(), part);
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
        has_partial_line_ = !bytes.empty();
    }
    return true;
}

}  // namespace copperfront
