#include "scenario/script.h"

#include <algorithm>
#include <filesystem>
#include <set>

namespace copperfront::scenario {
namespace {

constexpr std::size_t kMaxFileBytes = 4 << 20;
constexpr double kHourMs = 3600000;

constexpr FormSpec kForms[] = {
    {"day", false, false, true, "The day as a whole."},
    {"roster", false, false, false, "How late the roster tells of changes."},
    {"gateway", true, true, true, "A gateway; a process of its own."},
    {"engine", true, true, true,
     "Stand-in engines; each a process of its own, named NAME or NAME1, NAME2 and so on."},
    {"traffic", true, true, true, "Callers of one kind; the callers of a zone share a process."},
    {"misfit", true, true, false, "Callers that break the protocol or do not read what they are sent."},
    {"trouble", true, true, false, "Something that goes wrong. Troubles may overlap."},
};

constexpr KeySpec kKeys[] = {
    {"day", "terms", ValueType::string, nullptr, 0, 0, "", "terms file of all gateways, beside the script"},
    {"day", "length", ValueType::duration, nullptr, 100, kHourMs, "", "time in which queries come"},
    {"day", "tail", ValueType::duration, "8s", 0, kHourMs, "", "time for the last queries to end"},
    {"day", "seed", ValueType::integer, "1", 1, 4294967295.0, "", "of all that is drawn"},
    {"day", "front-notice", ValueType::duration, "1s", 0, 60000, "",
     "for this long callers go on to a gateway that is down"},
    {"day", "cold-from", ValueType::number, "0.3", 0.01, 1, "share",
     "of its speed that an engine starts with"},
    {"day", "warm-in", ValueType::duration, "10s", 0, kHourMs, "",
     "until an engine that has started is at full speed"},
    {"roster", "least-delay", ValueType::duration, "200ms", 0, 60000, "",
     "from a change until a gateway hears of it"},
    {"roster", "most-delay", ValueType::duration, "1s", 0, 60000, "",
     "drawn for each gateway between the two"},
    {"gateway", "zone", ValueType::string, nullptr, 0, 0, "", "the zone it runs in"},
    {"engine", "count", ValueType::integer, "1", 1, 1000, "engines", "how many alike"},
    {"engine", "kind", ValueType::string, nullptr, 0, 0, "", "a kind of the terms file; tells the role"},
    {"engine", "zone", ValueType::string, nullptr, 0, 0, "", "the zone they stand in"},
    {"engine", "cell", ValueType::string, "a", 0, 0, "", "the cell in that zone"},
    {"engine", "slots", ValueType::integer, "8", 1, 10000, "queries", "at once"},
    {"engine", "queue", ValueType::integer, "40", 0, 100000, "queries", "that may wait"},
    {"engine", "memory", ValueType::number, "200000", 1, 1e12, "tokens", ""},
    {"engine", "kept", ValueType::number, "100000", 0, 1e12, "tokens", "of texts read before that are kept"},
    {"engine", "read-rate", ValueType::number, "20000", 1, 1e9, "prompt tokens a second", ""},
    {"engine", "step-ms", ValueType::number, "12", 0.01, 10000, "ms", "for one token of every stream"},
    {"engine", "step-ms-per-stream", ValueType::number, "0.2", 0, 1000, "ms", "more for each stream"},
    {"engine", "fetch-rate", ValueType::number, "300000", 1, 1e9, "tokens a second",
     "at which a state moves"},
    {"engine", "cold", ValueType::flag, "no", 0, 0, "", "starts the day cold"},
    {"traffic", "zone", ValueType::string, nullptr, 0, 0, "", "whose gateways they call"},
    {"traffic", "category", ValueType::string, nullptr, 0, 0, "", "of their queries"},
    {"traffic", "client-group", ValueType::string, "", 0, 0, "", "of theirs"},
    {"traffic", "rate", ValueType::number, nullptr, 0.001, 100000, "queries a second",
     "drawn ahead, never waiting for answers"},
    {"traffic", "connections", ValueType::integer, "8", 1, 10000, "connections",
     "to each gateway of the zone"},
    {"traffic", "prompt", ValueType::number, "1200", 1, 1e6, "tokens", "mean length of a first prompt"},
    {"traffic", "beginnings", ValueType::integer, "5", 0, 100000, "texts",
     "shared beginnings among the sessions"},
    {"traffic", "beginning-tokens", ValueType::number, "600", 0, 1e6, "tokens", "of each"},
    {"traffic", "sessions", ValueType::number, "2", 1, 1000, "queries", "mean length of a session"},
    {"traffic", "most-tokens", ValueType::number, "30", 1, 1e6, "tokens", "asked for at most"},
    {"traffic", "budget", ValueType::duration, "6s", 10, kHourMs, "", "until a caller gives up"},
    {"traffic", "patience", ValueType::number, "1", 0.1, 1, "share",
     "of its budget that a caller really waits, at the least"},
    {"traffic", "leave", ValueType::number, "0", 0, 1, "share",
     "of callers that leave early, at some time in their budget"},
    {"traffic", "repeats", ValueType::integer, "0", 0, 20, "tries",
     "a caller tries again this often, where its category allows"},
    {"traffic", "repeat-wait", ValueType::duration, "0ms", 0, 60000, "",
     "before it tries again; 0ms: at once"},
    {"traffic", "hints", ValueType::flag, "no", 0, 0, "",
     "whether queries carry a hint of their answer's length"},
    {"misfit", "zone", ValueType::string, nullptr, 0, 0, "", "whose gateways they call"},
    {"misfit", "kind", ValueType::choice, nullptr, 0, 0,
     "never-reads garbage half-lines long-line silent same-id", ""},
    {"misfit", "count", ValueType::integer, "1", 1, 1000, "connections", ""},
    {"misfit", "at", ValueType::duration, "1s", 0, kHourMs, "", "from the beginning of the day"},
    {"trouble", "what", ValueType::choice, nullptr, 0, 0,
     "crash slow ageing errors forget lost-silent lost-reset greeting hang drain cut roster-late "
     "kill-gateway "
     "roll-gateways reload burst",
     ""},
    {"trouble", "at", ValueType::duration, nullptr, 0, kHourMs, "", "from the beginning of the day"},
    {"trouble", "for", ValueType::duration, "0ms", 0, kHourMs, "",
     "how long it lasts; of crash, until the engine is back"},
    {"trouble", "on", ValueType::strings, "", 0, 0, "", "names of engines or gateways, or * for all"},
    {"trouble", "zone", ValueType::string, "", 0, 0, "", "of a cut: the zone that is cut off"},
    {"trouble", "size", ValueType::number, "1", 0, 1e6, "",
     "slow, ageing, burst: times; errors, lost: share; greeting, roster-late: ms"},
};

constexpr Schema kSchema{"day", kForms, kKeys};

const std::set<std::string> kServerFaults = {"crash",       "slow",       "ageing",   "errors", "forget",
                                             "lost-silent", "lost-reset", "greeting", "hang",   "drain"};
const std::set<std::string> kGatewayFaults = {"kill-gateway", "roll-gateways", "reload"};

}  // namespace

const Schema& scenario_schema() { return kSchema; }

bool read_scenario_file(const std::string& path, Scenario& s, GatewayTerms& terms,
                        std::vector<Diagnostic>& diagnostics) {
    std::string text;
    if (!read_file(path, kMaxFileBytes, text, diagnostics)) return false;
    const Form file = parse_forms(text, kSchema.head, diagnostics);
    if (!diagnostics.empty()) return false;
    const std::vector<ParsedForm> forms = read_parsed_forms(file, kSchema, diagnostics);
    if (!diagnostics.empty()) return false;
    const auto add_diagnostic = [&](const ParsedForm& form, const char* key, const std::string& what) {
        diagnostics.push_back({form.at(key).line, form.path() + " / " + key, what});
    };

    const ParsedForm& day = single_form(forms, "day");
    s.name = std::filesystem::path(path).stem().string();
    s.terms_file = (std::filesystem::path(path).parent_path() / day.text("terms")).string();
    s.length = day.duration("length");
    s.tail = day.duration("tail");
    s.seed = static_cast<std::uint32_t>(day.number("seed"));
    s.down_detection_delay = day.duration("front-notice");
    s.cold_speed_share = day.number("cold-from");
    s.warm_up_time = day.duration("warm-in");
    const ParsedForm& roster = single_form(forms, "roster");
    s.roster_min_delay = roster.duration("least-delay");
    s.roster_max_delay = roster.duration("most-delay");
    if (s.roster_min_delay > s.roster_max_delay)
        add_diagnostic(roster, "least-delay", "is longer than most-delay");

    const std::vector<const ParsedForm*> gateways = forms_of_kind(forms, "gateway");
    Overrides first;
    first.name = gateways.front()->name;
    first.zone = gateways.front()->text("zone");
    std::vector<Diagnostic> terms_diagnostics;
    if (!read_terms_file(s.terms_file, first, terms, terms_diagnostics)) {
        diagnostics.push_back(
            {day.at("terms").line, "day / terms", format_diagnostics(s.terms_file, terms_diagnostics)});
        return false;
    }
    const auto check_zone = [&](const ParsedForm& form) {
        if (!terms.zones.find(form.text("zone")))
            add_diagnostic(form, "zone", "no such zone in " + s.terms_file + ": " + form.text("zone"));
    };

    std::set<std::string> gateway_names, server_names, zones_served;
    for (const ParsedForm* g : gateways) {
        check_zone(*g);
        s.gateways.push_back({g->name, g->text("zone")});
        gateway_names.insert(g->name);
        zones_served.insert(g->text("zone"));
    }
    if (static_cast<int>(s.gateways.size()) != terms.core.gateways)
        diagnostics.push_back({day.line, "gateway",
                               std::to_string(s.gateways.size()) + " here, but " + s.terms_file +
                                   " says fleet / gateways " + std::to_string(terms.core.gateways)});
    for (const ParsedForm* e : forms_of_kind(forms, "engine")) {
        check_zone(*e);
        ServerPlan plan;
        plan.kind = e->text("kind");
        plan.zone = e->text("zone");
        plan.cell = e->text("cell");
        if (const std::uint32_t* k = terms.kinds.find(plan.kind)) {
            const Role role = terms.core.kinds[*k].role;
            plan.role = role == Role::prefill ? "reader" : role == Role::decode ? "writer" : "mixed";
        } else {
            add_diagnostic(*e, "kind", "no such kind in " + s.terms_file + ": " + plan.kind);
        }
        plan.load_reports = terms.core.reports_by_probe                                           ? "on-probe"
                            : terms.core.reports_memory_share || terms.core.reports_queued_tokens ? "inline"
                                                                                                  : "none";
        plan.slots = e->size("slots");
        plan.queue = e->size("queue");
        plan.memory_tokens = e->number("memory");
        plan.cache_tokens = e->number("kept");
        plan.prefill_tokens_per_s = e->number("read-rate");
        plan.step_ms = e->number("step-ms");
        plan.step_ms_per_stream = e->number("step-ms-per-stream");
        plan.transfer_tokens_per_s = e->number("fetch-rate");
        plan.cold = e->flag("cold");
        const std::size_t count = e->size("count");
        for (std::size_t n = 1; n <= count; ++n) {
            plan.name = count == 1 ? e->name : e->name + std::to_string(n);
            if (!server_names.insert(plan.name).second || gateway_names.count(plan.name) ||
                plan.name == "run" || plan.name == "roster" || plan.name.rfind("callers-", 0) == 0)
                add_diagnostic(*e, "count", "the name " + plan.name + " is taken");
            s.servers.push_back(plan);
        }
    }
    for (const ParsedForm* t : forms_of_kind(forms, "traffic")) {
        check_zone(*t);
        if (!zones_served.count(t->text("zone"))) add_diagnostic(*t, "zone", "has no gateway in this script");
        TrafficPlan plan;
        plan.name = t->name;
        plan.zone = t->text("zone");
        plan.category = t->text("category");
        plan.client_group = t->text("client-group");
        plan.requests_per_s = t->number("rate");
        plan.connections = t->size("connections");
        plan.mean_prompt_tokens = t->number("prompt");
        plan.shared_prefixes = t->size("beginnings");
        plan.shared_prefix_tokens = t->number("beginning-tokens");
        plan.mean_session_requests = t->number("sessions");
        plan.max_output_tokens = t->number("most-tokens");
        plan.time_budget = t->duration("budget");
        plan.min_wait_share = t->number("patience");
        plan.leave_share = t->number("leave");
        plan.max_repeats = t->size("repeats");
        plan.repeat_delay = t->duration("repeat-wait");
        plan.sends_duration_hint = t->flag("hints");
        if (!terms.categories.find(plan.category))
            add_diagnostic(*t, "category", "no such category in " + s.terms_file + ": " + plan.category);
        if (!plan.client_group.empty() && !terms.client_groups.find(plan.client_group))
            add_diagnostic(*t, "client-group",
                           "no such client group in " + s.terms_file + ": " + plan.client_group);
        if (plan.shared_prefix_tokens > plan.mean_prompt_tokens)
            add_diagnostic(*t, "beginning-tokens", "more than the mean prompt");
        s.traffic.push_back(plan);
    }
    for (const ParsedForm* m : forms_of_kind(forms, "misfit")) {
        check_zone(*m);
        s.misbehaving_clients.push_back(
            {m->name, m->text("zone"), m->text("kind"), m->size("count"), m->duration("at")});
    }
    for (const ParsedForm* t : forms_of_kind(forms, "trouble")) {
        FaultPlan plan{t->name,           t->text("what"),    t->text("zone"),
                       t->duration("at"), t->duration("for"), t->at("on").strings,
                       t->number("size")};
        const bool at_servers = kServerFaults.count(plan.kind) != 0,
                   at_gateways = kGatewayFaults.count(plan.kind) != 0;
        if ((at_servers || at_gateways) && plan.targets.empty())
            add_diagnostic(*t, "on", "expected the names of its targets, or *");
        if (!at_servers && !at_gateways && !plan.targets.empty())
            add_diagnostic(*t, "on", plan.kind + " takes no names");
        const auto& known = at_servers ? server_names : gateway_names;
        if (plan.targets.size() == 1 && plan.targets[0] == "*")
            plan.targets.assign(known.begin(), known.end());
        for (const std::string& name : plan.targets)
            if (!known.count(name))
                add_diagnostic(
                    *t, "on",
                    "no such " + std::string(at_servers ? "engine" : "gateway") + " in this script: " + name);
        if ((plan.kind == "cut") != !plan.zone.empty())
            add_diagnostic(*t, "zone", "is required for a cut, and allowed only there");
        if (plan.kind == "cut" && !terms.zones.find(plan.zone))
            add_diagnostic(*t, "zone", "no such zone: " + plan.zone);
        if (plan.kind != "forget" && plan.duration.us == 0)
            add_diagnostic(*t, "for", "expected how long " + plan.kind + " lasts");
        if (plan.at + plan.duration > s.length + s.tail)
            add_diagnostic(*t, "at", "lasts past the end of the scenario");
        s.fault_plans.push_back(plan);
    }
    return diagnostics.empty();
}

}  // namespace copperfront::scenario
