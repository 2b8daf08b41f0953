// Links to engines: pooled, multiplexed, made when needed and closed when idle. Here an attempt that was
// never sent (unreachable) is told from one whose link broke under it (it may have run). No decision is taken
// here.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "desk/desk.h"
#include "logging/log.h"
#include "net/link.h"
#include "rpc/wire.h"
#include "terms/terms_file.h"

namespace copperfront {

class Engines {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void attempt_over(AttemptId attempt, const Outcome& outcome, double tokens,
                                  const std::string& text) = 0;
        virtual void token_came(AttemptId attempt, std::string_view text) = 0;
        virtual void probe_over(ServerIndex server, bool answered, const LoadReport& report) = 0;
    };

    Engines(Loop& loop, const Bounds& bounds, rpc::Hello hello, Owner& owner, Log& log);
    ~Engines();

    // Known from now on, under this address for ever.
    void learn(ServerIndex server, const std::string& address);
    // A server that is gone keeps its links until their attempts have ended; nothing is owed to it any more.
    void gone(ServerIndex server);

    // The owner is told of the attempt's end, never from within these calls.
    void send(ServerIndex server, AttemptId attempt, std::string line, bool reading);
    void call_off(ServerIndex server, AttemptId attempt);
    // True, and the owner is not told of its end: the attempt still waited for its link and was never sent.
    bool unsend(AttemptId attempt);
    void release(ServerIndex server, const std::string& state);
    void probe(ServerIndex server);

    // Holds for links that are made from now on, and for the watch over all.
    void change(const Bounds& bounds) { bounds_ = bounds; }
    const std::string& address(ServerIndex server) const;
    std::size_t links() const;
    // Releases that wait for a link, so that a stop can wait for them.
    std::size_t owed() const;

  private:
    class Line;
    struct Door;
    Line& line_for(Door& door);
    void drop(Line& line, Closing why, const std::string& what);

    Loop& loop_;
    Bounds bounds_;
    const rpc::Hello hello_;
    Owner& owner_;
    Log& log_;
    std::vector<std::unique_ptr<Door>> doors_;
    struct Out {
        Line* line = nullptr;
        bool reading = false;
    };
    std::unordered_map<AttemptId, Out> out_;
    AttemptId last_ = 0;
    std::int64_t next_probe_ = 1;
};

}  // namespace copperfront
