// A fake of the platform for one loop: model servers and discovery over HTTP/1.1, with faults on command and
// a log of the requests that they received.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/terms.h"
#include "fakes/held_states.h"
#include "http/message.h"
#include "net/line_connection.h"
#include "net/stream.h"

namespace copperfront::fake_server {

// What a model server does with its next call instead of its usual work.
enum class Fault {
    none,
    rejected,               // 503, never ran
    rejected_may_have_run,  // 503 without the header that says that it never ran
    error,                  // 500
    no_state,               // 410, never ran
    never_answered,         // no answer at all
    closes_unanswered,      // the connection closes without an answer
    resets_unanswered,      // the same with a reset, as when a process dies
    not_http,               // not HTTP
    head_without_end,
    interim,               // 1xx responses first, then as usual
    invalid_event,         // a well-formed stream whose content is not an event
    chunk_size_malformed,  // after an event
    chunk_size_huge,
    chunk_size_mismatch,
    closes_mid_stream,  // the connection closes after an event
    stalls_mid_stream,  // after an event
    ends_early,         // a complete message without the last event
    second_answer,      // directly after a good one
};

// The model servers share one store: the states of prefills are kept in it under the request's id.
class FakePlatform {
  public:
    struct ServiceTimes {
        Duration prefill_time{20000}, first_event_delay{10000}, event_gap{5000};
        int events = 5;
    };
    struct ReceivedRequest {
        std::string server, method, target, id, body;
        std::int64_t time_left_ms = -1;
        Instant at;
        std::uint64_t connection = 0;
    };

    FakePlatform(Loop& loop, const ServiceTimes& shape);
    ~FakePlatform();

    // Listens at once; the server is in the list from now on.
    void add(const std::string& name, Role role, const std::string& zone, int group,
             const std::string& listen = "127.0.0.1:0");
    // Adds servers to the list whose addresses somebody else listens at.
    struct ListEntry {
        std::string name, zone, address;
        Role role = Role::prefill;
        int group = 0;
        std::int64_t since_ms = 0;
    };
    void add_to_list(const std::vector<ListEntry>& servers);
    void set_status(const std::string& name, const std::string& status);  // up, draining or removed
    // The same for many servers, announced as one change.
    void set_statuses(const std::vector<std::string>& names, const std::string& status);
    // The start of its process, as the list has it; 0: long ago. It is not announced as a change.
    void set_process_start(const std::string& name, std::int64_t since_ms);
    // The list has another address for the server, where somebody else may listen.
    void set_address(const std::string& name, const std::string& address);
    // The process ends: its connections are reset and new ones refused. Once it is added again, it is another
    // start under the same name and a new address.
    void kill(const std::string& name);
    void inject_fault(const std::string& name, Fault fault, int times = 1);

    Address discovery() const;
    // Discovery as one gateway sees it, under an address of its own.
    Address discovery_for(const std::string& gateway);
    // Moves discovery to another address and closes the old one.
    void move_discovery();
    // Sets the answer to the next call to discovery, in place of the list.
    void replace_next_list(const std::string& body) { replacement_lists_.push_back(body); }
    void set_discovery_silent(bool silent) { is_discovery_silent_ = silent; }
    // Delay of whole lists after the request for them.
    void set_snapshot_delay(Duration time) { snapshot_delay_ = time; }
    // Whole lists are written in this many pieces with this interval between them.
    void set_snapshot_pieces(std::size_t pieces, Duration apart) {
        snapshot_pieces_ = pieces;
        piece_interval_ = apart;
    }
    void set_list_indent(bool indent);
    // The port of discovery refuses connections, and open ones are reset.
    void set_discovery_down(bool down);
    // For the calls that are open now: none is ever answered, or each is reset.
    void silence_watches();
    void reset_watches();
    // The list in the format of discovery.
    std::string list_json() const;

    const std::vector<ReceivedRequest>& received() const { return received_; }
    // Answers of discovery in the order in which their first bytes were written.
    struct WrittenList {
        Instant at, completed_at;  // completed_at: of its last byte; zero: not written
        std::string gateway;       // that it was written to; empty: at the shared address
        std::uint64_t index = 0;
        bool is_snapshot = false;
        std::size_t bytes = 0;
    };
    std::uint64_t list_index() const { return index_; }
    const std::vector<WrittenList>& written_lists() const { return written_lists_; }
    std::size_t count(const std::string& method, const std::string& server = "") const;
    // Number of requests for which a state is held.
    std::size_t held_state_count() const;
    std::vector<std::string> held_requests() const;
    std::size_t connections() const { return server_connections_.size(); }

  private:
    class ServerConnection;
    class Watcher;
    struct Server {
        std::string name, zone, status = "up";
        Role role = Role::prefill;
        int group = 0;
        std::int64_t since_ms = 0;
        std::unique_ptr<Listener> listener;
        std::string address;
        std::deque<Fault> faults;
        std::string entry, indented_entry;  // in the list
    };
    Fault fault_for(const std::string& server);
    void publish_changes(const std::vector<std::string>& names);
    std::string entries_json(const std::vector<std::string>& names) const;
    std::unique_ptr<Listener> open_discovery(const std::string& gateway, const Address& at);
    void write_entry(Server& server) const;
    void drop(ServerConnection& connection, bool reset);
    void drop(Watcher& watcher, bool reset = false);

    Loop& loop_;
    const ServiceTimes shape_;
    std::map<std::string, Server> servers_;
    MemoryMarkerStore markers_;
    HeldStates held_states_{markers_};
    std::vector<ReceivedRequest> received_;
    std::uint64_t next_connection_ = 1, index_ = 1;
    std::vector<std::pair<std::uint64_t, std::string>> changes_;
    std::deque<std::string> replacement_lists_;
    bool is_discovery_silent_ = false;
    Duration snapshot_delay_, piece_interval_;
    std::size_t snapshot_pieces_ = 1;
    bool indents_lists_ = false;
    std::vector<WrittenList> written_lists_;
    std::map<ServerConnection*, std::unique_ptr<ServerConnection>> server_connections_;
    std::map<Watcher*, std::unique_ptr<Watcher>> watchers_;
    std::unique_ptr<Listener> discovery_;  // null: down
    Address discovery_address_;
    std::map<std::string, std::unique_ptr<Listener>> discovery_of_gateways_;
};

}  // namespace copperfront::fake_server
