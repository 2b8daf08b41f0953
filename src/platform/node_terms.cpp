#include "platform/node_terms.h"

#include "interning/name_table.h"
#include "platform/json_member.h"
#include "platform/list_reader.h"

namespace copperfront::platform {
namespace {

constexpr double kMaxDescriptors = 1 << 20;

template <class Function>
auto with_context(const char* context, Function function) {
    try {
        return function();
    } catch (const BadInput& error) {
        throw BadInput(std::string(context) + ": " + error.what());
    }
}

bool is_prefix(const NameTable& now, const NameTable& next) {
    if (next.size() < now.size()) return false;
    for (std::uint32_t n = 0; n < now.size(); ++n)
        if (now.name(n) != next.name(n)) return false;
    return true;
}

}  // namespace

NodeTerms read_node_terms(std::string_view text, const EnvironmentLookup& environment) {
    JsonMember known_member = extract_member(text, "known");
    const Json file = Json::parse(known_member.rest, nullptr, false);
    if (file.is_discarded())
        throw BadInput("not JSON; expected one object with name, listen, discovery, settings");
    if (!file.is_object()) throw BadInput("not an object; expected name, listen, discovery, settings");
    const auto text_or_variable = [&](const char* key, const char* name) {
        std::string value = string_or(file, key, "");
        if (value.empty()) value = environment(name);
        return value;
    };
    NodeTerms terms;
    terms.name = text_or_variable("name", "ROUTER_NAME");
    terms.listen = text_or_variable("listen", "ROUTER_LISTEN");
    terms.discovery = text_or_variable("discovery", "ROUTER_DISCOVERY");
    if (terms.listen.empty()) throw BadInput("listen: missing; expected an address and a port");
    const std::string seed = string_or(file, "seed", "");
    terms.seed = static_cast<std::uint32_t>(hash_of(seed));
    const Json& limits = object_or_empty(file, "limits");
    with_context("limits", [&] {
        terms.memory_mb = number_or(limits, "memory_mb", 0);
        const double sockets = number_or(limits, "sockets", 0);
        if (!(sockets >= 0 && sockets <= kMaxDescriptors)) throw BadInput("out of bounds: sockets");
        terms.max_descriptors = static_cast<std::size_t>(sockets);
        return 0;
    });
    if (known_member.value != "null") terms.known_list = std::move(known_member.value);
    // The member's name may be spelt with escapes, which extract_member() does not recognise.
    if (const Json* known_json = field(file, "known")) terms.known_list = known_json->dump();
    const Json& settings = required_field(file, "settings");
    if (!settings.is_object()) throw BadInput("not an object: settings");
    with_context("settings", [&] {
        terms.core = read_terms(settings, terms.names);
        // Model servers of the platform answer every request with a stream, also of a class that does not ask
        // for one.
        for (Category& category : terms.core.categories) category.stream = true;
        terms.connection_settings = read_connection_settings(settings);
        return 0;
    });
    if (terms.core.kinds.empty())
        throw BadInput("settings: models: expected at least one kind of model server");
    if (terms.core.categories.empty()) throw BadInput("settings: profiles: expected at least one category");
    return terms;
}

ServerListUpdate read_known_list(const NodeTerms& terms) {
    if (terms.known_list.empty()) return {0, true, {}};
    return with_context("known", [&] {
        ServerListReader reader;
        reader.take(terms.known_list);
        ServerListUpdate list = reader.finish();
        list.is_snapshot = true;
        return list;
    });
}

std::string reload_conflict(const NodeTerms& now, const NodeTerms& next) {
    if (!is_prefix(now.names.kinds, next.names.kinds)) return "settings: models may only be appended to";
    if (!is_prefix(now.names.categories, next.names.categories))
        return "settings: profiles may only be appended to";
    if (!is_prefix(now.names.groups, next.names.groups)) return "settings: realms may only be appended to";
    if (!is_prefix(now.names.zones, next.names.zones)) return "settings: azs may only be appended to";
    for (std::uint32_t k = 0; k < now.core.kinds.size(); ++k)
        if (now.core.kinds[k].role != next.core.kinds[k].role)
            return "settings: the role of " + now.names.kinds.name(k) + " cannot change";
    return "";
}

}  // namespace copperfront::platform
