#include "platform/list_reader.h"

#include <utility>

namespace copperfront::platform {
namespace {

constexpr std::size_t kMaxEntryBytes = 16 << 10;
constexpr std::size_t kTypicalEntryBytes = 128;
constexpr std::size_t kMaxEnvelopeBytes = 1 << 20;
constexpr std::string_view kEntriesKey = "\"endpoints\":[";
constexpr int kRootDepth = 1, kEntriesDepth = 2;

bool is_space(char byte) { return byte == ' ' || byte == '\n' || byte == '\r' || byte == '\t'; }

}  // namespace

void ServerListReader::take(std::string_view bytes) {
    if (bytes_ == 0) update_.entries.reserve(bytes.size() / kTypicalEntryBytes);
    bytes_ += bytes.size();
    std::size_t entry_begin = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        const char byte = bytes[at];
        const bool in_string = is_in_string(byte);
        if (!in_string && (byte == '{' || byte == '[')) {
            const bool starts_entry = in_entries_ && depth_ == kEntriesDepth && byte == '{';
            if (starts_entry) {
                in_entry_ = true;
                entry_begin = at;
            }
            open_container(byte);
        } else if (!in_string && (byte == '}' || byte == ']')) {
            close_container(byte);
            if (in_entry_ && depth_ == kEntriesDepth) {
                finish_entry(bytes.substr(entry_begin, at + 1 - entry_begin));
                continue;
            }
        }
        if (!in_entry_ && (in_string || !is_space(byte))) append_to_envelope(byte);
    }
    if (!in_entry_) return;
    partial_entry_.append(bytes.substr(entry_begin));
    if (partial_entry_.size() > kMaxEntryBytes) throw BadInput("a list entry is too long");
}

bool ServerListReader::is_in_string(char byte) {
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

bool ServerListReader::follows_entries_key() const {
    return envelope_.size() + 1 >= kEntriesKey.size() &&
           std::string_view(envelope_).substr(envelope_.size() + 1 - kEntriesKey.size()) ==
               kEntriesKey.substr(0, kEntriesKey.size() - 1);
}

void ServerListReader::open_container(char byte) {
    if (depth_ == kRootDepth && byte == '[') in_entries_ = follows_entries_key();
    ++depth_;
}

void ServerListReader::close_container(char byte) {
    if (depth_ == 0) throw BadInput("not JSON");
    --depth_;
    if (depth_ == kRootDepth && byte == ']') in_entries_ = false;
}

void ServerListReader::finish_entry(std::string_view last_piece) {
    std::string earlier = std::exchange(partial_entry_, {});
    in_entry_ = false;
    if (!earlier.empty()) earlier.append(last_piece);
    const std::string_view text = earlier.empty() ? last_piece : std::string_view(earlier);
    check_entry_count(update_.entries.size() + 1);
    update_.entries.push_back(read_entry_text(text));
    append_to_envelope('0');
}

void ServerListReader::append_to_envelope(char byte) {
    if (envelope_.size() >= kMaxEnvelopeBytes) throw BadInput("too much data beside the entries of the list");
    envelope_.push_back(byte);
}

std::vector<ServerEntry> ServerListReader::take_withdrawn() {
    std::vector<ServerEntry> withdrawn;
    for (; next_withdrawn_ < update_.entries.size(); ++next_withdrawn_) {
        const ServerEntry& entry = update_.entries[next_withdrawn_];
        if (entry.status != ServerStatus::ready) withdrawn.push_back(entry);
    }
    return withdrawn;
}

ServerListUpdate ServerListReader::finish() {
    const Json envelope = Json::parse(std::exchange(envelope_, {}), nullptr, false);
    if (envelope.is_discarded()) throw BadInput("not JSON");
    if (!envelope.is_object()) throw BadInput("not an object: the list");
    update_.index = required_unsigned(envelope, "index");
    update_.is_snapshot = flag(envelope, "snapshot");
    // Each entry was replaced by a zero in the envelope.
    if (array_or_empty(envelope, "endpoints").size() != update_.entries.size()) {
        throw BadInput("not an object: endpoints");
    }
    for (const Json& placeholder : array_or_empty(envelope, "endpoints")) {
        if (!placeholder.is_number_integer() || placeholder != 0) throw BadInput("not an object: endpoints");
    }
    return std::exchange(update_, {});
}

}  // namespace copperfront::platform
