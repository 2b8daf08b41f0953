// The codec: any bytes parse to a message or an error, and every message that is written can be read back.
#include <rapidcheck.h>

#include <cassert>
#include <cmath>
#include <string>

#include "rpc/wire.h"

using namespace copperfront;
using namespace copperfront::rpc;

namespace {

const Message& message(const std::variant<Message, InvalidMessage>& v) {
    assert(std::holds_alternative<Message>(v));
    return std::get<Message>(v);
}

int code(const std::string& line) {
    const auto v = parse(line);
    return std::holds_alternative<InvalidMessage>(v) ? std::get<InvalidMessage>(v).code : 0;
}

void invalid_lines_get_specified_error_codes() {
    assert(code("{") == kParseError);
    assert(code("\xff\xfe") == kParseError);
    assert(code(std::string(100000, '[')) == kParseError);
    assert(code("{\"jsonrpc\":\"2.0\",\"method\":\"x\",\"params\":{\"a\":" + std::string(40, '[') +
                std::string(40, ']') + "}}") == kParseError);
    assert(code("[]") == kInvalidRequest);
    assert(code("7") == kInvalidRequest);
    assert(code("{\"method\":\"x\"}") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":[1],"method":"x"})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":1.5,"method":"x"})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":null,"method":"x"})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":18446744073709551615,"method":"x"})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":1,"result":1,"error":{"code":1}})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":1,"method":"x","params":[1]})") == kInvalidRequest);
    assert(code(R"({"jsonrpc":"2.0","id":1,"method":"x"})") == 0);
}

std::string error_of(const std::string& params) {
    const auto v = read_generate_request(Json::parse(params));
    return std::holds_alternative<std::string>(v) ? std::get<std::string>(v) : "";
}

void an_invalid_request_names_its_field() {
    const std::string valid_fields =
        R"("category":"c","budgetMs":10,"maxTokens":5,"prompt":[{"type":"text","text":"x","tokens":3}])";
    assert(error_of("{" + valid_fields + "}").empty());
    assert(error_of(R"({"category":"c","budgetMs":1,"maxTokens":5,"prompt":[{"tokens":0}]})") ==
           "prompt: its parts hold no tokens");
    assert(error_of(R"({"category":"c"})").rfind("budgetMs: is missing", 0) == 0);
    assert(error_of("{" + valid_fields + R"(,"session":5})") == "session: expected text");
    assert(
        error_of("{" + valid_fields + R"(,"beginningTokens":9,"beginning":"b"})").find("beginningTokens") ==
        0);
    assert(error_of(R"({"category":"c","budgetMs":-1,"maxTokens":5,"prompt":[{"tokens":3}]})") ==
           "budgetMs: out of range");
    assert(error_of(R"({"category":"c","budgetMs":1,"maxTokens":5,"prompt":[{"tokens":3},{}]})") ==
           "prompt[1].tokens: is missing");
    assert(error_of(R"({"category":"c","budgetMs":1,"maxTokens":1e300,"prompt":[{"tokens":3}]})") ==
           "maxTokens: out of range");
}

void any_bytes_parse_to_a_message_or_an_error() {
    assert(rc::check("bytes", [](const std::string& bytes) { parse(bytes); }));
    assert(rc::check("broken messages", [] {
        std::string line =
            attempt_request_line(Id{std::int64_t{5}}, kPrefill,
                                 {"q", "s", "f", "c", "e", "b", "m", "[1]", 5, 2, 9, Duration{1000}});
        const auto at = *rc::gen::inRange<std::size_t>(0, line.size());
        line[at] = *rc::gen::arbitrary<char>();
        const auto v = parse(line);
        if (const auto* m = std::get_if<Message>(&v)) {
            read_attempt_request(m->body);
            read_generate_request(m->body);
            read_roster_update(m->body);
            read_hello(m->body);
            read_outcome(*m, true);
        }
    }));
}

void written_messages_are_read_back() {
    assert(rc::check("requests", [] {
        GenerateRequest request;
        const auto name = rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        request.category = "c" + (*name).substr(0, 100);
        request.session = (*name).substr(0, 100);
        request.idempotency_key = (*name).substr(0, 100);
        request.prompt = R"([{"tokens":70}])";
        request.prompt_tokens = 70;
        request.max_output_tokens = *rc::gen::inRange(1, 100000);
        request.time_budget = Duration{*rc::gen::inRange(1, 1000000) * std::int64_t{1000}};
        const Message m = message(parse(generate_request_line(Id{std::string("i\"d")}, request)));
        assert(m.kind == MessageKind::request && m.id == Id{std::string("i\"d")});
        const auto back = read_generate_request(m.body);
        RC_ASSERT(std::holds_alternative<GenerateRequest>(back));
        const GenerateRequest& read_back = std::get<GenerateRequest>(back);
        RC_ASSERT(read_back.category == request.category && read_back.session == request.session &&
                  read_back.idempotency_key == request.idempotency_key &&
                  read_back.time_budget == request.time_budget);
        RC_ASSERT(read_back.prompt_tokens == request.prompt_tokens &&
                  read_back.max_output_tokens == request.max_output_tokens);
    }));
    assert(rc::check("tokens", [](const std::string& text) {
        const Message m = message(parse(tokens_line(Id{std::int64_t{3}}, text)));
        RC_ASSERT(m.method == kTokens && m.body["requestId"] == 3);
    }));
}

// plain_tokens and parse must never disagree.
void plain_tokens_agrees_with_parse() {
    assert(plain_tokens(tokens_line(Id{std::int64_t{12}}, "t5 "))->id == 12);
    assert(plain_tokens(tokens_line(Id{std::int64_t{12}}, "t5 "))->text == "t5 ");
    for (const char* odd : {"01", "-1", "1.5", "\"x\"", "", "99999999999999999999"})
        assert(!plain_tokens(
            std::string(R"({"jsonrpc":"2.0","method":"notifications/tokens","params":{"requestId":)") + odd +
            R"(,"text":"a"}})"));
    assert(rc::check("tokens", [](const std::string& text, std::uint8_t at, char byte) {
        std::string line = tokens_line(Id{std::int64_t{7}}, text);
        if (byte != 0) line[at % line.size()] = byte;
        const auto plain = plain_tokens(line);
        if (!plain) return;
        const auto v = parse(line);
        RC_ASSERT(std::holds_alternative<Message>(v));
        RC_ASSERT(std::get<Message>(v).body["requestId"] == plain->id);
        RC_ASSERT(std::get<Message>(v).body["text"] == std::string(plain->text));
    }));
}

// Guards against a server that answers a decode with something else: the attempt may have run, and is not
// counted as completed.
void a_result_without_its_fields_is_an_error() {
    assert(read_outcome(message(parse(R"({"jsonrpc":"2.0","id":1,"result":{"kept":5}})")), true).ending ==
           Ending::prefilled);
    assert(read_outcome(message(parse(R"({"jsonrpc":"2.0","id":1,"result":{"kept":5}})")), false).ending ==
           Ending::error);
    assert(read_outcome(message(parse(R"({"jsonrpc":"2.0","id":1,"result":"x"})")), false).ending ==
           Ending::error);
    const auto full =
        read_outcome(message(parse(refused_line(Id{std::int64_t{1}}, true, "x", {0.5, -1}))), false);
    assert(full.ending == Ending::refused && full.state_missing && full.report.memory_share == 0.5);
}

}  // namespace

int main() {
    invalid_lines_get_specified_error_codes();
    an_invalid_request_names_its_field();
    any_bytes_parse_to_a_message_or_an_error();
    written_messages_are_read_back();
    plain_tokens_agrees_with_parse();
    a_result_without_its_fields_is_an_error();
}
