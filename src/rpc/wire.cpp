#include "rpc/wire.h"

#include <charconv>
#include <cmath>

namespace copperfront::rpc {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxAttributes = 16;
constexpr double kMaxTokens = 1e9;
constexpr double kMaxDurationMs = 86400000.0;

// Reads the fields of an object and keeps the first problem found.
class FieldReader {
  public:
    explicit FieldReader(const Json& object) : object_(object) {}

    std::string text(const char* name, bool required) {
        const Json* value = find(name, required);
        if (!value) return {};
        if (!value->is_string()) return fail(name, "expected text"), std::string();
        const auto& content = value->get_ref<const std::string&>();
        if (content.size() > kMaxNameBytes) return fail(name, "longer than 256 bytes"), std::string();
        if (required && content.empty()) return fail(name, "is empty"), std::string();
        return content;
    }
    double number(const char* name, bool required, double min, double max) {
        const Json* value = find(name, required);
        if (!value) return 0;
        if (!value->is_number()) return fail(name, "expected a number"), 0;
        const double amount = value->get<double>();
        if (!(amount >= min && amount <= max)) return fail(name, "out of range"), 0;
        return amount;
    }
    Duration duration(const char* name, bool required) {
        return {std::llround(number(name, required, 0, kMaxDurationMs) * 1000)};
    }
    bool flag(const char* name) {
        const Json* value = find(name, false);
        if (!value) return false;
        if (!value->is_boolean()) return fail(name, "expected true or false"), false;
        return value->get<bool>();
    }
    const Json* find(const char* name, bool required) {
        const auto it = object_.find(name);
        if (it != object_.end() && !it->is_null()) return &*it;
        if (required) fail(name, "is missing");
        return nullptr;
    }
    void fail(const std::string& name, const std::string& what) {
        if (problem_.empty()) problem_ = name + ": " + what;
    }
    const std::string& problem() const { return problem_; }

  private:
    const Json& object_;
    std::string problem_;
};

void append_field(std::string& out, const char* name, std::string_view text) {
    if (text.empty()) return;
    out += ",\"";
    out += name;
    out += "\":";
    append_quoted(out, text);
}

void append_field(std::string& out, const char* name, double number) {
    if (number == 0) return;
    out += ",\"";
    out += name;
    out += "\":";
    if (number == std::floor(number) && std::abs(number) < 1e15)
        out += std::to_string(static_cast<std::int64_t>(number));
    else
        out += Json(number).dump();
}

void add_load_report(Json& body, const LoadReport& report) {
    if (const Json load = load_report_json(report); !load.empty()) body["load"] = load;
}

const char* status_text(ServerStatus status) {
    return status == ServerStatus::ready ? "ready" : status == ServerStatus::draining ? "draining" : "gone";
}

}  // namespace

std::string string_or(const Json& object, const char* name, const std::string& fallback) {
    if (!object.is_object()) return fallback;
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : fallback;
}

double number_or(const Json& object, const char* name, double fallback) {
    if (!object.is_object()) return fallback;
    const auto it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : fallback;
}

std::variant<GenerateRequest, std::string> read_generate_request(const Json& params) {
    FieldReader fields(params);
    GenerateRequest request;
    request.category = fields.text("category", true);
    request.client_group = fields.text("clientGroup", false);
    request.session = fields.text("session", false);
    request.shared_prefix = fields.text("beginning", false);
    request.idempotency_key = fields.text("mark", false);
    request.time_budget = fields.duration("budgetMs", true);
    request.duration_hint = fields.duration("hintMs", false);
    request.max_output_tokens = fields.number("maxTokens", true, 1, kMaxTokens);
    request.shared_prefix_tokens = fields.number("beginningTokens", false, 0, kMaxTokens);
    request.is_repeat = fields.flag("again");
    if (const Json* attributes = fields.find("attributes", false)) {
        if (!attributes->is_object() || attributes->size() > kMaxAttributes) {
            fields.fail("attributes",
                        "expected an object of up to " + std::to_string(kMaxAttributes) + " texts");
        } else {
            for (const auto& [name, value] : attributes->items()) {
                if (value.is_string() &&
                    name.size() + value.get_ref<const std::string&>().size() < kMaxNameBytes)
                    request.attributes.push_back(name + "=" + value.get<std::string>());
                else
                    fields.fail("attributes." + name.substr(0, 40),
                                "expected text of under 256 bytes with its name");
            }
        }
    }
    if (const Json* parts = fields.find("prompt", true)) {
        if (!parts->is_array() || parts->empty()) {
            fields.fail("prompt",
                        "expected a list of parts, {\"type\":\"text\",\"text\":...,\"tokens\":...}");
        } else {
            std::size_t at = 0;
            for (const Json& part : *parts) {
                const std::string path = "prompt[" + std::to_string(at++) + "]";
                if (!part.is_object()) {
                    fields.fail(path, "expected an object");
                    break;
                }
                FieldReader inner(part);
                request.prompt_tokens += inner.number("tokens", true, 0, kMaxTokens);
                if (const Json* text = inner.find("text", false); text && !text->is_string())
                    inner.fail("text", "expected text");
                if (!inner.problem().empty()) fields.fail(path + "." + inner.problem(), "");
            }
            request.prompt = parts->dump(-1, ' ', false, Json::error_handler_t::replace);
        }
    }
    if (fields.problem().empty() && request.prompt_tokens < 1)
        fields.fail("prompt", "its parts hold no tokens");
    if (request.time_budget.us <= 0) fields.fail("budgetMs", "expected more than 0");
    if (request.shared_prefix_tokens > request.prompt_tokens)
        fields.fail("beginningTokens", "more than the tokens of all parts of the prompt");
    if (request.shared_prefix_tokens > 0 && request.shared_prefix.empty())
        fields.fail("beginning", "is missing, but has tokens");
    if (!fields.problem().empty()) {
        std::string what = fields.problem();
        while (!what.empty() && (what.back() == ' ' || what.back() == ':')) what.pop_back();
        return what;
    }
    return request;
}

std::string generate_request_line(const Id& id, const GenerateRequest& request) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + rpc::text_of(id) +
                      ",\"method\":\"generate\",\"params\":{\"prompt\":" +
                      (request.prompt.empty() ? std::string("[]") : request.prompt);
    append_field(out, "category", request.category);
    append_field(out, "clientGroup", request.client_group);
    append_field(out, "session", request.session);
    append_field(out, "beginning", request.shared_prefix);
    append_field(out, "mark", request.idempotency_key);
    append_field(out, "budgetMs", request.time_budget.ms());
    append_field(out, "hintMs", request.duration_hint.ms());
    append_field(out, "maxTokens", request.max_output_tokens);
    append_field(out, "beginningTokens", request.shared_prefix_tokens);
    if (!request.attributes.empty()) {
        Json attributes = Json::object();
        for (const std::string& attribute : request.attributes)
            attributes[attribute.substr(0, attribute.find('='))] = attribute.substr(attribute.find('=') + 1);
        out += ",\"attributes\":" + attributes.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    if (request.is_repeat) out += ",\"again\":true";
    out += "}}";
    return out;
}

std::string tokens_line(const Id& id, std::string_view text) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/tokens\",\"params\":{\"requestId\":";
    out += rpc::text_of(id);
    out += ",\"text\":";
    append_quoted(out, text);
    out += "}}";
    return out;
}

std::optional<PlainTokens> plain_tokens(std::string_view line) {
    constexpr std::string_view kHead =
        "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/tokens\",\"params\":{\"requestId\":";
    constexpr std::string_view kMiddle = ",\"text\":\"", kTail = "\"}}";
    if (line.size() < kHead.size() + kMiddle.size() + kTail.size() + 1 || !line.starts_with(kHead) ||
        !line.ends_with(kTail))
        return std::nullopt;
    PlainTokens tokens;
    const char* const end = line.data() + line.size() - kTail.size();
    const auto [after, error] = std::from_chars(line.data() + kHead.size(), end, tokens.id);
    const char* const digits = line.data() + kHead.size();
    // tokens_line writes no sign and no leading zero; a leading zero is not JSON either.
    if (error != std::errc() || *digits < '1' || *digits > '9') return std::nullopt;
    const std::string_view rest(after, static_cast<std::size_t>(end - after));
    if (!rest.starts_with(kMiddle)) return std::nullopt;
    tokens.text = rest.substr(kMiddle.size());
    for (const char c : tokens.text)
        if (c < 0x20 || c == '"' || c == '\\' || c == 0x7f) return std::nullopt;
    return tokens;
}

std::string completed_line(const Id& id, double tokens) {
    return result_line(id, {{"tokens", tokens}, {"stopReason", "endTurn"}});
}

std::string rejected_line(const Id& id, std::string_view why, Duration retry_after) {
    Json data = {{"reason", why}};
    if (retry_after.us > 0) data["stayAwayMs"] = retry_after.ms();
    return error_line(id, kRejected, "declined", data);
}

std::string abandoned_line(const Id& id, std::string_view why) {
    return error_line(id, kAbandoned, "given up", {{"reason", why}});
}

std::variant<AttemptRequest, std::string> read_attempt_request(const Json& params) {
    FieldReader fields(params);
    AttemptRequest attempt_request;
    attempt_request.query = fields.text("query", true);
    attempt_request.state = fields.text("state", false);
    attempt_request.state_address = fields.text("from", false);
    attempt_request.category = fields.text("category", false);
    attempt_request.session = fields.text("session", false);
    attempt_request.shared_prefix = fields.text("beginning", false);
    attempt_request.idempotency_key = fields.text("mark", false);
    attempt_request.prompt_tokens = fields.number("promptTokens", false, 0, kMaxTokens);
    attempt_request.shared_prefix_tokens = fields.number("beginningTokens", false, 0, kMaxTokens);
    attempt_request.max_output_tokens = fields.number("maxTokens", false, 0, kMaxTokens);
    attempt_request.limit = fields.duration("limitMs", false);
    if (const Json* stream = fields.find("stream", false); stream && *stream == false)
        attempt_request.stream = false;
    if (!fields.problem().empty()) return fields.problem();
    return attempt_request;
}

std::string attempt_request_line(const Id& id, std::string_view method,
                                 const AttemptRequest& attempt_request) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + rpc::text_of(id) + ",\"method\":\"";
    out += method;
    out += "\",\"params\":{\"query\":";
    append_quoted(out, attempt_request.query);
    append_field(out, "state", attempt_request.state);
    append_field(out, "from", attempt_request.state_address);
    append_field(out, "category", attempt_request.category);
    append_field(out, "session", attempt_request.session);
    append_field(out, "beginning", attempt_request.shared_prefix);
    append_field(out, "mark", attempt_request.idempotency_key);
    append_field(out, "promptTokens", attempt_request.prompt_tokens);
    append_field(out, "beginningTokens", attempt_request.shared_prefix_tokens);
    append_field(out, "maxTokens", attempt_request.max_output_tokens);
    append_field(out, "limitMs", attempt_request.limit.ms());
    if (!attempt_request.stream) out += ",\"stream\":false";
    if (!attempt_request.prompt.empty()) out += ",\"prompt\":" + attempt_request.prompt;
    out += "}}";
    return out;
}

std::string release_line(std::string_view state) { return notification_line(kRelease, {{"state", state}}); }

std::string cancelled_line(const Id& id, std::string_view why) {
    std::string out =
        "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":";
    out += rpc::text_of(id);
    append_field(out, "reason", why);
    out += "}}";
    return out;
}

LoadReport read_load_report(const Json& object) {
    LoadReport report;
    if (!object.is_object()) return report;
    const auto it = object.find("load");
    if (it == object.end()) return report;
    report.memory_share = number_or(*it, "memoryShare", -1);
    report.queued_kilotokens = number_or(*it, "unreadThousands", -1);
    return report;
}

Json load_report_json(const LoadReport& report) {
    Json out = Json::object();
    if (report.memory_share >= 0) out["memoryShare"] = report.memory_share;
    if (report.queued_kilotokens >= 0) out["unreadThousands"] = report.queued_kilotokens;
    return out;
}

AttemptOutcome read_outcome(const Message& answer, bool is_prefill) {
    AttemptOutcome outcome;
    outcome.report = read_load_report(answer.body);
    if (answer.kind == MessageKind::result) {
        // A result without its required field counts as an error: the attempt may or may not have run.
        if (!answer.body.is_object() || number_or(answer.body, is_prefill ? "kept" : "tokens", -1) < 0)
            return outcome;
        outcome.ending = is_prefill ? Ending::prefilled : Ending::completed;
        outcome.cached_tokens = std::max(0.0, number_or(answer.body, "kept"));
        return outcome;
    }
    if (answer.code == kRefused) {
        outcome.ending = Ending::refused;
        const auto it = answer.body.is_object() ? answer.body.find("noState") : answer.body.end();
        outcome.state_missing = it != answer.body.end() && it->is_boolean() && it->get<bool>();
    } else {
        outcome.ending = answer.code == kTimedOut ? Ending::timed_out : Ending::error;
    }
    return outcome;
}

std::string prefill_result_line(const Id& id, double cached_tokens, const LoadReport& report) {
    Json body = {{"kept", cached_tokens}};
    add_load_report(body, report);
    return result_line(id, body);
}

std::string decode_result_line(const Id& id, double tokens, double cached_tokens, const LoadReport& report) {
    Json body = {{"tokens", tokens}, {"kept", cached_tokens}};
    add_load_report(body, report);
    return result_line(id, body);
}

std::string refused_line(const Id& id, bool state_missing, std::string_view why, const LoadReport& report) {
    Json data = {{"reason", why}};
    if (state_missing) data["noState"] = true;
    add_load_report(data, report);
    return error_line(id, kRefused, state_missing ? "no state to fetch" : "full", data);
}

std::string hello_line(const Id& id, const Hello& hello) {
    return request_line(id, kInitialize,
                        {{"protocolVersion", kProtocolVersion},
                         {"capabilities", Json::object()},
                         {"clientInfo", {{"name", hello.name}, {"version", "1"}}},
                         {"zone", hello.zone},
                         {"life", hello.instance_id}});
}

std::variant<Hello, std::string> read_hello(const Json& params) {
    FieldReader fields(params);
    Hello hello;
    const Json* info = fields.find("clientInfo", true);
    if (info && info->is_object())
        hello.name = string_or(*info, "name");
    else
        fields.fail("clientInfo", "expected an object");
    hello.zone = fields.text("zone", false);
    hello.instance_id = fields.text("life", false);
    if (!fields.problem().empty()) return fields.problem();
    return hello;
}

std::string hello_result_line(const Id& id, std::string_view name, std::string_view version) {
    return result_line(id, {{"protocolVersion", kProtocolVersion},
                            {"capabilities", Json::object()},
                            {"serverInfo", {{"name", name}, {"version", version}}}});
}

std::variant<RosterUpdate, std::string> read_roster_update(const Json& body) {
    if (!body.is_object()) return std::string("expected an object");
    RosterUpdate update;
    FieldReader fields(body);
    update.version = static_cast<std::uint64_t>(fields.number("version", true, 0, 9e15));
    const std::string how = fields.text("how", true);
    if (how != "whole" && how != "changes") fields.fail("how", "expected \"whole\" or \"changes\"");
    update.is_snapshot = how == "whole";
    const Json* servers = fields.find("servers", true);
    if (servers && !servers->is_array()) fields.fail("servers", "expected a list");
    if (servers && servers->is_array()) {
        std::size_t at = 0;
        for (const Json& entry : *servers) {
            const std::string path = "servers[" + std::to_string(at++) + "]";
            if (!entry.is_object()) {
                fields.fail(path, "expected an object");
                break;
            }
            FieldReader inner(entry);
            RosterEntry e;
            e.server = inner.text("server", true);
            e.name = inner.text("name", false);
            e.kind = inner.text("kind", true);
            e.zone = inner.text("zone", true);
            e.cell = inner.text("cell", false);
            e.started_at_ms = static_cast<std::int64_t>(inner.number("bornMs", false, 0, 9e15));
            const std::string status = inner.text("standing", true);
            if (status != "ready" && status != "draining" && status != "gone")
                inner.fail("standing", "expected \"ready\", \"draining\" or \"gone\"");
            e.status = status == "ready"      ? ServerStatus::ready
                       : status == "draining" ? ServerStatus::draining
                                              : ServerStatus::removed;
            if (!inner.problem().empty()) fields.fail(path + "." + inner.problem(), "");
            update.entries.push_back(std::move(e));
        }
    }
    if (!fields.problem().empty()) return fields.problem();
    return update;
}

Json roster_update_json(const RosterUpdate& update) {
    Json servers = Json::array();
    for (const RosterEntry& e : update.entries)
        servers.push_back({{"server", e.server},
                           {"name", e.name},
                           {"kind", e.kind},
                           {"zone", e.zone},
                           {"cell", e.cell},
                           {"bornMs", e.started_at_ms},
                           {"standing", status_text(e.status)}});
    return {
        {"version", update.version}, {"how", update.is_snapshot ? "whole" : "changes"}, {"servers", servers}};
}

}  // namespace copperfront::rpc
