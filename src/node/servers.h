// Connections to model servers: pooled by server, one launch at a time on each, made when needed and closed
// before the server would. Here a launch that was never sent (unreachable) is told from one that may have run
// (broken). Nothing is ever sent again by itself.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/rules.h"
#include "desk/witness.h"
#include "http/message.h"
#include "net/stream.h"
#include "platform/answers.h"

namespace copperfront {

enum class WritePermission {
    granted,
    client_gone,  // nobody waits for it any more
    too_late,     // it was made for a time that is over
};

class Servers {
  public:
    struct Bounds {
        std::size_t connections = 256;  // of all servers together
        Span idle{10000000};            // clearly before the server closes one
        Span release_answer{250000};    // for a release to be answered, before another server is told
        Span release_within{1000000};   // past it a release is of no use
        std::uint64_t stream_bytes = 64 << 20;
    };
    class Owner {
      public:
        virtual ~Owner() = default;
        // Never from within a call to Servers. `what`: a plain reason, where there is one.
        virtual void launch_over(LaunchId launch, const Outcome& outcome, const std::string& what) = 0;
        // Whole events, unchanged; `count` of them carry something.
        virtual void events_came(LaunchId launch, std::string_view events, std::size_t count) = 0;
        // Asked right before its first byte is written.
        virtual WritePermission may_write(LaunchId launch) const = 0;
        // Whether a release of this query would now take what is still wanted.
        virtual bool is_wanted(const std::string& id) const = 0;
    };

    Servers(Loop& loop, const Bounds& bounds, Owner& owner);
    ~Servers();

    void change(Span idle, Span release_within);
    // Known from now on at this address; another one, or another start, parts with the connections so far.
    void learn(ServerIndex server, const std::string& address, Instant born);
    // Nothing new is to be sent to it: launches that wait for a connection there have never been sent.
    void shun(ServerIndex server);
    void gone(ServerIndex server);
    // Whether nothing is out or owed there, so that its index may name another.
    bool is_idle(ServerIndex server) const;

    // What is left of its time is told when it is written, between the two parts of the message.
    struct Call {
        std::string before, after;
        Instant until;
        bool reading = false;
    };
    void send(ServerIndex server, LaunchId launch, Call call);
    void call_off(LaunchId launch);
    // True, and the owner is not told of its end: its last byte was not written yet.
    bool unsend(LaunchId launch);
    // The answer's events wait while this is so.
    void hold_back(LaunchId launch, bool hold);
    struct ReleaseOrder {
        // The read may yet leave a state, as its end was not heard; so it is told once more a while later,
        // and first to another server than the one that was not heard.
        bool unsure = false;
        // Another attempt may follow at once, and what is told now could take the state that it leaves.
        bool may_be_followed = false;
    };
    // Told to the server that may hold something of the query; where that can't be reached, to another one,
    // as each lets go at all of them.
    void release(ServerIndex server, const std::string& id, const ReleaseOrder& order);
    std::size_t owed() const { return releases_.size(); }

    std::size_t size() const { return lines_.size(); }
    std::size_t launches() const { return out_.size(); }
    struct Counts {
        std::uint64_t made = 0, reused = 0, not_made = 0, broken = 0, spoilt = 0, releases = 0,
                      releases_again = 0, releases_lost = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    class Line;
    friend class Line;
    struct Door {
        Address address;
        std::string text;
        Instant born;
        std::uint32_t life =
            0;  // of its process, or its address: connections to an earlier one are of no use
        bool known = false, gone = false;
        std::vector<Line*> idle;  // the newest last
        std::size_t lines = 0;
    };
    struct Release {
        std::string id;
        ServerIndex server = 0;  // told next
        Line* line = nullptr;    // on its way there
        Instant until, since, not_before;
        std::uint32_t tries = 0;
        bool dead = false, unsure = false;
    };

    Line* line_to(ServerIndex server);
    Line* take_idle(Door& door);
    void drop(Line& line, bool reset);
    bool make_room();
    void ended(Line& line, const Outcome& outcome);
    void lost(Line& line, bool never_sent, const std::string& what);
    void not_awaited(LaunchId launch);
    void rest(Line& line);
    bool may_be_told(ServerIndex server) const;
    ServerIndex other_than(ServerIndex server);
    void go_on(Release& release);
    void released(Line& line, bool well);
    void look();

    Loop& loop_;
    Bounds bounds_;
    Owner& owner_;
    std::vector<Door> doors_;
    std::unordered_map<Line*, std::unique_ptr<Line>> lines_;
    std::unordered_map<LaunchId, Line*> out_;
    std::unordered_set<LaunchId> not_awaited_;  // never sent, and their owner is yet to be told
    std::deque<std::unique_ptr<Release>> releases_;
    ServerIndex next_other_ = 0;
    Counts counts_;
    Timer look_;
};

}  // namespace copperfront
