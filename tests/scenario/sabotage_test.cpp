// Guards against an audit that cannot fail: a short scenario with a gateway that breaks one rule on purpose
// must be reported as a breach of that rule alone, and the same scenario with the real gateway must be clean.
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace {

const char* const kTerms = R"((copperfront
  (gateway (listen "127.0.0.1:0"))
  (fleet (gateways 1) (quantum 10ms))
  (zone "z")
  (kind "reader" (role reader))
  (kind "writer" (role writer))
  (category "pure" (effect pure) (latency-goal 800ms) (hard-stop 1500ms))
  (category "once" (effect effectful) (latency-goal 800ms) (hard-stop 1500ms))
  (rules (answer-slack 200ms) (drain-grace 300ms) (start-capacity 0.3) (tip-multiple 2) (fall 1s)
    (warm-within 5s) (release-within 1s) (most-launches 4)))
)";

struct Case {
    int rule;
    const char* what;   // part of the text of the expected breach
    const char* fault;  // entry of the scenario script
};

const std::map<std::string, Case> kCases = {
    {"dropped", {1, "no final answer", ""}},
    {"doubled", {1, "after the final answer", ""}},
    {"late", {1, "too late", R"((trouble "x" (what hang) (at 500ms) (for 3s) (on "w1" "w2" "w3")))"}},
    {"twice",
     {2, "may have run", R"((trouble "x" (what errors) (at 500ms) (for 2s) (on "w1" "w2") (size 0.5)))"}},
    {"drain", {3, "told that it is draining", R"((trouble "x" (what drain) (at 500ms) (for 2s) (on "r1")))"}},
    {"cold", {4, "its budget", R"((trouble "x" (what crash) (at 300ms) (for 200ms) (on "r1")))"}},
    {"pinned",
     {5, "while no launch of its query was out",
      R"((trouble "x" (what errors) (at 500ms) (for 1500ms) (on "w1" "w2" "w3") (size 1)))"}},
};

nlohmann::json play(const std::string& copperfront, const std::string& folder, const std::string& more,
                    int& status) {
    const std::string out = folder + "/report.json";
    const std::string command = copperfront + " day " + folder + "/x.day --quiet --json --keep " + folder +
                                "/records " + more + " > " + out;
    status = std::system(command.c_str());
    std::ifstream in(out);
    nlohmann::json report = nlohmann::json::parse(in, nullptr, false);
    if (!report.is_object()) {
        std::fprintf(stderr, "no report from: %s\n", command.c_str());
        std::exit(1);
    }
    return report;
}

std::string output_of(const std::string& command) {
    std::string out;
    FILE* pipe = popen(command.c_str(), "r");
    assert(pipe != nullptr);
    char chunk[4096];
    for (std::size_t n = 0; (n = fread(chunk, 1, sizeof chunk, pipe)) > 0;) out.append(chunk, n);
    if (pclose(pipe) != 0) std::fprintf(stderr, "went wrong: %s\n%s\n", command.c_str(), out.c_str());
    return out;
}

// Compares the gateway's trace of its requests with what the clients saw on their sockets, and runs every
// trace tool on the trace files.
void check_trace_against_clients(const std::string& copperfront, const std::string& folder,
                                 const nlohmann::json& report) {
    const std::string trace = copperfront + " trace ", files = folder + "/records/traces/*.cft";
    const auto summary = nlohmann::json::parse(output_of(trace + "summary --format json " + files));
    std::map<std::string, nlohmann::json> by_category;
    for (const auto& group : summary["groups"]) by_category[group["category"]] = group;
    for (const auto& c : report["categories"]) {
        const nlohmann::json& traced = by_category[c["name"]];
        for (const char* key : {"settled", "declined", "given_up", "left"})
            if (traced[key] != c[key])
                std::fprintf(stderr, "%s: %s in the trace, %s by the callers\n%s\n%s\n", key,
                             traced[key].dump().c_str(), c[key].dump().c_str(), summary.dump(1).c_str(),
                             report.dump(1).c_str());
        for (const char* key : {"settled", "declined", "given_up", "left"}) assert(traced[key] == c[key]);
    }
    assert(summary["dropped"] == 0 && summary["decisions"] > 100);
    assert(output_of(trace + "verify " + files).find(": whole, version 2") != std::string::npos);
    const std::string merged = folder + "/all.cft", converted_back = folder + "/again.cft",
                      anonymised = folder + "/hidden.cft", json_lines = folder + "/lines.json",
                      key = folder + "/key";
    std::ofstream(key) << "sixteen bytes or more";
    output_of(trace + "merge " + files + " " + files + " -o " + merged);
    output_of(trace + "convert " + merged + " > " + json_lines + " && " + trace + "convert --to trace " +
              json_lines + " -o " + converted_back);
    assert(output_of(trace + "diff " + merged + " " + converted_back).find('\n') ==
           output_of(trace + "diff " + merged + " " + converted_back).size() - 1);
    assert(output_of(trace + "summary --format json " + converted_back) ==
           output_of(trace + "summary --format json " + merged));
    output_of(trace + "anonymise --key " + key + " " + merged + " -o " + anonymised);
    assert(output_of(trace + "convert " + anonymised).find("pure") == std::string::npos);
    assert(output_of(trace + "cut --from +1 --until +2 " + merged + " -o - | " + trace + "verify -")
               .find("-: whole") == 0);
    // A file that is cut off, as after a kill, is read up to the cut and completed by `mend`.
    output_of("head -c 6000 " + merged + " > " + folder + "/torn.cft; " + trace + "mend " + folder +
              "/torn.cft -o " + folder + "/mended.cft");
    assert(output_of(trace + "verify " + folder + "/mended.cft").find(": whole") != std::string::npos);
    // A request that completed, whatever happened to the others.
    const std::string name = output_of("grep -m1 -v '\"outcome\"\\|decisions\\|events' " + json_lines);
    const auto completed_request = nlohmann::json::parse(name);
    const std::string explanation =
        output_of(trace + "explain " + completed_request["origin"].get<std::string>() + "." +
                  completed_request["query"].dump() + " " + merged);
    for (const char* part :
         {"query g.", "read at 127.0.0.1:", "that could be taken", "write at", "settled after"})
        assert(explanation.find(part) != std::string::npos);
    assert(output_of(trace + "show --limit 3 " + merged).find("started") != std::string::npos);
}

}  // namespace

int main(int argc, char** argv) {
    assert(argc == 4);
    const std::string copperfront = argv[1], sabotaged = argv[2], kind = argv[3];
    const Case& c = kCases.at(kind);
    std::string folder = (std::filesystem::temp_directory_path() / "copperfront-sabotage-XXXXXX").string();
    assert(mkdtemp(folder.data()) != nullptr);
    std::ofstream(folder + "/x.terms") << kTerms;
    std::ofstream(folder + "/x.day") << R"((day (day (terms "x.terms") (length 3s) (tail 2500ms) (warm-in 4s))
      (roster (least-delay 20ms) (most-delay 40ms))
      (gateway "g" (zone "z"))
      (engine "r" (count 2) (kind "reader") (zone "z") (read-rate 9000))
      (engine "w" (count 3) (kind "writer") (zone "z"))
      (traffic "p" (zone "z") (category "pure") (rate 12) (prompt 600) (beginning-tokens 100) (budget 1500ms))
      (traffic "o" (zone "z") (category "once") (rate 12) (prompt 600) (beginning-tokens 100) (budget 1500ms)))"
                                     << c.fault << ")\n";
    int status = 0;
    const nlohmann::json clean_report = play(copperfront, folder, "", status);
    if (!clean_report["clean"].get<bool>()) std::fprintf(stderr, "%s\n", clean_report.dump(1).c_str());
    assert(clean_report["clean"].get<bool>() && status == 0);
    check_trace_against_clients(copperfront, folder, clean_report);
    std::filesystem::remove_all(folder + "/records");

    const nlohmann::json faulty_report = play(
        copperfront, folder, "--gateway-program " + sabotaged + " --gateway-arg=--sabotage=" + kind, status);
    assert(!faulty_report["clean"].get<bool>() && status != 0);
    bool breach_found = false, explanation_found = false;
    std::set<int> rules;
    for (const auto& breach : faulty_report["breaches"]) {
        rules.insert(breach["rule"].get<int>());
        // The decision that led to the breach, from the gateway's own trace.
        explanation_found |= breach["story"].get<std::string>().find(" at 127.0.0.1:") != std::string::npos;
        breach_found |=
            breach["rule"] == c.rule && breach["what"].get<std::string>().find(c.what) != std::string::npos;
    }
    if (!breach_found || rules.size() != 1)
        std::fprintf(stderr, "%s\n", faulty_report.dump(1).substr(0, 8000).c_str());
    assert(breach_found);
    if (!explanation_found) std::fprintf(stderr, "%s\n", faulty_report.dump(1).substr(0, 8000).c_str());
    assert(explanation_found);
    assert(rules == std::set<int>{c.rule});
    std::filesystem::remove_all(folder);
    return 0;
}
