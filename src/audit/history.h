// The records of a day, joined: what callers asked and got, which attempts each engine saw, which states lay
// where, who was told what of which server, and which processes ended by force. Read from the peers' records
// alone.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "record/recorder.h"

namespace copperfront::audit {

using Stamp = std::int64_t;  // microseconds of the machine's monotonic clock
constexpr Stamp kNever = INT64_MAX;

// Figures of the rules, as the runner recorded them from the terms file.
struct Figures {
    Stamp answer_slack = 0, drain_grace = 0, fall = 0, release_within = 0;
    double tip_multiple = 1;
    struct Category {
        std::string effect = "pure", group = "all";
        Stamp window = 0, latency_goal = 0, goal_per_thousand = 0, token_gap = 0;
    };
    std::map<std::string, Category> categories;
};

struct Where {
    std::string file;
    std::size_t line = 0;
    Stamp at = 0;
};

struct Asked {
    Where where;
    std::string gateway, category, mark, id, connection;
    double prompt_tokens = 0;
    Stamp budget = 0;
    Stamp first = kNever, final = kNever, left = kNever, closed = kNever;
    std::string ending;  // settled, declined, given up, not taken
    std::size_t finals = 0, extra = 0;
    double tokens = 0;
    bool torn_stream = false;  // tokens out of order, doubled or missing
    std::vector<Where> more;   // where each extra message stands
};

struct StartedAttempt {
    Where where;
    std::string engine, query, attempt, gateway, category, mark, state;
    bool reading = false, told_cold = false;
    double work = 0;
    Stamp out = kNever;   // its answer left the engine
    Stamp over = kNever;  // nobody waits for it any more: answered, called off, its link or its engine gone
    std::string ending;
    bool lost = false, ran = false;
    double tokens = 0;
    std::size_t run = 0;  // of the engine's process
};

struct Held {
    Where where;
    std::string engine, query, state, why;
    Stamp until = kNever;
    std::size_t run = 0;
};

// One run of an engine's process.
struct Run {
    Where where;
    std::string engine, server, zone, cell, role;
    std::int64_t born_ms = 0;
    double capacity = 0, cold_from = 1;
    Stamp warm = 0, until = kNever;
    bool fell = false;
    std::vector<std::pair<Stamp, Stamp>> deaf;  // cut off or hung: gateways could not reach it
};

struct Told {
    Where where;
    std::string standing;  // ready, draining, gone
    std::int64_t born_ms = 0;
};

struct Ended {
    Stamp at = 0;
    bool by_force = false;
};

struct History {
    Figures figures;
    std::vector<Asked> asked;
    std::vector<StartedAttempt> started;  // in time
    std::vector<Held> held;
    std::vector<Run> runs;
    // By gateway's name and life, then by server's address.
    std::map<std::string, std::map<std::string, std::vector<Told>>> told;
    std::map<std::string, std::vector<Ended>> ends;                    // of processes, by name
    std::map<std::string, std::string> zone_of;                        // of gateways
    std::map<std::string, std::vector<std::pair<Stamp, Stamp>>> cuts;  // by zone: cut off from the others
    std::vector<std::string> notes;                                    // torn records, missing end marks
    std::vector<std::string> gaps;  // what makes the records unfit for a verdict
};

// Throws std::runtime_error where the folder or its files cannot be read.
History read_history(const std::string& folder);

}  // namespace copperfront::audit
