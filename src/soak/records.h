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
    arrived,       // the last byte of a call has been read by the running process
    held,          // a prefill has ended and left its state
    taken,         // a hand-over has arrived and taken the state
    never_ran,     // turned away, or its state had gone
    ended,         // answered to the end, or broken off by the server
    closed,        // the gateway has closed or reset the connection under an open call
    released,      // a release has been read, and nothing is held any more
    release_kept,  // a release has been read while an attempt waits for the state, which stays
};
const char* text_of(ServerEvent event);
std::optional<ServerEvent> server_event_of(const std::string& text);

struct ServerRecord {
    Microseconds at = 0;
    ServerEvent event = ServerEvent::arrived;
    std::string request, server;
    Role role = Role::reader;
    std::uint64_t call = 0;          // of this server process
    std::int64_t time_left_ms = -1;  // as it was told; -1: not told
};
// One line, and back; nothing for a line that is none, such as one that was cut by a kill.
std::string line_of(const ServerRecord& record);
std::optional<ServerRecord> record_of(const std::string& line);

enum class Fate {
    open,               // no final answer by the end of the run
    completed,          // a stream to its last event and chunk
    broken,             // a stream that ended without its last chunk
    rejected,           // 429 or 503
    failed,             // any other answer
    closed_unanswered,  // the gateway ended the connection before any byte of an answer
    client_left,
};
const char* text_of(Fate fate);

struct RequestRecord {
    std::string request;
    Effect effect = Effect::pure;
    std::size_t gateway = 0;
    std::uint32_t gateway_life = 0;
    Microseconds sent = 0, deadline = 0, first_byte = 0, ended = 0;
    bool on_new_connection = false, behind_another = false;
    Fate fate = Fate::open;
    bool spoilt = false;  // events lost, out of order, or of more than one attempt
};

// A client that stops in the middle of a request and stays.
struct StalledRecord {
    std::size_t gateway = 0;
    std::uint32_t gateway_life = 0;
    Microseconds stopped = 0, ended = 0;  // ended 0: it got neither an answer nor a close
};

// A span in which something was done to a process or to the way to it.
struct FaultSpan {
    Microseconds from = 0, until = 0;
    std::uint64_t list_index = 0;  // of the list that tells it, where one does
};

// Discovery wrote a list, or changes of one, to a gateway.
struct ListWritten {
    std::size_t gateway = 0;
    Microseconds at = 0;
    std::uint64_t index = 0;
};

struct GatewayLife {
    std::size_t gateway = 0;
    std::uint32_t life = 0;
    Microseconds started = 0, terminated = 0, killed = 0, exited = 0;  // 0: not
    int status = 0;                                                    // as of waitpid
    std::int64_t violations = -1;                                      // as its last log line tells; -1: none
};

struct Records {
    std::vector<ServerRecord> servers;
    std::vector<RequestRecord> requests;
    std::vector<GatewayLife> gateways;
    std::vector<StalledRecord> stalled;
    std::map<std::string, std::vector<FaultSpan>>
        server_faults;  // stopped, cut off or slow to reach, by server
    std::map<std::string, std::vector<Microseconds>> server_deaths;  // what a process held has gone with it
    std::map<std::string, std::vector<FaultSpan>> withdrawn;  // draining or removed, as the list had it
    std::vector<ListWritten> told;
    Microseconds ended = 0;
};

}  // namespace copperfront::soak
