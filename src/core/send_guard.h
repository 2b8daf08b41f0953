// Decides in one place whether something may be sent, repeated, postponed, closed or ended now: attempts,
// releases, pooled connections, client connections and the process itself. The code that is about to act
// passes the facts and gets a verdict; every denial is counted by its reason. What must never happen is also
// checked afterwards and counted as a violation: a count above zero is a bug in this program. Does no I/O and
// has no clock of its own; the rules and tolerances are those of the platform's protocol.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "hold_ledger.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

// Why an action is denied.
enum class Denial {
    none,
    client_gone,               // the client has closed or cancelled
    already_answered,          // the request has its final answer, or its stream has begun
    attempt_in_flight,         // an earlier attempt of the request has not ended yet
    effect_may_have_happened,  // a non-idempotent request whose earlier attempt may have run
    too_many_attempts,
    no_time_left,
    write_window_over,  // the time until which the attempt was to be written has passed
    release_too_early,  // it could free a state that an attempt still needs, or its repeat is not due yet
    close_not_arrived,  // the release could overtake the close of an attempt
    nothing_held,
    connection_unsafe,  // a pooled connection on which bytes or a close of its peer may be pending
    answer_pending,     // a client connection with a request that has no final answer yet
    shutting_down,      // a request that arrived too late after SIGTERM to be served to its end
    still_accepting,    // requests may still arrive on open connections
    work_pending,       // open requests, attempts, releases or unsent answers
};
inline constexpr std::size_t kDenialCount = static_cast<std::size_t>(Denial::work_pending) + 1;
// A short text for logs and metrics.
const char* text_of(Denial denial);

// Conditions that must hold at run time, whatever servers, clients, the network and the operating system do.
enum class Invariant {
    state_released_in_time,   // a held state is taken or a release is written within the configured time
    deadline_not_overstated,  // the deadline sent to a server is not later than that of the client
    effect_at_most_once,      // a non-idempotent request is not written again once it may have run
    answered_before_close,    // no client connection is closed under a request that has been read
};
inline constexpr std::size_t kInvariantCount = static_cast<std::size_t>(Invariant::answered_before_close) + 1;
const char* text_of(Invariant invariant);

class SendGuard {
  public:
    // `release_within`: time limit for a held state to be taken or released; 0: no limit.
    explicit SendGuard(Duration release_within) : release_within_(release_within) {}
    void set_release_within(Duration release_within) { release_within_ = release_within; }

    // ---- attempts

    struct AttemptStart {
        bool answered = false;           // with a final answer, or by a stream that has begun
        bool attempt_in_flight = false;  // another attempt of the same request
        bool may_have_run = false;
        Effect effect = Effect::pure;
        std::uint32_t attempts = 0, max_attempts = 0;  // attempts of the request, including this one
        Duration time_left;                            // until the request's deadline
    };
    Denial may_start(const AttemptStart& facts);

    struct AttemptWrite {
        bool client_gone = false;
        Instant now, write_by;
        Effect effect = Effect::pure;
        bool may_have_run = false;
    };
    // To be called right before the first byte of the attempt is written, however long connecting took.
    Denial may_write(const AttemptWrite& facts);

    // How long a cancelled attempt still counts as in flight: until its close has reached its server. An
    // attempt on another server before that would be a duplicate.
    static Duration close_travel_time();

    // ---- held states

    // Whether a release may be written now. An attempt that was written but not answered may lie unread in
    // the socket of a hanging process, or on a connection that has fallen silent, so it delays a release only
    // until the end of the lease. A release that was sent while an attempt may be waiting for the state has
    // to be repeated after that attempt's end.
    Denial may_release(const HoldLedger& ledger, RequestKey request, Instant now);

    // Time limit for the rest of an answer that has begun and is not a stream; zero: none. By then the server
    // has done its work, and the state it may hold is held already.
    Duration answer_completion_time() const;

    // ---- connections and the process

    struct PooledConnection {
        bool nothing_received = false;  // neither bytes nor a close have arrived on it
        Duration idle_time;
    };
    Denial may_reuse(const PooledConnection& facts);

    struct ClientConnection {
        bool has_open_request = false;  // completely read, without a final answer
    };
    Denial may_close(const ClientConnection& facts);

    struct Shutdown {
        Duration since_requested;
        bool listening = true;
        std::size_t requests = 0, attempts = 0, releases = 0, unsent_answers = 0;
    };
    // Whether a request that has been read is served; otherwise it is rejected, which promises that it had no
    // effect.
    Denial may_accept(bool shutting_down, Duration since_requested);
    Denial may_stop_listening(const Shutdown& facts);
    Denial may_exit(const Shutdown& facts);

    // ---- counted at run time

    void count_violation(Invariant invariant) { ++violations_[static_cast<std::size_t>(invariant)]; }
    // Whether a state held since `held_since` should have been released by `now`.
    bool is_release_late(Instant held_since, Instant now) const;
    // Each of these checks one invariant and returns whether it holds. `held_since`: none if nothing was
    // held.
    bool check_released(std::optional<Instant> held_since, Instant released);
    bool check_deadline(Duration sent, Duration remaining);
    bool check_effect(Effect effect, bool may_have_run);

    std::uint64_t denied(Denial reason) const { return denials_[static_cast<std::size_t>(reason)]; }
    std::uint64_t violations(Invariant invariant) const {
        return violations_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t violations() const;

  private:
    Denial count(Denial denial);

    Duration release_within_;
    std::array<std::uint64_t, kDenialCount> denials_{};
    std::array<std::uint64_t, kInvariantCount> violations_{};
};

}  // namespace copperfront
