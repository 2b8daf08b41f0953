// How releases of held state are sent: to which server next, how many at once, and when again. Every server
// releases what is held for a request anywhere, so what counts is to reach one that runs in time. Free of
// I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "units.h"

namespace copperfront::release_policy {

// A release that is owed.
inline constexpr Span kNextRoundAfter{80000};  // unanswered so long, twice as many further servers are told
inline constexpr Span kAnswerWithin{400000};   // for one call, connecting included
inline constexpr Span kGiveUpAfter{10000000};
inline constexpr std::size_t kMostCallsAtOnce = 24;
// Once so many calls have not been answered, most of the fleet hangs: from then on a few are made at a time.
inline constexpr std::uint32_t kManyTries = 64;
inline constexpr std::uint32_t kCallsOfSlowRound = 2;
inline constexpr Span kNextSlowRoundAfter{200000};
// After an attempt that may be followed at once by another one of the same request.
inline constexpr Span kBeforeFollowing{50000};
// With a message unanswered and nothing heard since, a server may hang.
inline constexpr Span kMayHangAfter{150000};

// An attempt that ended unheard at a server which has not been heard from since.
inline constexpr Span kFollowedAtMost{30000000};
inline constexpr Span kFollowedAfterRemoval{10000000};  // where its server is no longer in the list
inline constexpr Span kFollowedAnswerWithin{600000};    // else it is asked on another connection
inline constexpr Span kAskAgainAfter{500000};           // where the connection failed
// Once its server answers, a prefill may take a while: a release after the first time, and then in steps that
// are shorter than a state may be held. A hand-over is over as soon as the server sees its close.
inline constexpr Span kFirstReleaseAfter{250000}, kNextReleaseAfter{700000};
inline constexpr std::uint32_t kMostAnswersOfPrefill = 4, kMostAnswersOfHandOver = 2;

// Servers that were never heard from are told in steps of this length through the list, of so many entries:
// each once, and far from those told last, as neighbours often fail together, like a zone.
std::size_t step_through_list(std::size_t entries);

// What is known of the server of an attempt that ended unheard.
struct UnheardAttemptServer {
    Instant attempt_started, attempt_over;
    Instant address_since;  // when it was first known at its present address
    Instant last_heard;     // at that address; zero: never
    Instant hung_until;     // the same; zero: it never has
};
// Whether the attempt went to another address than its server has now. What ran there may run on, and what
// the present process answers says nothing of it.
bool has_moved(Instant attempt_started, Instant address_since);
// Whether the attempt may still be taken up or end there: the server hangs, or it did when the attempt ended
// and may be busy with what it had in hand then, or it has another address by now.
bool may_end_late(const UnheardAttemptServer& server);

}  // namespace copperfront::release_policy
