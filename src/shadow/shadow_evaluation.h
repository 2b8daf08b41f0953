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

#include "core/router.h"

namespace copperfront {

// Decisions of the shadow router compared with the real ones.
struct ShadowDifferences {
    std::uint64_t same_server = 0;             // attempts that would have been sent to the same server
    std::uint64_t other_prefill_server = 0;    // prefills that would have been sent to another server
    std::uint64_t other_decode_server = 0;     // hand-overs that would have been sent to another server
    std::uint64_t not_sent = 0;                // attempts not sent by the first event of the real one
    std::uint64_t ended_early = 0;             // requests rejected or abandoned that were really completed
    std::uint64_t continued = 0;               // requests continued that were really rejected or abandoned
    std::uint64_t cancelled = 0;               // attempts cancelled where the real one was not
    std::uint64_t probes = 0, peer_notes = 0;  // probes and notes to peers that would have been sent
};

class ShadowEvaluation : private Host {
  public:
    struct Hooks {
        std::function<Instant()> now;
        std::function<void(Duration from_now, TimerKey key)>
            set_timer;  // has to call ShadowEvaluation::timer_fired then
    };
    ShadowEvaluation(const Terms& terms, Hooks hooks, std::uint32_t seed);

    // The events of the dispatcher, in its order, without those of hedged attempts.
    void list_arrived(std::span<const ServerListing> entries, bool is_snapshot) {
        router_.list_arrived(entries, is_snapshot);
    }
    void list_fetch_failed() { router_.list_fetch_failed(); }
    void request_arrived(RequestIndex request, const RequestInfo& info);
    void attempt_started(RequestIndex request, ServerIndex server, bool is_prefill);
    void stream_began(RequestIndex request, Duration duration);
    void attempt_ended(RequestIndex request, ServerIndex server, const AttemptOutcome& outcome);
    void request_ended(RequestIndex request, bool completed);
    void request_closed(RequestIndex request);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void timer_fired(TimerKey key) { router_.timer_fired(key); }

    const ShadowDifferences& differences() const { return differences_; }

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
    void start_attempt(RequestIndex request, ServerIndex server, const AttemptLimits& limits) override;
    void cancel_attempt(RequestIndex request, std::uint32_t attempt) override;
    void reject(RequestIndex request, Duration) override { state_of(request).shadow_ended = true; }
    void abandon(RequestIndex request) override { state_of(request).shadow_ended = true; }
    void release(RequestIndex) override {}
    bool may_attempt_again(RequestIndex, Ending) override { return true; }
    void probe(ServerIndex) override { ++differences_.probes; }
    void subscribe() override {}
    void notify_peers(std::string_view) override { ++differences_.peer_notes; }
    void set_timer(Duration from_now, TimerKey key) override { hooks_.set_timer(from_now, key); }
    void log(std::string_view) override {}

    RequestState& state_of(RequestIndex request);
    void compare(RequestState& state);
    void end_unmade_attempt(RequestIndex request);

    Hooks hooks_;
    std::vector<RequestState> states_;  // by request
    ShadowDifferences differences_;
    Router router_;
};

}  // namespace copperfront
