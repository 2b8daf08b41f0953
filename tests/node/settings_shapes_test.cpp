// Guards against code that depends on the names of one deployment: settings with other service classes,
// effects, tenants, server kinds, limits and windows, modelled on the two sites under deploy/sites.
#include <filesystem>
#include <fstream>
#include <sstream>

#include "scripted_gateway_fixture.h"

namespace copperfront {
namespace {

// The largest service class must never take effect twice.
const char* const kMostlyOnce =
    R"("settings":{"azs":["north-quay","south-quay","islands"],"zone":"islands","balancers":6,
 "models":["loader","crane"],
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[200000,140000],"release-ms":700,
  "aim-us-per-1000-prompt-tokens":[50000,40000,60000],"token-aim-ms":[70,55,80]},
 "limits":{"cancel":true,"max-attempts":5,"retry-after":true,"max-retry-after-ms":700,"conn-idle-ms":9000,
  "connect-timeout-ms":400,"most-held":20000,"second-copies":false},
 "profiles":[
  {"name":"berth-commit","target-ms":2200,"deadline-ms":8500,"effect":"once","stream":true,"worth":4},
  {"name":"tide-lookup","target-ms":1100,"deadline-ms":5200,"effect":"repeatable","stream":true,"worth":1},
  {"name":"manifest-note","target-ms":1800,"deadline-ms":7000,"effect":"by_key","key-scope":"zone",
   "window-ms":3500,"stream":true,"worth":2}],
 "realms":[{"name":"ferry-line","quota-per-s":9},{"name":"fish-hall","quota-per-s":6}],"quantum-ms":4,
 "safety":{"fall-ms":2000,"tip-multiple":3,"start-capacity":0.35,"warm-within-ms":11000}})";

// Many tenants, short deadlines, and a repeat window that is shorter than one attempt.
const char* const kManyTenants =
    R"("settings":{"azs":["west","east"],"zone":"west","balancers":30,"models":["ingest","tell"],
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[220000,150000],"release-ms":1300,
  "aim-us-per-1000-prompt-tokens":[30000,40000],"token-aim-ms":[50,60]},
 "limits":{"cancel":true,"max-attempts":4,"retry-after":true,"max-retry-after-ms":300,"conn-idle-ms":20000,
  "connect-timeout-ms":200,"most-held":20000,"second-copies":true},
 "profiles":[
  {"name":"hint","target-ms":900,"deadline-ms":2400,"effect":"repeatable","stream":true,"worth":1},
  {"name":"mark-draft","target-ms":1200,"deadline-ms":3200,"effect":"by_key","key-scope":"cell",
   "window-ms":180,"stream":true,"worth":3}],
 "realms":[{"name":"ash","quota-per-s":9},{"name":"beech","quota-per-s":6},{"name":"cedar","quota-per-s":5},
  {"name":"damson","quota-per-s":4},{"name":"elder","quota-per-s":3},{"name":"fir","quota-per-s":3},
  {"name":"gorse","quota-per-s":3},{"name":"hazel","quota-per-s":2},{"name":"ivy","quota-per-s":2}],
 "quantum-ms":4,"safety":{"fall-ms":2500,"tip-multiple":2,"start-capacity":0.3,"warm-within-ms":14000}})";

struct SettingsCase {
    const char* settings;
    std::vector<std::string> classes, tenants;
    const char* prefill_kind;
    const char* decode_kind;
};

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
    return text;
}

class SettingsShape : public testing::TestWithParam<SettingsCase> {};

// A gateway with these settings serves each service class of each tenant, from the server list of its
// configuration.
TEST_P(SettingsShape, EachClassOfEachTenantIsServed) {
    const SettingsCase& settings_case = GetParam();
    Loop loop;
    Log log{"error", "json", "", 1 << 20, 1};
    fake_server::FakePlatform platform(loop, {});
    platform.add("p1", Role::prefill, "z", 1);
    platform.add("d1", Role::decode, "z", 1);
    platform.set_discovery_silent(true);
    const std::string known =
        replaced(replaced(platform.list_json(), R"("type":"reader")",
                          std::string(R"("type":")") + settings_case.prefill_kind + "\""),
                 R"("type":"writer")", std::string(R"("type":")") + settings_case.decode_kind + "\"");
    Node node(loop, terms_for(platform.discovery().text(), known, 256, settings_case.settings), log);
    int n = 0;
    for (const std::string& service_class : settings_case.classes) {
        for (const std::string& tenant : settings_case.tenants) {
            Client client(loop, node.address());
            const std::string body = R"({"messages":[{"role":"user","content":"hello there"}]})";
            client.send(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: r" + std::to_string(n++) +
                "\r\nX-Service-Class: " + service_class + "\r\nX-Account: " + tenant +
                "\r\nX-Session-Key: s\r\nX-Time-Left-Ms: 2000\r\nX-Facts: prompt_len=9,max_out=50\r\n" +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            Timer poll(loop, [&] {
                if (client.is_complete() || client.closed || client.status() > 200) return loop.stop();
                poll.set(ms(2));
            });
            poll.set(ms(2));
            loop.run();
            EXPECT_TRUE(client.is_complete()) << service_class << " of " << tenant << ": " << client.received;
        }
    }
    EXPECT_EQ(node.dispatcher().counters().completed, static_cast<std::uint64_t>(n));
}

INSTANTIATE_TEST_SUITE_P(
    Each, SettingsShape,
    testing::Values(SettingsCase{kMostlyOnce,
                                 {"berth-commit", "tide-lookup", "manifest-note"},
                                 {"ferry-line", "fish-hall"},
                                 "loader",
                                 "crane"},
                    SettingsCase{
                        kManyTenants, {"hint", "mark-draft"}, {"ash", "elder", "ivy"}, "ingest", "tell"}));

TEST(Settings, SourcesContainNoNameOfTheFirstDeployment) {
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(COPPERFRONT_SOURCE_DIR "/src")) {
        if (!entry.is_regular_file()) continue;
        ++files;
        std::ifstream file(entry.path());
        std::ostringstream text;
        text << file.rdbuf();
        for (const char* name : {"points-help", "nordur-bakari", "kaffi-hofn", "hlidar-bokabud",
                                 "solbad-sund", "vordu", "reykjavik", "keflavik"}) {
            EXPECT_EQ(text.str().find(name), std::string::npos) << entry.path() << " names " << name;
        }
    }
    EXPECT_GT(files, 50u);
}

}  // namespace
}  // namespace copperfront
