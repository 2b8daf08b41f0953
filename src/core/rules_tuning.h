// Tuned values of the rules and the small formulas that several of their files use. Only those files include
// it.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "rules.h"

namespace copperfront {

inline constexpr Span kMs{1000};
inline constexpr std::size_t kSightsTold = 8;  // of a choice, to a trace
inline constexpr double kInfinite = std::numeric_limits<double>::infinity();

// Settled by the design.
inline constexpr double kRoomShare = 0.9;
inline constexpr Span kFullFor = kMs * 1000;
inline constexpr double kKeptMargin = 1.0;  // typical prompts

// Left open by the design: what counts as a tie, in which the shorter way counts for more.
inline constexpr double kScatter = 2.0;    // mean deviations of reported loads
inline constexpr double kLeaveCost = 2.0;  // times the tokens read anew that a shorter queue must save
inline constexpr double kReaderTie = 0.25,
                        kHomesPart = 2.0;  // typical prompts; homes for each reader kept busy
inline constexpr double kFewArrivals = 16.0, kReadStretch = 2.0, kLeastPart = 1e-9;
inline constexpr double kAlikeBefore = 0.5,
                        kPairsBefore = 8.0;  // queries that begin alike, before any have been met
inline constexpr double kWriterTie = 3.0;    // streams of the size in hand; wider ties lose under overload
// Of the time that an unused connection is kept: in which a server counts as connected. And from how many
// connected decode servers on a tie goes to one of them.
inline constexpr double kConnectedPart = 0.5;
inline constexpr std::size_t kConnectedEnough = 40;
inline constexpr Span kWeighEvery = kMs * 1000;

// Health. Evidence is weighed as odds: how often an ill server fails, how often one must be thought to fail
// at the least, and what is far enough from its peers' pace; one sample alone shuts out nobody.
inline constexpr double kLearn = 0.3, kLearnPool = 0.05,
                        kLearnUsual = 0.02;  // of one server, a role, all queries
inline constexpr double kIllFails = 0.6, kFewFail = 0.02, kSlack = 0.9, kMostSlow = 2.3, kShutDoubt = 4.6;
inline constexpr Span kShutFirst = kMs * 1000, kShutMost = kMs * 8000;
inline constexpr double kShutPart = 0.5;  // the most of a role that plain failures and slowness may shut out
inline constexpr std::uint64_t kPaceSamples = 8, kUsualSamples = 20;
inline constexpr double kLeastRead = 0.1;  // typical prompts that a read costs even where all of it is kept

// Silence: far past the usual, with a bound from the latency goal; of a category, its first and longest time.
inline constexpr double kSpreads = 6.0, kSilentFactor = 4.0, kSilentGoal = 0.5;
inline constexpr Span kWatchEvery = kMs * 20, kMuteFirst = kMs * 4000, kMuteMost = kMs * 16000;

// Cold servers: the part of a full budget that is planned for, and how much of it may go at once.
inline constexpr double kColdPart = 0.8, kColdBurst = 0.35;

// The part of the latency goal that a read may fill, and of that where nothing is kept.
inline constexpr double kFillGoal = 0.6, kFillUnkept = 0.5;

inline constexpr double kRateWindowS = 10.0;
inline constexpr double kFresh = 0.5;     // latency goals in which what a read took tells of the next
inline constexpr double kStrained = 0.4;  // first-token time over the latency goal
inline constexpr double kShareBurstS = 2.0,
                        kShareChance = 3.0;    // seconds of a share; deviations that are chance
inline constexpr double kAskPart = 1.0 / 128;  // of the latency goal that asked readers have to answer in
inline constexpr double kProbeSpend = 0.008,
                        kProbesMost = 3.0;        // points of the result, and probes, for a query
inline constexpr std::size_t kTextsKept = 20000;  // sessions remembered in each of two generations
inline constexpr double kFigureTold = 100;        // tokens

// Looks at servers for requests that wait: so many in a while of this length.
inline constexpr Span kLooksEvery = kMs * 20;
inline constexpr std::size_t kMostLooks = 150000;

inline constexpr TimerKey kSweepKey = 1, kListKey = 2, kWatchKey = 3, kQueryKeys = TimerKey{1} << 62;

inline void learn(Learned& l, double sample, double least = kLearnUsual) { l.learn(sample, least); }

// What a client group may send at once here: a gateway among many is sent few queries, which chance bunches.
inline double share_burst(double rate) {
    const double usual = rate * kShareBurstS;
    return std::max(1.0, usual + kShareChance * std::sqrt(usual));
}

inline double seconds(Span s) { return s.ms() / 1000; }

// What it has just found bad, or came to get away from.
inline bool avoids(const Query& q, ServerIndex s) {
    return std::find(q.avoid.begin(), q.avoid.end(), s) != q.avoid.end();
}

// What a quick one takes: a jam that is over still fills the means of a gateway that is sent little.
inline double quick_of(const Learned& l) { return std::max(0.0, l.mean - l.spread); }

}  // namespace copperfront
