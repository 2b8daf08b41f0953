// The audit against records written by hand: a clean day first, then one changed record a rule.
#include "audit/audit.h"

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>

using namespace copperfront;
using Json = nlohmann::json;

namespace {

using Files = std::map<std::string, std::vector<Json>>;

Json at(std::int64_t ms, const char* event, Json fields = Json::object()) {
    fields["t"] = ms * 1000;
    fields["e"] = event;
    return fields;
}

// One effectful query and one receipted, each read at r and written at w, and a drain of r that is kept.
Files clean_day() {
    Files f;
    f["run"] = {at(0, "terms",
                   {{"answer_slack_ms", 20},
                    {"drain_grace_ms", 250},
                    {"fall_ms", 1000},
                    {"tip_multiple", 2},
                    {"release_within_ms", 1000},
                    {"categories",
                     {{"once", {{"effect", "effectful"}, {"group", "all"}}},
                      {"receipt", {{"effect", "receipted"}, {"group", "zone"}, {"window_ms", 3000}}}}}}),
                at(0, "gateway", {{"name", "g"}, {"zone", "z"}}), at(9000, "end")};
    f["roster"] = {at(1, "told",
                      {{"gw", "g.1"},
                       {"how", "whole"},
                       {"servers", Json::array({{{"server", "r"}, {"standing", "ready"}, {"bornMs", 0}},
                                                {{"server", "w"}, {"standing", "ready"}, {"bornMs", 0}}})}}),
                   at(5000, "told",
                      {{"gw", "g.1"},
                       {"how", "changes"},
                       {"servers", Json::array({{{"server", "r"}, {"standing", "draining"}}})}}),
                   at(9000, "end")};
    const auto start = [](const char* name, const char* role, const char* zone) {
        return at(0, "start",
                  {{"name", name},
                   {"server", name},
                   {"role", role},
                   {"zone", zone},
                   {"cell", "a"},
                   {"born_ms", 0},
                   {"capacity", 1000},
                   {"cold_from", 0.5},
                   {"warm_ms", 2000}});
    };
    f["r"] = {start("r", "reader", "z")};
    f["w"] = {start("w", "writer", "z")};
    f["v"] = {start("v", "writer", "y")};
    f["callers-z"] = {};
    int n = 0;
    for (const char* category : {"once", "receipt"}) {
        const std::int64_t t = 1000 + 100 * n;
        const std::string q = "g.1.q" + std::to_string(n), state = "g.1/s" + std::to_string(n),
                          mark = "m" + std::to_string(n);
        const std::string read = std::to_string(n * 10 + 1), write = std::to_string(n * 10 + 2),
                          id = std::to_string(n);
        f["callers-z"].push_back(
            at(t, "ask",
               {{"c", "c"}, {"id", id}, {"gw", "g"}, {"cat", category}, {"mark", mark}, {"budget_ms", 500}}));
        f["r"].push_back(at(t + 1, "in",
                            {{"q", q},
                             {"l", read},
                             {"m", "read"},
                             {"gw", "g.1"},
                             {"cat", category},
                             {"mark", mark},
                             {"state", state},
                             {"work", 100}}));
        f["r"].push_back(at(t + 10, "hold", {{"q", q}, {"state", state}}));
        f["r"].push_back(at(t + 10, "out", {{"q", q}, {"l", read}, {"gw", "g.1"}, {"end", "read"}}));
        f["w"].push_back(at(t + 11, "in",
                            {{"q", q},
                             {"l", write},
                             {"m", "write"},
                             {"gw", "g.1"},
                             {"cat", category},
                             {"mark", mark},
                             {"state", state},
                             {"work", 20}}));
        f["r"].push_back(at(t + 12, "free", {{"q", q}, {"state", state}, {"why", "fetched"}}));
        f["w"].push_back(at(t + 15, "ran", {{"q", q}, {"l", write}, {"gw", "g.1"}}));
        f["callers-z"].push_back(at(t + 16, "first", {{"c", "c"}, {"id", id}}));
        f["w"].push_back(
            at(t + 30, "out", {{"q", q}, {"l", write}, {"gw", "g.1"}, {"end", "settled"}, {"tokens", 5}}));
        f["callers-z"].push_back(
            at(t + 31, "final", {{"c", "c"}, {"id", id}, {"end", "settled"}, {"tokens", 5}}));
        ++n;
    }
    for (const char* name : {"r", "w", "v", "callers-z"}) f[name].push_back(at(9000, "end"));
    return f;
}

audit::Report audited(const Files& files) {
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-audit-XXXXXX").string();
    assert(mkdtemp(folder.data()) != nullptr);
    for (const auto& [name, records] : files) {
        std::ofstream out(folder + "/" + name + ".rec");
        for (const Json& r : records) out << r.dump() << "\n";
    }
    const audit::Report report = audit::check(audit::read_history(folder));
    std::filesystem::remove_all(folder);
    return report;
}

Json& record(Files& f, const std::string& file, const std::string& event, std::size_t nth = 0) {
    for (Json& r : f.at(file))
        if (r["e"] == event && nth-- == 0) return r;
    assert(false);
    return f.at(file).front();
}
void insert(Files& f, const std::string& file, Json r) {
    auto& all = f.at(file);
    auto it = all.begin();
    while (it != all.end() && (*it)["t"] <= r["t"]) ++it;
    all.insert(it, std::move(r));
}

// Just that rule is broken, and the breach says so.
void breaks(int rule, const std::string& what, const std::function<void(Files&)>& change) {
    Files f = clean_day();
    change(f);
    const audit::Report r = audited(f);
    bool named = false;
    for (const audit::Breach& b : r.breaches)
        named |= b.rule == rule && b.what.find(what) != std::string::npos;
    if (!named)
        std::fprintf(stderr, "expected rule %d: %s; found\n%s", rule, what.c_str(),
                     audit::text_of(r).c_str());
    assert(named);
    for (const audit::Breach& b : r.breaches) assert(b.rule == rule);
}

void a_clean_day_is_clean() {
    const audit::Report r = audited(clean_day());
    if (!r.clean()) std::fprintf(stderr, "%s", audit::text_of(r).c_str());
    assert(r.clean() && r.categories.size() == 2 && r.categories[0].settled == 1);
}

void each_rule_is_found_out() {
    breaks(1, "no final answer ever came", [](Files& f) { record(f, "callers-z", "final")["e"] = "other"; });
    breaks(1, "too late", [](Files& f) {
        record(f, "callers-z", "first")["e"] = "other";
        record(f, "callers-z", "final")["t"] = 1000000 + 521000;
    });
    breaks(1, "after the final answer", [](Files& f) {
        insert(f, "callers-z", at(1400, "final", {{"c", "c"}, {"id", "0"}, {"end", "declined"}}));
    });
    breaks(1, "after the final answer", [](Files& f) {
        insert(f, "callers-z", at(1400, "extra", {{"c", "c"}, {"id", "0"}}));
    });
    breaks(1, "its gateway was not killed", [](Files& f) {
        record(f, "callers-z", "final")["e"] = "other";
        insert(f, "callers-z", at(1200, "closed", {{"c", "c"}}));
    });
    breaks(1, "doubled, missing or out of order",
           [](Files& f) { record(f, "callers-z", "final")["torn"] = true; });
    breaks(2, "may have run", [](Files& f) {
        insert(f, "v",
               at(1200, "in",
                  {{"q", "g.1.q0"},
                   {"l", "9"},
                   {"m", "write"},
                   {"gw", "g.1"},
                   {"cat", "once"},
                   {"mark", "m0"},
                   {"work", 20}}));
        insert(f, "v", at(1210, "out", {{"q", "g.1.q0"}, {"l", "9"}, {"gw", "g.1"}, {"end", "full"}}));
    });
    breaks(2, "happened 2 times", [](Files& f) {
        // A caller's own repeat, through another gateway, after a decline that was none.
        insert(f, "v",
               at(1200, "in",
                  {{"q", "h.1.q0"},
                   {"l", "9"},
                   {"m", "write"},
                   {"gw", "h.1"},
                   {"cat", "once"},
                   {"mark", "m0"},
                   {"work", 20}}));
        insert(f, "v", at(1205, "ran", {{"q", "h.1.q0"}, {"l", "9"}, {"gw", "h.1"}}));
        insert(f, "v", at(1210, "out", {{"q", "h.1.q0"}, {"l", "9"}, {"gw", "h.1"}, {"end", "settled"}}));
    });
    breaks(2, "trying again is harmless",
           [](Files& f) { record(f, "callers-z", "final")["end"] = "declined"; });
    breaks(2, "outside its zone", [](Files& f) {
        record(f, "w", "out", 1)["end"] = "error";
        insert(f, "v",
               at(1200, "in",
                  {{"q", "g.1.q1"},
                   {"l", "19"},
                   {"m", "write"},
                   {"gw", "g.1"},
                   {"cat", "receipt"},
                   {"mark", "m1"},
                   {"work", 20}}));
    });
    breaks(2, "after its mark was forgotten", [](Files& f) {
        record(f, "w", "out", 1)["end"] = "error";
        insert(f, "w",
               at(4200, "in",
                  {{"q", "g.1.q1"},
                   {"l", "19"},
                   {"m", "write"},
                   {"gw", "g.1"},
                   {"cat", "receipt"},
                   {"mark", "m1"},
                   {"work", 20}}));
    });
    const auto sent = [](std::int64_t t) {
        return at(t, "in",
                  {{"q", "g.1.q9"},
                   {"l", "99"},
                   {"m", "read"},
                   {"gw", "g.1"},
                   {"cat", "once"},
                   {"state", "x"},
                   {"work", 100}});
    };
    breaks(3, "told that it is draining", [&](Files& f) { insert(f, "r", sent(5251)); });
    Files kept = clean_day();
    insert(kept, "r", sent(5249));
    assert(audited(kept).clean());
    breaks(3, "told that it is gone", [&](Files& f) {
        // Missing in a whole list is gone.
        insert(f, "roster", at(3000, "told", {{"gw", "g.1"}, {"how", "whole"}, {"servers", Json::array()}}));
        insert(f, "r", sent(3300));
    });
    breaks(5, "while no launch of its query was out", [](Files& f) {
        record(f, "w", "in")["t"] = 1000000 + 1011000;
        for (Json* r : {&record(f, "w", "ran"), &record(f, "w", "out")}) (*r)["t"] = 1000000 + 1020000;
        record(f, "r", "free")["t"] = 1000000 + 1012000;
        std::stable_sort(f["w"].begin(), f["w"].end(),
                         [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
        std::stable_sort(f["r"].begin(), f["r"].end(),
                         [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
    });
}

// Against a push on a cold server: the sum in any window counts, and only from those who knew of its start.
void a_push_on_a_cold_server_is_found_out() {
    const auto push = [](Files& f, bool told) {
        record(f, "r", "start")["born_ms"] = 77;
        if (told) record(f, "roster", "told")["servers"][0]["bornMs"] = 77;
        // Capacity 1000 a second, half of it at first: 2 x about 0.625 x 1000 x 1 s = 1250, and 4 attempts of
        // chance.
        for (int n = 0; n < 17; ++n)
            insert(f, "r",
                   at(200 + n, "in",
                      {{"q", "p" + std::to_string(n)},
                       {"l", std::to_string(500 + n)},
                       {"m", "read"},
                       {"gw", "g.1"},
                       {"cat", "once"},
                       {"state", "x"},
                       {"work", 100}}));
    };
    breaks(4, "its budget", [&](Files& f) { push(f, true); });
    Files unknown = clean_day();
    push(unknown, false);
    assert(audited(unknown).breaches.empty());
    Files few = clean_day();
    record(few, "r", "start")["born_ms"] = 77;
    record(few, "roster", "told")["servers"][0]["bornMs"] = 77;
    assert(audited(few).clean());
}

// A state whose read ended just after its gateway was killed is not pinned by anybody.
void what_a_killed_gateway_left_is_excused() {
    Files f = clean_day();
    record(f, "r", "free")["t"] = 6000000;
    record(f, "r", "free")["why"] = "abandoned";
    std::stable_sort(f["r"].begin(), f["r"].end(),
                     [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
    assert(!audited(f).clean());
    insert(f, "run", at(1005, "killed", {{"name", "g"}}));
    assert(audited(f).clean());
}

// Against taking a repeat for the try before it: the first is declined without an attempt, and the second,
// which the same gateway attempts soon after, is settled. An attempt of the first's own that is declined is
// still found out.
void a_repeat_is_not_the_try_before_it() {
    Files f = clean_day();
    const auto asked = [](std::int64_t t, const char* id) {
        return at(t, "ask",
                  {{"c", "d"}, {"id", id}, {"gw", "g"}, {"cat", "once"}, {"mark", "m0"}, {"budget_ms", 500}});
    };
    const auto declined =
        at(990, "final", {{"c", "d"}, {"id", "90"}, {"end", "declined"}, {"text", "later"}});
    insert(f, "callers-z", asked(980, "90"));
    insert(f, "callers-z", declined);
    if (!audited(f).clean()) std::fprintf(stderr, "%s", audit::text_of(audited(f)).c_str());
    assert(audited(f).clean());
    // It came to the gateway before the repeat was asked.
    Files late = f;
    for (const char* file : {"r", "w"})
        for (Json& r : late[file])
            if (r.value("q", "") == "g.1.q0") r["t"] = r["t"].get<std::int64_t>() - 15000;
    assert(!audited(late).clean());
}

// A torn record gives no clean bill; that of a killed process may be torn.
void torn_records_are_known() {
    Files f = clean_day();
    f["w"].pop_back();
    assert(!audited(f).clean() && audited(f).breaches.empty());
    insert(f, "run", at(8000, "killed", {{"name", "w"}}));
    assert(audited(f).clean());
    Files missing = clean_day();
    missing.erase("roster");
    assert(!audited(missing).clean());
}

}  // namespace

int main() {
    a_clean_day_is_clean();
    each_rule_is_found_out();
    a_push_on_a_cold_server_is_found_out();
    what_a_killed_gateway_left_is_excused();
    a_repeat_is_not_the_try_before_it();
    torn_records_are_known();
}
