// How releases of held state are sent: to which server next, how many at a time, and when again. Every server
// accepts a release for a state held on any server, so it suffices to reach one that runs in time. Does no
// I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "units.h"

namespace copperfront::release_policy {

// Releases that are due.
// Without an answer for this long, twice as many further servers are called.
inline constexpr Duration kNextRoundDelay{80000};
inline constexpr Duration kReleaseCallTimeout{400000};  // for one call, including connecting
inline constexpr Duration kReleaseTimeout{10000000};
inline constexpr std::size_t kMaxConcurrentCalls = 24;
// After this many unanswered calls most of the fleet is assumed to hang: from then on only a few are made at
// a time.
inline constexpr std::uint32_t kSlowRoundThreshold = 64;
inline constexpr std::uint32_t kCallsPerSlowRound = 2;
inline constexpr Duration kNextSlowRoundDelay{200000};
// Delay of a release after an attempt that may be followed immediately by another one of the same request.
inline constexpr Duration kDelayBeforeRelease{50000};
// A server may hang once a message has been unanswered, and nothing received from it, for this long.
inline constexpr Duration kSuspectHungAfter{150000};

// Attempts that ended without an answer on a server that has sent nothing since. They are followed: their
// server is called until it answers, then releases are sent to it.
inline constexpr Duration kMaxFollowTime{30000000};
inline constexpr Duration kMaxFollowTimeAfterRemoval{10000000};  // once its server is no longer in the list
inline constexpr Duration kFollowCallTimeout{600000};  // then the server is called on another connection
inline constexpr Duration kFollowRetryDelay{500000};   // after a failed connection
// Once its server answers, a prefill may still take a while: a release is sent after the first delay, then at
// intervals shorter than the time a state may be held. A hand-over ends as soon as the server sees its close.
inline constexpr Duration kFirstReleaseDelay{250000}, kNextReleaseDelay{700000};
// Releases that the server answers before an attempt is no longer followed.
inline constexpr std::uint32_t kMaxPrefillAnswers = 4, kMaxHandOverAnswers = 2;

// Returns the stride with which servers that have never answered are called in a list of `entries`: each is
// visited once, and far from those called last, as neighbours often fail together, for example as a zone.
std::size_t list_stride(std::size_t entries);

// What is known about the server of an attempt that ended without an answer.
struct UnansweredAttemptServer {
    Instant attempt_started, attempt_ended;
    Instant address_since;  // when its present address was first known
    Instant last_heard;     // at that address; zero: never
    Instant hung_until;     // at that address; zero: it never has
};
// Whether the attempt was sent to a different address than its server has now. The process there may still
// run, and an answer from the present process says nothing about it.
bool has_moved(Instant attempt_started, Instant address_since);
// Whether the attempt may still be started or end on its server: the server hangs, or it did when the attempt
// ended and may still be busy with its work of that time, or it has a different address now.
bool may_end_late(const UnansweredAttemptServer& server);

}  // namespace copperfront::release_policy
