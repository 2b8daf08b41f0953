#include "platform/registry.h"

namespace copperfront::platform {
namespace {

constexpr std::size_t kMostEntries = 100000;
constexpr std::size_t kMostName = 256;

std::string name_of(const Json& entry, const char* key) {
    std::string name = text(entry, key);
    if (name.empty() || name.size() > kMostName) throw BadInput(std::string("empty or too long: ") + key);
    return name;
}

}  // namespace

Entry read_entry(const Json& e) {
    if (!e.is_object()) throw BadInput("not an object: endpoints");
    Entry entry;
    entry.name = name_of(e, "name");
    entry.kind = text_or(e, "type", "");
    entry.zone = text_or(e, "zone", "");
    const Json* group = field(e, "group");
    entry.cell = !group ? "" : group->is_string() ? group->get<std::string>() : group->dump();
    const std::string status = text(e, "status");
    if (status != "up" && status != "draining" && status != "removed")
        throw BadInput("unknown status: " + status);
    entry.standing = status == "up"        ? Standing::ready
                     : status == "removed" ? Standing::gone
                                           : Standing::draining;
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
