#include "platform/registry.h"

#include <array>
#include <utility>

namespace copperfront::platform {
namespace {

constexpr std::size_t kMostEntries = 100000;
constexpr std::size_t kMostName = 256;

std::string name_of(const Json& entry, const char* key) {
    std::string name = text(entry, key);
    if (name.empty() || name.size() > kMostName) throw BadInput(std::string("empty or too long: ") + key);
    return name;
}

struct NamedStanding {
    std::string_view name;
    Standing standing;
};
constexpr std::array<NamedStanding, 3> kStandings{
    {{"up", Standing::ready}, {"draining", Standing::draining}, {"removed", Standing::gone}}};

bool read_standing(std::string_view status, Standing& standing) {
    for (const NamedStanding& known : kStandings) {
        if (known.name != status) continue;
        standing = known.standing;
        return true;
    }
    return false;
}

// Reads an entry in its usual form without a tree of it, as lists have thousands. Whatever is not usual stops
// it, and is left to read_entry.
class UsualEntry : public nlohmann::json_sax<Json> {
  public:
    // False: it is not in the usual form.
    bool read(std::string_view text, Entry& entry) {
        entry_ = &entry;
        return Json::sax_parse(text, this) && has_name_ && has_status_ &&
               (has_address_ || entry.standing == Standing::gone);
    }

    bool null() override { return false; }
    bool boolean(bool) override { return field_ == Field::other; }
    bool number_integer(number_integer_t) override { return field_ == Field::other; }
    bool number_unsigned(number_unsigned_t value) override {
        if (field_ == Field::group) entry_->cell = std::to_string(value);
        if (field_ == Field::since) entry_->born = {micros(static_cast<double>(value))};
        return field_ == Field::group || field_ == Field::since || field_ == Field::other;
    }
    bool number_float(number_float_t, const string_t&) override { return field_ == Field::other; }
    bool string(string_t& value) override {
        switch (field_) {
            case Field::name:
                return take_name(value, entry_->name, has_name_);
            case Field::address:
                return take_name(value, entry_->address, has_address_);
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
                return !std::exchange(has_status_, true) && read_standing(value, entry_->standing);
            case Field::since:
                return false;
            case Field::other:
                return true;
        }
        return false;
    }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return !std::exchange(begun_, true); }
    bool key(string_t& name) override {
        field_ = Field::other;
        for (const NamedField& known : kFields) {
            if (known.name == name) field_ = known.field;
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

    static bool take_name(std::string& value, std::string& to, bool& has) {
        if (value.empty() || value.size() > kMostName) return false;
        to = std::move(value);
        return !std::exchange(has, true);
    }

    Entry* entry_ = nullptr;
    Field field_ = Field::other;
    bool begun_ = false, has_name_ = false, has_address_ = false, has_status_ = false;
};

}  // namespace

Entry read_entry_text(std::string_view text) {
    Entry entry;
    if (UsualEntry().read(text, entry)) return entry;
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) throw BadInput("not JSON");
    return read_entry(json);
}

Entry read_entry(const Json& e) {
    if (!e.is_object()) throw BadInput("not an object: endpoints");
    Entry entry;
    entry.name = name_of(e, "name");
    entry.kind = text_or(e, "type", "");
    entry.zone = text_or(e, "zone", "");
    const Json* group = field(e, "group");
    entry.cell = !group ? "" : group->is_string() ? group->get<std::string>() : group->dump();
    const std::string status = text(e, "status");
    if (!read_standing(status, entry.standing)) throw BadInput("unknown status: " + status);
    // Of one that is gone nothing but the name is needed.
    entry.address = entry.standing == Standing::gone ? text_or(e, "address", "") : name_of(e, "address");
    entry.born = {micros(number_or(e, "since_ms", 0))};
    return entry;
}

void check_entry_count(std::size_t entries) {
    if (entries > kMostEntries) throw BadInput("too many endpoints");
}

News read_news(const Json& news) {
    if (!news.is_object()) throw BadInput("not an object: the list");
    News told;
    told.index = whole(news, "index");
    told.whole = flag(news, "snapshot");
    const Json& entries = list_or_empty(news, "endpoints");
    check_entry_count(entries.size());
    told.entries.reserve(entries.size());
    for (const Json& e : entries) told.entries.push_back(read_entry(e));
    return told;
}

}  // namespace copperfront::platform
