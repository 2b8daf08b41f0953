// Parsing of the platform's JSON and headers, and the errors for malformed input.
#include <cassert>
#include <cstdio>
#include <functional>
#include <string>

#include "platform/answers.h"
#include "platform/client_request.h"
#include "platform/json_member.h"
#include "platform/list_reader.h"
#include "platform/node_terms.h"

using namespace copperfront;
using namespace copperfront::platform;

namespace {

const char* const kSettings = R"({"azs":["north","south"],"zone":"south","balancers":3,"models":["r","w"],
 "family-info":{"role-by-kind":["read","write"],"tokens-by-kind":[1000,2000],"release-ms":1000.0,
  "aim-us-per-1000-prompt-tokens":[40000],"token-aim-ms":[60]},
 "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after-ms":1000,"conn-idle-ms":15000,
  "connect-timeout-ms":250,"most-held":500},
 "profiles":[{"name":"help","target-ms":1500,"deadline-ms":6000,"effect":"repeatable","stream":true}],
 "realms":[{"name":"acme","quota-per-s":5}],"quantum-ms":4,"unheard-of":{"a":[1]},
 "safety":{"fall-ms":3000,"tip-multiple":2.5,"start-capacity":0.3,"warm-within-ms":14000}})";

const std::string kKnownList =
    R"({"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:8081","zone":"north","type":"r",
  "group":3,"status":"up","weight":1.0,"since_ms":1700000000123},{"name":"s-2","address":"127.0.0.1:8082",
  "zone":"south","type":"w","group":4,"status":"draining","since_ms":0}]})";

std::string configuration(const std::string& settings = kSettings, const std::string& known = kKnownList) {
    return R"({"name":"n1","listen":"127.0.0.1:0","seed":"8c1f","limits":{"cores":1.0,"memory_mb":64,"sockets":256},)"
           R"("known":)" +
           known + R"(,"settings":)" + settings + "}";
}

std::string empty_environment(const char*) { return ""; }

std::string error_of(const std::function<void()>& what) {
    try {
        what();
    } catch (const BadInput& bad) {
        return bad.what();
    }
    return "";
}

void settings_are_read_into_terms() {
    const NodeTerms t = read_node_terms(configuration(), [](const char* name) {
        return std::string(name) == "ROUTER_DISCOVERY" ? "127.0.0.1:9" : "else";
    });
    assert(t.name == "n1" && t.listen == "127.0.0.1:0" && t.discovery == "127.0.0.1:9");
    assert(t.memory_mb == 64 && t.max_descriptors == 256);
    assert(t.core.gateways == 3 && t.core.zone == 1 && t.core.kinds.size() == 2);
    assert(t.core.kinds[0].role == Role::prefill && t.core.kinds[1].memory_tokens == 2000);
    assert(t.core.categories[0].latency_goal.us == 1500000 && t.core.categories[0].stream);
    assert(t.core.categories[0].token_gap.us == 60000 && t.core.categories[0].goal_per_thousand.us == 40000);
    assert(t.core.max_attempts == 6 && t.core.max_retry_after.us == 1000000 && t.core.cancel &&
           !t.core.probes);
    assert(t.core.warm_up_time.us == 14000000 && t.core.quantum.us == 4000);
    assert(t.connection_settings.idle_timeout.us == 15000000 && t.core.connect_timeout.us == 250000 &&
           t.connection_settings.longest_deadline.us == 6000000);
    const ServerListUpdate known = read_known_list(t);
    assert(known.is_snapshot && known.index == 41 && known.entries.size() == 2);
    assert(known.entries[0].started_at.us == 1700000000123000 && known.entries[0].cell == "3");
    assert(known.entries[1].status == ServerStatus::draining);
}

void malformed_files_are_rejected_with_a_reason() {
    const std::string good = configuration();
    const auto error_text = [](const std::string& text) {
        return error_of([&] { read_known_list(read_node_terms(text, empty_environment)); });
    };
    assert(error_text(good).empty());
    assert(error_text("").find("JSON") != std::string::npos);
    assert(error_text("{").find("JSON") != std::string::npos);
    assert(error_text("[]").find("object") != std::string::npos);
    assert(error_text("{}").find("listen") != std::string::npos);
    assert(error_text(R"({"listen":"127.0.0.1:0"})").find("settings") != std::string::npos);
    assert(error_text(configuration("{}")).find("models") != std::string::npos);
    assert(error_text(configuration(R"({"models":["r"]})")).find("profiles") != std::string::npos);
    assert(error_text(configuration(R"({"models":"r"})")).find("models") != std::string::npos);
    assert(error_text(configuration(R"({"models":["r"],"profiles":[{"name":"a","target-ms":"soon"}]})"))
               .find("target-ms") != std::string::npos);
    assert(error_text(configuration(R"({"models":["r"],"family-info":{"role-by-kind":["cook"]}})"))
               .find("cook") != std::string::npos);
    assert(error_text(configuration(kSettings, R"({"index":-1})")).find("known: not a whole number: index") !=
           std::string::npos);
    assert(error_text(configuration(kSettings, R"({"index":1,"endpoints":[{"name":"a"}]})")).find("status") !=
           std::string::npos);
    // A file truncated at any position is rejected.
    for (std::size_t cut = 0; cut < good.size(); cut += 3) assert(!error_text(good.substr(0, cut)).empty());
}

void a_reload_may_append_names_but_not_change_them() {
    const NodeTerms now = read_node_terms(configuration(), empty_environment);
    assert(reload_conflict(now, now).empty());
    std::string grown = kSettings, swapped = kSettings, roles = kSettings;
    grown.replace(grown.find(R"("realms":[)"), 10,
                  R"("realms":[{"name":"acme","quota-per-s":9},{"name":"x"}],"r":[)");
    assert(reload_conflict(now, read_node_terms(configuration(grown), empty_environment)).empty());
    swapped.replace(swapped.find(R"("models":["r","w"])"), 18, R"("models":["w","r"])");
    assert(!reload_conflict(now, read_node_terms(configuration(swapped), empty_environment)).empty());
    roles.replace(roles.find(R"(["read","write"])"), 16, R"(["write","read"])");
    assert(!reload_conflict(now, read_node_terms(configuration(roles), empty_environment)).empty());
}

// Parses the list in pieces of `piece` bytes.
ServerListUpdate read_list(std::string_view text, std::size_t piece) {
    ServerListReader reader;
    for (std::size_t at = 0; at < text.size(); at += piece) reader.take(text.substr(at, piece));
    return reader.finish();
}

void malformed_lists_are_rejected_as_a_whole() {
    const char* const kRemoved = R"({"index":2,"endpoints":[{"name":"a","status":"removed"}]})";
    const ServerListUpdate removed = read_list(kRemoved, 1000);
    assert(!removed.is_snapshot && removed.entries[0].status == ServerStatus::removed);
    for (const char* bad :
         {"",
          "[]",
          "{}",
          R"({"index":"1"})",
          R"({"index":1,"endpoints":{}})",
          R"({"index":1,"endpoints":[1]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"up"}]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"odd","address":"x"}]})",
          R"({"index":1,"endpoints":[{"name":"","status":"up","address":"x"}]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"up","address":"x","since_ms":1e300}]})",
          R"({"index":1,"endpoints":[0]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"}0]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"}{"name":"b","status":"removed"}]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"},]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"]}})",
          R"({"index":1,"endpoints":[[{"name":"a","status":"removed"}]]})",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"}]})"
          "x",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"}])",
          "]",
          "}{",
          R"({"index":1,"endpoints":[{"name":"a","status":"removed"}],"endpoints":[]})"})
        for (const std::size_t piece : {std::size_t{1000}, std::size_t{1}})
            assert(!error_of([&] { read_list(bad, piece); }).empty());
}

void a_member_is_extracted_from_an_object() {
    const JsonMember member =
        extract_member(R"( {"a": "}\"known\":", "b":{"known":1}, "known" : [{"x":"]"}] , "c":2})", "known");
    assert(member.value == R"([{"x":"]"}])");
    assert(member.rest == R"( {"a": "}\"known\":", "b":{"known":1}, "known" : null , "c":2})");
    for (const char* none : {"", "{", "[]", R"({"a":1})", R"({"known")", R"({"known":)"})
        assert(extract_member(none, "known").value.empty());
    assert(extract_member(R"({"known":7})", "known").value == "7");
}

// Strings may contain structural characters, and a list may be indented.
void unusual_lists_are_parsed_from_pieces_of_any_size() {
    const std::string text = R"( { "more" : { "endpoints" : [ {"x": 1} ], "y" : "]}{[\"" },
  "endpoints" : [
    { "name" : "a]}", "status" : "up", "address" : "1.2.3.4:5", "group" : 3, "more" : [ { } ] } ,
    { "name" : "b\"{", "status" : "draining", "address" : "1.2.3.4:6", "since_ms" : 7 } ],
  "snapshot" : true, "index" : 9 } )";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        const ServerListUpdate news = read_list(text, piece);
        assert(news.index == 9 && news.is_snapshot && news.entries.size() == 2);
        assert(news.entries[0].name == "a]}" && news.entries[0].cell == "3");
        assert(news.entries[1].name == "b\"{" && news.entries[1].status == ServerStatus::draining);
        assert(news.entries[1].started_at.us == 7000);
    }
}

http::Head head_of(const std::vector<std::pair<std::string, std::string>>& fields) {
    http::Head head;
    head.fields = fields;
    return head;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

const Fields kRequestHeaders = {
    {"x-correlation-id", "9b1f"}, {"X-Service-Class", "help"},
    {"X-Account", "acme"},        {"X-Session-Key", "7f3a"},
    {"X-Time-Left-Ms", "4800"},   {"X-Facts", "prefix=5c0f,prompt_len=20,prefix_len=8,max_out=800,else=x"},
    {"X-Weight-Hint", "1500"}};
const std::string kBody =
    R"({"model":"chat","stream":true,"messages":[{"role":"user","content":"hello there"}]})";

Fields with_header(const char* name, const char* value) {
    Fields fields = kRequestHeaders;
    for (auto& [candidate, current] : fields)
        if (http::equals_ignoring_case(candidate, name)) current = value;
    return fields;
}

Fields without_header(const char* name) {
    Fields fields = kRequestHeaders;
    std::erase_if(fields, [&](const auto& f) { return http::equals_ignoring_case(f.first, name); });
    return fields;
}

void headers_are_parsed_into_request_facts() {
    const SettingNames names = read_node_terms(configuration(), empty_environment).names;
    ClientRequest request;
    assert(read_client_request(head_of(kRequestHeaders), kBody, names, request).empty());
    assert(request.id == "9b1f" && request.info.category == 0 && request.info.client_group == 0 &&
           !request.is_repeat);
    assert(request.info.time_budget.us == 4800000 && request.info.duration_hint.us == 1500);
    assert(request.info.prompt_tokens == 20 && request.info.shared_prefix_tokens == 8 &&
           request.info.max_output_tokens == 800);
    assert(request.info.session == hash_of("7f3a") && request.info.shared_prefix == hash_of("5c0f"));
    // An account that is not in the settings has no client group; a prompt without a shared prefix has none.
    assert(read_client_request(head_of(with_header("X-Account", "unheard")), kBody, names, request).empty());
    assert(request.info.client_group == -1);
    assert(
        read_client_request(head_of(with_header("X-Facts", "prompt_len=20,max_out=8")), kBody, names, request)
            .empty());
    assert(request.info.shared_prefix == 0 && request.info.shared_prefix_tokens == 0);
    Fields repeat = kRequestHeaders;
    repeat.emplace_back("X-Repeat", "1");
    assert(read_client_request(head_of(repeat), kBody, names, request).empty() && request.is_repeat);
}

void malformed_requests_are_rejected_with_a_reason() {
    const SettingNames names = read_node_terms(configuration(), empty_environment).names;
    ClientRequest request;
    for (const char* name : {"X-Correlation-Id", "X-Service-Class", "X-Time-Left-Ms", "X-Facts"})
        assert(read_client_request(head_of(without_header(name)), kBody, names, request).find(name) !=
               std::string::npos);
    const std::pair<const char*, const char*> bad[] = {{"X-Correlation-Id", ""},
                                                       {"X-Correlation-Id", "a/b"},
                                                       {"X-Correlation-Id", "a b"},
                                                       {"X-Correlation-Id", "../rooms"},
                                                       {"X-Service-Class", "unheard"},
                                                       {"X-Time-Left-Ms", "soon"},
                                                       {"X-Time-Left-Ms", "-1"},
                                                       {"X-Time-Left-Ms", "1e400"},
                                                       {"X-Time-Left-Ms", "nan"},
                                                       {"X-Time-Left-Ms", "99999999999"},
                                                       {"X-Time-Left-Ms", "12 "},
                                                       {"X-Weight-Hint", "x"},
                                                       {"X-Facts", "prompt_len"},
                                                       {"X-Facts", "prompt_len=-4"},
                                                       {"X-Facts", "prompt_len=1e99"},
                                                       {"X-Facts", "prompt_len=99999999"},
                                                       {"X-Facts", "max_out=3"},
                                                       {"X-Facts", "prompt_len=2,prompt_len=3"},
                                                       {"X-Facts", "prompt_len=2,prefix_len=3"}};
    for (const auto& [name, value] : bad) {
        const std::string error_text =
            read_client_request(head_of(with_header(name, value)), kBody, names, request);
        if (error_text.find(name) == std::string::npos)
            std::fprintf(stderr, "%s: %s: unexpected error text: %s\n", name, value, error_text.c_str());
        assert(error_text.find(name) != std::string::npos);
    }
    assert(!read_client_request(head_of(with_header("X-Correlation-Id", std::string(200, 'a').c_str())),
                                kBody, names, request)
                .empty());
    Fields twice = kRequestHeaders;
    twice.emplace_back("X-Correlation-Id", "other");
    assert(!read_client_request(head_of(twice), kBody, names, request).empty());
    // A model server would close its connection on these bodies.
    for (const std::string body : {"", "hello", "[]", "{}", R"({"messages":)", R"({"messages":[]} x)",
                                   "{\"messages\":[\"\xff\xfe\"]}"})
        assert(!read_client_request(head_of(with_header("X-Facts", "prompt_len=0")), body, names, request)
                    .empty());
    std::string deep = R"({"messages":)";
    for (int n = 0; n < 5000; ++n) deep += '[';
    assert(!read_client_request(head_of(kRequestHeaders), deep, names, request).empty());
}

http::Head response(int status, const Fields& fields = {}) {
    http::Head head = head_of(fields);
    head.status = status;
    return head;
}

void responses_are_mapped_to_outcomes() {
    const Fields unprocessed = {{"x-unprocessed", "1"}};
    const AttemptOutcome prefill = outcome_of(response(202), R"({"cached_tokens":4096})", true);
    assert(prefill.ending == Ending::prefilled && prefill.cached_tokens == 4096);
    assert(outcome_of(response(202), "{", true).ending == Ending::prefilled);
    assert(outcome_of(response(202), R"({"cached_tokens":"x"})", true).cached_tokens == 0);
    assert(outcome_of(response(202), R"({"cached_tokens":4096})", false).ending == Ending::error);
    assert(outcome_of(response(503, unprocessed), "", true).ending == Ending::refused);
    assert(outcome_of(response(504, unprocessed), "", false).ending == Ending::refused);
    assert(!outcome_of(response(503, unprocessed), "", false).state_missing);
    // Without the X-Unprocessed header the request may have run.
    for (const int status : {200, 400, 404, 410, 500, 503, 504})
        assert(outcome_of(response(status), "", false).ending == Ending::error);
    const AttemptOutcome state_missing = outcome_of(response(410, unprocessed), "", false);
    assert(state_missing.ending == Ending::refused && state_missing.state_missing);
    http::Head stream = response(200, {{"Content-Type", "text/event-stream; charset=utf-8"}});
    assert(!starts_event_stream(stream));
    stream.chunked = true;
    assert(starts_event_stream(stream));
    stream.status = 206;
    assert(!starts_event_stream(stream));
}

void streams_are_split_into_complete_events() {
    const std::string good =
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n: a comment\n\ndata: "
        "{\"choices\":[]}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step <= good.size(); ++step) {
        EventStreamParser events;
        std::string out, piece;
        std::size_t count = 0, all = 0;
        for (std::size_t at = 0; at < good.size(); at += step) {
            assert(events.take(std::string_view(good).substr(at, step), piece, count));
            out += piece;
            all += count;
        }
        assert(out == good && all == 3 && events.finished());
    }
    std::string piece;
    std::size_t count = 0;
    // The first event counts; malformed input after it does not, nor does anything after the end.
    for (const char* malformed : {"data: {}\n\n1a\r\ndata: {}\n\n", "data: {}\n\nnoise\n\n",
                                  "data: {}\n\ndata: x\n\n", "data: {}\n\ndata: {\"cut\n\n"}) {
        EventStreamParser events;
        assert(!events.take(malformed, piece, count));
        assert(piece == "data: {}\n\n" && count == 1);
    }
    EventStreamParser completed;
    assert(completed.take("data: [DONE]\n\n", piece, count) && completed.finished());
    assert(!completed.take("data: {}\n\n", piece, count));
    EventStreamParser endless;
    bool valid = true;
    for (int n = 0; n < 100 && valid; ++n)
        valid = endless.take("data: " + std::string(1000, 'a'), piece, count);
    assert(!valid);
    EventStreamParser unterminated;
    assert(unterminated.take("data: [DONE]\n", piece, count) && !unterminated.finished());
}

}  // namespace

int main() {
    settings_are_read_into_terms();
    malformed_files_are_rejected_with_a_reason();
    a_reload_may_append_names_but_not_change_them();
    malformed_lists_are_rejected_as_a_whole();
    unusual_lists_are_parsed_from_pieces_of_any_size();
    a_member_is_extracted_from_an_object();
    headers_are_parsed_into_request_facts();
    malformed_requests_are_rejected_with_a_reason();
    responses_are_mapped_to_outcomes();
    streams_are_split_into_complete_events();
}
