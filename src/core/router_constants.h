// Constants of the router, and small formulas that several of its files use. Only those files include it.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "router.h"

namespace copperfront {

inline constexpr Duration kMs{1000};
inline constexpr std::size_t kTracedCandidates = 8;  // of a choice, written to a trace
inline constexpr double kInfinite = std::numeric_limits<double>::infinity();

inline constexpr double kMaxMemoryShare = 0.9;
inline constexpr Duration kFullBackoff = kMs * 1000;
// Load, in typical prompts, by which a server with a cached prefix may exceed the least loaded one.
inline constexpr double kAffinityMarginPrompts = 1.0;

// Choice of servers. Candidates that differ by less than a tie margin count as equal; among these the shorter
// transfer is favoured.
inline constexpr double kReportDeviations = 2.0;  // added to that margin: mean deviations of reported queues
// A shorter queue elsewhere must save this many times the tokens that are prefilled again there.
inline constexpr double kAffinityLeaveFactor = 2.0;
// Tie margin between prefill servers, in typical prompts; and preferred servers of a shared prefix for each
// server that its traffic keeps busy.
inline constexpr double kPrefillTiePrompts = 0.25, kPreferredPerBusyServer = 2.0;
inline constexpr double kPriorArrivals = 16.0, kPrefillStretch = 2.0, kMinWeight = 1e-9;
// Pairs of requests with the same shared prefix, and all pairs, that are assumed before any have arrived.
inline constexpr double kPriorMatchingPairs = 0.5, kPriorPairs = 8.0;
// In streams of the request's size; wider ties do worse under overload.
inline constexpr double kDecodeTieStreams = 3.0;
// A server counts as connected for this share of the time for which an unused connection is kept. From this
// number of connected decode servers on, a tie goes to one of them.
inline constexpr double kConnectedIdleShare = 0.5;
inline constexpr std::size_t kMinConnectedServers = 40;
inline constexpr Duration kFleetShareInterval = kMs * 1000;

// Outlier ejection. Evidence is added up as log odds. The constants are the least weights of a sample in
// averages of one server, of a role and of all requests; how often a failing server fails, the least failure
// rate that is assumed of a server, and from which distance on, as the log of the ratio to its peers' pace, a
// server counts as slow. One sample alone ejects no server.
inline constexpr double kServerSampleWeight = 0.3, kRoleSampleWeight = 0.05, kRequestSampleWeight = 0.02;
inline constexpr double kOutlierFailureRate = 0.6, kMinFailureRate = 0.02, kPaceSlack = 0.9,
                        kMaxSlownessEvidence = 2.3, kEjectionScore = 4.6;
inline constexpr Duration kFirstEjectionTime = kMs * 1000, kMaxEjectionTime = kMs * 8000;
// The largest share of a role that failures and slowness may eject.
inline constexpr double kMaxEjectedShare = 0.5;
inline constexpr std::uint64_t kMinPaceSamples = 8, kMinSilenceSamples = 20;
// Cost of a prefill whose whole prompt is cached, in typical prompts.
inline constexpr double kMinPrefillPrompts = 0.1;

// Silence of a server: far beyond the usual time to an answer, with a lower bound as a share of the latency
// goal. Suspension of a category at a server: first and longest time.
inline constexpr double kSilenceDeviations = 6.0, kSilencePaceFactor = 4.0, kSilenceGoalShare = 0.5;
inline constexpr Duration kSilenceCheckInterval = kMs * 20, kFirstSuspension = kMs * 4000,
                          kMaxSuspension = kMs * 16000;

// Slow start: the share of the full budget that is planned for, and the share of that which may be spent in a
// burst.
inline constexpr double kSlowStartShare = 0.8, kSlowStartBurstShare = 0.35;

// The share of the latency goal that a prefill may take, and the share of that for a prompt with nothing
// cached.
inline constexpr double kPrefillGoalShare = 0.6, kUncachedGoalShare = 0.5;

inline constexpr double kRateWindowS = 10.0;
inline constexpr double kPaceFadeGoals = 0.5;      // latency goals in which a measured pace fades
inline constexpr double kOverloadGoalUsage = 0.4;  // first-token time over the latency goal
// Burst of a client group: seconds of its rate, and standard deviations that are allowed for chance.
inline constexpr double kQuotaBurstS = 2.0, kQuotaBurstDeviations = 3.0;
// Time that probed prefill servers have to answer, as a share of the latency goal.
inline constexpr double kProbeGoalShare = 1.0 / 128;
// What probes may cost per request, in the unit of Terms::probe_fee; and the most probes per request.
inline constexpr double kProbeSpendPerRequest = 0.008, kMaxProbesPerRequest = 3.0;
inline constexpr std::size_t kRememberedPrefixes = 20000;  // in each of two generations
inline constexpr double kTokensPerNoteUnit = 100;          // stream tokens per unit of a note to peers

// Bound on the servers examined for waiting requests: this many in each interval.
inline constexpr Duration kServerCheckInterval = kMs * 20;
inline constexpr std::size_t kMaxServerChecks = 150000;

inline constexpr TimerKey kSweepKey = 1, kListKey = 2, kSilenceCheckKey = 3, kRequestKeys = TimerKey{1} << 62;

inline void add_sample(ExponentialAverage& average, double sample, double min_weight = kRequestSampleWeight) {
    average.add_sample(sample, min_weight);
}

// The burst that a client group may send at this gateway. One gateway of many gets few requests, which chance
// bunches.
inline double quota_burst(double rate) {
    const double expected = rate * kQuotaBurstS;
    return std::max(1.0, expected + kQuotaBurstDeviations * std::sqrt(expected));
}

inline double seconds(Duration s) { return s.ms() / 1000; }

// Whether the request has just found this server failing, or is to avoid it.
inline bool is_avoided(const RoutedRequest& q, ServerIndex s) {
    return std::find(q.avoided_servers.begin(), q.avoided_servers.end(), s) != q.avoided_servers.end();
}

// A time that fast samples take. After an overload the mean stays high for long at a gateway with few
// requests.
inline double quick_time(const ExponentialAverage& time) { return std::max(0.0, time.mean - time.deviation); }

}  // namespace copperfront
