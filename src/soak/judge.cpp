#include "soak/judge.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace copperfront::soak {
namespace {

constexpr Microseconds kMs = 1000;
// Tolerances of the protocol's rules, and what a busy machine adds to the times measured here.
constexpr Microseconds kMachineSlack = 120 * kMs;
constexpr Microseconds kHoldSlack = 300 * kMs + kMachineSlack;
constexpr Microseconds kAnswerAfterDeadline = 500 * kMs + kMachineSlack;
constexpr Microseconds kSendAfterClose = 100 * kMs + kMachineSlack;
constexpr Microseconds kTimeLeftSlack = 150 * kMs + kMachineSlack;
constexpr Microseconds kAcceptsAfterSigterm = 700 * kMs;
constexpr Microseconds kResetPropagation = 3 * kMs;
constexpr Microseconds kRecordOrderSlack = 3 * kMs;
// Until a client that has stopped in the middle of a request gets an error or a close.
constexpr Microseconds kStalledClientLimit = 3000 * kMs + kMachineSlack;
// A change of the list counts as announced this long after discovery had it, whatever happened to watches.
constexpr Microseconds kNotifiedWithin = 6000 * kMs;
constexpr Microseconds kDrainGrace = 250 * kMs;
constexpr Microseconds kDrainSlack = 50 * kMs;
// What a slow network or a stopped process may add to the time between sending and reading.
constexpr Microseconds kTransitLimit = 5000 * kMs;
constexpr std::size_t kMaxFindingsShown = 12;
constexpr double kMaxMemoryShare = 0.95;  // of a gateway's limit

struct Attempt {
    const ServerRecord* arrived = nullptr;
    const ServerRecord* outcome = nullptr;  // ended, never_ran or closed; null: none
    bool never_ran = false, held = false, closed = false;
};

// All records of one request.
struct RequestHistory {
    const RequestRecord* client = nullptr;
    std::vector<const ServerRecord*> events;  // by time
    std::vector<Attempt> attempts;
};

bool overlaps(const std::vector<FaultInterval>& intervals, Microseconds from, Microseconds until) {
    return std::any_of(intervals.begin(), intervals.end(), [from, until](const FaultInterval& interval) {
        return interval.from <= until && interval.until >= from;
    });
}

class Judge {
  public:
    Judge(const Records& records, const JudgeOptions& options) : records_(records), options_(options) {}

    Judgement run() {
        collect_histories();
        for (const auto& [request, history] : histories_) {
            check_final_answer(request, history);
            check_held_state(request, history);
            check_effects(request, history);
            check_after_close(request, history);
            check_reported_time_left(request, history);
            check_withdrawn_servers(request, history);
        }
        check_stalled_clients();
        check_gateways();
        return std::move(judgement_);
    }

  private:
    void add_finding(const std::string& rule, const std::string& request, const std::string& what) {
        judgement_.findings.push_back({rule, request, what});
    }

    void collect_histories() {
        for (const RequestRecord& request : records_.requests) histories_[request.request].client = &request;
        std::vector<const ServerRecord*> sorted;
        for (const ServerRecord& record : records_.servers) sorted.push_back(&record);
        std::stable_sort(sorted.begin(), sorted.end(),
                         [](const ServerRecord* a, const ServerRecord* b) { return a->at < b->at; });
        std::map<std::pair<std::string, std::uint64_t>, std::pair<std::string, std::size_t>> open;
        for (const ServerRecord* record : sorted) {
            servers_.insert(record->server);
            RequestHistory& history = histories_[record->request];
            history.events.push_back(record);
            const auto call = std::make_pair(record->server, record->call);
            if (record->event == ServerEvent::arrived) {
                open[call] = {record->request, history.attempts.size()};
                history.attempts.push_back({record});
                continue;
            }
            const auto it = open.find(call);
            if (it == open.end() || it->second.first != record->request) continue;
            Attempt& attempt = history.attempts[it->second.second];
            attempt.held |= record->event == ServerEvent::held;
            attempt.never_ran |= record->event == ServerEvent::never_ran;
            attempt.closed |= record->event == ServerEvent::closed;
            const bool has_ended = record->event == ServerEvent::ended || attempt.never_ran || attempt.closed;
            if (has_ended && attempt.outcome == nullptr) attempt.outcome = record;
        }
    }

    const GatewayLife* life_of(const RequestRecord& request) const {
        for (const GatewayLife& life : records_.gateways) {
            if (life.gateway == request.gateway && life.life == request.gateway_life) return &life;
        }
        return nullptr;
    }
    // The time until which the gateway that has the request is known to run.
    Microseconds runs_until(const RequestRecord& request) const {
        const GatewayLife* const life = life_of(request);
        return life != nullptr && life->killed != 0 ? life->killed : records_.ended;
    }
    Microseconds terminated_at(const RequestRecord& request) const {
        const GatewayLife* const life = life_of(request);
        return life != nullptr ? life->terminated : 0;
    }

    void check_final_answer(const std::string& id, const RequestHistory& history) {
        if (history.client == nullptr) return;
        const RequestRecord& request = *history.client;
        ++judgement_.requests;
        judgement_.completed += request.fate == RequestOutcome::completed;
        judgement_.rejected += request.fate == RequestOutcome::rejected;
        judgement_.failed += request.fate == RequestOutcome::failed || request.fate == RequestOutcome::broken;
        judgement_.left += request.fate == RequestOutcome::client_left;
        if (request.corrupted) {
            return add_finding("lost", id, "its answer was corrupted on the way through the gateway");
        }
        if (request.fate == RequestOutcome::client_left) return;
        const bool killed_while_open =
            runs_until(request) < request.deadline + kAnswerAfterDeadline &&
            runs_until(request) <= std::max(request.ended, request.sent) + kMachineSlack;
        if (request.fate == RequestOutcome::closed_unanswered) {
            return check_closed(id, history, killed_while_open);
        }
        // A request behind another answer of its connection can't be answered before that answer has ended.
        const bool is_behind_another_answer = request.is_pipelined && history.attempts.empty();
        if (is_behind_another_answer && request.fate != RequestOutcome::broken) return;
        if (request.fate == RequestOutcome::open) {
            if (runs_until(request) > request.deadline + kAnswerAfterDeadline && !has_streamed(request)) {
                add_finding("lost", id, "no final answer by its deadline");
            }
            return;
        }
        if (request.fate == RequestOutcome::broken && killed_while_open) {
            return check_late_stream(id, request);
        }
        if (request.first_byte > request.deadline + kAnswerAfterDeadline) {
            add_finding("lost", id, "its answer came long after its deadline");
        }
    }
    // The deadline is for the first token; a stream may continue after it.
    static bool has_streamed(const RequestRecord& request) { return request.first_byte != 0; }

    void check_closed(const std::string& id, const RequestHistory& history, bool killed_while_open) {
        const RequestRecord& request = *history.client;
        if (killed_while_open) {
            const bool late =
                terminated_at(request) != 0 && request.sent > terminated_at(request) + kAcceptsAfterSigterm;
            if (late && !history.attempts.empty()) {
                add_finding("lost", id, "taken over 0.7 s after SIGTERM and unanswered at the kill");
            }
            return;
        }
        // On a connection that was open before, a close may cross a request that has not been read.
        if (!history.attempts.empty()) {
            return add_finding("lost", id, "sent to a server, and closed unanswered");
        }
        if (request.on_new_connection && !request.is_pipelined && terminated_at(request) == 0) {
            add_finding("lost", id, "a new connection was closed unanswered");
        }
    }

    void check_late_stream(const std::string& id, const RequestRecord& request) {
        if (terminated_at(request) != 0 && request.sent > terminated_at(request) + kAcceptsAfterSigterm) {
            add_finding("lost", id, "a stream taken over 0.7 s after SIGTERM was under way at the kill");
        }
    }

    // The time of a held state counts from the last hold or outcome, and only while no attempt that has
    // arrived is in flight.
    void check_held_state(const std::string& id, const RequestHistory& history) {
        if (history.client == nullptr) return;
        bool held = false;
        std::string holder;
        std::set<Call> in_flight;
        WaitingHandOvers waiting;
        Microseconds since = 0;
        const Microseconds killed = runs_until(*history.client);
        const auto check = [&](Microseconds now) {
            if (!held || !in_flight.empty()) return;
            const Microseconds time = std::min(now, killed) - since;
            judgement_.longest_held = std::max(judgement_.longest_held, time);
            if (time <= options_.release_within + kHoldSlack) return;
            held = false;
            if (has_died(holder, since, since + time)) return;
            // No server could have received a release.
            if (all_have_faults(since + options_.release_within * 7 / 10, since + options_.release_within)) {
                all_were_unavailable_ = true;
                return;
            }
            add_finding("held state", id, "held for " + std::to_string(time / kMs) + " ms");
        };
        for (const ServerRecord* event : history.events) {
            check(event->at);
            const auto call = std::make_pair(event->server, event->call);
            switch (event->event) {
                case ServerEvent::arrived:
                    in_flight.insert(call);
                    if (event->role == Role::decode) waiting[call] = event->at;
                    break;
                case ServerEvent::held:
                    held = true;
                    holder = event->server;
                    since = end_of_fault(holder, event->at);
                    break;
                case ServerEvent::taken:
                    waiting.erase(call);
                    held = false;
                    break;
                // A release during the wait of an attempt frees nothing, whatever its server records; the
                // time starts again with the outcome of that attempt.
                case ServerEvent::released:
                    held = held && has_waiting_hand_over(waiting, event->at);
                    break;
                case ServerEvent::release_kept:
                    break;
                case ServerEvent::never_ran:
                case ServerEvent::ended:
                case ServerEvent::closed:
                    in_flight.erase(call);
                    waiting.erase(call);
                    since = std::max(since, end_of_fault(event->server, event->at));
                    break;
            }
        }
        check(records_.ended);
    }

    // Hand-overs that have arrived and have not taken their state, with the time of their arrival.
    using Call = std::pair<std::string, std::uint64_t>;
    using WaitingHandOvers = std::map<Call, Microseconds>;
    // Two servers may record what they do at the same moment in either order.
    static bool has_waiting_hand_over(const WaitingHandOvers& waiting, Microseconds at) {
        return std::any_of(waiting.begin(), waiting.end(),
                           [at](const auto& entry) { return at - entry.second > kRecordOrderSlack; });
    }

    // No server ran, or could be reached, for all of this time.
    bool all_have_faults(Microseconds from, Microseconds until) const {
        return std::all_of(servers_.begin(), servers_.end(), [&](const std::string& server) {
            const auto it = records_.server_faults.find(server);
            return it != records_.server_faults.end() &&
                   std::any_of(it->second.begin(), it->second.end(),
                               [from, until](const FaultInterval& interval) {
                                   return interval.from <= from && until <= interval.until;
                               });
        });
    }

    // An answer that is lost on its way reaches nobody: for its gateway the attempt is in flight until the
    // path to the server works again, or the gateway closes the connection.
    Microseconds end_of_fault(const std::string& server, Microseconds at) const {
        Microseconds end = at;
        const auto it = records_.server_faults.find(server);
        if (it == records_.server_faults.end()) return end;
        for (const FaultInterval& interval : it->second) {
            if (interval.from <= at && at <= interval.until) end = std::max(end, interval.until);
        }
        return end;
    }

    bool has_died(const std::string& server, Microseconds from, Microseconds until) const {
        const auto it = records_.server_deaths.find(server);
        return it != records_.server_deaths.end() &&
               std::any_of(it->second.begin(), it->second.end(),
                           [from, until](Microseconds at) { return from <= at && at <= until; });
    }

    static bool is_hand_over(const Attempt& attempt) { return attempt.arrived->role == Role::decode; }
    bool has_fault(const std::string& server, Microseconds from, Microseconds until) const {
        const auto it = records_.server_faults.find(server);
        return it != records_.server_faults.end() && overlaps(it->second, from, until);
    }

    void check_effects(const std::string& id, const RequestHistory& history) {
        if (history.client == nullptr) return;
        const Effect effect = history.client->effect;
        const Attempt* first = nullptr;
        for (const Attempt& attempt : history.attempts) {
            if (!is_hand_over(attempt) || attempt.never_ran) continue;
            if (first == nullptr) {
                first = &attempt;
                continue;
            }
            if (effect == Effect::effectful) add_finding("duplicate", id, "a second attempt may have run");
            const Microseconds apart = attempt.arrived->at - first->arrived->at;
            if (effect == Effect::receipted && apart > options_.repeat_window + kMachineSlack) {
                add_finding("duplicate", id,
                            "sent again " + std::to_string(apart / kMs) + " ms after the first");
            }
        }
        if (first != nullptr && effect == Effect::effectful &&
            history.client->fate == RequestOutcome::rejected) {
            add_finding("duplicate", id, "rejected after an attempt that may have run");
        }
        check_overlapping_attempts(id, history);
    }

    // An attempt must not arrive while an earlier one is in flight on an open connection.
    void check_overlapping_attempts(const std::string& id, const RequestHistory& history) {
        for (std::size_t n = 1; n < history.attempts.size(); ++n) {
            const Attempt& earlier = history.attempts[n - 1];
            const Attempt& later = history.attempts[n];
            const Microseconds ended = earlier.outcome != nullptr ? earlier.outcome->at : records_.ended;
            // A reset by the network reaches both ends at once, but each notices it at a time of its own.
            if (ended <= later.arrived->at + kResetPropagation || earlier.never_ran || later.never_ran) {
                continue;
            }
            // The call was in the socket buffer of a server that hung, and was read once it ran again.
            if (has_fault(later.arrived->server, later.arrived->at - kMachineSlack, later.arrived->at)) {
                continue;
            }
            if (has_died(earlier.arrived->server, earlier.arrived->at, ended)) continue;
            // A server that hangs or is cut off records late what happened on its connection.
            if (has_fault(earlier.arrived->server, earlier.arrived->at, ended)) continue;
            add_finding("duplicate", id,
                        "an attempt arrived " + std::to_string((ended - later.arrived->at) / kMs) +
                            " ms before the earlier one ended");
        }
    }

    void check_after_close(const std::string& id, const RequestHistory& history) {
        if (history.client == nullptr || history.client->fate != RequestOutcome::client_left) return;
        const Microseconds left = history.client->ended;
        for (const Attempt& attempt : history.attempts) {
            const Microseconds after = attempt.arrived->at - left;
            if (after <= kSendAfterClose || has_fault(attempt.arrived->server, left, attempt.arrived->at)) {
                continue;
            }
            add_finding("lost", id,
                        "an attempt began " + std::to_string(after / kMs) + " ms after its client left");
        }
    }

    void check_reported_time_left(const std::string& id, const RequestHistory& history) {
        if (history.client == nullptr) return;
        for (const Attempt& attempt : history.attempts) {
            const ServerRecord& arrived = *attempt.arrived;
            if (arrived.time_left_ms < 0 ||
                has_fault(arrived.server, arrived.at - kTransitLimit, arrived.at)) {
                continue;
            }
            const Microseconds excess =
                arrived.time_left_ms * kMs - std::max<Microseconds>(0, history.client->deadline - arrived.at);
            if (excess > kTimeLeftSlack) {
                add_finding(
                    "deadline", id,
                    "reported " + std::to_string(excess / kMs) + " ms more to a server than were left");
            }
        }
    }

    // The time until which an attempt may be sent to a server that is withdrawn, counted from when its
    // gateway was notified of it, or counts as notified.
    Microseconds latest_send_time(const RequestHistory& history, const FaultInterval& change) const {
        Microseconds at = change.from + kNotifiedWithin + kDrainGrace;
        if (history.client == nullptr || change.list_index == 0) return at;
        const GatewayLife* const life = life_of(*history.client);
        const Microseconds started = life != nullptr ? life->started : 0;
        for (const WrittenListRecord& list : records_.written_lists) {
            if (list.gateway != history.client->gateway || list.index < change.list_index) continue;
            if (list.at >= started) at = std::min(at, list.at + kDrainGrace + kDrainSlack);
        }
        return at;
    }

    void check_withdrawn_servers(const std::string& id, const RequestHistory& history) {
        for (const Attempt& attempt : history.attempts) {
            const auto intervals = records_.withdrawn.find(attempt.arrived->server);
            if (intervals == records_.withdrawn.end()) continue;
            const Microseconds at = attempt.arrived->at;
            for (const FaultInterval& interval : intervals->second) {
                const Microseconds latest = latest_send_time(history, interval) + kMachineSlack;
                if (at > latest && at < interval.until &&
                    !has_fault(attempt.arrived->server, at - kTransitLimit, at)) {
                    add_finding("drain", id,
                                "sent " + std::to_string((at - interval.from) / kMs) + " ms after a drain");
                }
            }
        }
    }

    // Does not apply if the gateway has ended before: its end closes the connection too.
    void check_stalled_clients() {
        for (const StalledRecord& record : records_.stalled) {
            const Microseconds latest = record.stopped + kStalledClientLimit;
            if (record.stopped == 0 || latest > records_.ended) continue;
            if (record.ended == 0 || record.ended > latest) {
                add_finding("bad client", "n" + std::to_string(record.gateway),
                            "a client that stopped in the middle of a request got neither an error nor a "
                            "close in time");
            }
        }
    }

    void check_gateways() {
        for (const GatewayLife& life : records_.gateways) {
            const std::string name = "n" + std::to_string(life.gateway);
            const bool killed = life.killed != 0;
            if (life.exited != 0 && life.status != 0 && !killed) {
                add_finding("crash", name, "ended with status " + std::to_string(life.status));
            }
            if (life.exited != 0 && life.status == 0 && life.terminated == 0) {
                add_finding("crash", name, "ended without a signal");
            }
            judgement_.peak_resident_kb = std::max(judgement_.peak_resident_kb, life.peak_resident_kb);
            if (life.memory_limit_kb > 0 && static_cast<double>(life.peak_resident_kb) >
                                                kMaxMemoryShare * static_cast<double>(life.memory_limit_kb)) {
                add_finding("memory", name,
                            std::to_string(life.peak_resident_kb) + " KB were resident, its limit is " +
                                std::to_string(life.memory_limit_kb));
            }
            if (life.violations > 0 && !all_were_unavailable_) {
                add_finding("self check", name,
                            std::to_string(life.violations) + " violations in its own count");
            }
        }
    }

    const Records& records_;
    const JudgeOptions& options_;
    std::map<std::string, RequestHistory> histories_;
    std::set<std::string> servers_;
    bool all_were_unavailable_ = false;  // at some time, so that a release could not be answered
    Judgement judgement_;
};

}  // namespace

std::string Judgement::text() const {
    std::ostringstream out;
    out << requests << " requests: " << completed << " completed, " << rejected << " rejected, " << failed
        << " failed, " << left << " left by their clients; longest held state " << longest_held / kMs
        << " ms; most memory " << peak_resident_kb << " KB; " << findings.size() << " findings\n";
    for (std::size_t n = 0; n < findings.size() && n < kMaxFindingsShown; ++n) {
        out << "  " << findings[n].rule << ": " << findings[n].request << ": " << findings[n].what << '\n';
    }
    if (findings.size() > kMaxFindingsShown) {
        out << "  and " << findings.size() - kMaxFindingsShown << " more\n";
    }
    return out.str();
}

Judgement judge(const Records& records, const JudgeOptions& options) { return Judge(records, options).run(); }

}  // namespace copperfront::soak
