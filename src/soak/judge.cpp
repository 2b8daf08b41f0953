#include "soak/judge.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace copperfront::soak {
namespace {

constexpr Microseconds kMs = 1000;
// Slack of the protocol's rules, and what a busy machine adds to what is measured here.
constexpr Microseconds kMachineSlack = 120 * kMs;
constexpr Microseconds kHeldSlack = 300 * kMs + kMachineSlack;
constexpr Microseconds kAfterDeadline = 500 * kMs + kMachineSlack;
constexpr Microseconds kAfterClose = 100 * kMs + kMachineSlack;
constexpr Microseconds kToldSlack = 150 * kMs + kMachineSlack;
constexpr Microseconds kStillAccepting = 700 * kMs;
constexpr Microseconds kResetSeen = 3 * kMs;
constexpr Microseconds kSameMoment = 3 * kMs;
// For an error or a close to a client that has stopped in the middle of a request.
constexpr Microseconds kStalledAtMost = 3000 * kMs + kMachineSlack;
// A change of the list counts as told this long after discovery had it, whatever became of watches.
constexpr Microseconds kToldWithin = 6000 * kMs;
constexpr Microseconds kDrainGrace = 250 * kMs;
constexpr Microseconds kDrainSlack = 50 * kMs;
// What a slow network or a stopped process may add to the time between sending and reading.
constexpr Microseconds kOnTheWay = 5000 * kMs;
constexpr std::size_t kFindingsShown = 12;

struct Attempt {
    const ServerRecord* arrived = nullptr;
    const ServerRecord* over = nullptr;  // ended, turned away or closed; null: never
    bool never_ran = false, held = false, closed = false;
};

// All that is known of one request.
struct Story {
    const RequestRecord* client = nullptr;
    std::vector<const ServerRecord*> events;  // by time
    std::vector<Attempt> attempts;
};

bool overlaps(const std::vector<FaultSpan>& spans, Microseconds from, Microseconds until) {
    return std::any_of(spans.begin(), spans.end(), [from, until](const FaultSpan& span) {
        return span.from <= until && span.until >= from;
    });
}

class Judge {
  public:
    Judge(const Records& records, const JudgeOptions& options) : records_(records), options_(options) {}

    Judgement run() {
        gather();
        for (const auto& [request, story] : stories_) {
            check_final_answer(request, story);
            check_held_state(request, story);
            check_effects(request, story);
            check_after_close(request, story);
            check_told_deadlines(request, story);
            check_withdrawn(request, story);
        }
        check_stalled_clients();
        check_gateways();
        return std::move(judgement_);
    }

  private:
    void find(const std::string& rule, const std::string& request, const std::string& what) {
        judgement_.findings.push_back({rule, request, what});
    }

    void gather() {
        for (const RequestRecord& request : records_.requests) stories_[request.request].client = &request;
        std::vector<const ServerRecord*> sorted;
        for (const ServerRecord& record : records_.servers) sorted.push_back(&record);
        std::stable_sort(sorted.begin(), sorted.end(),
                         [](const ServerRecord* a, const ServerRecord* b) { return a->at < b->at; });
        std::map<std::pair<std::string, std::uint64_t>, std::pair<std::string, std::size_t>> open;
        for (const ServerRecord* record : sorted) {
            servers_.insert(record->server);
            Story& story = stories_[record->request];
            story.events.push_back(record);
            const auto call = std::make_pair(record->server, record->call);
            if (record->event == ServerEvent::arrived) {
                open[call] = {record->request, story.attempts.size()};
                story.attempts.push_back({record});
                continue;
            }
            const auto it = open.find(call);
            if (it == open.end() || it->second.first != record->request) continue;
            Attempt& attempt = story.attempts[it->second.second];
            attempt.held |= record->event == ServerEvent::held;
            attempt.never_ran |= record->event == ServerEvent::never_ran;
            attempt.closed |= record->event == ServerEvent::closed;
            const bool over = record->event == ServerEvent::ended || attempt.never_ran || attempt.closed;
            if (over && attempt.over == nullptr) attempt.over = record;
        }
    }

    const GatewayLife* life_of(const RequestRecord& request) const {
        for (const GatewayLife& life : records_.gateways) {
            if (life.gateway == request.gateway && life.life == request.gateway_life) return &life;
        }
        return nullptr;
    }
    // Until when the gateway that has the request runs for sure.
    Microseconds runs_until(const RequestRecord& request) const {
        const GatewayLife* const life = life_of(request);
        return life != nullptr && life->killed != 0 ? life->killed : records_.ended;
    }
    Microseconds terminated(const RequestRecord& request) const {
        const GatewayLife* const life = life_of(request);
        return life != nullptr ? life->terminated : 0;
    }

    void check_final_answer(const std::string& id, const Story& story) {
        if (story.client == nullptr) return;
        const RequestRecord& request = *story.client;
        ++judgement_.requests;
        judgement_.completed += request.fate == Fate::completed;
        judgement_.rejected += request.fate == Fate::rejected;
        judgement_.failed += request.fate == Fate::failed || request.fate == Fate::broken;
        judgement_.left += request.fate == Fate::client_left;
        if (request.spoilt) return find("lost", id, "its answer was spoilt on the way through the gateway");
        if (request.fate == Fate::client_left) return;
        const bool killed_open = runs_until(request) < request.deadline + kAfterDeadline &&
                                 runs_until(request) <= std::max(request.ended, request.sent) + kMachineSlack;
        if (request.fate == Fate::closed_unanswered) return check_closed(id, story, killed_open);
        // What waits behind another answer of its connection can't be answered before that has ended.
        const bool in_line = request.behind_another && story.attempts.empty();
        if (in_line && request.fate != Fate::broken) return;
        if (request.fate == Fate::open) {
            if (runs_until(request) > request.deadline + kAfterDeadline && !has_streamed(request)) {
                find("lost", id, "no final answer by its deadline");
            }
            return;
        }
        if (request.fate == Fate::broken && killed_open) return check_late_stream(id, request);
        if (request.first_byte > request.deadline + kAfterDeadline) {
            find("lost", id, "its answer came long after its deadline");
        }
    }
    // The deadline is for the first token; a stream may go on after it.
    static bool has_streamed(const RequestRecord& request) { return request.first_byte != 0; }

    void check_closed(const std::string& id, const Story& story, bool killed_open) {
        const RequestRecord& request = *story.client;
        if (killed_open) {
            const bool late =
                terminated(request) != 0 && request.sent > terminated(request) + kStillAccepting;
            if (late && !story.attempts.empty()) {
                find("lost", id, "taken over 0.7 s after SIGTERM and unanswered at the kill");
            }
            return;
        }
        // On a connection that was open before, a close may cross a request that has not been read.
        if (!story.attempts.empty()) return find("lost", id, "sent to a server, and closed unanswered");
        if (request.on_new_connection && !request.behind_another && terminated(request) == 0) {
            find("lost", id, "a new connection was closed unanswered");
        }
    }

    void check_late_stream(const std::string& id, const RequestRecord& request) {
        if (terminated(request) != 0 && request.sent > terminated(request) + kStillAccepting) {
            find("lost", id, "a stream taken over 0.7 s after SIGTERM was under way at the kill");
        }
    }

    // The time of a held state runs while no attempt that has arrived is out, from the last hold or outcome.
    void check_held_state(const std::string& id, const Story& story) {
        if (story.client == nullptr) return;
        bool held = false;
        std::string holder;
        std::set<Call> out;
        Waiting waiting;
        Microseconds since = 0;
        const Microseconds killed = runs_until(*story.client);
        const auto check = [&](Microseconds now) {
            if (!held || !out.empty()) return;
            const Microseconds time = std::min(now, killed) - since;
            judgement_.longest_held = std::max(judgement_.longest_held, time);
            if (time <= options_.release_within + kHeldSlack) return;
            held = false;
            if (has_died(holder, since, since + time)) return;
            // There was nobody who could have been told.
            if (all_are_troubled(since + options_.release_within * 7 / 10, since + options_.release_within)) {
                none_ran_ = true;
                return;
            }
            find("held state", id, "held for " + std::to_string(time / kMs) + " ms");
        };
        for (const ServerRecord* event : story.events) {
            check(event->at);
            const auto call = std::make_pair(event->server, event->call);
            switch (event->event) {
                case ServerEvent::arrived:
                    out.insert(call);
                    if (event->role == Role::writer) waiting[call] = event->at;
                    break;
                case ServerEvent::held:
                    held = true;
                    holder = event->server;
                    since = end_of_trouble(holder, event->at);
                    break;
                case ServerEvent::taken:
                    waiting.erase(call);
                    held = false;
                    break;
                // Where an attempt waits for the state it lets go of nothing, whatever its server says; the
                // time starts again with that attempt's outcome.
                case ServerEvent::released:
                    held = held && waits_since(waiting, event->at);
                    break;
                case ServerEvent::release_kept:
                    break;
                case ServerEvent::never_ran:
                case ServerEvent::ended:
                case ServerEvent::closed:
                    out.erase(call);
                    waiting.erase(call);
                    since = std::max(since, end_of_trouble(event->server, event->at));
                    break;
            }
        }
        check(records_.ended);
    }

    // Hand-overs that have arrived and have not taken their state, by when they arrived.
    using Call = std::pair<std::string, std::uint64_t>;
    using Waiting = std::map<Call, Microseconds>;
    // Two servers may record what they do in the same moment in either order.
    static bool waits_since(const Waiting& waiting, Microseconds at) {
        return std::any_of(waiting.begin(), waiting.end(),
                           [at](const auto& one) { return at - one.second > kSameMoment; });
    }

    // No server ran, or could be reached, for all of this time.
    bool all_are_troubled(Microseconds from, Microseconds until) const {
        return std::all_of(servers_.begin(), servers_.end(), [&](const std::string& server) {
            const auto it = records_.server_faults.find(server);
            return it != records_.server_faults.end() &&
                   std::any_of(it->second.begin(), it->second.end(), [from, until](const FaultSpan& span) {
                       return span.from <= from && until <= span.until;
                   });
        });
    }

    // An answer that is lost on its way reaches nobody: to its gateway the attempt is out until the way to
    // the server is whole again, or the gateway closes the connection.
    Microseconds end_of_trouble(const std::string& server, Microseconds at) const {
        Microseconds end = at;
        const auto it = records_.server_faults.find(server);
        if (it == records_.server_faults.end()) return end;
        for (const FaultSpan& span : it->second) {
            if (span.from <= at && at <= span.until) end = std::max(end, span.until);
        }
        return end;
    }

    bool has_died(const std::string& server, Microseconds from, Microseconds until) const {
        const auto it = records_.server_deaths.find(server);
        return it != records_.server_deaths.end() &&
               std::any_of(it->second.begin(), it->second.end(),
                           [from, until](Microseconds at) { return from <= at && at <= until; });
    }

    static bool is_hand_over(const Attempt& attempt) { return attempt.arrived->role == Role::writer; }
    bool is_troubled(const std::string& server, Microseconds from, Microseconds until) const {
        const auto it = records_.server_faults.find(server);
        return it != records_.server_faults.end() && overlaps(it->second, from, until);
    }

    void check_effects(const std::string& id, const Story& story) {
        if (story.client == nullptr) return;
        const Effect effect = story.client->effect;
        const Attempt* first = nullptr;
        for (const Attempt& attempt : story.attempts) {
            if (!is_hand_over(attempt) || attempt.never_ran) continue;
            if (first == nullptr) {
                first = &attempt;
                continue;
            }
            if (effect == Effect::effectful) find("duplicate", id, "a second attempt may have run");
            const Microseconds apart = attempt.arrived->at - first->arrived->at;
            if (effect == Effect::receipted && apart > options_.repeat_window + kMachineSlack) {
                find("duplicate", id, "sent again " + std::to_string(apart / kMs) + " ms after the first");
            }
        }
        if (first != nullptr && effect == Effect::effectful && story.client->fate == Fate::rejected) {
            find("duplicate", id, "rejected after an attempt that may have run");
        }
        check_second_copies(id, story);
    }

    // An attempt that arrives while an earlier one is out on an open connection.
    void check_second_copies(const std::string& id, const Story& story) {
        for (std::size_t n = 1; n < story.attempts.size(); ++n) {
            const Attempt& earlier = story.attempts[n - 1];
            const Attempt& later = story.attempts[n];
            const Microseconds over = earlier.over != nullptr ? earlier.over->at : records_.ended;
            // A reset by the network reaches both ends at once, and each sees it in its own time.
            if (over <= later.arrived->at + kResetSeen || earlier.never_ran || later.never_ran) continue;
            // What lay in the socket of a server that hung, and was read once it ran again.
            if (is_troubled(later.arrived->server, later.arrived->at - kMachineSlack, later.arrived->at)) {
                continue;
            }
            if (has_died(earlier.arrived->server, earlier.arrived->at, over)) continue;
            // A server that hangs or is cut off records late what had happened on its connection.
            if (is_troubled(earlier.arrived->server, earlier.arrived->at, over)) continue;
            find("duplicate", id,
                 "an attempt arrived " + std::to_string((over - later.arrived->at) / kMs) +
                     " ms before the earlier one was over");
        }
    }

    void check_after_close(const std::string& id, const Story& story) {
        if (story.client == nullptr || story.client->fate != Fate::client_left) return;
        const Microseconds left = story.client->ended;
        for (const Attempt& attempt : story.attempts) {
            const Microseconds after = attempt.arrived->at - left;
            if (after <= kAfterClose || is_troubled(attempt.arrived->server, left, attempt.arrived->at)) {
                continue;
            }
            find("lost", id, "an attempt began " + std::to_string(after / kMs) + " ms after its client left");
        }
    }

    void check_told_deadlines(const std::string& id, const Story& story) {
        if (story.client == nullptr) return;
        for (const Attempt& attempt : story.attempts) {
            const ServerRecord& arrived = *attempt.arrived;
            if (arrived.time_left_ms < 0 || is_troubled(arrived.server, arrived.at - kOnTheWay, arrived.at)) {
                continue;
            }
            const Microseconds over =
                arrived.time_left_ms * kMs - std::max<Microseconds>(0, story.client->deadline - arrived.at);
            if (over > kToldSlack) {
                find("deadline", id, "told a server " + std::to_string(over / kMs) + " ms more than is left");
            }
        }
    }

    // Until when an attempt may be sent to a server that is withdrawn: its gateway was told of it, or counts
    // as told.
    Microseconds latest_send(const Story& story, const FaultSpan& change) const {
        Microseconds at = change.from + kToldWithin + kDrainGrace;
        if (story.client == nullptr || change.list_index == 0) return at;
        const GatewayLife* const life = life_of(*story.client);
        const Microseconds started = life != nullptr ? life->started : 0;
        for (const ListWritten& list : records_.told) {
            if (list.gateway != story.client->gateway || list.index < change.list_index) continue;
            if (list.at >= started) at = std::min(at, list.at + kDrainGrace + kDrainSlack);
        }
        return at;
    }

    void check_withdrawn(const std::string& id, const Story& story) {
        for (const Attempt& attempt : story.attempts) {
            const auto spans = records_.withdrawn.find(attempt.arrived->server);
            if (spans == records_.withdrawn.end()) continue;
            const Microseconds at = attempt.arrived->at;
            for (const FaultSpan& span : spans->second) {
                const Microseconds latest = latest_send(story, span) + kMachineSlack;
                if (at > latest && at < span.until &&
                    !is_troubled(attempt.arrived->server, at - kOnTheWay, at)) {
                    find("drain", id, "sent " + std::to_string((at - span.from) / kMs) + " ms after a drain");
                }
            }
        }
    }

    // Unless the gateway has ended before: its end closes the connection too.
    void check_stalled_clients() {
        for (const StalledRecord& record : records_.stalled) {
            const Microseconds latest = record.stopped + kStalledAtMost;
            if (record.stopped == 0 || latest > records_.ended) continue;
            if (record.ended == 0 || record.ended > latest) {
                find("bad client", "n" + std::to_string(record.gateway),
                     "one that stopped in the middle of a request got neither an error nor a close in time");
            }
        }
    }

    void check_gateways() {
        for (const GatewayLife& life : records_.gateways) {
            const std::string name = "n" + std::to_string(life.gateway);
            const bool killed = life.killed != 0;
            if (life.exited != 0 && life.status != 0 && !killed) {
                find("crash", name, "ended with status " + std::to_string(life.status));
            }
            if (life.exited != 0 && life.status == 0 && life.terminated == 0) {
                find("crash", name, "ended without a signal");
            }
            if (life.violations > 0 && !none_ran_) {
                find("self check", name, std::to_string(life.violations) + " violations in its own count");
            }
        }
    }

    const Records& records_;
    const JudgeOptions& options_;
    std::map<std::string, Story> stories_;
    std::set<std::string> servers_;
    bool none_ran_ = false;  // at some time, so that a release could not be answered
    Judgement judgement_;
};

}  // namespace

std::string Judgement::text() const {
    std::ostringstream out;
    out << requests << " requests: " << completed << " completed, " << rejected << " rejected, " << failed
        << " failed, " << left << " left by their clients; longest held state " << longest_held / kMs
        << " ms; " << findings.size() << " findings\n";
    for (std::size_t n = 0; n < findings.size() && n < kFindingsShown; ++n) {
        out << "  " << findings[n].rule << ": " << findings[n].request << ": " << findings[n].what << '\n';
    }
    if (findings.size() > kFindingsShown) out << "  and " << findings.size() - kFindingsShown << " more\n";
    return out.str();
}

Judgement judge(const Records& records, const JudgeOptions& options) { return Judge(records, options).run(); }

}  // namespace copperfront::soak
