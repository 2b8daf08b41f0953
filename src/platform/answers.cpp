#include "platform/answers.h"

#include "core/free_memory.h"
#include "platform/json.h"

namespace copperfront::platform {
namespace {

constexpr std::size_t kMaxEventBytes = 64 * 1024;
constexpr const char* kUnprocessedHeader = "X-Unprocessed";

bool starts_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

bool starts_event_stream(const http::Head& head) {
    const std::string* type = head.find("Content-Type");
    return head.status == 200 && head.chunked && type &&
           http::equals_ignoring_case(std::string_view(*type).substr(0, type->find(';')),
                                      "text/event-stream");
}

AttemptOutcome outcome_of(const http::Head& head, std::string_view body, bool is_prefill) {
    AttemptOutcome outcome;
    outcome.ending = Ending::error;
    const std::string* unprocessed_header = head.find(kUnprocessedHeader);
    const bool unprocessed = unprocessed_header && *unprocessed_header == "1";
    if (is_prefill && head.status == 202) {
        outcome.ending = Ending::prefilled;
        // The prefill has succeeded even if the figure is unreadable; only the figure is then unknown.
        const Json json = Json::parse(body, nullptr, false);
        if (json.is_object())
            if (const Json* cached = field(json, "cached_tokens"); cached && cached->is_number())
                outcome.cached_tokens = std::max(0.0, cached->get<double>());
    } else if (unprocessed && head.status == 410) {
        outcome.ending = Ending::refused;
        outcome.state_missing = true;
    } else if (unprocessed && (head.status == 503 || head.status == 504)) {
        outcome.ending = Ending::refused;
    }
    return outcome;
}

bool EventStreamParser::accept_line(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) {
        has_data_ = false;
        return true;
    }
    // Nothing may follow [DONE].
    if (finished_) return false;
    if (starts_with(line, "data:")) {
        line.remove_prefix(5);
        while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
        if (line == "[DONE]")
            finished_ = true;
        else if (line.empty() || line.front() != '{' || line.back() != '}')
            return false;
        has_data_ = true;
        return true;
    }
    return starts_with(line, ":") || starts_with(line, "event:") || starts_with(line, "id:") ||
           starts_with(line, "retry:");
}

bool EventStreamParser::take(std::string_view bytes, std::string& complete_events, std::size_t& count) {
    complete_events.clear();
    count = 0;
    buffer_.append(bytes);
    std::size_t complete_end = 0;
    bool valid = true;
    for (;;) {
        const std::size_t end = buffer_.find('\n', scanned_);
        if (end == std::string::npos) break;
        const std::string_view line(buffer_.data() + scanned_, end - scanned_);
        const bool had_data = has_data_;
        if (!accept_line(line)) {
            valid = false;
            break;
        }
        scanned_ = end + 1;
        if (line.empty() || line == "\r") {
            complete_end = scanned_;
            count += had_data;
        }
    }
    // Bounds the buffer: a line of an invalid stream may never end.
    if (valid && buffer_.size() - complete_end > kMaxEventBytes) valid = false;
    complete_events.assign(buffer_, 0, complete_end);
    buffer_.erase(0, complete_end);
    scanned_ -= complete_end;
    if (buffer_.empty()) free_memory(buffer_);
    return valid;
}

}  // namespace copperfront::platform
