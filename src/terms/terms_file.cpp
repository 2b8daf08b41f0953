#include "terms/terms_file.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace copperfront {
namespace {

constexpr std::size_t kMaxFileBytes = 4 << 20;
constexpr double kDay = 86400000;

constexpr FormSpec kForms[] = {
    {"gateway", false, false, true, "The gateway itself; all keys can be given on the command line instead."},
    {"fleet", false, false, false, "What is known of the fleet of gateways. Gateways share nothing."},
    {"zone", true, true, true, "A data centre."},
    {"kind", true, true, true, "A kind of engine, as the roster names it."},
    {"category", true, true, true, "A category of queries."},
    {"client-group", true, true, false, "A group of clients that has a share of the service."},
    {"rules", false, false, true,
     "Figures of the five rules. They are promises to others: state what was agreed."},
    {"allow", false, false, false, "What the installation allows a gateway to do."},
    {"reports", false, false, false, "Reports of load by the engines."},
    {"bounds", false, false, false, "Bounds on what peers may cost."},
    {"peer", true, true, false, "Another gateway that short notes are sent to, where allow / peers is yes."},
    {"listener", true, true, false, "A further address for callers; routes can tell callers by it."},
    {"route", true, true, false,
     "Limits for the queries that fit it. The most specific route that fits is taken. A limit that is not "
     "stated is "
     "that of the parent; conditions are not inherited. The route `default` fits every query and may state "
     "limits only."},
    {"trace", false, false, false,
     "The trace of queries and decisions, in files that `copperfront trace` reads."},
    {"log", false, false, false, "The log."},
};

constexpr KeySpec kKeys[] = {
    {"gateway", "name", ValueType::string, "gateway", 0, 0, "",
     "names the gateway in the log and to engines"},
    {"gateway", "zone", ValueType::string, "", 0, 0, "", "the zone it runs in; one of the zones below"},
    {"gateway", "listen", ValueType::string, "127.0.0.1:0", 0, 0, "",
     "loopback address for callers; port 0: any free one"},
    {"gateway", "roster", ValueType::string, "", 0, 0, "", "loopback address of the roster"},
    {"gateway", "state-folder", ValueType::string, "", 0, 0, "",
     "folder for the last list of servers; none: a restart begins without one"},
    {"gateway", "peer-listen", ValueType::string, "", 0, 0, "",
     "loopback address on which notes of other gateways are heard; needed where allow / peers is yes"},
    {"peer", "at", ValueType::string, nullptr, 0, 0, "", "its loopback address for notes"},
    {"fleet", "gateways", ValueType::integer, "1", 1, 100000, "",
     "gateways in service, of which each keeps to its part"},
    {"fleet", "parts", ValueType::choice, "even", 0, 0, "even learned",
     "how limits that are stated for the fleet are divided: alike, or by each gateway's share of the memory "
     "that "
     "writers report"},
    {"fleet", "quantum", ValueType::duration, "4ms", 0.1, 1000, "",
     "how late a timer may ring; answers go out this much before a hard stop"},
    {"kind", "role", ValueType::choice, nullptr, 0, 0, "reader writer mixed",
     "reads prompts, writes answers, or does both"},
    {"kind", "memory-tokens", ValueType::integer, "0", 0, 1e12, "tokens; 0: not told",
     "memory of one such engine"},
    {"category", "effect", ValueType::choice, "pure", 0, 0, "pure receipted effectful",
     "may run again; may where its mark is known; must never run twice"},
    {"category", "group", ValueType::choice, "all", 0, 0, "all zone cell",
     "receipted only: the engines that drop each other's repeats"},
    {"category", "window", ValueType::duration, "0ms", 0, kDay, "",
     "receipted only: for how long they know a mark"},
    {"category", "latency-goal", ValueType::duration, nullptr, 1, kDay, "",
     "the first token is wanted within this"},
    {"category", "goal-per-thousand", ValueType::duration, "0ms", 0, 600000, "",
     "added to the latency goal for each 1,000 prompt tokens"},
    {"category", "token-gap", ValueType::duration, "0ms", 0, 60000, "",
     "wanted time between tokens; 0ms: none wanted"},
    {"category", "hard-stop", ValueType::duration, nullptr, 1, kDay, "",
     "the longest that a client waits for a first token"},
    {"category", "stream", ValueType::flag, "yes", 0, 0, "", "whether answers come token by token"},
    {"client-group", "quota", ValueType::number, "0", 0, 1e9, "queries a second over all gateways; 0: none",
     "its share of the service"},
    {"rules", "answer-slack", ValueType::duration, "16ms", 0, 60000, "",
     "rule 1: past the hard stop, an answer still counts"},
    {"rules", "drain-grace", ValueType::duration, nullptr, 0, 600000, "",
     "rule 3: nothing new to a server later than this after it was told to drain or be gone"},
    {"rules", "start-capacity", ValueType::number, nullptr, 0.001, 1, "share",
     "rule 4: a cold server can do this part of its work"},
    {"rules", "tip-multiple", ValueType::number, nullptr, 1, 1000, "times",
     "rule 4: sent more than this multiple of what it can do, a cold server falls over"},
    {"rules", "fall", ValueType::duration, nullptr, 1, 600000, "", "rule 4: for this long"},
    {"rules", "warm-within", ValueType::duration, nullptr, 0, 3600000, "",
     "rule 4: a server is warm after this"},
    {"rules", "release-within", ValueType::duration, nullptr, 1, 600000, "",
     "rule 5: a state or place nobody waits for is taken or let go within this"},
    {"rules", "most-launches", ValueType::integer, "4", 1, 64, "launches", "for one query"},
    {"allow", "cancel", ValueType::flag, "yes", 0, 0, "", "launches may be called off"},
    {"allow", "second-copies", ValueType::flag, "no", 0, 0, "", "a query may have two launches out at once"},
    {"allow", "peers", ValueType::flag, "no", 0, 0, "",
     "gateways may tell each other what they send to writers, and which leave a category unanswered"},
    {"allow", "probes", ValueType::flag, "no", 0, 0, "", "engines may be probed"},
    {"allow", "probe-fee", ValueType::number, "0", 0, 1, "points of the result",
     "what one probe a query costs; the module probes as much as this allows"},
    {"allow", "writers-read", ValueType::flag, "no", 0, 0, "",
     "a writer without a state reads the prompt itself"},
    {"allow", "stay-away", ValueType::duration, "1s", 0, 600000, "",
     "longest time a declined client is asked to stay away"},
    {"allow", "ask-for-list", ValueType::flag, "no", 0, 0, "",
     "the module asks for the list of servers; no: the roster pushes it"},
    {"reports", "how", ValueType::choice, "none", 0, 0, "none inline on-probe",
     "engines tell no load, tell it with their answers, or when probed"},
    {"reports", "memory", ValueType::flag, "no", 0, 0, "", "reports hold the share of memory that is held"},
    {"reports", "unread", ValueType::flag, "no", 0, 0, "",
     "reports hold the prompt tokens that wait to be read"},
    {"bounds", "line-bytes", ValueType::integer, "1048576", 256, 1 << 30, "bytes", "longest message"},
    {"bounds", "unsent-bytes", ValueType::integer, "4194304", 1024, 1 << 30, "bytes",
     "most that may wait for a peer that does not read; it is then cut off"},
    {"bounds", "callers", ValueType::integer, "10000", 1, 1000000, "connections", "most callers at once"},
    {"bounds", "open-queries", ValueType::integer, "30000", 1, 1000000, "queries",
     "most queries in hand; more are not taken"},
    {"bounds", "queries-a-caller", ValueType::integer, "1000", 1, 1000000, "queries",
     "most open queries of one connection"},
    {"bounds", "bad-messages", ValueType::integer, "20", 1, 1000000, "messages",
     "bad messages after which a connection is closed"},
    {"bounds", "caller-silence", ValueType::duration, "5min", 100, kDay, "",
     "a caller without an open query that says nothing for this long is cut off"},
    {"bounds", "streams-a-link", ValueType::integer, "100", 1, 100000, "launches",
     "launches that one link carries at once"},
    {"bounds", "connect-timeout", ValueType::duration, "250ms", 1, 60000, "",
     "a link to an engine that is not made and greeted within this counts as unreachable"},
    {"bounds", "idle-link", ValueType::duration, "15s", 10, kDay, "",
     "a link to an engine idle for this long is closed"},
    {"bounds", "ping-after", ValueType::duration, "2s", 10, kDay, "",
     "a link with launches out that has been silent for this long is pinged"},
    {"bounds", "engine-silence", ValueType::duration, "10s", 10, kDay, "",
     "a link with launches out that has been silent for this long counts as broken"},
    {"bounds", "redial", ValueType::duration, "500ms", 10, 600000, "",
     "between tries to reach the roster again"},
    {"bounds", "stop-within", ValueType::duration, "30s", 0, kDay, "",
     "at a stop, how long open queries may take; then they are given up"},
    {"fleet", "queries-a-second", ValueType::number, "0", 0, 1e9, "queries a second; 0: not told",
     "what the fleet is sold for: quotas of client groups may not add up to more"},
    {"listener", "at", ValueType::string, nullptr, 0, 0, "", "loopback address"},
    {"route", "parent", ValueType::string, "default", 0, 0, "",
     "the route whose limits hold where this one states none"},
    {"route", "category", ValueType::string, "", 0, 0, "", "condition: of this category"},
    {"route", "client-group", ValueType::string, "", 0, 0, "", "condition: of this client group"},
    {"route", "listener", ValueType::string, "", 0, 0, "",
     "condition: came in on this listener; `main` is the gateway's own"},
    {"route", "attributes", ValueType::strings, "", 0, 0, "",
     "condition: carries all of these, each as \"name=value\""},
    {"route", "prompt-from", ValueType::number, "", 0, 1e9, "tokens",
     "condition: a prompt of at least so many"},
    {"route", "prompt-under", ValueType::number, "", 1, 1e9, "tokens", "condition: a prompt of fewer"},
    {"route", "connect", ValueType::duration, "", 1, kDay, "",
     "a launch whose connection is not made and greeted by then is taken back unsent, and goes elsewhere"},
    {"route", "read", ValueType::duration, "", 1, kDay, "", "a launch to a reader is called off after this"},
    {"route", "hand-over", ValueType::duration, "", 1, kDay, "",
     "a state that has been read waits this long for a writer"},
    {"route", "first-token", ValueType::duration, "", 1, kDay, "",
     "a launch to a writer is called off after this without a token"},
    {"route", "gap", ValueType::duration, "", 1, kDay, "",
     "a stream that is silent for this long counts as broken"},
    {"route", "whole", ValueType::duration, "", 1, kDay, "", "all of it, to the last token"},
    {"route", "most-launches", ValueType::integer, "", 2, 64, "launches", "for one query"},
    {"route", "after-unreachable", ValueType::integer, "", 0, 64, "launches",
     "further ones after one that was never made"},
    {"route", "after-full", ValueType::integer, "", 0, 64, "launches",
     "further ones after one that was turned away"},
    {"route", "after-failed", ValueType::integer, "", 0, 64, "launches",
     "further ones after an error or a broken link"},
    {"route", "after-silent", ValueType::integer, "", 0, 64, "launches",
     "further ones after silence or a time limit"},
    {"route", "retry-share", ValueType::number, "", 0, 10, "of first launches",
     "further launches over the window"},
    {"route", "retry-floor", ValueType::number, "", 0, 1e6, "launches a second",
     "further launches besides, over all gateways"},
    {"route", "retry-window", ValueType::duration, "", 1000, 600000, "", "over which the share is taken"},
    {"route", "second-copies", ValueType::flag, "", 0, 0, "",
     "of pure queries, where allow / second-copies is yes"},
    {"route", "second-after", ValueType::duration, "", 1, kDay, "",
     "without a first token for this long; left out: learned, the time that 19 of 20 first tokens keep to"},
    {"route", "second-share", ValueType::number, "", 0, 1, "of queries",
     "most second copies over the retry window; left out: 0.05"},
    {"route", "rate", ValueType::number, "", 0, 1e9, "queries a second", "over all gateways"},
    {"route", "burst", ValueType::number, "", 1, 1e9, "queries",
     "at once, over all gateways; left out: a second's rate"},
    {"route", "in-hand", ValueType::number, "", 0, 1e9, "queries", "over all gateways"},
    {"route", "held", ValueType::number, "", 0, 1e9, "queries",
     "that wait for their read, over all gateways"},
    {"route", "prompt-tokens", ValueType::number, "", 0, 1e12, "tokens",
     "of queries in hand, over all gateways"},
    {"route", "answer-rate", ValueType::number, "", 0, 1e12, "tokens a second",
     "of answers, over all gateways"},
    {"route", "adapts", ValueType::flag, "", 0, 0, "", "finds by itself how many queries may be in hand"},
    {"route", "closed", ValueType::flag, "", 0, 0, "", "takes nothing, and that is meant"},
    {"route", "stay-away", ValueType::duration, "", 1, 600000, "", "longest time to come back that is told"},
    {"trace", "folder", ValueType::string, "", 0, 0, "", "folder for trace files; none: no trace is kept"},
    {"trace", "file-bytes", ValueType::integer, "67108864", 65536, 1e12, "bytes",
     "a new file begins at this size"},
    {"trace", "file-age", ValueType::duration, "1h", 1000, 30 * kDay, "", "and at this age"},
    {"trace", "folder-bytes", ValueType::integer, "1073741824", 131072, 1e15, "bytes",
     "of all files of this gateway's name; the oldest are let go first"},
    {"trace", "hand-over", ValueType::duration, "1s", 1, 60000, "",
     "rows go to the disk this long after they were made; a kill loses no more"},
    {"trace", "sync", ValueType::duration, "1s", 1, 600000, "",
     "between syncs; a loss of power loses no more"},
    {"log", "level", ValueType::choice, "info", 0, 0, "trace debug info warn error",
     "least weight that is written"},
    {"log", "form", ValueType::choice, "json", 0, 0, "json text", "JSON lines, or lines for people"},
    {"log", "file", ValueType::string, "", 0, 0, "", "file; none: standard error"},
    {"log", "file-bytes", ValueType::integer, "67108864", 4096, 1e12, "bytes",
     "size at which a log file is turned over"},
    {"log", "files", ValueType::integer, "4", 1, 1000, "files", "log files kept"},
};

constexpr Schema kSchema{"copperfront", kForms, kKeys};

constexpr const char* kDefault = "default";

// Overrides the limits inherited from the parent with those that the form states.
void apply_stated_limits(const ParsedForm& form, RouteTerms& route) {
    RouteLimits& limits = route.limits;
    const auto stated = [&](const char* key) {
        if (!form.at(key).given) return false;
        std::erase_if(route.limit_sources, [&](const auto& f) { return f.key == key; });
        route.limit_sources.push_back({key, route.name, form.at(key).source_text});
        return true;
    };
    const auto set_duration = [&](const char* key, Duration& to) {
        if (stated(key)) to = form.duration(key);
    };
    const auto set_number = [&](const char* key, double& to) {
        if (stated(key)) to = form.number(key);
    };
    const auto set_count = [&](const char* key, std::uint32_t& to) {
        if (stated(key)) to = static_cast<std::uint32_t>(form.number(key));
    };
    const auto set_flag = [&](const char* key, bool& to) {
        if (stated(key)) to = form.flag(key);
    };
    set_duration("connect", limits.connect);
    set_duration("read", limits.prefill);
    set_duration("hand-over", limits.hand_over);
    set_duration("first-token", limits.first_token);
    set_duration("gap", limits.token_gap);
    set_duration("whole", limits.total);
    set_duration("retry-window", limits.retry_window);
    set_duration("stay-away", limits.retry_after);
    set_count("most-launches", limits.max_attempts);
    set_count("after-unreachable", limits.max_after[static_cast<int>(RetryCause::unreachable)]);
    set_count("after-full", limits.max_after[static_cast<int>(RetryCause::full)]);
    set_count("after-failed", limits.max_after[static_cast<int>(RetryCause::failed)]);
    set_count("after-silent", limits.max_after[static_cast<int>(RetryCause::silent)]);
    set_number("retry-share", limits.retry_share);
    set_number("retry-floor", limits.retry_floor);
    set_number("rate", limits.rate);
    set_number("burst", limits.burst);
    set_number("in-hand", limits.in_flight);
    set_number("held", limits.queued);
    set_number("prompt-tokens", limits.prompt_tokens);
    set_number("answer-rate", limits.answer_rate);
    set_flag("second-copies", limits.hedging);
    set_duration("second-after", limits.hedge_after);
    set_number("second-share", limits.hedge_share);
    set_flag("adapts", limits.adaptive);
    set_flag("closed", limits.closed);
}

class RouteReader {
  public:
    RouteReader(const std::vector<ParsedForm>& forms, GatewayTerms& terms,
                std::vector<Diagnostic>& diagnostics)
        : terms_(terms),
          diagnostics_(diagnostics),
          hedging_allowed_(single_form(forms, "allow").flag("second-copies")) {
        for (const ParsedForm* form : forms_of_kind(forms, "route")) {
            form_by_name_.emplace(form->name, form);
            parents_.insert(form->text("parent"));
        }
        RouteTerms default_route;
        default_route.name = kDefault;
        default_route.limits.retry_after = terms.core.max_retry_after;
        if (const auto it = form_by_name_.find(kDefault); it != form_by_name_.end()) {
            default_route.line = it->second->line;
            for (const char* key : {"parent", "category", "client-group", "listener", "attributes",
                                    "prompt-from", "prompt-under"})
                if (it->second->at(key).given)
                    add_error(*it->second, key, "the default route matches every request and has no parent");
            apply_stated_limits(*it->second, default_route);
        }
        terms.routes.push_back(default_route);
        for (const ParsedForm* form : forms_of_kind(forms, "route"))
            if (form->name != kDefault) add_route(*form);
        check_fleet_and_default(forms);
        std::vector<RouteMatch> matches;
        for (const RouteTerms& route : terms.routes) matches.push_back(route.match);
        if (diagnostics.empty()) terms.table = RouteTable(std::move(matches));
    }

  private:
    void add_error(const ParsedForm& form, const char* key, const std::string& what) {
        if (!form.invalid) diagnostics_.push_back({form.at(key).line, form.path() + " / " + key, what});
    }

    // Sets the effective limits: applies those of the ancestors from the farthest to the nearest, then its
    // own. Returns false if the parents form a cycle or one is missing.
    bool inherit(const ParsedForm& form, RouteTerms& route) {
        std::vector<const ParsedForm*> lineage;
        const ParsedForm* at = &form;
        while (at->name != kDefault) {
            if (std::find(lineage.begin(), lineage.end(), at) != lineage.end()) {
                add_error(form, "parent", "its parents form a cycle");
                return false;
            }
            lineage.push_back(at);
            const std::string& parent = at->text("parent").empty() ? kDefault : at->text("parent");
            if (parent == kDefault) break;
            const auto it = form_by_name_.find(parent);
            if (it == form_by_name_.end()) {
                if (at == &form) {
                    std::vector<std::string> known;
                    for (const auto& [name, route_form] : form_by_name_) known.push_back(name);
                    const std::string candidate = nearest(parent, known);
                    add_error(form, "parent",
                              "no such route: " + parent +
                                  (candidate.empty() ? "" : "; did you mean " + candidate + "?"));
                }
                return false;
            }
            at = it->second;
        }
        route.limits = terms_.routes.front().limits;
        route.limit_sources = terms_.routes.front().limit_sources;
        const std::string own_name = route.name;
        for (auto it = lineage.rbegin(); it != lineage.rend(); ++it) {
            route.name = (*it)->name;
            apply_stated_limits(**it, route);
        }
        route.name = own_name;
        return true;
    }

    void add_route(const ParsedForm& form) {
        RouteTerms route;
        route.name = form.name;
        route.parent = form.text("parent").empty() ? kDefault : form.text("parent");
        route.line = form.line;
        const auto condition = [&](const char* key, const NameTable& names, std::uint32_t& to) {
            const std::string& value = form.text(key);
            if (value.empty()) return;
            route.conditions.push_back(std::string(key) + " " + value);
            if (const std::uint32_t* known = names.find(value))
                to = *known;
            else
                add_error(form, key,
                          "can never match: no such " + std::string(key) + " in this file: " + value);
        };
        condition("category", terms_.categories, route.match.category);
        condition("client-group", terms_.client_groups, route.match.client_group);
        condition("listener", terms_.listeners, route.match.listener);
        std::vector<std::string> attribute_names;
        for (const std::string& a : form.at("attributes").strings) {
            const std::size_t eq = a.find('=');
            if (eq == 0 || eq == std::string::npos) {
                add_error(form, "attributes", "expected \"name=value\", found " + a);
                continue;
            }
            if (std::find(attribute_names.begin(), attribute_names.end(), a.substr(0, eq)) !=
                attribute_names.end())
                add_error(form, "attributes",
                          "can never match: " + a.substr(0, eq) + " cannot have two values");
            attribute_names.push_back(a.substr(0, eq));
            route.match.attributes.push_back(terms_.attributes.intern(a));
            route.conditions.push_back(a);
        }
        std::sort(route.match.attributes.begin(), route.match.attributes.end());
        if (form.at("prompt-from").given) route.match.min_prompt_tokens = form.number("prompt-from");
        if (form.at("prompt-under").given) route.match.prompt_limit_tokens = form.number("prompt-under");
        if (form.at("prompt-from").given || form.at("prompt-under").given)
            route.conditions.push_back("prompt size");
        if (route.match.min_prompt_tokens >= route.match.prompt_limit_tokens)
            add_error(form, "prompt-under",
                      "can never match: no prompt is at least prompt-from and under this");
        if (route.conditions.empty()) {
            // A route without conditions that other routes inherit from is never selected itself.
            if (!parents_.count(form.name))
                diagnostics_.push_back(
                    {form.line, form.path(),
                     "can never match: it has no condition, which is what the default route is for"});
        }
        const bool inherited = inherit(form, route);
        if (inherited && !route.conditions.empty()) {
            const auto [other, inserted] = route_by_conditions_.emplace(
                std::tuple(route.match.category, route.match.client_group, route.match.listener,
                           route.match.attributes, route.match.min_prompt_tokens,
                           route.match.prompt_limit_tokens),
                terms_.routes.size());
            if (!inserted)
                diagnostics_.push_back({form.line, form.path(),
                                        "can never match: route " + terms_.routes[other->second].name +
                                            " on line " + std::to_string(terms_.routes[other->second].line) +
                                            " has the same conditions"});
            check_limits(form, route);
        }
        if (route.conditions.empty()) route.match.listener = kAny - 1;  // no client uses this listener
        terms_.routes.push_back(std::move(route));
    }

    // Rejects limits under which a gateway would violate the rules.
    void check_limits(const ParsedForm& form, const RouteTerms& route) {
        const RouteLimits& limits = route.limits;
        // A limit must be corrected at the route that states it; an error in an inherited limit is reported
        // at the route that inherits it and names the other one.
        const auto reject = [&](const char* key, const std::string& what) {
            std::string origin;
            for (const auto& [name, stated_by, value] : route.limit_sources)
                if (name == key && stated_by != route.name) origin = " (inherited from " + stated_by + ")";
            add_error(form, key, what + origin);
        };
        Duration deadline{INT64_MAX};
        bool effectful = false;
        for (std::size_t c = 0; c < terms_.core.categories.size(); ++c) {
            if (route.match.category != kAny && route.match.category != c) continue;
            deadline = std::min(deadline, terms_.deadlines[c]);
            effectful |= terms_.core.categories[c].effect == Effect::effectful && route.match.category == c;
        }
        const auto as_ms = [](Duration t) {
            return std::to_string(static_cast<std::int64_t>(t.ms())) + "ms";
        };
        const std::string deadline_text = " than the " + as_ms(deadline) + " that its clients wait";
        if (limits.connect >= terms_.bounds.connect_timeout)
            reject("connect", "must be shorter than bounds / connect-timeout, " +
                                  as_ms(terms_.bounds.connect_timeout) +
                                  ", after which every attempt that waits for the connection ends");
        for (const auto& [stage, timeout] :
             {std::pair<const char*, Duration>{"read", limits.prefill}, {"first-token", limits.first_token}})
            if (limits.connect.us > 0 && timeout.us > 0 && limits.connect >= timeout)
                reject("connect", std::string("must be shorter than ") + stage + ", " + as_ms(timeout) +
                                      ", of which it is a part");
        if (limits.prefill > deadline) reject("read", "rule 1: longer" + deadline_text);
        if (limits.first_token > deadline) reject("first-token", "rule 1: longer" + deadline_text);
        if (limits.prefill.us > 0 && limits.first_token.us > 0 &&
            limits.prefill + limits.hand_over + limits.first_token > deadline)
            reject("first-token",
                   "rule 1: read, hand-over and first-token together are longer" + deadline_text);
        if (limits.hedging && !hedging_allowed_) reject("second-copies", "allow / second-copies is no");
        if (limits.hedging && !terms_.core.cancel)
            reject("second-copies", "the slower attempt must be cancelled, but allow / cancel is no");
        if (limits.hedging && route.match.category != kAny &&
            terms_.core.categories[route.match.category].effect != Effect::pure)
            reject("second-copies", "rule 2: only pure categories may have two attempts in flight at once");
        if (limits.hedge_after > deadline) reject("second-after", "rule 1: longer" + deadline_text);
        if (limits.hand_over > terms_.core.release_within)
            reject("hand-over", "rule 5: longer than rules / release-within, a state would stay pinned");
        if (limits.total.us > 0 && limits.total < limits.first_token)
            reject("whole", "shorter than first-token alone");
        if (limits.max_attempts < kNoAttemptLimit && limits.max_attempts > terms_.core.max_attempts)
            reject("most-launches",
                   "more than rules / most-launches, " + std::to_string(terms_.core.max_attempts));
        if (effectful)
            for (const char* key : {"after-failed", "after-silent"})
                for (const auto& [name, stated_by, value] : route.limit_sources)
                    if (name == key &&
                        limits.max_after[static_cast<int>(
                            key == std::string("after-failed") ? RetryCause::failed : RetryCause::silent)] >
                            0)
                        reject(key, "rule 2: an effectful category must never run twice; expected 0");
        if (!limits.closed)
            for (const auto& [key, value] : {std::pair<const char*, double>{"rate", limits.rate},
                                             {"in-hand", limits.in_flight},
                                             {"held", limits.queued},
                                             {"prompt-tokens", limits.prompt_tokens},
                                             {"answer-rate", limits.answer_rate}})
                if (value <= 0) reject(key, "0 closes the route; state (closed yes) if that is intended");
        if (limits.burst > 0 && limits.rate >= kNoLimit) reject("burst", "applies only with a rate");
        if ((limits.retry_floor > 0) && limits.retry_share >= kNoLimit)
            reject("retry-floor", "applies only with a retry-share");
        if (limits.retry_after > terms_.core.max_retry_after && terms_.core.max_retry_after.us > 0)
            reject("stay-away", "longer than allow / stay-away, which clients honour");
    }

    void check_fleet_and_default(const std::vector<ParsedForm>& forms) {
        const ParsedForm& fleet = single_form(forms, "fleet");
        double sum = 0;
        for (const double q : terms_.core.quotas) sum += q;
        if (fleet.number("queries-a-second") > 0 && sum > fleet.number("queries-a-second"))
            add_error(fleet, "queries-a-second", "quotas of client groups add up to more than this");
        const auto it = form_by_name_.find(kDefault);
        if (it != form_by_name_.end()) check_limits(*it->second, terms_.routes.front());
    }

    GatewayTerms& terms_;
    std::vector<Diagnostic>& diagnostics_;
    const bool hedging_allowed_;  // hedged attempts
    std::map<std::string, const ParsedForm*> form_by_name_;
    std::set<std::string> parents_;
    std::map<
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::vector<std::uint32_t>, double, double>,
        std::size_t>
        route_by_conditions_;
};

}  // namespace

const Schema& terms_schema() { return kSchema; }

bool read_terms(const std::string& text, const Overrides& overrides, GatewayTerms& terms,
                std::vector<Diagnostic>& diagnostics) {
    const Form file = parse_forms(text, kSchema.head, diagnostics);
    if (!diagnostics.empty()) return false;
    const std::vector<ParsedForm> forms = read_parsed_forms(file, kSchema, diagnostics);
    // Consistency is checked only if all values of a form could be read; otherwise errors would be reported
    // twice.
    const auto add_error = [&](const ParsedForm& form, const char* key, const std::string& what) {
        if (form.invalid) return;
        diagnostics.push_back(
            {form.values.count(key) ? form.at(key).line : form.line, form.path() + " / " + key, what});
    };
    const auto override_or = [](const std::string& override_value, const std::string& source_text) {
        return override_value.empty() ? source_text : override_value;
    };

    const ParsedForm& gateway = single_form(forms, "gateway");
    terms.name = override_or(overrides.name, gateway.text("name"));
    terms.zone = override_or(overrides.zone, gateway.text("zone"));
    terms.listen = override_or(overrides.listen, gateway.text("listen"));
    terms.roster = override_or(overrides.roster, gateway.text("roster"));
    terms.state_folder = override_or(overrides.state_folder, gateway.text("state-folder"));

    for (const ParsedForm* zone : forms_of_kind(forms, "zone")) terms.zones.intern(zone->name);
    if (terms.zone.empty())
        add_error(gateway, "zone", "is missing; expected one of the zones of this file (or --zone)");
    else if (const std::uint32_t* z = terms.zones.find(terms.zone))
        terms.core.zone = static_cast<std::uint16_t>(*z);
    else
        add_error(gateway, "zone", "no such zone in this file: " + terms.zone);

    bool has_prefill_kind = false, has_decode_kind = false;
    for (const ParsedForm* kind : forms_of_kind(forms, "kind")) {
        terms.kinds.intern(kind->name);
        const std::string& role = kind->text("role");
        const Role kind_role = role == "reader"   ? Role::prefill
                               : role == "writer" ? Role::decode
                                                  : Role::mixed;
        has_prefill_kind |= kind_role != Role::decode;
        has_decode_kind |= kind_role != Role::prefill;
        terms.core.kinds.push_back({kind_role, kind->number("memory-tokens")});
    }
    if (!terms.core.kinds.empty() && !has_prefill_kind)
        diagnostics.push_back({0, "kind", "no kind reads; expected one with the role reader or mixed"});
    if (!terms.core.kinds.empty() && !has_decode_kind)
        diagnostics.push_back({0, "kind", "no kind writes; expected one with the role writer or mixed"});

    const ParsedForm& rules = single_form(forms, "rules");
    const ParsedForm& fleet = single_form(forms, "fleet");
    const ParsedForm& bounds = single_form(forms, "bounds");
    Duration shortest_deadline{INT64_MAX};
    for (const ParsedForm* form : forms_of_kind(forms, "category")) {
        terms.categories.intern(form->name);
        Category category;
        const std::string& effect = form->text("effect");
        category.effect = effect == "pure"        ? Effect::pure
                          : effect == "receipted" ? Effect::receipted
                                                  : Effect::effectful;
        const std::string& group = form->text("group");
        category.group = group == "all"    ? DedupScope::all
                         : group == "zone" ? DedupScope::zone
                                           : DedupScope::cell;
        category.window = form->duration("window");
        category.latency_goal = form->duration("latency-goal");
        category.goal_per_thousand = form->duration("goal-per-thousand");
        category.token_gap = form->duration("token-gap");
        category.stream = form->flag("stream");
        terms.core.categories.push_back(category);
        terms.deadlines.push_back(form->duration("hard-stop"));
        if (!form->invalid) shortest_deadline = std::min(shortest_deadline, form->duration("hard-stop"));
        if (category.effect == Effect::receipted && category.window.us <= 0)
            add_error(*form, "window",
                      "rule 2: a receipted category needs the time for which its marks are known");
        for (const char* key : {"group", "window"})
            if (category.effect != Effect::receipted && form->at(key).given)
                add_error(*form, key, "applies to receipted categories only; this one is " + effect);
        if (form->duration("latency-goal") > form->duration("hard-stop"))
            add_error(*form, "latency-goal", "is longer than the hard stop, after which nobody waits");
    }
    for (const ParsedForm* form : forms_of_kind(forms, "client-group")) {
        terms.client_groups.intern(form->name);
        terms.core.quotas.push_back(form->number("quota"));
    }

    terms.core.gateways = static_cast<int>(fleet.number("gateways"));
    terms.core.quantum = fleet.duration("quantum");
    terms.core.release_within = rules.duration("release-within");
    terms.core.start_capacity = rules.number("start-capacity");
    terms.core.overload_multiple = rules.number("tip-multiple");
    terms.core.overload_window = rules.duration("fall");
    terms.core.warm_up_time = rules.duration("warm-within");
    terms.core.max_attempts = static_cast<std::uint32_t>(rules.number("most-launches"));
    terms.drain_grace = rules.duration("drain-grace");
    terms.answer_slack = rules.duration("answer-slack");
    if (terms.core.quantum * 4 > terms.core.release_within)
        add_error(fleet, "quantum", "rule 5: must be under a quarter of rules / release-within");
    if (terms.core.max_attempts < 2)
        add_error(rules, "most-launches", "a request needs two attempts, one for prefill and one for decode");

    const ParsedForm& allow = single_form(forms, "allow");
    terms.core.cancel = allow.flag("cancel");
    terms.core.probes = allow.flag("probes");
    terms.core.peers = allow.flag("peers");
    terms.peer_listen = override_or(overrides.peer_listen, gateway.text("peer-listen"));
    for (const ParsedForm* peer : forms_of_kind(forms, "peer"))
        if (peer->name != terms.name) terms.peers.push_back(peer->text("at"));
    if (terms.core.peers && terms.peer_listen.empty())
        add_error(gateway, "peer-listen",
                  "allow / peers is yes; expected a loopback address to hear them on");
    if (terms.core.peers && terms.peers.empty())
        add_error(allow, "peers",
                  "no other gateway is named; expected a form (peer \"name\" (at ...)) for each");
    if (!terms.core.peers && !terms.peers.empty())
        add_error(allow, "peers",
                  "gateways are named as peers, but notes between peers are not allowed; expected yes");
    terms.core.probe_fee = allow.number("probe-fee");
    terms.core.decode_servers_prefill = allow.flag("writers-read");
    terms.core.max_retry_after = allow.duration("stay-away");
    terms.core.ask_for_list = allow.flag("ask-for-list");

    const ParsedForm& reports = single_form(forms, "reports");
    const std::string& how = reports.text("how");
    terms.core.reports_by_probe = how == "on-probe";
    terms.core.reports_memory_share = reports.flag("memory");
    terms.core.reports_queued_tokens = reports.flag("unread");
    if (how == "none" && (terms.core.reports_memory_share || terms.core.reports_queued_tokens))
        add_error(reports, "how", "reports have fields but are never made; expected inline or on-probe");
    if (how == "on-probe" && !terms.core.probes)
        add_error(reports, "how", "reports come on probes, but allow / probes is no");
    if (how != "none" && !terms.core.reports_memory_share && !terms.core.reports_queued_tokens)
        add_error(reports, "how", "reports hold nothing; expected memory or unread to be yes");

    terms.learned_shares = fleet.text("parts") == "learned";
    bool reports_usable = how != "none" && terms.core.reports_memory_share;
    for (const Kind& kind : terms.core.kinds)
        reports_usable &= kind.role == Role::prefill || kind.memory_tokens > 0;
    if (terms.learned_shares && !reports_usable)
        add_error(
            fleet, "parts",
            "learned parts need reports / memory, and memory-tokens of every kind that writes; expected "
            "even");

    Bounds& limits = terms.bounds;
    limits.max_line_bytes = bounds.size("line-bytes");
    limits.max_unsent_bytes = bounds.size("unsent-bytes");
    limits.max_clients = bounds.size("callers");
    limits.max_open_requests = bounds.size("open-queries");
    limits.max_requests_per_client = bounds.size("queries-a-caller");
    limits.max_bad_messages = bounds.size("bad-messages");
    limits.max_attempts_per_connection = bounds.size("streams-a-link");
    limits.client_idle_timeout = bounds.duration("caller-silence");
    limits.connect_timeout = terms.core.connect_timeout = bounds.duration("connect-timeout");
    limits.connection_idle_timeout = bounds.duration("idle-link");
    limits.ping_after = bounds.duration("ping-after");
    limits.server_silence_timeout = bounds.duration("engine-silence");
    limits.shutdown_timeout = bounds.duration("stop-within");
    limits.roster_reconnect_delay = bounds.duration("redial");
    if (limits.max_line_bytes > limits.max_unsent_bytes)
        add_error(bounds, "unsent-bytes", "must hold at least one line of line-bytes");
    if (limits.ping_after >= limits.server_silence_timeout)
        add_error(bounds, "ping-after",
                  "must be shorter than engine-silence, or a live server has no time to answer");
    if (limits.connect_timeout >= shortest_deadline)
        add_error(bounds, "connect-timeout", "rule 1: must be shorter than every hard stop");

    terms.listeners.intern("main");
    terms.listener_addresses.push_back(terms.listen);
    for (const ParsedForm* form : forms_of_kind(forms, "listener")) {
        if (terms.listeners.find(form->name)) add_error(*form, "at", "the name " + form->name + " is taken");
        terms.listeners.intern(form->name);
        terms.listener_addresses.push_back(form->text("at"));
    }
    RouteReader(forms, terms, diagnostics);

    const ParsedForm& trace = single_form(forms, "trace");
    terms.trace.folder = override_or(overrides.trace_folder, trace.text("folder"));
    trace::StorageTerms& storage = terms.trace.storage;
    storage.max_file_bytes = trace.size("file-bytes");
    storage.max_file_age = trace.duration("file-age");
    storage.max_folder_bytes = trace.size("folder-bytes");
    storage.flush_interval = trace.duration("hand-over");
    storage.sync_interval = trace.duration("sync");
    if (storage.max_folder_bytes < 2 * storage.max_file_bytes)
        add_error(trace, "folder-bytes",
                  "must hold two files of file-bytes, the one being written and one that is complete");

    const ParsedForm& log = single_form(forms, "log");
    terms.logging = {override_or(overrides.log_level, log.text("level")),
                     override_or(overrides.log_form, log.text("form")),
                     override_or(overrides.log_file, log.text("file")), log.size("file-bytes"),
                     log.size("files")};

    std::stable_sort(diagnostics.begin(), diagnostics.end(),
                     [](const Diagnostic& a, const Diagnostic& c) { return a.line < c.line; });
    return diagnostics.empty();
}

bool read_terms_file(const std::string& path, const Overrides& overrides, GatewayTerms& terms,
                     std::vector<Diagnostic>& diagnostics) {
    std::string text;
    return read_file(path, kMaxFileBytes, text, diagnostics) &&
           read_terms(text, overrides, terms, diagnostics);
}

std::string effective_text(const GatewayTerms& terms) {
    std::string out;
    for (const RouteTerms& route : terms.routes) {
        out += "route " + route.name;
        if (route.name != kDefault) {
            out += ", parent " + route.parent + ", asks for ";
            for (std::size_t n = 0; n < route.conditions.size(); ++n)
                out += (n > 0 ? " and " : "") + route.conditions[n];
            if (route.conditions.empty()) out += "nothing: only others inherit from it";
        } else {
            out += ", fits every query";
        }
        out += "\n";
        for (const auto& [key, stated_by, value] : route.limit_sources)
            out += "  " + key + " " + value + (stated_by == route.name ? "" : " (from " + stated_by + ")") +
                   "\n";
    }
    return out;
}

}  // namespace copperfront
