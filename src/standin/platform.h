// A stand-in of the platform for one loop: model servers and discovery over HTTP/1.1, with faults on command
// and a memory of what crossed their sockets.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/terms.h"
#include "http/message.h"
#include "net/link.h"
#include "net/stream.h"
#include "standin/held_states.h"

namespace copperfront::standin {

// What a model server does with the next call in place of its usual work.
enum class Fault {
    none,
    turned_away,      // 503, never ran
    turned_away_ran,  // 503 without the mark
    error,            // 500
    no_state,         // 410, never ran
    silent,           // nothing at all
    closes,           // the connection ends without a word
    resets,           // the same, as when a process dies
    noise,            // no HTTP
    head_without_end,
    interim,          // 1xx ahead, then as usual
    no_event,         // a well-formed stream of what is no event
    size_unreadable,  // after an event
    size_huge,
    size_misfit,
    breaks,         // after an event the connection ends
    falls_silent,   // after an event
    ends_early,     // a whole message, but without the last event
    second_answer,  // right behind a good one
};

// One world that its model servers share: states of reads lie in it under the id of their query.
class Platform {
  public:
    struct Shape {
        Span read{20000}, first{10000}, gap{5000};
        int events = 5;
    };
    struct Heard {
        std::string server, method, target, id, body;
        std::int64_t left_ms = -1;
        Instant at;
        std::uint64_t connection = 0;
    };

    Platform(Loop& loop, const Shape& shape);
    ~Platform();

    // Listens at once, and is in the list from now on.
    void add(const std::string& name, Role role, const std::string& zone, int group,
             const std::string& listen = "127.0.0.1:0");
    // The list has this server from now on, whose address somebody else listens at.
    struct Listed {
        std::string name, zone, address;
        Role role = Role::reader;
        int group = 0;
        std::int64_t since_ms = 0;
    };
    void list(const std::vector<Listed>& servers);
    void set(const std::string& name, const std::string& status);  // up, draining or removed
    // The same for many at once, told as one change.
    void set_all(const std::vector<std::string>& names, const std::string& status);
    // When its process started, as the list has it; 0: long ago. It is not told as a change.
    void set_start(const std::string& name, std::int64_t since_ms);
    // The list names another address for it, where somebody else may listen.
    void point(const std::string& name, const std::string& address);
    // The process ends: its connections are reset and new ones refused; as another start under the same name
    // and a new address once it is added again.
    void kill(const std::string& name);
    void next(const std::string& name, Fault fault, int times = 1);

    Address discovery() const;
    // Discovery as one gateway has it, under an address of its own.
    Address discovery_of(const std::string& gateway);
    // Another address for discovery, the old one gone.
    void move_discovery();
    // The answer to the next call to discovery, in place of the list.
    void next_list(const std::string& body) { odd_lists_.push_back(body); }
    void discovery_is_silent(bool silent) { silent_ = silent; }
    // Whole lists come so long after they were asked for.
    void whole_lists_take(Span time) { list_takes_ = time; }
    // Whole lists are written in so many pieces, this far apart.
    void write_whole_lists_in_pieces(std::size_t pieces, Span apart) {
        list_pieces_ = pieces;
        pieces_apart_ = apart;
    }
    void indent_lists(bool indent);
    // Its port refuses connections, and open ones are reset.
    void discovery_is_down(bool down);
    // Of the calls that are open now: none is ever answered, or each is reset.
    void watches_fall_silent();
    void watches_are_reset();
    // The list in discovery's form.
    std::string list() const;

    const std::vector<Heard>& heard() const { return heard_; }
    // Answers of discovery in the order in which their first bytes were written.
    struct WrittenList {
        Instant at, whole_at;  // whole_at: of its last byte; zero: it was not written
        std::string gateway;   // that it was written to; empty: at the address that is nobody's own
        std::uint64_t index = 0;
        bool whole = false;
        std::size_t bytes = 0;
    };
    std::uint64_t list_index() const { return index_; }
    const std::vector<WrittenList>& written_lists() const { return written_lists_; }
    std::size_t count(const std::string& method, const std::string& server = "") const;
    // Requests for which a state is held.
    std::size_t states() const;
    std::vector<std::string> held_requests() const;
    std::size_t connections() const { return lines_.size(); }

  private:
    class Line;
    class Watcher;
    struct Server {
        std::string name, zone, status = "up";
        Role role = Role::reader;
        int group = 0;
        std::int64_t since_ms = 0;
        std::unique_ptr<Listener> listener;
        std::string address;
        std::deque<Fault> faults;
        std::string entry, indented_entry;  // in the list
    };
    Fault fault_for(const std::string& server);
    void changed(const std::vector<std::string>& names);
    std::string entries(const std::vector<std::string>& names) const;
    std::unique_ptr<Listener> open_discovery(const std::string& gateway, const Address& at);
    void write_entry(Server& server) const;
    void drop(Line& line, bool reset);
    void drop(Watcher& watcher, bool reset = false);

    Loop& loop_;
    const Shape shape_;
    std::map<std::string, Server> servers_;
    MemoryMarkStore marks_;
    HeldStates held_states_{marks_};
    std::vector<Heard> heard_;
    std::uint64_t next_connection_ = 1, index_ = 1;
    std::vector<std::pair<std::uint64_t, std::string>> changes_;
    std::deque<std::string> odd_lists_;
    bool silent_ = false;
    Span list_takes_, pieces_apart_;
    std::size_t list_pieces_ = 1;
    bool indents_lists_ = false;
    std::vector<WrittenList> written_lists_;
    std::map<Line*, std::unique_ptr<Line>> lines_;
    std::map<Watcher*, std::unique_ptr<Watcher>> watchers_;
    std::unique_ptr<Listener> discovery_;  // null: down
    Address discovery_address_;
    std::map<std::string, std::unique_ptr<Listener>> discovery_of_gateways_;
};

}  // namespace copperfront::standin
