// What callers, engines and the roster say to a gateway and to each other, between JSON and our words.
// Protocol words stay in this package. Names of the Model Context Protocol (2025-06-18) are used where it has
// one: initialize, ping, notifications/cancelled with requestId. Free of I/O. Docs: docs/protocol.md.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/rules.h"
#include "rpc/message.h"

namespace copperfront::rpc {

inline constexpr std::string_view kInitialize = "initialize";
inline constexpr std::string_view kPing = "ping";
inline constexpr std::string_view kCancelled = "notifications/cancelled";
inline constexpr std::string_view kTokens = "notifications/tokens";
inline constexpr std::string_view kStatus = "gateway/status";
inline constexpr std::string_view kGenerate = "generate";
inline constexpr std::string_view kRead = "engine/read";
inline constexpr std::string_view kWrite = "engine/write";
inline constexpr std::string_view kFetch = "engine/fetch";
inline constexpr std::string_view kProbe = "engine/probe";
inline constexpr std::string_view kRelease = "notifications/engine/release";
inline constexpr std::string_view kWatch = "roster/watch";
inline constexpr std::string_view kRosterChanged = "notifications/roster/changed";
inline constexpr std::string_view kProtocolVersion = "2025-06-18";

// Codes of our own, from the range that JSON-RPC leaves to implementations.
inline constexpr int kDeclined = -32010;     // to a caller: trying again is harmless
inline constexpr int kGivenUp = -32011;      // to a caller: no answer, and nothing is promised
inline constexpr int kNotTaken = -32012;     // to a caller: the gateway did not take the query
inline constexpr int kFull = -32020;         // of an engine: turned away, never ran
inline constexpr int kExpired = -32021;      // of an engine: its time limit passed first
inline constexpr int kEngineError = -32022;  // of an engine: it went wrong, and may have run

// ---- callers

struct Ask {
    std::string category, client_group, session, beginning;
    std::string mark;                     // by which an engine knows a repeat; handed on as it is
    std::vector<std::string> attributes;  // each as name=value
    std::string prompt;                   // the parts, as JSON text
    double prompt_tokens = 0, beginning_tokens = 0, most_tokens = 0;
    Span budget, hint;   // hint 0: none
    bool again = false;  // the caller's own repeat
};

// The second: what is wrong, by field, and what was expected.
std::variant<Ask, std::string> read_ask(const Json& params);
std::string ask_line(const Id& id, const Ask& ask);

std::string tokens_line(const Id& id, std::string_view text);
// The same without a tree of values, for the message that is by far the most frequent: only lines that are
// written just as tokens_line writes them, with a number for id and plain text; any other is for parse(). The
// view is into the line.
struct PlainTokens {
    std::int64_t id = 0;
    std::string_view text;
};
std::optional<PlainTokens> plain_tokens(std::string_view line);
std::string settled_line(const Id& id, double tokens);
std::string declined_line(const Id& id, std::string_view why, Span stay_away);
std::string given_up_line(const Id& id, std::string_view why);

// ---- engines

// What an engine is asked to do: read a prompt and hold its state, or write the answer from a state (or,
// where it may, from the prompt).
struct Order {
    std::string query;  // names the query in the engine's and everybody's records
    std::string state;  // to hold it under, or to fetch it by; empty: none
    std::string from;   // write: address of the reader that holds the state
    std::string category, session, beginning, mark, prompt;
    double prompt_tokens = 0, beginning_tokens = 0, most_tokens = 0;
    Span limit;
    bool stream = true;  // false: the whole text comes with the result
};
std::variant<Order, std::string> read_order(const Json& params);
std::string order_line(const Id& id, std::string_view method, const Order& order);

std::string release_line(std::string_view state);
std::string cancelled_line(const Id& id, std::string_view why);

// How an attempt ended, by what its engine answered.
Outcome read_outcome(const Message& answer, bool reading);
std::string read_result_line(const Id& id, double kept, const LoadReport& report);
std::string write_result_line(const Id& id, double tokens, double kept, const LoadReport& report);
std::string full_line(const Id& id, bool no_state, std::string_view why, const LoadReport& report);
LoadReport read_report(const Json& holder);
Json report_json(const LoadReport& report);

// ---- greetings: who is at the other end

struct Hello {
    std::string name, zone;
    std::string life;  // changes with every start of the process
};
std::string hello_line(const Id& id, const Hello& hello);
std::variant<Hello, std::string> read_hello(const Json& params);
std::string hello_answer_line(const Id& id, std::string_view name, std::string_view version);

// ---- the roster

struct RosterEntry {
    std::string server;  // its address
    std::string name, kind, zone, cell;
    std::int64_t born_ms = 0;  // since 1970; 0: long ago
    Standing standing = Standing::ready;
};
struct RosterNews {
    std::uint64_t version = 0;
    bool whole = false;
    std::vector<RosterEntry> entries;
};
std::variant<RosterNews, std::string> read_news(const Json& body);
Json news_json(const RosterNews& news);

// Fields of an object, with an absent value where the field is missing or of another type.
std::string text_at(const Json& object, const char* name, const std::string& absent = "");
double number_at(const Json& object, const char* name, double absent = 0);

}  // namespace copperfront::rpc
