#include "platform/answers.h"

#include "platform/json.h"

namespace copperfront::platform {
namespace {

constexpr std::size_t kMostEvent = 64 * 1024;
constexpr const char* kNeverRan = "X-Unprocessed";

bool starts_with(std::string_view text, std::string_view with) { return text.substr(0, with.size()) == with; }

}  // namespace

bool begins_stream(const http::Head& head) {
    const std::string* type = head.find("Content-Type");
    return head.status == 200 && head.chunked && type &&
           http::alike(std::string_view(*type).substr(0, type->find(';')), "text/event-stream");
}

Outcome outcome_of(const http::Head& head, std::string_view body, bool reading) {
    Outcome o;
    o.ending = Ending::error;
    const std::string* mark = head.find(kNeverRan);
    const bool never_ran = mark && *mark == "1";
    if (reading && head.status == 202) {
        o.ending = Ending::read;
        // A figure that can't be read is only one less to learn from; the state is there.
        const Json told = Json::parse(body, nullptr, false);
        if (told.is_object())
            if (const Json* kept = field(told, "cached_tokens"); kept && kept->is_number())
                o.kept_tokens = std::max(0.0, kept->get<double>());
    } else if (never_ran && head.status == 410) {
        o.ending = Ending::full;
        o.no_state = true;
    } else if (never_ran && (head.status == 503 || head.status == 504)) {
        o.ending = Ending::full;
    }
    return o;
}

bool Events::line_is_well(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) {
        has_data_ = false;
        return true;
    }
    // What comes after the end belongs to nobody.
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

bool Events::take(std::string_view bytes, std::string& whole, std::size_t& count) {
    whole.clear();
    count = 0;
    held_.append(bytes);
    std::size_t passed = 0;
    bool well = true;
    for (;;) {
        const std::size_t end = held_.find('\n', scanned_);
        if (end == std::string::npos) break;
        const std::string_view line(held_.data() + scanned_, end - scanned_);
        const bool had_data = has_data_;
        if (!line_is_well(line)) {
            well = false;
            break;
        }
        scanned_ = end + 1;
        if (line.empty() || line == "\r") {
            passed = scanned_;
            count += had_data;
        }
    }
    // Against a line that can't be one, whose end may never come.
    if (well && held_.size() - passed > kMostEvent) well = false;
    whole.assign(held_, 0, passed);
    held_.erase(0, passed);
    scanned_ -= passed;
    return well;
}

}  // namespace copperfront::platform
