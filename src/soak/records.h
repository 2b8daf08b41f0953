// What model servers and clients saw in a soak run, on the clock that all processes of the machine share. The
// judge needs nothing else.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/terms.h"

namespace copperfront::soak {

// CLOCK_MONOTONIC, microseconds.
using Microseconds = std::int64_t;

enum class ServerEvent {
    arrived,       // the running process has read the last byte of a call
    held,          // a prefill has ended and left its state
    taken,         // a hand-over has arrived and taken the state
    never_ran,     // rejected, or its state was gone
    ended,         // answered completely, or broken off by the server
    closed,        // the gateway has closed or reset the connection during an open call
    released,      // a release has been read, and no state is held any more
    release_kept,  // a release has been read while an attempt waits for the state, which stays
};
const char* text_of(ServerEvent event);
std::optional<ServerEvent> server_event_of(const std::string& text);

struct ServerRecord {
    Microseconds at = 0;
    ServerEvent event = ServerEvent::arrived;
    std::string request, server;
    Role role = Role::prefill;
    std::uint64_t call = 0;          // number of the call in this server process
    std::int64_t time_left_ms = -1;  // as the gateway reported it; -1: not reported
};
// Formats a record as one line and parses it. A malformed line, such as one cut by a kill, gives nullopt.
std::string line_of(const ServerRecord& record);
std::optional<ServerRecord> record_of(const std::string& line);

enum class RequestOutcome {
    open,               // no final answer by the end of the run
    completed,          // a stream up to its last event and chunk
    broken,             // a stream that ended without its last chunk
    rejected,           // 429 or 503
    failed,             // any other answer
    closed_unanswered,  // the gateway closed the connection before the first byte of an answer
    client_left,
};
const char* text_of(RequestOutcome fate);

struct RequestRecord {
    std::string request;
    Effect effect = Effect::pure;
    std::size_t gateway = 0;
    std::uint32_t gateway_life = 0;
    Microseconds sent = 0, deadline = 0, first_byte = 0, ended = 0;
    bool on_new_connection = false, is_pipelined = false;
    RequestOutcome fate = RequestOutcome::open;
    bool corrupted = false;  // events lost, out of order, or of more than one attempt
};

// A client that stops in the middle of a request and stays connected.
struct StalledRecord {
    std::size_t gateway = 0;
    std::uint32_t gateway_life = 0;
    Microseconds stopped = 0, ended = 0;  // ended 0: it got neither an answer nor a close
};

// An interval in which a fault was injected into a process or the path to it.
struct FaultInterval {
    Microseconds from = 0, until = 0;
    std::uint64_t list_index = 0;  // of the list that reports it, if there is one
};

// Discovery wrote a list, or changes to one, to a gateway.
struct WrittenListRecord {
    std::size_t gateway = 0;
    Microseconds at = 0;
    std::uint64_t index = 0;
};

struct GatewayLife {
    std::size_t gateway = 0;
    std::uint32_t life = 0;
    Microseconds started = 0, terminated = 0, killed = 0, exited = 0;  // 0: did not happen
    int status = 0;                                                    // from waitpid
    std::int64_t violations = -1;                                      // from its last log line; -1: none
    std::int64_t memory_limit_kb = 0, peak_resident_kb = 0;            // 0: not known
};

struct Records {
    std::vector<ServerRecord> servers;
    std::vector<RequestRecord> requests;
    std::vector<GatewayLife> gateways;
    std::vector<StalledRecord> stalled;
    std::map<std::string, std::vector<FaultInterval>>
        server_faults;  // stopped, cut off or slow to reach, by server
    std::map<std::string, std::vector<Microseconds>>
        server_deaths;  // a process that dies loses the states it held
    std::map<std::string, std::vector<FaultInterval>> withdrawn;  // draining or removed, as the list had it
    std::vector<WrittenListRecord> written_lists;
    Microseconds ended = 0;
};

}  // namespace copperfront::soak
