// Joins the records of a scenario: what clients sent and received, which attempts each server got, which
// states it held, which server status each gateway was notified of, and which processes were killed. Reads
// the records of the peers only.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "recording/recorder.h"

namespace copperfront::audit {

using Timestamp = std::int64_t;  // microseconds of the machine's monotonic clock
constexpr Timestamp kNever = INT64_MAX;

// Limits of the rules, as the runner recorded them from the terms file.
struct RuleLimits {
    Timestamp answer_slack = 0, drain_grace = 0, overload_window = 0, release_within = 0;
    double overload_multiple = 1;
    struct Category {
        std::string effect = "pure", dedup_scope = "all";
        Timestamp dedup_window = 0, latency_goal = 0, goal_per_thousand_tokens = 0, token_gap = 0;
    };
    std::map<std::string, Category> categories;
};

struct RecordPosition {
    std::string file;
    std::size_t line = 0;
    Timestamp at = 0;
};

struct ClientRequest {
    RecordPosition position;
    std::string gateway, category, idempotency_key, id, connection;
    double prompt_tokens = 0;
    Timestamp time_budget = 0;
    Timestamp first_token_at = kNever, answered_at = kNever, left_at = kNever, closed_at = kNever;
    std::string ending;  // settled, declined, given up, not taken: as recorded by the client
    std::size_t final_messages = 0, extra_messages = 0;
    double tokens = 0;
    bool damaged_stream = false;                  // tokens are out of order, duplicated or missing
    std::vector<RecordPosition> extra_positions;  // position of each extra message
};

struct Attempt {
    RecordPosition position;
    std::string process, request_name, id, gateway, category, idempotency_key, state_id;
    bool is_prefill = false, knew_of_cold_start = false;
    double work = 0;
    Timestamp answered_at = kNever;  // time at which its answer left the server
    Timestamp ended_at = kNever;  // time from which nobody waits for it: it was answered or cancelled, or its
                                  // connection or its server ended
    std::string ending;
    bool answer_lost = false, ran = false;
    double tokens = 0;
    std::size_t run_index = 0;  // of the server's process
};

struct HeldState {
    RecordPosition position;
    std::string process, request_name, id, why;
    Timestamp until = kNever;
    std::size_t run_index = 0;
};

// One run of a server's process.
struct ServerRun {
    RecordPosition position;
    std::string process, address, zone, cell, role;
    std::int64_t started_at_ms = 0;
    double capacity = 0, cold_speed_share = 1;
    Timestamp warm_up_time = 0, until = kNever;
    bool fell_over = false;
    std::vector<std::pair<Timestamp, Timestamp>>
        unreachable;  // periods in which it was cut off or hung, so that gateways could not reach it
};

struct StatusNotice {
    RecordPosition position;
    std::string status;  // ready, draining, gone: as recorded by the roster
    std::int64_t started_at_ms = 0;
};

struct ProcessEnd {
    Timestamp at = 0;
    bool by_force = false;
};

struct History {
    RuleLimits limits;
    std::vector<ClientRequest> requests;
    std::vector<Attempt> attempts;  // sorted by time
    std::vector<HeldState> held_states;
    std::vector<ServerRun> server_runs;
    // By the gateway's name and life, then by the server's address.
    std::map<std::string, std::map<std::string, std::vector<StatusNotice>>> notices;
    std::map<std::string, std::vector<ProcessEnd>> process_ends;  // of processes, by name
    std::map<std::string, std::string> zone_of;                   // of gateways
    std::map<std::string, std::vector<std::pair<Timestamp, Timestamp>>>
        cuts;                        // by zone: periods in which it was cut off from the others
    std::vector<std::string> notes;  // damaged records, missing end marks
    std::vector<std::string> gaps;   // reasons why the records do not allow a verdict
};

// Throws std::runtime_error if the folder or its files cannot be read.
History read_history(const std::string& folder);

}  // namespace copperfront::audit
