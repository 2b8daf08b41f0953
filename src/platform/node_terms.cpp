#include "platform/node_terms.h"

#include "door/names.h"
#include "platform/json_member.h"
#include "platform/list_reader.h"

namespace copperfront::platform {
namespace {

constexpr double kMostSockets = 1 << 20;

template <class What>
auto within(const char* where, What what) {
    try {
        return what();
    } catch (const BadInput& bad) {
        throw BadInput(std::string(where) + ": " + bad.what());
    }
}

bool begins_alike(const Names& now, const Names& next) {
    if (next.size() < now.size()) return false;
    for (std::uint32_t n = 0; n < now.size(); ++n)
        if (now.name(n) != next.name(n)) return false;
    return true;
}

}  // namespace

NodeTerms read_node_terms(std::string_view raw, const Variable& variable) {
    JsonMember known = take_member(raw, "known");
    const Json file = Json::parse(known.rest, nullptr, false);
    if (file.is_discarded())
        throw BadInput("not JSON; expected one object with name, listen, discovery, settings");
    if (!file.is_object()) throw BadInput("not an object; expected name, listen, discovery, settings");
    const auto told = [&](const char* key, const char* name) {
        std::string value = text_or(file, key, "");
        if (value.empty()) value = variable(name);
        return value;
    };
    NodeTerms terms;
    terms.name = told("name", "ROUTER_NAME");
    terms.listen = told("listen", "ROUTER_LISTEN");
    terms.discovery = told("discovery", "ROUTER_DISCOVERY");
    if (terms.listen.empty()) throw BadInput("listen: missing; expected an address and a port");
    const std::string seed = text_or(file, "seed", "");
    terms.seed = static_cast<std::uint32_t>(mark(seed));
    const Json& limits = object_or_empty(file, "limits");
    within("limits", [&] {
        terms.memory_mb = number_or(limits, "memory_mb", 0);
        const double sockets = number_or(limits, "sockets", 0);
        if (!(sockets >= 0 && sockets <= kMostSockets)) throw BadInput("out of bounds: sockets");
        terms.sockets = static_cast<std::size_t>(sockets);
        return 0;
    });
    if (known.value != "null") terms.known = std::move(known.value);
    // Under a name that is spelt with escapes.
    if (const Json* listed = field(file, "known")) terms.known = listed->dump();
    const Json& settings = needed(file, "settings");
    if (!settings.is_object()) throw BadInput("not an object: settings");
    within("settings", [&] {
        terms.core = read_terms(settings, terms.named);
        terms.links = read_links(settings);
        return 0;
    });
    if (terms.core.kinds.empty()) throw BadInput("settings: models: no kind of model server is named");
    if (terms.core.categories.empty()) throw BadInput("settings: profiles: no category is named");
    return terms;
}

News read_known_list(const NodeTerms& terms) {
    if (terms.known.empty()) return {0, true, {}};
    return within("known", [&] {
        ListReader reader;
        reader.take(terms.known);
        News known = reader.finish();
        known.whole = true;
        return known;
    });
}

std::string stands_against(const NodeTerms& now, const NodeTerms& next) {
    if (!begins_alike(now.named.kinds, next.named.kinds)) return "settings: models may only have grown";
    if (!begins_alike(now.named.categories, next.named.categories))
        return "settings: profiles may only have grown";
    if (!begins_alike(now.named.groups, next.named.groups)) return "settings: realms may only have grown";
    if (!begins_alike(now.named.zones, next.named.zones)) return "settings: azs may only have grown";
    for (std::uint32_t k = 0; k < now.core.kinds.size(); ++k)
        if (now.core.kinds[k].role != next.core.kinds[k].role)
            return "settings: the role of " + now.named.kinds.name(k) + " cannot change";
    return "";
}

}  // namespace copperfront::platform
