#include "terms/terms_file.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace copperfront {
namespace {

constexpr std::size_t kLargestFile = 4 << 20;
constexpr double kDay = 86400000;

constexpr FormKind kForms[] = {
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

constexpr Key kKeys[] = {
    {"gateway", "name", Type::text, "gateway", 0, 0, "", "names the gateway in the log and to engines"},
    {"gateway", "zone", Type::text, "", 0, 0, "", "the zone it runs in; one of the zones below"},
    {"gateway", "listen", Type::text, "127.0.0.1:0", 0, 0, "",
     "loopback address for callers; port 0: any free one"},
    {"gateway", "roster", Type::text, "", 0, 0, "", "loopback address of the roster"},
    {"gateway", "state-folder", Type::text, "", 0, 0, "",
     "folder for the last list of servers; none: a restart begins without one"},
    {"gateway", "peer-listen", Type::text, "", 0, 0, "",
     "loopback address on which notes of other gateways are heard; needed where allow / peers is yes"},
    {"peer", "at", Type::text, nullptr, 0, 0, "", "its loopback address for notes"},
    {"fleet", "gateways", Type::whole, "1", 1, 100000, "",
     "gateways in service, of which each keeps to its part"},
    {"fleet", "parts", Type::choice, "even", 0, 0, "even learned",
     "how limits that are stated for the fleet are divided: alike, or by each gateway's share of the memory "
     "that "
     "writers report"},
    {"fleet", "quantum", Type::span, "4ms", 0.1, 1000, "",
     "how late a timer may ring; answers go out this much before a hard stop"},
    {"kind", "role", Type::choice, nullptr, 0, 0, "reader writer mixed",
     "reads prompts, writes answers, or does both"},
    {"kind", "memory-tokens", Type::whole, "0", 0, 1e12, "tokens; 0: not told", "memory of one such engine"},
    {"category", "effect", Type::choice, "pure", 0, 0, "pure receipted effectful",
     "may run again; may where its mark is known; must never run twice"},
    {"category", "group", Type::choice, "all", 0, 0, "all zone cell",
     "receipted only: the engines that drop each other's repeats"},
    {"category", "window", Type::span, "0ms", 0, kDay, "", "receipted only: for how long they know a mark"},
    {"category", "latency-goal", Type::span, nullptr, 1, kDay, "", "the first token is wanted within this"},
    {"category", "goal-per-thousand", Type::span, "0ms", 0, 600000, "",
     "added to the latency goal for each 1,000 prompt tokens"},
    {"category", "token-gap", Type::span, "0ms", 0, 60000, "",
     "wanted time between tokens; 0ms: none wanted"},
    {"category", "hard-stop", Type::span, nullptr, 1, kDay, "",
     "the longest that a client waits for a first token"},
    {"category", "stream", Type::flag, "yes", 0, 0, "", "whether answers come token by token"},
    {"client-group", "quota", Type::number, "0", 0, 1e9, "queries a second over all gateways; 0: none",
     "its share of the service"},
    {"rules", "answer-slack", Type::span, "16ms", 0, 60000, "",
     "rule 1: past the hard stop, an answer still counts"},
    {"rules", "drain-grace", Type::span, nullptr, 0, 600000, "",
     "rule 3: nothing new to a server later than this after it was told to drain or be gone"},
    {"rules", "start-capacity", Type::number, nullptr, 0.001, 1, "share",
     "rule 4: a cold server can do this part of its work"},
    {"rules", "tip-multiple", Type::number, nullptr, 1, 1000, "times",
     "rule 4: sent more than this multiple of what it can do, a cold server falls over"},
    {"rules", "fall", Type::span, nullptr, 1, 600000, "", "rule 4: for this long"},
    {"rules", "warm-within", Type::span, nullptr, 0, 3600000, "", "rule 4: a server is warm after this"},
    {"rules", "release-within", Type::span, nullptr, 1, 600000, "",
     "rule 5: a state or place nobody waits for is taken or let go within this"},
    {"rules", "most-launches", Type::whole, "4", 1, 64, "launches", "for one query"},
    {"allow", "cancel", Type::flag, "yes", 0, 0, "", "launches may be called off"},
    {"allow", "second-copies", Type::flag, "no", 0, 0, "", "a query may have two launches out at once"},
    {"allow", "peers", Type::flag, "no", 0, 0, "",
     "gateways may tell each other what they send to writers, and which leave a category unanswered"},
    {"allow", "probes", Type::flag, "no", 0, 0, "", "engines may be probed"},
    {"allow", "probe-fee", Type::number, "0", 0, 1, "points of the result",
     "what one probe a query costs; the module probes as much as this allows"},
    {"allow", "writers-read", Type::flag, "no", 0, 0, "", "a writer without a state reads the prompt itself"},
    {"allow", "stay-away", Type::span, "1s", 0, 600000, "",
     "longest time a declined client is asked to stay away"},
    {"allow", "ask-for-list", Type::flag, "no", 0, 0, "",
     "the module asks for the list of servers; no: the roster pushes it"},
    {"reports", "how", Type::choice, "none", 0, 0, "none inline on-probe",
     "engines tell no load, tell it with their answers, or when probed"},
    {"reports", "memory", Type::flag, "no", 0, 0, "", "reports hold the share of memory that is held"},
    {"reports", "unread", Type::flag, "no", 0, 0, "", "reports hold the prompt tokens that wait to be read"},
    {"bounds", "line-bytes", Type::whole, "1048576", 256, 1 << 30, "bytes", "longest message"},
    {"bounds", "unsent-bytes", Type::whole, "4194304", 1024, 1 << 30, "bytes",
     "most that may wait for a peer that does not read; it is then cut off"},
    {"bounds", "callers", Type::whole, "10000", 1, 1000000, "connections", "most callers at once"},
    {"bounds", "open-queries", Type::whole, "30000", 1, 1000000, "queries",
     "most queries in hand; more are not taken"},
    {"bounds", "queries-a-caller", Type::whole, "1000", 1, 1000000, "queries",
     "most open queries of one connection"},
    {"bounds", "bad-messages", Type::whole, "20", 1, 1000000, "messages",
     "bad messages after which a connection is closed"},
    {"bounds", "caller-silence", Type::span, "5min", 100, kDay, "",
     "a caller without an open query that says nothing for this long is cut off"},
    {"bounds", "streams-a-link", Type::whole, "100", 1, 100000, "launches",
     "launches that one link carries at once"},
    {"bounds", "connect-timeout", Type::span, "250ms", 1, 60000, "",
     "a link to an engine that is not made and greeted within this counts as unreachable"},
    {"bounds", "idle-link", Type::span, "15s", 10, kDay, "",
     "a link to an engine idle for this long is closed"},
    {"bounds", "ping-after", Type::span, "2s", 10, kDay, "",
     "a link with launches out that has been silent for this long is pinged"},
    {"bounds", "engine-silence", Type::span, "10s", 10, kDay, "",
     "a link with launches out that has been silent for this long counts as broken"},
    {"bounds", "redial", Type::span, "500ms", 10, 600000, "", "between tries to reach the roster again"},
    {"bounds", "stop-within", Type::span, "30s", 0, kDay, "",
     "at a stop, how long open queries may take; then they are given up"},
    {"fleet", "queries-a-second", Type::number, "0", 0, 1e9, "queries a second; 0: not told",
     "what the fleet is sold for: quotas of client groups may not add up to more"},
    {"listener", "at", Type::text, nullptr, 0, 0, "", "loopback address"},
    {"route", "parent", Type::text, "default", 0, 0, "",
     "the route whose limits hold where this one states none"},
    {"route", "category", Type::text, "", 0, 0, "", "condition: of this category"},
    {"route", "client-group", Type::text, "", 0, 0, "", "condition: of this client group"},
    {"route", "listener", Type::text, "", 0, 0, "",
     "condition: came in on this listener; `main` is the gateway's own"},
    {"route", "attributes", Type::texts, "", 0, 0, "",
     "condition: carries all of these, each as \"name=value\""},
    {"route", "prompt-from", Type::number, "", 0, 1e9, "tokens", "condition: a prompt of at least so many"},
    {"route", "prompt-under", Type::number, "", 1, 1e9, "tokens", "condition: a prompt of fewer"},
    {"route", "connect", Type::span, "", 1, kDay, "",
     "a launch whose connection is not made and greeted by then is taken back unsent, and goes elsewhere"},
    {"route", "read", Type::span, "", 1, kDay, "", "a launch to a reader is called off after this"},
    {"route", "hand-over", Type::span, "", 1, kDay, "",
     "a state that has been read waits this long for a writer"},
    {"route", "first-token", Type::span, "", 1, kDay, "",
     "a launch to a writer is called off after this without a token"},
    {"route", "gap", Type::span, "", 1, kDay, "", "a stream that is silent for this long counts as broken"},
    {"route", "whole", Type::span, "", 1, kDay, "", "all of it, to the last token"},
    {"route", "most-launches", Type::whole, "", 2, 64, "launches", "for one query"},
    {"route", "after-unreachable", Type::whole, "", 0, 64, "launches",
     "further ones after one that was never made"},
    {"route", "after-full", Type::whole, "", 0, 64, "launches",
     "further ones after one that was turned away"},
    {"route", "after-failed", Type::whole, "", 0, 64, "launches",
     "further ones after an error or a broken link"},
    {"route", "after-silent", Type::whole, "", 0, 64, "launches",
     "further ones after silence or a time limit"},
    {"route", "retry-share", Type::number, "", 0, 10, "of first launches",
     "further launches over the window"},
    {"route", "retry-floor", Type::number, "", 0, 1e6, "launches a second",
     "further launches besides, over all gateways"},
    {"route", "retry-window", Type::span, "", 1000, 600000, "", "over which the share is taken"},
    {"route", "second-copies", Type::flag, "", 0, 0, "",
     "of pure queries, where allow / second-copies is yes"},
    {"route", "second-after", Type::span, "", 1, kDay, "",
     "without a first token for this long; left out: learned, the time that 19 of 20 first tokens keep to"},
    {"route", "second-share", Type::number, "", 0, 1, "of queries",
     "most second copies over the retry window; left out: 0.05"},
    {"route", "rate", Type::number, "", 0, 1e9, "queries a second", "over all gateways"},
    {"route", "burst", Type::number, "", 1, 1e9, "queries",
     "at once, over all gateways; left out: a second's rate"},
    {"route", "in-hand", Type::number, "", 0, 1e9, "queries", "over all gateways"},
    {"route", "held", Type::number, "", 0, 1e9, "queries", "that wait for their read, over all gateways"},
    {"route", "prompt-tokens", Type::number, "", 0, 1e12, "tokens", "of queries in hand, over all gateways"},
    {"route", "answer-rate", Type::number, "", 0, 1e12, "tokens a second", "of answers, over all gateways"},
    {"route", "adapts", Type::flag, "", 0, 0, "", "finds by itself how many queries may be in hand"},
    {"route", "closed", Type::flag, "", 0, 0, "", "takes nothing, and that is meant"},
    {"route", "stay-away", Type::span, "", 1, 600000, "", "longest time to come back that is told"},
    {"trace", "folder", Type::text, "", 0, 0, "", "folder for trace files; none: no trace is kept"},
    {"trace", "file-bytes", Type::whole, "67108864", 65536, 1e12, "bytes", "a new file begins at this size"},
    {"trace", "file-age", Type::span, "1h", 1000, 30 * kDay, "", "and at this age"},
    {"trace", "folder-bytes", Type::whole, "1073741824", 131072, 1e15, "bytes",
     "of all files of this gateway's name; the oldest are let go first"},
    {"trace", "hand-over", Type::span, "1s", 1, 60000, "",
     "rows go to the disk this long after they were made; a kill loses no more"},
    {"trace", "sync", Type::span, "1s", 1, 600000, "", "between syncs; a loss of power loses no more"},
    {"log", "level", Type::choice, "info", 0, 0, "trace debug info warn error",
     "least weight that is written"},
    {"log", "form", Type::choice, "json", 0, 0, "json text", "JSON lines, or lines for people"},
    {"log", "file", Type::text, "", 0, 0, "", "file; none: standard error"},
    {"log", "file-bytes", Type::whole, "67108864", 4096, 1e12, "bytes",
     "size at which a log file is turned over"},
    {"log", "files", Type::whole, "4", 1, 1000, "files", "log files kept"},
};

constexpr Schema kSchema{"copperfront", kForms, kKeys};

constexpr const char* kDefault = "default";

// What of a route's limits a sheet states, over those of its parent.
void state_limits(const Sheet& s, RouteTerms& r) {
    RouteLimits& l = r.limits;
    const auto stated = [&](const char* key) {
        if (!s.at(key).given) return false;
        std::erase_if(r.from, [&](const auto& f) { return f.key == key; });
        r.from.push_back({key, r.name, s.at(key).written});
        return true;
    };
    const auto span = [&](const char* key, Span& to) {
        if (stated(key)) to = s.span(key);
    };
    const auto number = [&](const char* key, double& to) {
        if (stated(key)) to = s.number(key);
    };
    const auto whole = [&](const char* key, std::uint32_t& to) {
        if (stated(key)) to = static_cast<std::uint32_t>(s.number(key));
    };
    const auto flag = [&](const char* key, bool& to) {
        if (stated(key)) to = s.flag(key);
    };
    span("connect", l.connect);
    span("read", l.read);
    span("hand-over", l.hand_over);
    span("first-token", l.first_token);
    span("gap", l.gap);
    span("whole", l.whole);
    span("retry-window", l.retry_window);
    span("stay-away", l.stay_away);
    whole("most-launches", l.most_attempts);
    whole("after-unreachable", l.most_after[static_cast<int>(Cause::unreachable)]);
    whole("after-full", l.most_after[static_cast<int>(Cause::full)]);
    whole("after-failed", l.most_after[static_cast<int>(Cause::failed)]);
    whole("after-silent", l.most_after[static_cast<int>(Cause::silent)]);
    number("retry-share", l.retry_share);
    number("retry-floor", l.retry_floor);
    number("rate", l.rate);
    number("burst", l.burst);
    number("in-hand", l.in_hand);
    number("held", l.held);
    number("prompt-tokens", l.prompt_tokens);
    number("answer-rate", l.answer_rate);
    flag("second-copies", l.second_copies);
    span("second-after", l.second_after);
    number("second-share", l.second_share);
    flag("adapts", l.adapts);
    flag("closed", l.closed);
}

class RouteReader {
  public:
    RouteReader(const std::vector<Sheet>& sheets, GatewayTerms& terms, std::vector<Fault>& faults)
        : terms_(terms), faults_(faults), allowed_(only(sheets, "allow").flag("second-copies")) {
        for (const Sheet* s : all(sheets, "route")) {
            sheets_.emplace(s->name, s);
            parents_.insert(s->text("parent"));
        }
        RouteTerms first;
        first.name = kDefault;
        first.limits.stay_away = terms.core.max_stay_away;
        if (const auto it = sheets_.find(kDefault); it != sheets_.end()) {
            first.line = it->second->line;
            for (const char* key : {"parent", "category", "client-group", "listener", "attributes",
                                    "prompt-from", "prompt-under"})
                if (it->second->at(key).given)
                    wrong(*it->second, key, "the default route fits every query and has no parent");
            state_limits(*it->second, first);
        }
        terms.routes.push_back(first);
        for (const Sheet* s : all(sheets, "route"))
            if (s->name != kDefault) add(*s);
        check_all(sheets);
        std::vector<RouteMatch> matches;
        for (const RouteTerms& r : terms.routes) matches.push_back(r.match);
        if (faults.empty()) terms.table = RouteTable(std::move(matches));
    }

  private:
    void wrong(const Sheet& s, const char* key, const std::string& what) {
        if (!s.bad) faults_.push_back({s.at(key).line, s.path() + " / " + key, what});
    }

    // Limits as they hold: the parents' first, the nearest last. False: the parents go in a ring, or one is
    // missing.
    bool inherit(const Sheet& s, RouteTerms& r) {
        std::vector<const Sheet*> line;
        const Sheet* at = &s;
        while (at->name != kDefault) {
            if (std::find(line.begin(), line.end(), at) != line.end()) {
                wrong(s, "parent", "its parents go in a ring");
                return false;
            }
            line.push_back(at);
            const std::string& parent = at->text("parent").empty() ? kDefault : at->text("parent");
            if (parent == kDefault) break;
            const auto it = sheets_.find(parent);
            if (it == sheets_.end()) {
                if (at == &s) {
                    std::vector<std::string> known;
                    for (const auto& [name, sheet] : sheets_) known.push_back(name);
                    const std::string near = nearest(parent, known);
                    wrong(s, "parent",
                          "no such route: " + parent + (near.empty() ? "" : "; did you mean " + near + "?"));
                }
                return false;
            }
            at = it->second;
        }
        r.limits = terms_.routes.front().limits;
        r.from = terms_.routes.front().from;
        const std::string own = r.name;
        for (auto it = line.rbegin(); it != line.rend(); ++it) {
            r.name = (*it)->name;
            state_limits(**it, r);
        }
        r.name = own;
        return true;
    }

    void add(const Sheet& s) {
        RouteTerms r;
        r.name = s.name;
        r.parent = s.text("parent").empty() ? kDefault : s.text("parent");
        r.line = s.line;
        const auto condition = [&](const char* key, const Names& names, std::uint32_t& to) {
            const std::string& wanted = s.text(key);
            if (wanted.empty()) return;
            r.asks.push_back(std::string(key) + " " + wanted);
            if (const std::uint32_t* known = names.find(wanted))
                to = *known;
            else
                wrong(s, key, "can never match: no such " + std::string(key) + " in this file: " + wanted);
        };
        condition("category", terms_.categories, r.match.category);
        condition("client-group", terms_.client_groups, r.match.client_group);
        condition("listener", terms_.listeners, r.match.listener);
        std::vector<std::string> names_seen;
        for (const std::string& a : s.at("attributes").texts) {
            const std::size_t eq = a.find('=');
            if (eq == 0 || eq == std::string::npos) {
                wrong(s, "attributes", "expected \"name=value\", found " + a);
                continue;
            }
            if (std::find(names_seen.begin(), names_seen.end(), a.substr(0, eq)) != names_seen.end())
                wrong(s, "attributes", "can never match: " + a.substr(0, eq) + " cannot have two values");
            names_seen.push_back(a.substr(0, eq));
            r.match.attributes.push_back(terms_.attributes.index(a));
            r.asks.push_back(a);
        }
        std::sort(r.match.attributes.begin(), r.match.attributes.end());
        if (s.at("prompt-from").given) r.match.prompt_over = s.number("prompt-from");
        if (s.at("prompt-under").given) r.match.prompt_under = s.number("prompt-under");
        if (s.at("prompt-from").given || s.at("prompt-under").given) r.asks.push_back("prompt size");
        if (r.match.prompt_over >= r.match.prompt_under)
            wrong(s, "prompt-under", "can never match: no prompt is at least prompt-from and under this");
        if (r.asks.empty()) {
            // A route that only others inherit from asks for nothing and is never taken itself.
            if (!parents_.count(s.name))
                faults_.push_back(
                    {s.line, s.path(),
                     "can never match: it has no condition, and the default route stands for that"});
        }
        const bool well = inherit(s, r);
        if (well && !r.asks.empty()) {
            const auto [other, fresh] =
                seen_.emplace(std::tuple(r.match.category, r.match.client_group, r.match.listener,
                                         r.match.attributes, r.match.prompt_over, r.match.prompt_under),
                              terms_.routes.size());
            if (!fresh)
                faults_.push_back({s.line, s.path(),
                                   "can never match: route " + terms_.routes[other->second].name +
                                       " on line " + std::to_string(terms_.routes[other->second].line) +
                                       " asks for the same"});
            check(s, r);
        }
        if (r.asks.empty()) r.match.listener = kAny - 1;  // of no caller
        terms_.routes.push_back(std::move(r));
    }

    // Against terms that would have a gateway break the rules.
    void check(const Sheet& s, const RouteTerms& r) {
        const RouteLimits& l = r.limits;
        // Whoever states the limit is where it has to be mended; an inherited one is told at the route that
        // inherits.
        const auto refuse = [&](const char* key, const std::string& what) {
            std::string by;
            for (const auto& [name, route, value] : r.from)
                if (name == key && route != r.name) by = " (inherited from " + route + ")";
            wrong(s, key, what + by);
        };
        Span stop{INT64_MAX};
        bool effectful = false;
        for (std::size_t c = 0; c < terms_.core.categories.size(); ++c) {
            if (r.match.category != kAny && r.match.category != c) continue;
            stop = std::min(stop, terms_.hard_stops[c]);
            effectful |= terms_.core.categories[c].effect == Effect::effectful && r.match.category == c;
        }
        const auto as_ms = [](Span t) { return std::to_string(static_cast<std::int64_t>(t.ms())) + "ms"; };
        const std::string wait = " than the " + as_ms(stop) + " that its clients wait";
        if (l.connect >= terms_.bounds.connect_timeout)
            refuse("connect", "must be shorter than bounds / connect-timeout, " +
                                  as_ms(terms_.bounds.connect_timeout) +
                                  ", after which every launch that waits for the link ends");
        for (const auto& [stage, within] :
             {std::pair<const char*, Span>{"read", l.read}, {"first-token", l.first_token}})
            if (l.connect.us > 0 && within.us > 0 && l.connect >= within)
                refuse("connect", std::string("must be shorter than ") + stage + ", " + as_ms(within) +
                                      ", of which it is a part");
        if (l.read > stop) refuse("read", "rule 1: longer" + wait);
        if (l.first_token > stop) refuse("first-token", "rule 1: longer" + wait);
        if (l.read.us > 0 && l.first_token.us > 0 && l.read + l.hand_over + l.first_token > stop)
            refuse("first-token", "rule 1: read, hand-over and first-token together are longer" + wait);
        if (l.second_copies && !allowed_) refuse("second-copies", "allow / second-copies is no");
        if (l.second_copies && !terms_.core.cancel)
            refuse("second-copies", "the slower copy has to be called off, but allow / cancel is no");
        if (l.second_copies && r.match.category != kAny &&
            terms_.core.categories[r.match.category].effect != Effect::pure)
            refuse("second-copies", "rule 2: only pure categories may have two launches out at once");
        if (l.second_after > stop) refuse("second-after", "rule 1: longer" + wait);
        if (l.hand_over > terms_.core.release_within)
            refuse("hand-over", "rule 5: longer than rules / release-within, a state would lie pinned");
        if (l.whole.us > 0 && l.whole < l.first_token) refuse("whole", "shorter than first-token alone");
        if (l.most_attempts < kAnyNumber && l.most_attempts > terms_.core.max_attempts)
            refuse("most-launches",
                   "more than rules / most-launches, " + std::to_string(terms_.core.max_attempts));
        if (effectful)
            for (const char* key : {"after-failed", "after-silent"})
                for (const auto& [name, route, value] : r.from)
                    if (name == key &&
                        l.most_after[static_cast<int>(
                            key == std::string("after-failed") ? Cause::failed : Cause::silent)] > 0)
                        refuse(key, "rule 2: an effectful category must never run twice; expected 0");
        if (!l.closed)
            for (const auto& [key, value] : {std::pair<const char*, double>{"rate", l.rate},
                                             {"in-hand", l.in_hand},
                                             {"held", l.held},
                                             {"prompt-tokens", l.prompt_tokens},
                                             {"answer-rate", l.answer_rate}})
                if (value <= 0) refuse(key, "0 closes the route; say (closed yes) if that is meant");
        if (l.burst > 0 && l.rate >= kNoLimit) refuse("burst", "has a meaning with a rate only");
        if ((l.retry_floor > 0) && l.retry_share >= kNoLimit)
            refuse("retry-floor", "has a meaning with a retry-share only");
        if (l.stay_away > terms_.core.max_stay_away && terms_.core.max_stay_away.us > 0)
            refuse("stay-away", "longer than allow / stay-away, which clients honour");
    }

    void check_all(const std::vector<Sheet>& sheets) {
        const Sheet& fleet = only(sheets, "fleet");
        double sum = 0;
        for (const double q : terms_.core.quotas) sum += q;
        if (fleet.number("queries-a-second") > 0 && sum > fleet.number("queries-a-second"))
            wrong(fleet, "queries-a-second", "quotas of client groups add up to more than this");
        const auto it = sheets_.find(kDefault);
        if (it != sheets_.end()) check(*it->second, terms_.routes.front());
    }

    GatewayTerms& terms_;
    std::vector<Fault>& faults_;
    const bool allowed_;  // second copies
    std::map<std::string, const Sheet*> sheets_;
    std::set<std::string> parents_;
    std::map<
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::vector<std::uint32_t>, double, double>,
        std::size_t>
        seen_;
};

}  // namespace

const Schema& terms_schema() { return kSchema; }

bool read_terms(const std::string& text, const Overrides& over, GatewayTerms& t, std::vector<Fault>& faults) {
    const Form file = parse_forms(text, kSchema.head, faults);
    if (!faults.empty()) return false;
    const std::vector<Sheet> sheets = read_sheets(file, kSchema, faults);
    // Sense is judged only where every value of a form could be read; the rest would be told twice.
    const auto wrong = [&](const Sheet& sheet, const char* key, const std::string& what) {
        if (sheet.bad) return;
        faults.push_back(
            {sheet.values.count(key) ? sheet.at(key).line : sheet.line, sheet.path() + " / " + key, what});
    };
    const auto chosen = [](const std::string& said, const std::string& written) {
        return said.empty() ? written : said;
    };

    const Sheet& me = only(sheets, "gateway");
    t.name = chosen(over.name, me.text("name"));
    t.zone = chosen(over.zone, me.text("zone"));
    t.listen = chosen(over.listen, me.text("listen"));
    t.roster = chosen(over.roster, me.text("roster"));
    t.state_folder = chosen(over.state_folder, me.text("state-folder"));

    for (const Sheet* zone : all(sheets, "zone")) t.zones.index(zone->name);
    if (t.zone.empty())
        wrong(me, "zone", "is missing; expected one of the zones of this file (or --zone)");
    else if (const std::uint32_t* z = t.zones.find(t.zone))
        t.core.zone = static_cast<std::uint16_t>(*z);
    else
        wrong(me, "zone", "no such zone in this file: " + t.zone);

    bool readers = false, writers = false;
    for (const Sheet* kind : all(sheets, "kind")) {
        t.kinds.index(kind->name);
        const std::string& role = kind->text("role");
        const Role r = role == "reader" ? Role::reader : role == "writer" ? Role::writer : Role::mixed;
        readers |= r != Role::writer;
        writers |= r != Role::reader;
        t.core.kinds.push_back({r, kind->number("memory-tokens")});
    }
    if (!t.core.kinds.empty() && !readers)
        faults.push_back({0, "kind", "no kind reads; expected one with the role reader or mixed"});
    if (!t.core.kinds.empty() && !writers)
        faults.push_back({0, "kind", "no kind writes; expected one with the role writer or mixed"});

    const Sheet& rules = only(sheets, "rules");
    const Sheet& fleet = only(sheets, "fleet");
    const Sheet& bounds = only(sheets, "bounds");
    Span shortest{INT64_MAX};
    for (const Sheet* c : all(sheets, "category")) {
        t.categories.index(c->name);
        Category category;
        const std::string& effect = c->text("effect");
        category.effect = effect == "pure"        ? Effect::pure
                          : effect == "receipted" ? Effect::receipted
                                                  : Effect::effectful;
        const std::string& group = c->text("group");
        category.group = group == "all" ? Group::all : group == "zone" ? Group::zone : Group::cell;
        category.window = c->span("window");
        category.latency_goal = c->span("latency-goal");
        category.goal_per_thousand = c->span("goal-per-thousand");
        category.token_gap = c->span("token-gap");
        category.stream = c->flag("stream");
        t.core.categories.push_back(category);
        t.hard_stops.push_back(c->span("hard-stop"));
        if (!c->bad) shortest = std::min(shortest, c->span("hard-stop"));
        if (category.effect == Effect::receipted && category.window.us <= 0)
            wrong(*c, "window", "rule 2: a receipted category needs the time for which its marks are known");
        for (const char* key : {"group", "window"})
            if (category.effect != Effect::receipted && c->at(key).given)
                wrong(*c, key, "has a meaning for receipted categories only; this one is " + effect);
        if (c->span("latency-goal") > c->span("hard-stop"))
            wrong(*c, "latency-goal", "is longer than the hard stop, after which nobody waits");
    }
    for (const Sheet* g : all(sheets, "client-group")) {
        t.client_groups.index(g->name);
        t.core.quotas.push_back(g->number("quota"));
    }

    t.core.gateways = static_cast<int>(fleet.number("gateways"));
    t.core.quantum = fleet.span("quantum");
    t.core.release_within = rules.span("release-within");
    t.core.start_capacity = rules.number("start-capacity");
    t.core.tip_multiple = rules.number("tip-multiple");
    t.core.fall = rules.span("fall");
    t.core.warm_within = rules.span("warm-within");
    t.core.max_attempts = static_cast<std::uint32_t>(rules.number("most-launches"));
    t.drain_grace = rules.span("drain-grace");
    t.answer_slack = rules.span("answer-slack");
    if (t.core.quantum * 4 > t.core.release_within)
        wrong(fleet, "quantum", "rule 5: must be under a quarter of rules / release-within");
    if (t.core.max_attempts < 2)
        wrong(rules, "most-launches", "a query needs two launches, one to be read and one to be written");

    const Sheet& allow = only(sheets, "allow");
    t.core.cancel = allow.flag("cancel");
    t.core.probes = allow.flag("probes");
    t.core.peers = allow.flag("peers");
    t.peer_listen = chosen(over.peer_listen, me.text("peer-listen"));
    for (const Sheet* peer : all(sheets, "peer"))
        if (peer->name != t.name) t.peers.push_back(peer->text("at"));
    if (t.core.peers && t.peer_listen.empty())
        wrong(me, "peer-listen", "allow / peers is yes; expected a loopback address to hear them on");
    if (t.core.peers && t.peers.empty())
        wrong(allow, "peers", "no other gateway is named; expected a form (peer \"name\" (at ...)) for each");
    if (!t.core.peers && !t.peers.empty())
        wrong(allow, "peers", "gateways are named as peers, but may not tell each other; expected yes");
    t.core.probe_fee = allow.number("probe-fee");
    t.core.writers_read = allow.flag("writers-read");
    t.core.max_stay_away = allow.span("stay-away");
    t.core.ask_for_list = allow.flag("ask-for-list");

    const Sheet& reports = only(sheets, "reports");
    const std::string& how = reports.text("how");
    t.core.reports_by_probe = how == "on-probe";
    t.core.reports_memory = reports.flag("memory");
    t.core.reports_unread = reports.flag("unread");
    if (how == "none" && (t.core.reports_memory || t.core.reports_unread))
        wrong(reports, "how", "reports have fields but are never made; expected inline or on-probe");
    if (how == "on-probe" && !t.core.probes)
        wrong(reports, "how", "reports come on probes, but allow / probes is no");
    if (how != "none" && !t.core.reports_memory && !t.core.reports_unread)
        wrong(reports, "how", "reports hold nothing; expected memory or unread to be yes");

    t.learned_parts = fleet.text("parts") == "learned";
    bool told = how != "none" && t.core.reports_memory;
    for (const Kind& kind : t.core.kinds) told &= kind.role == Role::reader || kind.memory_tokens > 0;
    if (t.learned_parts && !told)
        wrong(fleet, "parts",
              "learned parts need reports / memory, and memory-tokens of every kind that writes; expected "
              "even");

    Bounds& b = t.bounds;
    b.line_bytes = bounds.whole("line-bytes");
    b.unsent_bytes = bounds.whole("unsent-bytes");
    b.callers = bounds.whole("callers");
    b.open_queries = bounds.whole("open-queries");
    b.queries_a_caller = bounds.whole("queries-a-caller");
    b.bad_messages = bounds.whole("bad-messages");
    b.streams_a_link = bounds.whole("streams-a-link");
    b.caller_silence = bounds.span("caller-silence");
    b.connect_timeout = t.core.connect_within = bounds.span("connect-timeout");
    b.idle_link = bounds.span("idle-link");
    b.ping_after = bounds.span("ping-after");
    b.engine_silence = bounds.span("engine-silence");
    b.stop_within = bounds.span("stop-within");
    b.redial = bounds.span("redial");
    if (b.line_bytes > b.unsent_bytes)
        wrong(bounds, "unsent-bytes", "must hold at least one line of line-bytes");
    if (b.ping_after >= b.engine_silence)
        wrong(bounds, "ping-after",
              "must be shorter than engine-silence, or a live engine has no time to answer");
    if (b.connect_timeout >= shortest)
        wrong(bounds, "connect-timeout", "rule 1: must be shorter than every hard stop");

    t.listeners.index("main");
    t.listener_addresses.push_back(t.listen);
    for (const Sheet* l : all(sheets, "listener")) {
        if (t.listeners.find(l->name)) wrong(*l, "at", "the name " + l->name + " is taken");
        t.listeners.index(l->name);
        t.listener_addresses.push_back(l->text("at"));
    }
    RouteReader(sheets, t, faults);

    const Sheet& trace = only(sheets, "trace");
    t.trace.folder = chosen(over.trace_folder, trace.text("folder"));
    trace::KeepingTerms& keeping = t.trace.keeping;
    keeping.file_bytes = trace.whole("file-bytes");
    keeping.file_age = trace.span("file-age");
    keeping.folder_bytes = trace.whole("folder-bytes");
    keeping.hand_over = trace.span("hand-over");
    keeping.sync = trace.span("sync");
    if (keeping.folder_bytes < 2 * keeping.file_bytes)
        wrong(trace, "folder-bytes",
              "must hold two files of file-bytes, the one that is written and one that is whole");

    const Sheet& log = only(sheets, "log");
    t.logging = {chosen(over.log_level, log.text("level")), chosen(over.log_form, log.text("form")),
                 chosen(over.log_file, log.text("file")), log.whole("file-bytes"), log.whole("files")};

    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault& a, const Fault& c) { return a.line < c.line; });
    return faults.empty();
}

bool read_terms_file(const std::string& path, const Overrides& overrides, GatewayTerms& terms,
                     std::vector<Fault>& faults) {
    std::string text;
    return read_file(path, kLargestFile, text, faults) && read_terms(text, overrides, terms, faults);
}

std::string effective_text(const GatewayTerms& terms) {
    std::string out;
    for (const RouteTerms& r : terms.routes) {
        out += "route " + r.name;
        if (r.name != kDefault) {
            out += ", parent " + r.parent + ", asks for ";
            for (std::size_t n = 0; n < r.asks.size(); ++n) out += (n > 0 ? " and " : "") + r.asks[n];
            if (r.asks.empty()) out += "nothing: only others inherit from it";
        } else {
            out += ", fits every query";
        }
        out += "\n";
        for (const auto& [key, from, value] : r.from)
            out += "  " + key + " " + value + (from == r.name ? "" : " (from " + from + ")") + "\n";
    }
    return out;
}

}  // namespace copperfront
