#include "rpc/wire.h"

#include <charconv>
#include <cmath>

namespace copperfront::rpc {
namespace {

constexpr std::size_t kLongestName = 256;
constexpr std::size_t kMostAttributes = 16;
constexpr double kMostTokens = 1e9;
constexpr double kLongestMs = 86400000.0;

// Gathers the first thing wrong with a set of fields.
class Fields {
  public:
    explicit Fields(const Json& object) : object_(object) {}

    std::string text(const char* name, bool needed) {
        const Json* value = find(name, needed);
        if (!value) return {};
        if (!value->is_string()) return wrong(name, "expected text"), std::string();
        const auto& held = value->get_ref<const std::string&>();
        if (held.size() > kLongestName) return wrong(name, "longer than 256 bytes"), std::string();
        if (needed && held.empty()) return wrong(name, "is empty"), std::string();
        return held;
    }
    double number(const char* name, bool needed, double least, double most) {
        const Json* value = find(name, needed);
        if (!value) return 0;
        if (!value->is_number()) return wrong(name, "expected a number"), 0;
        const double held = value->get<double>();
        if (!(held >= least && held <= most)) return wrong(name, "out of range"), 0;
        return held;
    }
    Span span(const char* name, bool needed) {
        return {std::llround(number(name, needed, 0, kLongestMs) * 1000)};
    }
    bool flag(const char* name) {
        const Json* value = find(name, false);
        if (!value) return false;
        if (!value->is_boolean()) return wrong(name, "expected true or false"), false;
        return value->get<bool>();
    }
    const Json* find(const char* name, bool needed) {
        const auto it = object_.find(name);
        if (it != object_.end() && !it->is_null()) return &*it;
        if (needed) wrong(name, "is missing");
        return nullptr;
    }
    void wrong(const std::string& name, const std::string& what) {
        if (trouble_.empty()) trouble_ = name + ": " + what;
    }
    const std::string& trouble() const { return trouble_; }

  private:
    const Json& object_;
    std::string trouble_;
};

void add(std::string& out, const char* name, std::string_view text) {
    if (text.empty()) return;
    out += ",\"";
    out += name;
    out += "\":";
    append_quoted(out, text);
}

void add(std::string& out, const char* name, double number) {
    if (number == 0) return;
    out += ",\"";
    out += name;
    out += "\":";
    if (number == std::floor(number) && std::abs(number) < 1e15)
        out += std::to_string(static_cast<std::int64_t>(number));
    else
        out += Json(number).dump();
}

void add_report(Json& body, const LoadReport& report) {
    if (const Json held = report_json(report); !held.empty()) body["load"] = held;
}

const char* text_of(Standing standing) {
    return standing == Standing::ready ? "ready" : standing == Standing::draining ? "draining" : "gone";
}

}  // namespace

std::string text_at(const Json& object, const char* name, const std::string& absent) {
    if (!object.is_object()) return absent;
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : absent;
}

double number_at(const Json& object, const char* name, double absent) {
    if (!object.is_object()) return absent;
    const auto it = object.find(name);
    return it != object.end() && it->is_number() ? it->get<double>() : absent;
}

std::variant<Ask, std::string> read_ask(const Json& params) {
    Fields f(params);
    Ask a;
    a.category = f.text("category", true);
    a.client_group = f.text("clientGroup", false);
    a.session = f.text("session", false);
    a.beginning = f.text("beginning", false);
    a.mark = f.text("mark", false);
    a.budget = f.span("budgetMs", true);
    a.hint = f.span("hintMs", false);
    a.most_tokens = f.number("maxTokens", true, 1, kMostTokens);
    a.beginning_tokens = f.number("beginningTokens", false, 0, kMostTokens);
    a.again = f.flag("again");
    if (const Json* attributes = f.find("attributes", false)) {
        if (!attributes->is_object() || attributes->size() > kMostAttributes) {
            f.wrong("attributes",
                    "expected an object of up to " + std::to_string(kMostAttributes) + " texts");
        } else {
            for (const auto& [name, value] : attributes->items()) {
                if (value.is_string() &&
                    name.size() + value.get_ref<const std::string&>().size() < kLongestName)
                    a.attributes.push_back(name + "=" + value.get<std::string>());
                else
                    f.wrong("attributes." + name.substr(0, 40),
                            "expected text of under 256 bytes with its name");
            }
        }
    }
    if (const Json* parts = f.find("prompt", true)) {
        if (!parts->is_array() || parts->empty()) {
            f.wrong("prompt", "expected a list of parts, {\"type\":\"text\",\"text\":...,\"tokens\":...}");
        } else {
            std::size_t at = 0;
            for (const Json& part : *parts) {
                const std::string path = "prompt[" + std::to_string(at++) + "]";
                if (!part.is_object()) {
                    f.wrong(path, "expected an object");
                    break;
                }
                Fields inner(part);
                a.prompt_tokens += inner.number("tokens", true, 0, kMostTokens);
                if (const Json* text = inner.find("text", false); text && !text->is_string())
                    inner.wrong("text", "expected text");
                if (!inner.trouble().empty()) f.wrong(path + "." + inner.trouble(), "");
            }
            a.prompt = parts->dump(-1, ' ', false, Json::error_handler_t::replace);
        }
    }
    if (f.trouble().empty() && a.prompt_tokens < 1) f.wrong("prompt", "its parts hold no tokens");
    if (a.budget.us <= 0) f.wrong("budgetMs", "expected more than 0");
    if (a.beginning_tokens > a.prompt_tokens)
        f.wrong("beginningTokens", "more than the tokens of all parts of the prompt");
    if (a.beginning_tokens > 0 && a.beginning.empty()) f.wrong("beginning", "is missing, but has tokens");
    if (!f.trouble().empty()) {
        std::string what = f.trouble();
        while (!what.empty() && (what.back() == ' ' || what.back() == ':')) what.pop_back();
        return what;
    }
    return a;
}

std::string ask_line(const Id& id, const Ask& a) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + rpc::text_of(id) +
                      ",\"method\":\"generate\",\"params\":{\"prompt\":" +
                      (a.prompt.empty() ? std::string("[]") : a.prompt);
    add(out, "category", a.category);
    add(out, "clientGroup", a.client_group);
    add(out, "session", a.session);
    add(out, "beginning", a.beginning);
    add(out, "mark", a.mark);
    add(out, "budgetMs", a.budget.ms());
    add(out, "hintMs", a.hint.ms());
    add(out, "maxTokens", a.most_tokens);
    add(out, "beginningTokens", a.beginning_tokens);
    if (!a.attributes.empty()) {
        Json held = Json::object();
        for (const std::string& at : a.attributes)
            held[at.substr(0, at.find('='))] = at.substr(at.find('=') + 1);
        out += ",\"attributes\":" + held.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    if (a.again) out += ",\"again\":true";
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
    // A number with a sign or a leading zero is not as we write it, or not JSON.
    if (error != std::errc() || *digits < '1' || *digits > '9') return std::nullopt;
    const std::string_view rest(after, static_cast<std::size_t>(end - after));
    if (!rest.starts_with(kMiddle)) return std::nullopt;
    tokens.text = rest.substr(kMiddle.size());
    for (const char c : tokens.text)
        if (c < 0x20 || c == '"' || c == '\\' || c == 0x7f) return std::nullopt;
    return tokens;
}

std::string settled_line(const Id& id, double tokens) {
    return result(id, {{"tokens", tokens}, {"stopReason", "endTurn"}});
}

std::string declined_line(const Id& id, std::string_view why, Span stay_away) {
    Json data = {{"reason", why}};
    if (stay_away.us > 0) data["stayAwayMs"] = stay_away.ms();
    return error(id, kDeclined, "declined", data);
}

std::string given_up_line(const Id& id, std::string_view why) {
    return error(id, kGivenUp, "given up", {{"reason", why}});
}

std::variant<Order, std::string> read_order(const Json& params) {
    Fields f(params);
    Order o;
    o.query = f.text("query", true);
    o.state = f.text("state", false);
    o.from = f.text("from", false);
    o.category = f.text("category", false);
    o.session = f.text("session", false);
    o.beginning = f.text("beginning", false);
    o.mark = f.text("mark", false);
    o.prompt_tokens = f.number("promptTokens", false, 0, kMostTokens);
    o.beginning_tokens = f.number("beginningTokens", false, 0, kMostTokens);
    o.most_tokens = f.number("maxTokens", false, 0, kMostTokens);
    o.limit = f.span("limitMs", false);
    if (const Json* stream = f.find("stream", false); stream && *stream == false) o.stream = false;
    if (!f.trouble().empty()) return f.trouble();
    return o;
}

std::string order_line(const Id& id, std::string_view method, const Order& o) {
    std::string out = "{\"jsonrpc\":\"2.0\",\"id\":" + rpc::text_of(id) + ",\"method\":\"";
    out += method;
    out += "\",\"params\":{\"query\":";
    append_quoted(out, o.query);
    add(out, "state", o.state);
    add(out, "from", o.from);
    add(out, "category", o.category);
    add(out, "session", o.session);
    add(out, "beginning", o.beginning);
    add(out, "mark", o.mark);
    add(out, "promptTokens", o.prompt_tokens);
    add(out, "beginningTokens", o.beginning_tokens);
    add(out, "maxTokens", o.most_tokens);
    add(out, "limitMs", o.limit.ms());
    if (!o.stream) out += ",\"stream\":false";
    if (!o.prompt.empty()) out += ",\"prompt\":" + o.prompt;
    out += "}}";
    return out;
}

std::string release_line(std::string_view state) { return notice(kRelease, {{"state", state}}); }

std::string cancelled_line(const Id& id, std::string_view why) {
    std::string out =
        "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":";
    out += rpc::text_of(id);
    add(out, "reason", why);
    out += "}}";
    return out;
}

LoadReport read_report(const Json& holder) {
    LoadReport report;
    if (!holder.is_object()) return report;
    const auto it = holder.find("load");
    if (it == holder.end()) return report;
    report.memory_share = number_at(*it, "memoryShare", -1);
    report.unread_thousands = number_at(*it, "unreadThousands", -1);
    return report;
}

Json report_json(const LoadReport& report) {
    Json out = Json::object();
    if (report.memory_share >= 0) out["memoryShare"] = report.memory_share;
    if (report.unread_thousands >= 0) out["unreadThousands"] = report.unread_thousands;
    return out;
}

Outcome read_outcome(const Message& answer, bool reading) {
    Outcome o;
    o.report = read_report(answer.body);
    if (answer.sort == Sort::result) {
        // An answer that lacks what it must hold is no answer: the attempt may have run, or not.
        if (!answer.body.is_object() || number_at(answer.body, reading ? "kept" : "tokens", -1) < 0) return o;
        o.ending = reading ? Ending::read : Ending::settled;
        o.kept_tokens = std::max(0.0, number_at(answer.body, "kept"));
        return o;
    }
    if (answer.code == kFull) {
        o.ending = Ending::full;
        const auto it = answer.body.is_object() ? answer.body.find("noState") : answer.body.end();
        o.no_state = it != answer.body.end() && it->is_boolean() && it->get<bool>();
    } else {
        o.ending = answer.code == kExpired ? Ending::late : Ending::error;
    }
    return o;
}

std::string read_result_line(const Id& id, double kept, const LoadReport& report) {
    Json body = {{"kept", kept}};
    add_report(body, report);
    return result(id, body);
}

std::string write_result_line(const Id& id, double tokens, double kept, const LoadReport& report) {
    Json body = {{"tokens", tokens}, {"kept", kept}};
    add_report(body, report);
    return result(id, body);
}

std::string full_line(const Id& id, bool no_state, std::string_view why, const LoadReport& report) {
    Json data = {{"reason", why}};
    if (no_state) data["noState"] = true;
    add_report(data, report);
    return error(id, kFull, no_state ? "no state to fetch" : "full", data);
}

std::string hello_line(const Id& id, const Hello& hello) {
    return call(id, kInitialize,
                {{"protocolVersion", kProtocolVersion},
                 {"capabilities", Json::object()},
                 {"clientInfo", {{"name", hello.name}, {"version", "1"}}},
                 {"zone", hello.zone},
                 {"life", hello.life}});
}

std::variant<Hello, std::string> read_hello(const Json& params) {
    Fields f(params);
    Hello hello;
    const Json* info = f.find("clientInfo", true);
    if (info && info->is_object())
        hello.name = text_at(*info, "name");
    else
        f.wrong("clientInfo", "expected an object");
    hello.zone = f.text("zone", false);
    hello.life = f.text("life", false);
    if (!f.trouble().empty()) return f.trouble();
    return hello;
}

std::string hello_answer_line(const Id& id, std::string_view name, std::string_view version) {
    return result(id, {{"protocolVersion", kProtocolVersion},
                       {"capabilities", Json::object()},
                       {"serverInfo", {{"name", name}, {"version", version}}}});
}

std::variant<RosterNews, std::string> read_news(const Json& body) {
    if (!body.is_object()) return std::string("expected an object");
    RosterNews news;
    Fields f(body);
    news.version = static_cast<std::uint64_t>(f.number("version", true, 0, 9e15));
    const std::string how = f.text("how", true);
    if (how != "whole" && how != "changes") f.wrong("how", "expected \"whole\" or \"changes\"");
    news.whole = how == "whole";
    const Json* servers = f.find("servers", true);
    if (servers && !servers->is_array()) f.wrong("servers", "expected a list");
    if (servers && servers->is_array()) {
        std::size_t at = 0;
        for (const Json& entry : *servers) {
            const std::string path = "servers[" + std::to_string(at++) + "]";
            if (!entry.is_object()) {
                f.wrong(path, "expected an object");
                break;
            }
            Fields inner(entry);
            RosterEntry e;
            e.server = inner.text("server", true);
            e.name = inner.text("name", false);
            e.kind = inner.text("kind", true);
            e.zone = inner.text("zone", true);
            e.cell = inner.text("cell", false);
            e.born_ms = static_cast<std::int64_t>(inner.number("bornMs", false, 0, 9e15));
            const std::string standing = inner.text("standing", true);
            if (standing != "ready" && standing != "draining" && standing != "gone")
                inner.wrong("standing", "expected \"ready\", \"draining\" or \"gone\"");
            e.standing = standing == "ready"      ? Standing::ready
                         : standing == "draining" ? Standing::draining
                                                  : Standing::gone;
            if (!inner.trouble().empty()) f.wrong(path + "." + inner.trouble(), "");
            news.entries.push_back(std::move(e));
        }
    }
    if (!f.trouble().empty()) return f.trouble();
    return news;
}

Json news_json(const RosterNews& news) {
    Json servers = Json::array();
    for (const RosterEntry& e : news.entries)
        servers.push_back({{"server", e.server},
                           {"name", e.name},
                           {"kind", e.kind},
                           {"zone", e.zone},
                           {"cell", e.cell},
                           {"bornMs", e.born_ms},
                           {"standing", text_of(e.standing)}});
    return {{"version", news.version}, {"how", news.whole ? "whole" : "changes"}, {"servers", servers}};
}

}  // namespace copperfront::rpc
