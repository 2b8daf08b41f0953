#include "platform/list_reader.h"

#include <utility>

namespace copperfront::platform {
namespace {

constexpr std::size_t kMostEntryBytes = 16 << 10;
constexpr std::size_t kUsualEntryBytes = 128;
constexpr std::size_t kMostFrameBytes = 1 << 20;
constexpr std::string_view kEntriesBegin = "\"endpoints\":[";
constexpr int kRootDepth = 1, kEntriesDepth = 2;

bool is_space(char byte) { return byte == ' ' || byte == '\n' || byte == '\r' || byte == '\t'; }

}  // namespace

void ListReader::take(std::string_view bytes) {
    if (bytes_ == 0) news_.entries.reserve(bytes.size() / kUsualEntryBytes);
    bytes_ += bytes.size();
    std::size_t entry_begins = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        const char byte = bytes[at];
        const bool in_string = is_in_string(byte);
        if (!in_string && (byte == '{' || byte == '[')) {
            const bool begins_entry = in_entries_ && depth_ == kEntriesDepth && byte == '{';
            if (begins_entry) {
                in_entry_ = true;
                entry_begins = at;
            }
            open(byte);
        } else if (!in_string && (byte == '}' || byte == ']')) {
            close(byte);
            if (in_entry_ && depth_ == kEntriesDepth) {
                end_entry(bytes.substr(entry_begins, at + 1 - entry_begins));
                continue;
            }
        }
        if (!in_entry_ && (in_string || !is_space(byte))) keep(byte);
    }
    if (!in_entry_) return;
    entry_.append(bytes.substr(entry_begins));
    if (entry_.size() > kMostEntryBytes) throw BadInput("an entry that does not end");
}

bool ListReader::is_in_string(char byte) {
    if (!in_string_) {
        in_string_ = byte == '"';
        return in_string_;
    }
    if (escaped_) {
        escaped_ = false;
    } else if (byte == '\\') {
        escaped_ = true;
    } else if (byte == '"') {
        in_string_ = false;
    }
    return true;
}

bool ListReader::at_entries() const {
    return frame_.size() + 1 >= kEntriesBegin.size() &&
           std::string_view(frame_).substr(frame_.size() + 1 - kEntriesBegin.size()) ==
               kEntriesBegin.substr(0, kEntriesBegin.size() - 1);
}

void ListReader::open(char byte) {
    if (depth_ == kRootDepth && byte == '[') in_entries_ = at_entries();
    ++depth_;
}

void ListReader::close(char byte) {
    if (depth_ == 0) throw BadInput("not JSON");
    --depth_;
    if (depth_ == kRootDepth && byte == ']') in_entries_ = false;
}

void ListReader::end_entry(std::string_view last_part) {
    std::string earlier = std::exchange(entry_, {});
    in_entry_ = false;
    if (!earlier.empty()) earlier.append(last_part);
    const std::string_view text = earlier.empty() ? last_part : std::string_view(earlier);
    check_entry_count(news_.entries.size() + 1);
    news_.entries.push_back(read_entry_text(text));
    keep('0');
}

void ListReader::keep(char byte) {
    if (frame_.size() >= kMostFrameBytes) throw BadInput("more beside its entries than a list has");
    frame_.push_back(byte);
}

std::vector<Entry> ListReader::take_withdrawn() {
    std::vector<Entry> withdrawn;
    for (; looked_at_ < news_.entries.size(); ++looked_at_) {
        const Entry& entry = news_.entries[looked_at_];
        if (entry.standing != Standing::ready) withdrawn.push_back(entry);
    }
    return withdrawn;
}

News ListReader::finish() {
    const Json frame = Json::parse(std::exchange(frame_, {}), nullptr, false);
    if (frame.is_discarded()) throw BadInput("not JSON");
    if (!frame.is_object()) throw BadInput("not an object: the list");
    news_.index = whole(frame, "index");
    news_.whole = flag(frame, "snapshot");
    // Each of them stands as a zero in the frame.
    if (list_or_empty(frame, "endpoints").size() != news_.entries.size()) {
        throw BadInput("not an object: endpoints");
    }
    for (const Json& place : list_or_empty(frame, "endpoints")) {
        if (!place.is_number_integer() || place != 0) throw BadInput("not an object: endpoints");
    }
    return std::exchange(news_, {});
}

}  // namespace copperfront::platform
