// What model servers may hold for requests: the state that a prefill leaves at its server until a hand-over
// takes it or a release lets it go. The ledger knows for each request which attempts are out, what may be
// held because of which attempt, and since when the time runs in which it has to be released.
//
// What this gateway has done proves nothing of what happened at a server. So an entry ends by proof alone: a
// stream that has begun, or a release that was written after every attempt of the request was over and that a
// running server has answered. A release that was written while an attempt may wait for the state is owed
// again after that attempt's end.
//
// Nothing tells whether a call has arrived at a running server but its answer. Both cases are followed: if it
// has not arrived it stops no clock, so a release is due at the end of the lease whatever attempt is out; if
// it has, the time starts again in full with its outcome, so a release is due after that one too.
//
// Free of I/O and of a clock of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "host.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

// Names a request for as long as anything may be held for it; the same for requests that servers can't tell
// apart.
using RequestKey = std::uint64_t;

// Why something may be held.
enum class HoldReason : std::uint8_t {
    prefill_answered,     // the prefill has ended well
    answer_began,         // a part of the prefill's answer has come
    answer_lost,          // the prefill was cut, spoilt, reset, or answered with an error
    prefill_not_awaited,  // called off or timed out: it may have ended, or may yet
};
const char* text_of(HoldReason reason);

class HoldLedger {
  public:
    // `release_within`: the time in which a held state has to be taken or released; 0: there is no such rule.
    explicit HoldLedger(Span release_within) : release_within_(release_within) {}
    void change(Span release_within) { release_within_ = release_within; }

    struct Entry {
        ServerIndex server = 0;
        AttemptId attempt = 0;  // the prefill that left it
        HoldReason reason = HoldReason::prefill_answered;
        Instant since;
        bool wanted = false;  // nothing will take it any more, so its release is wanted
    };
    // An attempt that ended without an answer: its server may hang, and take it up or see its close only
    // later.
    struct UnheardAttempt {
        ServerIndex server = 0;
        bool prefill = false;
        Instant started, over_at;
    };

    // ---- attempts

    void attempt_started(RequestKey key, AttemptId attempt, ServerIndex server, bool prefill, Instant now);
    // A part of its answer has come. A prefill server answers once it has read.
    void answer_began(RequestKey key, AttemptId attempt, Instant now);
    // Its first event has come: it has taken the state, and whatever else was answered for goes with it.
    void stream_began(RequestKey key, AttemptId attempt, Instant now);
    void attempt_over(RequestKey key, AttemptId attempt, Ending ending, Instant now);

    // ---- what is held

    const std::vector<Entry>& entries(RequestKey key) const;
    bool is_attempt_out(RequestKey key) const;
    // Until when what is held may be left to an attempt that has not been heard from; the rest of the time is
    // for the release itself to arrive.
    Instant lease_end(RequestKey key) const;
    bool has_lease() const { return release_within_.us > 0; }
    // From when on the time runs.
    Instant held_since(RequestKey key) const;

    // ---- releases

    // Nothing will take this entry any more.
    void want_release(RequestKey key, AttemptId attempt);
    enum class Need {
        nothing,     // nothing is held
        not_yet,     // an attempt may wait for the state, or its lease runs
        close_sent,  // the close of an attempt may not have reached its server
        due,
    };
    Need need_of_release(RequestKey key, Instant now) const;
    // A release is being written to a server.
    void release_written(RequestKey key, ServerIndex to, Instant now);
    enum class Proof {
        nothing,
        lease_only,  // an attempt may have waited for the state: it is owed again after that attempt's end
        once_more,   // let go; as an attempt was not heard to end, it is told once more
        let_go,      // nothing is held any more
    };
    struct ReleaseResult {
        Proof proof = Proof::nothing;
        std::optional<Instant> held_since;    // from when on the time has run; none: nothing was held
        std::vector<UnheardAttempt> unheard;  // of the request, with Proof::let_go
        std::string history;                  // of the request, where its course was unusual
    };
    // A running server has answered a release that was written then.
    ReleaseResult release_answered(RequestKey key, ServerIndex by, Instant written, Instant now);
    // Over a transport whose messages arrive in order, a release that was sent is as good as done.
    void assume_released(RequestKey key, AttemptId attempt);
    // No server could be told in time.
    ReleaseResult give_up(RequestKey key);

    // ---- for logs and bounds

    // What happened to a request so far, in milliseconds from its first attempt.
    std::string history(RequestKey key) const;
    // How servers are called in it; by default by their index.
    void name_servers(std::function<std::string(ServerIndex)> name) { name_of_ = std::move(name); }
    std::size_t size() const { return requests_.size(); }
    // Requests that were not taken into the books because there were too many.
    std::uint64_t overflows() const { return overflows_; }

  private:
    struct Attempt {
        AttemptId id = 0;
        ServerIndex server = 0;
        bool prefill = false;
        Instant started;
        Instant answer_began;  // zero: not
    };
    struct Event {
        enum class Kind : std::uint8_t {
            prefill_started,
            hand_over_started,
            answer_began,
            stream_began,
            attempt_over,
            release_written,
            release_answered,
            release_proves_nothing,
        };
        Instant at;
        Kind kind = Kind::prefill_started;
        Ending ending = Ending::read;
        ServerIndex server = 0;
        std::uint32_t attempts_out = 0;
    };
    struct Request {
        std::vector<Attempt> out;  // attempts that are not over
        std::vector<Entry> entries;
        std::vector<UnheardAttempt> unheard;
        Instant lease_since;          // of the lease that runs now
        bool lease_released = false;  // a release was answered since its end
        Instant last_over;            // when an attempt was last over
        Instant quiet_from;           // from then on every attempt that is over is so at its server too
        Instant not_before;           // of the release that is told once more
        bool once_more = false;       // an attempt was not heard to end
        bool unusual = false;         // a release has met an attempt that may have waited
        std::vector<Event> events;
        std::uint32_t events_left_out = 0;
    };
    Request* find(RequestKey key);
    const Request* find(RequestKey key) const;
    void note(Request& request, Instant at, Event::Kind kind, ServerIndex server,
              Ending ending = Ending::read);
    void hold(Request& request, const Attempt& attempt, HoldReason reason, Instant since);
    void heard_end(Request& request, Instant now);
    void unheard_end(Request& request, const Attempt& attempt, Instant now);
    void drop_if_settled(RequestKey key);

    Span release_within_;
    std::unordered_map<RequestKey, Request> requests_;
    std::uint64_t overflows_ = 0;
    std::function<std::string(ServerIndex)> name_of_;
};

}  // namespace copperfront
