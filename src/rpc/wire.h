// Messages that clients, model servers and the roster exchange with a gateway and with each other, converted
// between JSON and the types of this project. The protocol's names stay in this package. Names of the Model
// Context Protocol (2025-06-18) are used where it has one: initialize, ping, notifications/cancelled with
// requestId. Does no I/O. Specification: docs/protocol.md.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/router.h"
#include "rpc/message.h"

namespace copperfront::rpc {

inline constexpr std::string_view kInitialize = "initialize";
inline constexpr std::string_view kPing = "ping";
inline constexpr std::string_view kCancelled = "notifications/cancelled";
inline constexpr std::string_view kTokens = "notifications/tokens";
inline constexpr std::string_view kStatus = "gateway/status";
inline constexpr std::string_view kGenerate = "generate";
inline constexpr std::string_view kPrefill = "engine/read";
inline constexpr std::string_view kDecode = "engine/write";
inline constexpr std::string_view kFetch = "engine/fetch";
inline constexpr std::string_view kProbe = "engine/probe";
inline constexpr std::string_view kRelease = "notifications/engine/release";
inline constexpr std::string_view kWatch = "roster/watch";
inline constexpr std::string_view kRosterChanged = "notifications/roster/changed";
inline constexpr std::string_view kProtocolVersion = "2025-06-18";

// This project's error codes, from the range that JSON-RPC reserves for implementations.
inline constexpr int kRejected = -32010;     // to a client: rejected; a retry is safe
inline constexpr int kAbandoned = -32011;    // to a client: abandoned; may or may not have run
inline constexpr int kNotAccepted = -32012;  // to a client: the gateway did not accept the request
inline constexpr int kRefused = -32020;      // from a server: refused, has not run
inline constexpr int kTimedOut = -32021;     // from a server: the time limit passed first
inline constexpr int kServerError = -32022;  // from a server: failed, and may have run

// ---- clients

struct GenerateRequest {
    std::string category, client_group, session, shared_prefix;
    std::string idempotency_key;          // lets a server recognise a repeat; forwarded unchanged
    std::vector<std::string> attributes;  // each as "name=value"
    std::string prompt;                   // the parts of the prompt, as JSON text
    double prompt_tokens = 0, shared_prefix_tokens = 0, max_output_tokens = 0;
    Duration time_budget, duration_hint;  // hint 0: none
    bool is_repeat = false;               // a repeat by the client itself
};

// The second alternative is an error: the field and what was expected.
std::variant<GenerateRequest, std::string> read_generate_request(const Json& params);
std::string generate_request_line(const Id& id, const GenerateRequest& request);

std::string tokens_line(const Id& id, std::string_view text);
// Fast path without a JSON tree for by far the most frequent message: accepts only lines exactly as
// tokens_line writes them, with a number as id and text without escapes; all other lines are for parse(). The
// view points into the line.
struct PlainTokens {
    std::int64_t id = 0;
    std::string_view text;
};
std::optional<PlainTokens> plain_tokens(std::string_view line);
std::string completed_line(const Id& id, double tokens);
std::string rejected_line(const Id& id, std::string_view why, Duration retry_after);
std::string abandoned_line(const Id& id, std::string_view why);

// ---- model servers

// What a server is asked to do in one attempt: prefill a prompt and hold its state, or decode the answer from
// a state (or from the prompt, where that is allowed).
struct AttemptRequest {
    std::string query;          // name of the request in the records of servers and gateways
    std::string state;          // name under which the state is held or fetched; empty: none
    std::string state_address;  // decode: address of the prefill server that holds the state
    std::string category, session, shared_prefix, idempotency_key, prompt;
    double prompt_tokens = 0, shared_prefix_tokens = 0, max_output_tokens = 0;
    Duration limit;
    bool stream = true;  // false: the result carries the whole text
};
std::variant<AttemptRequest, std::string> read_attempt_request(const Json& params);
std::string attempt_request_line(const Id& id, std::string_view method,
                                 const AttemptRequest& attempt_request);

std::string release_line(std::string_view state);
std::string cancelled_line(const Id& id, std::string_view why);

// How an attempt ended, according to the answer of its server.
AttemptOutcome read_outcome(const Message& answer, bool is_prefill);
std::string prefill_result_line(const Id& id, double cached_tokens, const LoadReport& report);
std::string decode_result_line(const Id& id, double tokens, double cached_tokens, const LoadReport& report);
std::string refused_line(const Id& id, bool state_missing, std::string_view why, const LoadReport& report);
LoadReport read_load_report(const Json& object);
Json load_report_json(const LoadReport& report);

// ---- initialize: identifies the other end

struct Hello {
    std::string name, zone;
    std::string instance_id;  // identifies one run of the process; changes at every start
};
std::string hello_line(const Id& id, const Hello& hello);
std::variant<Hello, std::string> read_hello(const Json& params);
std::string hello_result_line(const Id& id, std::string_view name, std::string_view version);

// ---- the roster

struct RosterEntry {
    std::string server;  // its address
    std::string name, kind, zone, cell;
    std::int64_t started_at_ms = 0;  // start of the process since 1970; 0: long ago
    ServerStatus status = ServerStatus::ready;
};
struct RosterUpdate {
    std::uint64_t version = 0;
    bool is_snapshot = false;
    std::vector<RosterEntry> entries;
};
std::variant<RosterUpdate, std::string> read_roster_update(const Json& body);
Json roster_update_json(const RosterUpdate& update);

// Fields of an object; return `fallback` if the field is missing or has another type.
std::string string_or(const Json& object, const char* name, const std::string& fallback = "");
double number_or(const Json& object, const char* name, double fallback = 0);

}  // namespace copperfront::rpc
