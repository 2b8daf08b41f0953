// The terms of service that a gateway is started with: the limits, permissions and properties of its
// platform.
#pragma once

#include <cstdint>
#include <vector>

#include "units.h"

namespace copperfront {

enum class Role { prefill, decode, mixed };
// Whether a request may be repeated: always, within the window in which its servers drop repeats, or only if
// it has not run.
enum class Effect { pure, receipted, effectful };
enum class DedupScope { all, zone, cell };

enum class Ending {
    completed,
    error,
    refused,
    timed_out,
    unreachable,
    connection_lost,
    cancelled,
    unsent,
    prefilled
};
// Describes how an attempt ended, in the words of the platform's protocol, for logs.
const char* text_of(Ending ending);

// Requirements of a class of requests.
struct Category {
    Effect effect = Effect::pure;
    DedupScope group = DedupScope::all;  // which servers drop a repeat of a receipted request
    Duration window;                     // how long those servers remember the request
    Duration latency_goal;
    Duration goal_per_thousand;  // added to the latency goal for each 1,000 prompt tokens
    Duration token_gap;          // desired time between tokens
    bool stream = true;
};

// Properties of a kind of server.
struct Kind {
    Role role = Role::mixed;
    double memory_tokens = 0;  // 0: not specified
};

struct Terms {
    std::vector<Category> categories;
    std::vector<Kind> kinds;
    std::vector<double> quotas;  // requests per second by client group, over all gateways; 0: none specified

    int gateways = 1;
    std::uint16_t zone = 0;

    bool cancel = false;
    bool probes = false;
    bool peers = false;  // gateways may send notes to each other
    bool decode_servers_prefill = false;
    bool ask_for_list = false;
    bool reports_memory_share = false;  // load reports contain the share of memory in use
    bool reports_queued_tokens =
        false;  // load reports contain the number of prompt tokens that wait for prefill
    bool reports_by_probe = false;
    std::uint32_t max_attempts = 1;
    Duration max_retry_after;  // longest time after which a rejected client is asked to come back
    double probe_fee = 0;

    Duration quantum;          // resolution of the platform's clock
    Duration connect_timeout;  // a connection to a server not established by then fails; 0: not specified
    Duration connection_idle_timeout;  // a connection to a server that is idle for this long is closed; 0:
                                       // not specified
    Duration release_within;
    double start_capacity = 1;     // share of its capacity that a cold server has
    double overload_multiple = 1;  // multiple of that capacity past which a cold server is overloaded
    Duration overload_window;      // window over which that load is measured
    Duration warm_up_time;         // a server is cold for this long after its start
};

}  // namespace copperfront
