#include "platform/settings.h"

#include <algorithm>

namespace copperfront::platform {

Terms read_terms(const Json& env, Named& named) {
    Terms t;
    const Json& info = object_or_empty(env, "family-info");
    const Json& limits = object_or_empty(env, "limits");
    const Json& safety = object_or_empty(env, "safety");
    const Json& load = object_or_empty(env, "load-info");

    for (const Json& zone : list_or_empty(env, "azs")) named.zones.index(as_text(zone, "azs"));
    t.zone = static_cast<std::uint16_t>(named.zones.index(text_or(env, "zone", "")));
    t.gateways = std::max(1, static_cast<int>(number_or(env, "balancers", 1)));

    const Json& roles = list_or_empty(info, "role-by-kind");
    const Json& memory = list_or_empty(info, "tokens-by-kind");
    for (const Json& model : list_or_empty(env, "models")) {
        const std::size_t k = named.kinds.index(as_text(model, "models"));
        Kind kind;
        if (k < roles.size()) {
            const std::string role = as_text(roles[k], "role-by-kind");
            if (role != "read" && role != "write" && role != "both") throw BadInput("unknown role: " + role);
            kind.role = role == "read" ? Role::reader : role == "write" ? Role::writer : Role::mixed;
        }
        if (k < memory.size()) kind.memory_tokens = as_number(memory[k], "tokens-by-kind");
        t.kinds.push_back(kind);
    }

    const Json& stretch = list_or_empty(info, "aim-us-per-1000-prompt-tokens");
    const Json& gaps = list_or_empty(info, "token-aim-ms");
    for (const Json& profile : list_or_empty(env, "profiles")) {
        const std::size_t c = named.categories.index(text(profile, "name"));
        Category category;
        const std::string effect = text_or(profile, "effect", "repeatable");
        if (effect != "repeatable" && effect != "by_key" && effect != "once")
            throw BadInput("unknown effect: " + effect);
        category.effect = effect == "once"     ? Effect::effectful
                          : effect == "by_key" ? Effect::receipted
                                               : Effect::pure;
        const std::string scope = text_or(profile, "key-scope", "all");
        if (scope != "all" && scope != "zone" && scope != "cell")
            throw BadInput("unknown key-scope: " + scope);
        category.group = scope == "cell" ? Group::cell : scope == "zone" ? Group::zone : Group::all;
        category.window = span_or(profile, "window-ms", 0);
        category.latency_goal = {micros(number(profile, "target-ms"))};
        category.stream = flag(profile, "stream");
        if (c < stretch.size())
            category.goal_per_thousand = {micros(as_number(stretch[c], "aim-us") / 1000.0)};
        if (c < gaps.size()) category.token_gap = {micros(as_number(gaps[c], "token-aim-ms"))};
        t.categories.push_back(category);
    }

    for (const Json& realm : list_or_empty(env, "realms")) {
        named.groups.index(text(realm, "name"));
        t.quotas.push_back(number_or(realm, "quota-per-s", 0));
    }

    t.cancel = flag(limits, "cancel");
    t.probes = flag(limits, "probes");
    t.peers = flag(limits, "peers");
    t.max_attempts = static_cast<std::uint32_t>(std::max(1.0, number_or(limits, "max-attempts", 1)));
    if (flag(limits, "retry-after")) t.max_stay_away = span_or(limits, "max-retry-after-ms", 0);
    t.probe_fee = number_or(object_or_empty(env, "fees"), "probe", 0);
    t.writers_read = flag(info, "writers-read");
    t.ask_for_list = text_or(env, "discovery", "pushed") == "on_request";
    const std::string how = text_or(load, "how", "off");
    if (how != "inline" && how != "on_probe" && how != "off") throw BadInput("unknown load-info.how: " + how);
    t.reports_by_probe = how == "on_probe";
    for (const Json& name : list_or_empty(load, "names")) {
        if (how == "off") break;
        t.reports_memory |= as_text(name, "names") == "x0";
        t.reports_unread |= as_text(name, "names") == "x1";
    }
    t.quantum = span_or(env, "quantum-ms", 0);
    t.connect_within = span_or(limits, "connect-timeout-ms", 0);
    t.connections_rest = span_or(limits, "conn-idle-ms", 0);
    t.release_within = span_or(info, "release-ms", 1000);
    t.start_capacity = number_or(safety, "start-capacity", 1);
    t.tip_multiple = number_or(safety, "tip-multiple", 1);
    t.fall = span_or(safety, "fall-ms", 0);
    t.warm_within = span_or(safety, "warm-within-ms", 0);
    return t;
}

Links read_links(const Json& env) {
    const Json& limits = object_or_empty(env, "limits");
    Links links;
    links.idle = span_or(limits, "conn-idle-ms", 0);
    links.most_held = number_or(limits, "most-held", 0);
    for (const Json& profile : list_or_empty(env, "profiles"))
        links.longest_wait = std::max(links.longest_wait, span_or(profile, "deadline-ms", 0));
    return links;
}

}  // namespace copperfront::platform
