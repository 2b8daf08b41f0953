// The terms of service a gateway is started with: what its site allows, asks and promises.
#pragma once

#include <cstdint>
#include <vector>

#include "units.h"

namespace copperfront {

enum class Role { reader, writer, mixed };
enum class Effect { pure, receipted, effectful };
enum class Group { all, zone, cell };

enum class Ending { settled, error, full, late, unreachable, broken, retracted, unsent, read };
// How an attempt ended, in the words of the platform's protocol, for logs.
const char* text_of(Ending ending);

struct Category {
    Effect effect = Effect::pure;
    Group group = Group::all;  // which servers drop a repeat of a receipted query
    Span window;               // how long they remember it
    Span latency_goal;
    Span goal_per_thousand;  // added to the latency goal for each 1,000 prompt tokens
    Span token_gap;          // wanted time between tokens
    bool stream = true;
};

struct Kind {
    Role role = Role::mixed;
    double memory_tokens = 0;  // 0: not told
};

struct Terms {
    std::vector<Category> categories;
    std::vector<Kind> kinds;
    std::vector<double> quotas;  // queries a second by client group, over all gateways; 0: none told

    int gateways = 1;
    std::uint16_t zone = 0;

    bool cancel = false;
    bool probes = false;
    bool peers = false;  // gateways may tell each other
    bool writers_read = false;
    bool ask_for_list = false;
    bool reports_memory = false;  // load reports hold the share of memory held
    bool reports_unread = false;  // load reports hold the tokens that wait to be read
    bool reports_by_probe = false;
    std::uint32_t max_attempts = 1;
    Span max_stay_away;
    double probe_fee = 0;

    Span quantum;
    Span connect_within;    // a connection to a server not made by then will not come; 0: not told
    Span connections_rest;  // a connection to a server that is not used for so long is closed; 0: not told
    Span release_within;
    double start_capacity = 1;
    double tip_multiple = 1;
    Span fall;
    Span warm_within;
};

}  // namespace copperfront
