#include "soak/records.h"

#include <array>
#include <sstream>
#include <utility>

namespace copperfront::soak {
namespace {

constexpr std::array<std::pair<ServerEvent, const char*>, 8> kServerEvents{{
    {ServerEvent::arrived, "arrived"},
    {ServerEvent::held, "held"},
    {ServerEvent::taken, "taken"},
    {ServerEvent::never_ran, "never_ran"},
    {ServerEvent::ended, "ended"},
    {ServerEvent::closed, "closed"},
    {ServerEvent::released, "released"},
    {ServerEvent::release_kept, "release_kept"},
}};
constexpr const char* kLineEndMarker = "end";

}  // namespace

const char* text_of(ServerEvent event) {
    for (const auto& [known, text] : kServerEvents) {
        if (known == event) return text;
    }
    return "";
}

std::optional<ServerEvent> server_event_of(const std::string& text) {
    for (const auto& [known, name] : kServerEvents) {
        if (name == text) return known;
    }
    return std::nullopt;
}

std::string line_of(const ServerRecord& record) {
    std::ostringstream line;
    line << record.at << ' ' << text_of(record.event) << ' ' << record.request << ' ' << record.server << ' '
         << (record.role == Role::prefill ? "prefill" : "decode") << ' ' << record.call << ' '
         << record.time_left_ms << ' ' << kLineEndMarker << '\n';
    return line.str();
}

std::optional<ServerRecord> record_of(const std::string& line) {
    std::istringstream words(line);
    ServerRecord record;
    std::string event, role, end;
    words >> record.at >> event >> record.request >> record.server >> role >> record.call >>
        record.time_left_ms >> end;
    const std::optional<ServerEvent> known = server_event_of(event);
    if (!known || end != kLineEndMarker) return std::nullopt;
    record.event = *known;
    record.role = role == "prefill" ? Role::prefill : Role::decode;
    return record;
}

const char* text_of(RequestOutcome fate) {
    switch (fate) {
        case RequestOutcome::open:
            return "open";
        case RequestOutcome::completed:
            return "completed";
        case RequestOutcome::broken:
            return "broken off";
        case RequestOutcome::rejected:
            return "rejected";
        case RequestOutcome::failed:
            return "failed";
        case RequestOutcome::closed_unanswered:
            return "closed unanswered";
        case RequestOutcome::client_left:
            return "client left";
    }
    return "";
}

}  // namespace copperfront::soak
