#include "platform/settings.h"

#include <algorithm>

namespace copperfront::platform {

Terms read_terms(const Json& settings, SettingNames& names) {
    Terms terms;
    const Json& family_info = object_or_empty(settings, "family-info");
    const Json& limits = object_or_empty(settings, "limits");
    const Json& safety = object_or_empty(settings, "safety");
    const Json& load_info = object_or_empty(settings, "load-info");

    for (const Json& zone : array_or_empty(settings, "azs")) names.zones.intern(as_string(zone, "azs"));
    terms.zone = static_cast<std::uint16_t>(names.zones.intern(string_or(settings, "zone", "")));
    terms.gateways = std::max(1, static_cast<int>(number_or(settings, "balancers", 1)));

    const Json& roles = array_or_empty(family_info, "role-by-kind");
    const Json& memory = array_or_empty(family_info, "tokens-by-kind");
    for (const Json& model : array_or_empty(settings, "models")) {
        const std::size_t k = names.kinds.intern(as_string(model, "models"));
        Kind kind;
        if (k < roles.size()) {
            const std::string role = as_string(roles[k], "role-by-kind");
            if (role != "read" && role != "write" && role != "both") throw BadInput("unknown role: " + role);
            kind.role = role == "read" ? Role::prefill : role == "write" ? Role::decode : Role::mixed;
        }
        if (k < memory.size()) kind.memory_tokens = as_number(memory[k], "tokens-by-kind");
        terms.kinds.push_back(kind);
    }

    const Json& prompt_goals = array_or_empty(family_info, "aim-us-per-1000-prompt-tokens");
    const Json& token_gaps = array_or_empty(family_info, "token-aim-ms");
    for (const Json& profile : array_or_empty(settings, "profiles")) {
        const std::size_t c = names.categories.intern(required_string(profile, "name"));
        Category category;
        const std::string effect = string_or(profile, "effect", "repeatable");
        if (effect != "repeatable" && effect != "by_key" && effect != "once")
            throw BadInput("unknown effect: " + effect);
        category.effect = effect == "once"     ? Effect::effectful
                          : effect == "by_key" ? Effect::receipted
                                               : Effect::pure;
        const std::string scope = string_or(profile, "key-scope", "all");
        if (scope != "all" && scope != "zone" && scope != "cell")
            throw BadInput("unknown key-scope: " + scope);
        category.group = scope == "cell"   ? DedupScope::cell
                         : scope == "zone" ? DedupScope::zone
                                           : DedupScope::all;
        category.window = duration_or(profile, "window-ms", 0);
        category.latency_goal = {us_from_ms(required_number(profile, "target-ms"))};
        category.stream = flag(profile, "stream");
        if (c < prompt_goals.size())
            category.goal_per_thousand = {us_from_ms(as_number(prompt_goals[c], "aim-us") / 1000.0)};
        if (c < token_gaps.size())
            category.token_gap = {us_from_ms(as_number(token_gaps[c], "token-aim-ms"))};
        terms.categories.push_back(category);
    }

    for (const Json& realm : array_or_empty(settings, "realms")) {
        names.groups.intern(required_string(realm, "name"));
        terms.quotas.push_back(number_or(realm, "quota-per-s", 0));
    }

    terms.cancel = flag(limits, "cancel");
    terms.probes = flag(limits, "probes");
    terms.peers = flag(limits, "peers");
    terms.max_attempts = static_cast<std::uint32_t>(std::max(1.0, number_or(limits, "max-attempts", 1)));
    if (flag(limits, "retry-after")) terms.max_retry_after = duration_or(limits, "max-retry-after-ms", 0);
    terms.probe_fee = number_or(object_or_empty(settings, "fees"), "probe", 0);
    terms.decode_servers_prefill = flag(family_info, "writers-read");
    terms.ask_for_list = string_or(settings, "discovery", "pushed") == "on_request";
    const std::string load_mode = string_or(load_info, "how", "off");
    if (load_mode != "inline" && load_mode != "on_probe" && load_mode != "off")
        throw BadInput("unknown load-info.how: " + load_mode);
    terms.reports_by_probe = load_mode == "on_probe";
    for (const Json& name : array_or_empty(load_info, "names")) {
        if (load_mode == "off") break;
        terms.reports_memory_share |= as_string(name, "names") == "x0";
        terms.reports_queued_tokens |= as_string(name, "names") == "x1";
    }
    terms.quantum = duration_or(settings, "quantum-ms", 0);
    terms.connect_timeout = duration_or(limits, "connect-timeout-ms", 0);
    terms.connection_idle_timeout = duration_or(limits, "conn-idle-ms", 0);
    terms.release_within = duration_or(family_info, "release-ms", 1000);
    terms.start_capacity = number_or(safety, "start-capacity", 1);
    terms.overload_multiple = number_or(safety, "tip-multiple", 1);
    terms.overload_window = duration_or(safety, "fall-ms", 0);
    terms.warm_up_time = duration_or(safety, "warm-within-ms", 0);
    return terms;
}

ConnectionSettings read_connection_settings(const Json& settings) {
    const Json& limits = object_or_empty(settings, "limits");
    ConnectionSettings connections;
    connections.idle_timeout = duration_or(limits, "conn-idle-ms", 0);
    connections.max_waiting = number_or(limits, "most-held", 0);
    for (const Json& profile : array_or_empty(settings, "profiles"))
        connections.longest_deadline =
            std::max(connections.longest_deadline, duration_or(profile, "deadline-ms", 0));
    return connections;
}

}  // namespace copperfront::platform
