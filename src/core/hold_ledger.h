// Tracks the state that model servers may hold for requests: what a prefill leaves on its server until a
// hand-over takes it or a release frees it. For each request the ledger knows which attempts are in flight,
// what may be held because of which attempt, and since when the time limit for its release has been running.
//
// An action of this gateway proves nothing about what happened on a server, so an entry ends only on proof: a
// stream that has begun, or a release that was written after every attempt of the request had ended and that
// a running server has answered. A release that was written while an attempt may be waiting for the state has
// to be sent again after that attempt's end.
//
// Only its answer shows that an attempt has reached a running server. Until then both cases are covered. If
// the attempt has not arrived, the time limit of the state goes on running, so a release is due at the end of
// the lease (the first part of the time limit, see kLeaseShare) even with an attempt in flight. If it has
// arrived, the full time limit starts again when the attempt ends, so another release is due after that.
//
// Does no I/O and has no clock of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "router_host.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

// Identifies a request for as long as a server may hold anything for it. Requests that servers can't tell
// apart have the same key.
using RequestKey = std::uint64_t;

// Why a server may hold a state.
enum class HoldReason : std::uint8_t {
    prefill_answered,     // the prefill was completed
    answer_began,         // a part of the prefill's answer has arrived
    answer_lost,          // the answer was truncated, malformed, reset or an error
    prefill_not_awaited,  // cancelled or timed out: it may have completed, or still complete
};
const char* text_of(HoldReason reason);

class HoldLedger {
  public:
    // `release_within`: time limit for a held state to be taken or released; 0: no limit.
    explicit HoldLedger(Duration release_within) : release_within_(release_within) {}
    void set_release_within(Duration release_within) { release_within_ = release_within; }

    struct Entry {
        ServerIndex server = 0;
        AttemptId attempt = 0;  // the prefill that left the state
        HoldReason reason = HoldReason::prefill_answered;
        Instant since;
        bool release_wanted = false;  // no attempt will take the state any more, so it is to be released
    };
    // An attempt that ended without an answer. Its server may hang, and start the attempt or see its close
    // only later.
    struct UnansweredAttempt {
        ServerIndex server = 0;
        bool prefill = false;
        Instant started, ended_at;
    };

    // ---- attempts

    void attempt_started(RequestKey key, AttemptId attempt, ServerIndex server, bool prefill, Instant now);
    // A part of its answer has arrived. A prefill server answers once its prefill is completed.
    void answer_began(RequestKey key, AttemptId attempt, Instant now);
    // Its first event has arrived: it has taken the state, and every other state whose prefill was answered
    // is freed with it.
    void stream_began(RequestKey key, AttemptId attempt, Instant now);
    void attempt_ended(RequestKey key, AttemptId attempt, Ending ending, Instant now);

    // ---- held states

    const std::vector<Entry>& entries(RequestKey key) const;
    bool has_attempt_in_flight(RequestKey key) const;
    // Until when a held state may be left to an attempt that has not answered; the rest of the time limit is
    // for the release itself to arrive.
    Instant lease_end(RequestKey key) const;
    bool has_lease() const { return release_within_.us > 0; }
    // Start of the running time limit.
    Instant held_since(RequestKey key) const;

    // ---- releases

    // Records that no attempt will take the state of this prefill any more.
    void want_release(RequestKey key, AttemptId attempt);
    enum class Need {
        nothing,          // no state is held
        not_yet,          // an attempt may take the state, its lease is running, or a repeat is not due yet
        close_in_flight,  // the close of an attempt may not have reached its server
        due,
    };
    Need release_need(RequestKey key, Instant now) const;
    // Records that a release is being written to a server.
    void release_written(RequestKey key, ServerIndex to, Instant now);
    // What the answer to a release proves.
    enum class Proof {
        nothing,
        // Written after the end of the lease, while an attempt may have been waiting for the state: ends this
        // lease, but the release is to be repeated after the attempt's end.
        lease_only,
        repeat_needed,  // released; to be repeated once, as an attempt ended without an answer
        released,       // no state is held any more
    };
    struct ReleaseResult {
        Proof proof = Proof::nothing;
        std::optional<Instant> held_since;  // start of the time limit; none: nothing was held
        // Of the request; filled with Proof::released and by abandon().
        std::vector<UnansweredAttempt> unanswered;
        std::string history;  // of the request, if its course was unusual
    };
    // A running server has answered a release that was written at `written`.
    ReleaseResult release_answered(RequestKey key, ServerIndex by, Instant written, Instant now);
    // For a transport whose messages arrive in order: a release that was sent counts as done.
    void assume_released(RequestKey key, AttemptId attempt);
    // No server could be reached in time.
    ReleaseResult abandon(RequestKey key);

    // ---- for logs and limits

    // The events of a request so far, with times in milliseconds from its first attempt.
    std::string history(RequestKey key) const;
    // Sets how servers are named in histories; the default is their index.
    void set_server_namer(std::function<std::string(ServerIndex)> name) { name_of_ = std::move(name); }
    std::size_t size() const { return requests_.size(); }
    // Requests that were not recorded because the ledger was full.
    std::uint64_t overflows() const { return overflows_; }

  private:
    struct Attempt {
        AttemptId id = 0;
        ServerIndex server = 0;
        bool prefill = false;
        Instant started;
        Instant answer_began;  // zero: it has not
    };
    struct Event {
        enum class Kind : std::uint8_t {
            prefill_started,
            hand_over_started,
            answer_began,
            stream_began,
            attempt_ended,
            release_written,
            release_answered,
            release_answered_during_attempt,
        };
        Instant at;
        Kind kind = Kind::prefill_started;
        Ending ending = Ending::prefilled;
        ServerIndex server = 0;
        std::uint32_t attempts_in_flight = 0;
    };
    struct Request {
        std::vector<Attempt> in_flight;
        std::vector<Entry> entries;
        std::vector<UnansweredAttempt> unanswered;
        Instant lease_since;  // start of the running lease
        // No lease is running: a release was answered after its end, or a stream has begun. The end of an
        // attempt that was sent starts a new lease.
        bool lease_paused = false;
        Instant last_ended;          // when an attempt last ended
        Instant closes_arrived_at;   // from then on every ended attempt has ended on its server too
        Instant repeat_not_before;   // earliest time of the repeated release
        bool repeat_needed = false;  // an attempt ended without an answer
        bool unusual = false;        // a release met an attempt that may have been waiting
        std::vector<Event> events;
        std::uint32_t events_omitted = 0;
    };
    Request* find(RequestKey key);
    const Request* find(RequestKey key) const;
    void record(Request& request, Instant at, Event::Kind kind, ServerIndex server,
                Ending ending = Ending::prefilled);
    void add_entry(Request& request, const Attempt& attempt, HoldReason reason, Instant since);
    void record_answered_end(Request& request, Instant now);
    void record_unanswered_end(Request& request, const Attempt& attempt, Instant now);
    void erase_if_done(RequestKey key);

    Duration release_within_;
    std::unordered_map<RequestKey, Request> requests_;
    std::uint64_t overflows_ = 0;
    std::function<std::string(ServerIndex)> name_of_;
};

}  // namespace copperfront
