// Tests the audit on records written by hand: a clean scenario first, then one changed record per rule.
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

// One effectful request and one receipted request, each prefilled at r and decoded at w, and a drain of r
// that is honoured.
Files clean_records() {
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
                          idempotency_key = "m" + std::to_string(n);
        const std::string prefill_id = std::to_string(n * 10 + 1), decode_id = std::to_string(n * 10 + 2),
                          id = std::to_string(n);
        f["callers-z"].push_back(at(t, "ask",
                                    {{"c", "c"},
                                     {"id", id},
                                     {"gw", "g"},
                                     {"cat", category},
                                     {"mark", idempotency_key},
                                     {"budget_ms", 500}}));
        f["r"].push_back(at(t + 1, "in",
                            {{"q", q},
                             {"l", prefill_id},
                             {"m", "read"},
                             {"gw", "g.1"},
                             {"cat", category},
                             {"mark", idempotency_key},
                             {"state", state},
                             {"work", 100}}));
        f["r"].push_back(at(t + 10, "hold", {{"q", q}, {"state", state}}));
        f["r"].push_back(at(t + 10, "out", {{"q", q}, {"l", prefill_id}, {"gw", "g.1"}, {"end", "read"}}));
        f["w"].push_back(at(t + 11, "in",
                            {{"q", q},
                             {"l", decode_id},
                             {"m", "write"},
                             {"gw", "g.1"},
                             {"cat", category},
                             {"mark", idempotency_key},
                             {"state", state},
                             {"work", 20}}));
        f["r"].push_back(at(t + 12, "free", {{"q", q}, {"state", state}, {"why", "fetched"}}));
        f["w"].push_back(at(t + 15, "ran", {{"q", q}, {"l", decode_id}, {"gw", "g.1"}}));
        f["callers-z"].push_back(at(t + 16, "first", {{"c", "c"}, {"id", id}}));
        f["w"].push_back(at(t + 30, "out",
                            {{"q", q}, {"l", decode_id}, {"gw", "g.1"}, {"end", "settled"}, {"tokens", 5}}));
        f["callers-z"].push_back(
            at(t + 31, "final", {{"c", "c"}, {"id", id}, {"end", "settled"}, {"tokens", 5}}));
        ++n;
    }
    for (const char* name : {"r", "w", "v", "callers-z"}) f[name].push_back(at(9000, "end"));
    return f;
}

audit::Report run_audit(const Files& files) {
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

// Asserts that only this rule is broken, and that a breach says so.
void expect_breach(int rule, const std::string& what, const std::function<void(Files&)>& change) {
    Files f = clean_records();
    change(f);
    const audit::Report r = run_audit(f);
    bool named = false;
    for (const audit::Breach& b : r.breaches)
        named |= b.rule == rule && b.what.find(what) != std::string::npos;
    if (!named)
        std::fprintf(stderr, "expected rule %d: %s; found\n%s", rule, what.c_str(),
                     audit::text_of(r).c_str());
    assert(named);
    for (const audit::Breach& b : r.breaches) assert(b.rule == rule);
}

void clean_records_pass() {
    const audit::Report r = run_audit(clean_records());
    if (!r.passed()) std::fprintf(stderr, "%s", audit::text_of(r).c_str());
    assert(r.passed() && r.categories.size() == 2 && r.categories[0].completed == 1);
}

void each_rule_is_checked() {
    expect_breach(1, "no final answer ever came",
                  [](Files& f) { record(f, "callers-z", "final")["e"] = "other"; });
    expect_breach(1, "too late", [](Files& f) {
        record(f, "callers-z", "first")["e"] = "other";
        record(f, "callers-z", "final")["t"] = 1000000 + 521000;
    });
    expect_breach(1, "after the final answer", [](Files& f) {
        insert(f, "callers-z", at(1400, "final", {{"c", "c"}, {"id", "0"}, {"end", "declined"}}));
    });
    expect_breach(1, "after the final answer", [](Files& f) {
        insert(f, "callers-z", at(1400, "extra", {{"c", "c"}, {"id", "0"}}));
    });
    expect_breach(1, "its gateway was not killed", [](Files& f) {
        record(f, "callers-z", "final")["e"] = "other";
        insert(f, "callers-z", at(1200, "closed", {{"c", "c"}}));
    });
    expect_breach(1, "doubled, missing or out of order",
                  [](Files& f) { record(f, "callers-z", "final")["torn"] = true; });
    expect_breach(2, "may have run", [](Files& f) {
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
    expect_breach(2, "happened 2 times", [](Files& f) {
        // A client's own repeat, through another gateway, after a rejection that was not genuine.
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
    expect_breach(2, "trying again is harmless",
                  [](Files& f) { record(f, "callers-z", "final")["end"] = "declined"; });
    expect_breach(2, "outside its zone", [](Files& f) {
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
    expect_breach(2, "after its mark was forgotten", [](Files& f) {
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
    expect_breach(3, "told that it is draining", [&](Files& f) { insert(f, "r", sent(5251)); });
    Files in_grace = clean_records();
    insert(in_grace, "r", sent(5249));
    assert(run_audit(in_grace).passed());
    expect_breach(3, "told that it is gone", [&](Files& f) {
        // A server that is missing from a whole list has been removed.
        insert(f, "roster", at(3000, "told", {{"gw", "g.1"}, {"how", "whole"}, {"servers", Json::array()}}));
        insert(f, "r", sent(3300));
    });
    expect_breach(5, "while no launch of its query was out", [](Files& f) {
        record(f, "w", "in")["t"] = 1000000 + 1011000;
        for (Json* r : {&record(f, "w", "ran"), &record(f, "w", "out")}) (*r)["t"] = 1000000 + 1020000;
        record(f, "r", "free")["t"] = 1000000 + 1012000;
        std::stable_sort(f["w"].begin(), f["w"].end(),
                         [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
        std::stable_sort(f["r"].begin(), f["r"].end(),
                         [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
    });
}

// Overload of a cold server: the sum over any window counts, but only from gateways that knew of its start.
void overload_of_a_cold_server_is_detected() {
    const auto overload = [](Files& f, bool notified) {
        record(f, "r", "start")["born_ms"] = 77;
        if (notified) record(f, "roster", "told")["servers"][0]["bornMs"] = 77;
        // Capacity is 1000 tokens per second, half of it at first: 2 x about 0.625 x 1000 x 1 s = 1250, plus
        // 4 attempts that count as chance.
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
    expect_breach(4, "its budget", [&](Files& f) { overload(f, true); });
    Files unknown = clean_records();
    overload(unknown, false);
    assert(run_audit(unknown).breaches.empty());
    Files few = clean_records();
    record(few, "r", "start")["born_ms"] = 77;
    record(few, "roster", "told")["servers"][0]["bornMs"] = 77;
    assert(run_audit(few).passed());
}

// A state whose prefill ended just after its gateway was killed is no breach.
void states_of_a_killed_gateway_are_excused() {
    Files f = clean_records();
    record(f, "r", "free")["t"] = 6000000;
    record(f, "r", "free")["why"] = "abandoned";
    std::stable_sort(f["r"].begin(), f["r"].end(),
                     [](const Json& a, const Json& b) { return a["t"] < b["t"]; });
    assert(!run_audit(f).passed());
    insert(f, "run", at(1005, "killed", {{"name", "g"}}));
    assert(run_audit(f).passed());
}

// A repeat must not be attributed to the request before it: the first is rejected without an attempt, and the
// second, which the same gateway attempts soon after, is completed. A request that is rejected after an
// attempt of its own is still detected.
void a_repeat_is_not_attributed_to_the_request_before_it() {
    Files f = clean_records();
    const auto asked = [](std::int64_t t, const char* id) {
        return at(t, "ask",
                  {{"c", "d"}, {"id", id}, {"gw", "g"}, {"cat", "once"}, {"mark", "m0"}, {"budget_ms", 500}});
    };
    const auto declined =
        at(990, "final", {{"c", "d"}, {"id", "90"}, {"end", "declined"}, {"text", "later"}});
    insert(f, "callers-z", asked(980, "90"));
    insert(f, "callers-z", declined);
    if (!run_audit(f).passed()) std::fprintf(stderr, "%s", audit::text_of(run_audit(f)).c_str());
    assert(run_audit(f).passed());
    // The attempt was made before the repeat was sent.
    Files late = f;
    for (const char* file : {"r", "w"})
        for (Json& r : late[file])
            if (r.value("q", "") == "g.1.q0") r["t"] = r["t"].get<std::int64_t>() - 15000;
    assert(!run_audit(late).passed());
}

// A damaged record prevents a pass, unless its process was killed.
void damaged_records_are_detected() {
    Files f = clean_records();
    f["w"].pop_back();
    assert(!run_audit(f).passed() && run_audit(f).breaches.empty());
    insert(f, "run", at(8000, "killed", {{"name", "w"}}));
    assert(run_audit(f).passed());
    Files missing = clean_records();
    missing.erase("roster");
    assert(!run_audit(missing).passed());
}

}  // namespace

int main() {
    clean_records_pass();
    each_rule_is_checked();
    overload_of_a_cold_server_is_detected();
    states_of_a_killed_gateway_are_excused();
    a_repeat_is_not_attributed_to_the_request_before_it();
    damaged_records_are_detected();
}
