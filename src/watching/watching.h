// Watches what other terms would decide. It plays a second set of rules beside the desk's own, tells it what
// the desk met, and counts by kind where it would have decided otherwise. Nothing that it does reaches the
// world: its attempts, probes, notes to peers and answers are counted and dropped. Free of I/O and clocks.
//
// After each attempt the two are in step again, as both learn what became of the one that was made. What
// hangs on acts that were never carried out (a probe's answer, a peer's note) is not seen. With the desk's
// own seed ties fall alike in both, and the same terms differ in nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "core/rules.h"

namespace copperfront {

struct Differences {
    std::uint64_t alike = 0;              // attempts that would have gone to the same server
    std::uint64_t reader = 0;             // read elsewhere
    std::uint64_t writer = 0;             // handed over elsewhere
    std::uint64_t held = 0;               // not sent by the time that this one was over
    std::uint64_t ended = 0;              // declined or given up, where it was settled
    std::uint64_t went_on = 0;            // not declined or given up, where it was
    std::uint64_t called_off = 0;         // where this one was left to end
    std::uint64_t probes = 0, notes = 0;  // that would have been sent
};

class Watching : private Host {
  public:
    struct Hooks {
        std::function<Instant()> now;
        std::function<void(Span from_now, TimerKey key)> set_timer;  // Watching::timer_rang is wanted then
    };
    Watching(const Terms& terms, Hooks hooks, std::uint32_t seed);

    // What the desk meets, in its order; attempts of second copies are left out.
    void list_arrived(std::span<const Listing> entries, bool whole) { rules_.list_arrived(entries, whole); }
    void list_missed() { rules_.list_missed(); }
    void query_came(QueryIndex query, const Arrival& facts);
    void started(QueryIndex query, ServerIndex server, bool reading);
    void stream_began(QueryIndex query, Span took);
    void attempt_ended(QueryIndex query, ServerIndex server, const Outcome& outcome);
    void query_ended(QueryIndex query, bool settled);
    void query_closed(QueryIndex query);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void timer_rang(TimerKey key) { rules_.timer_rang(key); }

    const Differences& differences() const { return differences_; }

  private:
    struct Seen {
        bool known = false, reading = false, compared = false;  // of the attempt that was made
        ServerIndex made = 0;
        bool out = false, called_off = false, over = false;  // of the other rules
        ServerIndex would = 0;
        bool answered = false;  // the query has had its final answer
    };
    Instant now() const override { return hooks_.now(); }
    void start_attempt(QueryIndex query, ServerIndex server, const AttemptLimits& limits) override;
    void retract(QueryIndex query, std::uint32_t attempt) override;
    void decline(QueryIndex query, Span) override { seen(query).over = true; }
    void give_up(QueryIndex query) override { seen(query).over = true; }
    void release(QueryIndex) override {}
    bool may_attempt_again(QueryIndex, Ending) override { return true; }
    void probe(ServerIndex) override { ++differences_.probes; }
    void subscribe() override {}
    void tell_peers(std::string_view) override { ++differences_.notes; }
    void set_timer(Span from_now, TimerKey key) override { hooks_.set_timer(from_now, key); }
    void log(std::string_view) override {}

    Seen& seen(QueryIndex query);
    void compare(Seen& s);
    void settle_books(QueryIndex query);

    Hooks hooks_;
    std::vector<Seen> seen_;  // by query
    Differences differences_;
    Rules rules_;
};

}  // namespace copperfront
