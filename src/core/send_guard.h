// The one place that decides whether something may be sent, repeated, postponed, closed or ended now, for
// attempts, releases, pooled connections, client connections and the process itself. Whoever is about to act
// hands over the facts and gets a verdict; every denial is counted by its reason. What must never happen is
// checked after the fact as well and counted as a violation: a count that is not zero is a fault of this
// program. Free of I/O and of a clock of its own; rules and slack are those of the platform's protocol.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "hold_ledger.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

// Why something may not be done now.
enum class Denial {
    none,
    client_gone,               // the client has closed or cancelled
    already_answered,          // the request has its final answer, or its stream has begun
    attempt_still_out,         // an earlier attempt of the request is not over yet
    effect_may_have_happened,  // a non-idempotent request whose earlier attempt may have run
    too_many_attempts,
    no_time_left,
    write_window_over,     // it was made for a time that has passed
    may_take_newer_state,  // a release that could take a state which an attempt in flight still needs
    close_not_arrived,     // a release that could overtake the close of an attempt
    nothing_held,
    connection_unsafe,  // a pooled connection that may hold bytes or an end of its peer
    answer_owed,        // a client connection with a request that has no final answer yet
    shutting_down,      // a request that came too late after SIGTERM to be served to its end
    still_accepting,    // requests may still come on connections that are open
    work_left,          // requests, attempts, releases or unsent answers
};
inline constexpr std::size_t kDenials = static_cast<std::size_t>(Denial::work_left) + 1;
// A short name for logs and metrics.
const char* text_of(Denial denial);

// What must hold at run time whatever servers, clients, network and system do.
enum class Invariant {
    state_released_in_time,   // a held state is taken or a release is written within the settings' time
    deadline_not_overstated,  // the time told to a server is what is left to the client
    effect_at_most_once,      // a non-idempotent request is not written again once it may have run
    answered_before_close,    // no client connection is closed under a request that has been read
};
inline constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::answered_before_close) + 1;
const char* text_of(Invariant invariant);

class SendGuard {
  public:
    // `release_within`: the time in which a held state has to be taken or released; 0: there is no such rule.
    explicit SendGuard(Span release_within) : release_within_(release_within) {}
    void change(Span release_within) { release_within_ = release_within; }

    // ---- attempts

    struct AttemptStart {
        bool answered = false;     // finally, or by a stream that has begun
        bool attempt_out = false;  // another one of the same request
        bool may_have_run = false;
        Effect effect = Effect::pure;
        std::uint32_t made = 0, most = 0;  // attempts of the request, this one included
        Span left;                         // of its time limit
    };
    Denial may_start(const AttemptStart& facts);

    struct AttemptWrite {
        bool client_gone = false;
        Instant now, write_by;
        Effect effect = Effect::pure;
        bool may_have_run = false;
    };
    // Asked right before its first byte is written, however long its connection took.
    Denial may_write(const AttemptWrite& facts);

    // How long an attempt that was called off still counts as out: until its close has reached its server. An
    // attempt elsewhere before that would be a second copy.
    static Span close_travel_time();

    // ---- held states

    // Whether a release is written now. A call that was written but not answered may lie unread in the socket
    // of a process that hangs, or on a connection that has fallen silent, so it holds up a release only to
    // the end of the lease; one that was sent while an attempt may wait for the state is owed again after
    // that attempt's end.
    Denial may_release(const HoldLedger& ledger, RequestKey request, Instant now);

    // How long the rest of an answer that has begun is waited for, where it is no stream; zero: without end.
    // The server has done its work by then, and what it holds is held already.
    Span answer_completion_time() const;

    // ---- connections and the process

    struct PooledConnection {
        bool quiet = false;  // neither bytes nor an end have come on it
        Span rested;
    };
    Denial may_reuse(const PooledConnection& facts);

    struct ClientConnection {
        bool request_open = false;  // read whole, without a final answer
    };
    Denial may_close(const ClientConnection& facts);

    struct Shutdown {
        Span since_asked;
        bool listening = true;
        std::size_t requests = 0, attempts = 0, releases = 0, unsent_answers = 0;
    };
    // Whether a request that has been read is served; else it is rejected, which promises no effect.
    Denial may_accept(bool shutting_down, Span since_asked);
    Denial may_stop_listening(const Shutdown& facts);
    Denial may_exit(const Shutdown& facts);

    // ---- counted at run time

    void violated(Invariant invariant) { ++violations_[static_cast<std::size_t>(invariant)]; }
    // Whether what has been held since then should have been released by now.
    bool is_release_late(Instant held_since, Instant now) const;
    // Each checks one invariant and returns whether it holds. `held_since`: none where nothing was held.
    bool check_released(std::optional<Instant> held_since, Instant released);
    bool check_deadline(Span told, Span left);
    bool check_effect(Effect effect, bool may_have_run);

    std::uint64_t denied(Denial reason) const { return denials_[static_cast<std::size_t>(reason)]; }
    std::uint64_t violations(Invariant invariant) const {
        return violations_[static_cast<std::size_t>(invariant)];
    }
    std::uint64_t violations() const;

  private:
    Denial count(Denial denial);

    Span release_within_;
    std::array<std::uint64_t, kDenials> denials_{};
    std::array<std::uint64_t, kInvariants> violations_{};
};

}  // namespace copperfront
