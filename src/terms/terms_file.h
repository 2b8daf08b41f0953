// The terms file: the configuration of a gateway, checked as a whole before anything starts. One file serves
// all gateways of a fleet; values that differ between them can be set on the command line.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/terms.h"
#include "interning/name_table.h"
#include "routes/route_table.h"
#include "sexpr/schema.h"
#include "trace/keeping.h"

namespace copperfront {

// Bounds on the resources that peers may use. They do not influence how a request within them is routed.
struct Bounds {
    std::size_t max_line_bytes = 0, max_unsent_bytes = 0;
    std::size_t max_clients = 0, max_open_requests = 0, max_requests_per_client = 0;
    std::size_t max_attempts_per_connection = 0, max_bad_messages = 0;
    Duration client_idle_timeout, connect_timeout, connection_idle_timeout, ping_after,
        server_silence_timeout, shutdown_timeout, roster_reconnect_delay;
};

struct Logging {
    std::string level, form, file;
    std::size_t file_bytes = 0, files = 0;
};

// Where traces are written. With an empty folder name no trace is written.
struct Tracing {
    std::string folder;
    trace::StorageTerms storage;
};

// One route with its conditions and, after inheritance, its effective limits.
struct RouteTerms {
    std::string name, parent;
    RouteMatch match;
    RouteLimits limits;
    int line = 0;
    std::vector<std::string> conditions;  // its conditions as text, for error messages and listings
    struct StatedLimit {
        std::string key, route, value;  // the route that states it, and the value as written there
    };
    std::vector<StatedLimit> limit_sources;
};

struct GatewayTerms {
    std::string name, zone, listen, roster, state_folder, peer_listen;
    std::vector<std::string> peers;  // addresses for peer notes, without this gateway's own
    Terms core;
    NameTable zones, kinds, categories, client_groups;
    std::vector<Duration> deadlines;  // by category: how long its clients wait at most
    Bounds bounds;
    Logging logging;
    Tracing trace;
    // The first is the default route, which matches every request.
    std::vector<RouteTerms> routes;
    RouteTable table;
    NameTable listeners, attributes;  // listener 0 is that of the gateway's own form
    std::vector<std::string> listener_addresses;
    // Values of the rules that only the audit uses, not the router.
    Duration drain_grace, answer_slack;
    bool learned_shares = false;  // limits stated for the fleet are divided by learned shares; else evenly
};

// Values that the command line may give instead of the file.
struct Overrides {
    std::string name, zone, listen, roster, state_folder, trace_folder, log_level, log_form, log_file,
        peer_listen;
};

const Schema& terms_schema();

// Returns each route's conditions and effective limits, with the route that states each limit.
std::string effective_text(const GatewayTerms& terms);

// Return true on success; otherwise `diagnostics` holds all errors.
bool read_terms(const std::string& text, const Overrides& overrides, GatewayTerms& terms,
                std::vector<Diagnostic>& diagnostics);
bool read_terms_file(const std::string& path, const Overrides& overrides, GatewayTerms& terms,
                     std::vector<Diagnostic>& diagnostics);

}  // namespace copperfront
