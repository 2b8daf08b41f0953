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
// kReportDeviations mean deviations of the queues that servers of the same kind report are added to it.
inline constexpr double kAffinityMarginPrompts = 1.0;

// Choice of servers. Candidates that differ by less than a tie margin count as equal; among these the shorter
// transfer is favoured.
inline constexpr double kReportDeviations = 2.0;  // see kAffinityMarginPrompts
// A shorter queue elsewhere must save this many times the tokens that are prefilled again there.
inline constexpr double kAffinityLeaveFactor = 2.0;
// kPrefillTiePrompts: tie margin between prefill servers, in typical prompts. kPreferredPerBusyServer:
// preferred servers of a shared prefix for each server that its traffic keeps busy.
inline constexpr double kPrefillTiePrompts = 0.25, kPreferredPerBusyServer = 2.0;
// kPriorArrivals: weight of the assumed match rate, in arrivals. kMaxPrefillShareFactor: limit to the factor
// by which a cell's prefill share grows when prefills are shifted to cells with decode servers, before the
// shares are scaled to a sum of 1. kMinWeight keeps every server selectable.
inline constexpr double kPriorArrivals = 16.0, kMaxPrefillShareFactor = 2.0, kMinWeight = 1e-9;
// Pairs of requests with the same shared prefix, and all pairs, that are assumed before any have arrived.
inline constexpr double kPriorMatchingPairs = 0.5, kPriorPairs = 8.0;
// In streams of the request's size; wider ties do worse under overload.
inline constexpr double kDecodeTieStreams = 3.0;
// A server counts as connected for this share of the time for which an unused connection is kept. From this
// number of connected decode servers on, a tie goes to one of them.
inline constexpr double kConnectedIdleShare = 0.5;
inline constexpr std::size_t kMinConnectedServers = 40;
inline constexpr Duration kFleetShareInterval = kMs * 1000;

// Outlier ejection. Evidence is added up as log odds. The sample weights are the least weight of a sample in
// an average of one server, of one role and of all requests.
inline constexpr double kServerSampleWeight = 0.3, kRoleSampleWeight = 0.05, kRequestSampleWeight = 0.02;
// kOutlierFailureRate: assumed failure rate of a failing server. kMinFailureRate: least failure rate assumed
// of the other servers of a role. kPaceSlack: a server counts as slow from this log of the ratio of its pace
// to the role's on. kMaxSlownessEvidence: most evidence from one slow sample. kEjectionScore: log odds at
// which a server is ejected; no single sample reaches it (an unreachable server is ejected at once).
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

// Slow start. kSlowStartShare: share of a cold server's overload limit that all gateways together plan to
// send. kSlowStartBurstShare: share of this that may be sent as one burst; the rest is the refill rate.
inline constexpr double kSlowStartShare = 0.8, kSlowStartBurstShare = 0.35;

// The share of the latency goal that a prefill may take, and the share of that for a prompt with nothing
// cached.
inline constexpr double kPrefillGoalShare = 0.6, kUncachedGoalShare = 0.5;

// Time constant with which counts of recent traffic and measured hand-over times decay.
inline constexpr double kRateTimeConstantS = 10.0;
inline constexpr double kPaceFadeGoals = 0.5;  // latency goals in which a measured pace fades
// Quotas are enforced while the average of first-token time / latency goal is above this.
inline constexpr double kOverloadGoalUsage = 0.4;
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

// The burst that a client group may send at this gateway. One gateway of many gets few requests, whose
// arrivals bunch by chance.
inline double quota_burst(double rate) {
    const double expected = rate * kQuotaBurstS;
    return std::max(1.0, expected + kQuotaBurstDeviations * std::sqrt(expected));
}

inline double seconds(Duration s) { return s.ms() / 1000; }

// Whether the request has just found this server failing, or is to avoid it.
inline bool is_avoided(const RoutedRequest& q, ServerIndex s) {
    return std::find(q.avoided_servers.begin(), q.avoided_servers.end(), s) != q.avoided_servers.end();
}

// Low estimate of a time: mean less mean deviation. After an overload the mean stays high for long at a
// gateway with few requests.
inline double quick_time(const ExponentialAverage& time) { return std::max(0.0, time.mean - time.deviation); }

}  // namespace copperfront
