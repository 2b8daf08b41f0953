// Shadow evaluation of other terms: runs a second router beside the dispatcher's own, feeds it the same
// events, and counts by kind where it would have decided otherwise. It has no outside effect: its attempts,
// probes, notes to peers and answers are counted and dropped. Does no I/O and has no clock of its own.
//
// After each attempt both routers are in step again, as both learn the outcome of the attempt that was really
// made. Consequences of actions that were never carried out (the answer to a probe, a note of a peer) are not
// seen. With the dispatcher's own seed both break ties alike, so identical terms show no differences.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "core/rules.h"

namespace copperfront {

// Decisions of the shadow router compared with the real ones.
struct Differences {
    std::uint64_t alike = 0;              // attempts that would have been sent to the same server
    std::uint64_t reader = 0;             // prefills that would have been sent to another server
    std::uint64_t writer = 0;             // hand-overs that would have been sent to another server
    std::uint64_t held = 0;               // attempts not sent by the first event of the real one
    std::uint64_t ended = 0;              // requests rejected or abandoned that were really completed
    std::uint64_t went_on = 0;            // requests continued that were really rejected or abandoned
    std::uint64_t called_off = 0;         // attempts cancelled where the real one was not
    std::uint64_t probes = 0, notes = 0;  // probes and notes to peers that would have been sent
};

class Watching : private Host {
  public:
    struct Hooks {
        std::function<Instant()> now;
        std::function<void(Span from_now, TimerKey key)> set_timer;  // has to call Watching::timer_rang then
    };
    Watching(const Terms& terms, Hooks hooks, std::uint32_t seed);

    // The events of the dispatcher, in its order, without those of hedged attempts.
    void list_arrived(std::span<const Listing> entries, bool whole) { router_.list_arrived(entries, whole); }
    void list_missed() { router_.list_missed(); }
    void query_came(QueryIndex request, const Arrival& facts);
    void started(QueryIndex request, ServerIndex server, bool is_prefill);
    void stream_began(QueryIndex request, Span took);
    void attempt_ended(QueryIndex request, ServerIndex server, const Outcome& outcome);
    void query_ended(QueryIndex request, bool completed);
    void query_closed(QueryIndex request);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void timer_rang(TimerKey key) { router_.timer_rang(key); }

    const Differences& differences() const { return differences_; }

  private:
    struct RequestState {
        bool tracked = false, is_prefill = false, compared = false;  // of the real attempt
        ServerIndex real_server = 0;
        // Of the shadow router.
        bool shadow_in_flight = false, shadow_cancelled = false, shadow_ended = false;
        ServerIndex shadow_server = 0;
        bool answered = false;  // the request has had its final answer
    };
    Instant now() const override { return hooks_.now(); }
    void start_attempt(QueryIndex request, ServerIndex server, const AttemptLimits& limits) override;
    void retract(QueryIndex request, std::uint32_t attempt) override;
    void decline(QueryIndex request, Span) override { state_of(request).shadow_ended = true; }
    void give_up(QueryIndex request) override { state_of(request).shadow_ended = true; }
    void release(QueryIndex) override {}
    bool may_attempt_again(QueryIndex, Ending) override { return true; }
    void probe(ServerIndex) override { ++differences_.probes; }
    void subscribe() override {}
    void tell_peers(std::string_view) override { ++differences_.notes; }
    void set_timer(Span from_now, TimerKey key) override { hooks_.set_timer(from_now, key); }
    void log(std::string_view) override {}

    RequestState& state_of(QueryIndex request);
    void compare(RequestState& state);
    void end_unmade_attempt(QueryIndex request);

    Hooks hooks_;
    std::vector<RequestState> states_;  // by request
    Differences differences_;
    Rules router_;
};

}  // namespace copperfront
