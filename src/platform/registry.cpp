#include "platform/registry.h"

#include <array>
#include <utility>

namespace copperfront::platform {
namespace {

constexpr std::size_t kMaxEntries = 100000;
constexpr std::size_t kMaxNameBytes = 256;

std::string required_name(const Json& entry, const char* key) {
    std::string name = required_string(entry, key);
    if (name.empty() || name.size() > kMaxNameBytes) throw BadInput(std::string("empty or too long: ") + key);
    return name;
}

struct StatusName {
    std::string_view name;
    ServerStatus status;
};
constexpr std::array<StatusName, 3> kStatusNames{
    {{"up", ServerStatus::ready}, {"draining", ServerStatus::draining}, {"removed", ServerStatus::removed}}};

bool parse_status(std::string_view text, ServerStatus& status) {
    for (const StatusName& candidate : kStatusNames) {
        if (candidate.name != text) continue;
        status = candidate.status;
        return true;
    }
    return false;
}

// Parses an entry in its common flat form without building a JSON tree, as lists have thousands of entries.
// Stops at anything else, which is left to read_entry().
class FlatEntryParser : public nlohmann::json_sax<Json> {
  public:
    // Returns false if the entry is not in the flat form.
    bool parse(std::string_view text, ServerEntry& entry) {
        entry_ = &entry;
        return Json::sax_parse(text, this) && has_name_ && has_status_ &&
               (has_address_ || entry.status == ServerStatus::removed);
    }

    bool null() override { return false; }
    bool boolean(bool) override { return field_ == Field::other; }
    bool number_integer(number_integer_t) override { return field_ == Field::other; }
    bool number_unsigned(number_unsigned_t value) override {
        if (field_ == Field::group) entry_->cell = std::to_string(value);
        if (field_ == Field::since) entry_->started_at = {us_from_ms(static_cast<double>(value))};
        return field_ == Field::group || field_ == Field::since || field_ == Field::other;
    }
    bool number_float(number_float_t, const string_t&) override { return field_ == Field::other; }
    bool string(string_t& value) override {
        switch (field_) {
            case Field::name:
                return store_name(value, entry_->name, has_name_);
            case Field::address:
                return store_name(value, entry_->address, has_address_);
            case Field::kind:
                entry_->kind = std::move(value);
                return true;
            case Field::zone:
                entry_->zone = std::move(value);
                return true;
            case Field::group:
                entry_->cell = std::move(value);
                return true;
            case Field::status:
                return !std::exchange(has_status_, true) && parse_status(value, entry_->status);
            case Field::since:
                return false;
            case Field::other:
                return true;
        }
        return false;
    }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return !std::exchange(started_, true); }
    bool key(string_t& name) override {
        field_ = Field::other;
        for (const NamedField& candidate : kFields) {
            if (candidate.name == name) field_ = candidate.field;
        }
        return true;
    }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return false; }
    bool end_array() override { return false; }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }

  private:
    enum class Field { name, address, kind, zone, group, status, since, other };
    struct NamedField {
        std::string_view name;
        Field field;
    };
    static constexpr std::array<NamedField, 7> kFields{{{"name", Field::name},
                                                        {"address", Field::address},
                                                        {"type", Field::kind},
                                                        {"zone", Field::zone},
                                                        {"group", Field::group},
                                                        {"status", Field::status},
                                                        {"since_ms", Field::since}}};

    static bool store_name(std::string& value, std::string& target, bool& is_set) {
        if (value.empty() || value.size() > kMaxNameBytes) return false;
        target = std::move(value);
        return !std::exchange(is_set, true);
    }

    ServerEntry* entry_ = nullptr;
    Field field_ = Field::other;
    bool started_ = false, has_name_ = false, has_address_ = false, has_status_ = false;
};

}  // namespace

ServerEntry read_entry_text(std::string_view text) {
    ServerEntry entry;
    if (FlatEntryParser().parse(text, entry)) return entry;
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) throw BadInput("not JSON");
    return read_entry(json);
}

ServerEntry read_entry(const Json& json) {
    if (!json.is_object()) throw BadInput("not an object: endpoints");
    ServerEntry entry;
    entry.name = required_name(json, "name");
    entry.kind = string_or(json, "type", "");
    entry.zone = string_or(json, "zone", "");
    const Json* group = field(json, "group");
    entry.cell = !group ? "" : group->is_string() ? group->get<std::string>() : group->dump();
    const std::string status = required_string(json, "status");
    if (!parse_status(status, entry.status)) throw BadInput("unknown status: " + status);
    // A removed server needs nothing but its name.
    entry.address = entry.status == ServerStatus::removed ? string_or(json, "address", "")
                                                          : required_name(json, "address");
    entry.started_at = {us_from_ms(number_or(json, "since_ms", 0))};
    return entry;
}

void check_entry_count(std::size_t entries) {
    if (entries > kMaxEntries) throw BadInput("too many endpoints");
}

ServerListUpdate read_server_list(const Json& json) {
    if (!json.is_object()) throw BadInput("not an object: the list");
    ServerListUpdate update;
    update.index = required_unsigned(json, "index");
    update.is_snapshot = flag(json, "snapshot");
    const Json& entries = array_or_empty(json, "endpoints");
    check_entry_count(entries.size());
    update.entries.reserve(entries.size());
    for (const Json& e : entries) update.entries.push_back(read_entry(e));
    return update;
}

}  // namespace copperfront::platform
