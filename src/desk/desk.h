// Carries out what the rules decide and keeps the books for it: which attempts of a query are out, where its
// states may lie, which attempt has begun its stream, and what rings when. It stands between the decision
// module and whatever moves the bytes (sockets, or a test), decides nothing of its own, and is free of I/O
// and clocks.
//
// Every public method is one thing that has happened and must not be called from within a call to Outside.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/hold_ledger.h"
#include "core/rules.h"
#include "core/send_guard.h"
#include "desk/witness.h"
#include "limits/admission.h"
#include "limits/fleet_share.h"
#include "watching/watching.h"

namespace copperfront {

// An AttemptId is never used twice by one desk; from 1.

// What the desk may do to the world. None of these may call back into the desk.
class Outside {
  public:
    virtual ~Outside() = default;
    virtual Instant now() const = 0;
    // Desk::time_came is wanted at this time or soon after; a later call replaces the wish.
    virtual void wake_at(Instant at) = 0;
    // The state of a read is named by its attempt. `limit` is for the engine to drop what nobody waits for.
    virtual void send_read(AttemptId attempt, ServerIndex to, QueryIndex query, Span limit) = 0;
    // `state` 0: there is none, and the engine reads the prompt itself; else it lies at `from`.
    virtual void send_write(AttemptId attempt, ServerIndex to, QueryIndex query, AttemptId state,
                            ServerIndex from, Span limit) = 0;
    virtual void call_off(AttemptId attempt, ServerIndex at) = 0;
    // Takes back an attempt that waits for its connection: true, and it was never sent; false: it may have
    // been.
    virtual bool unsend(AttemptId attempt, ServerIndex at) = 0;
    // Whether releases are answered by servers, and told to the ledger. Otherwise messages arrive in order,
    // and a release that was sent is as good as done.
    virtual bool releases_are_answered() const { return false; }
    virtual void release(ServerIndex at, AttemptId state) = 0;
    virtual void probe(ServerIndex server) = 0;
    virtual void subscribe() = 0;
    // To all other gateways, where terms allow it.
    virtual void tell_peers(std::string_view /*note*/) {}
    // Final answers; exactly one for each query that came and has not left.
    virtual void settled(QueryIndex query) = 0;
    virtual void declined(QueryIndex query, Span stay_away, std::string_view why) = 0;
    virtual void given_up(QueryIndex query, std::string_view why) = 0;
    // Nothing more will name this query; its index may come again.
    virtual void closed(QueryIndex query) = 0;
    virtual void log(std::string_view line) = 0;
};

// Counted since the start.
struct Tally {
    std::uint64_t came = 0, left = 0, settled = 0, declined = 0, given_up = 0, streams_broken = 0,
                  streams_silent = 0, leases_ended = 0;
    std::uint64_t reads = 0, writes = 0, called_off = 0, releases = 0, probes = 0;
    // Declined by a route's limits; attempts that they did not leave; attempts taken back unsent.
    std::uint64_t over_limit = 0, not_again = 0, not_connected = 0, copies = 0, copies_won = 0;
    std::uint64_t endings[9] = {};  // by Ending
};

class Desk final : private Host {
  public:
    Desk(const Terms& terms, Outside& outside, std::uint32_t seed);

    // Told of everything from now on; null: nobody is. It must outlive the desk, or be taken away again.
    void watched_by(Witness* witness) { witness_ = witness; }

    // Counts from now on where these terms would decide otherwise; their categories, kinds and client groups
    // are those of the desk. Null: no longer, as after a change of the desk's own terms. What was listed
    // before has to be told again.
    void watch(const Terms* terms, std::uint32_t seed);
    const Watching* watching() const { return watching_.get(); }

    // An index for a query that is about to come; query_came must follow. `key`: its name in the ledger; 0:
    // one of its own.
    QueryIndex open(RequestKey key = 0);
    RequestKey key_of(QueryIndex query) const { return tickets_[query].key; }
    // Declined at once where its route's limits are used up. The route's limits are those that it keeps,
    // whatever the terms become meanwhile.
    void query_came(QueryIndex query, Arrival facts, RouteIndex route = 0, const RouteLimits& limits = {},
                    bool again = false);
    void query_left(QueryIndex query);

    // Other terms from now on: categories, kinds and client groups may only have grown.
    void terms_changed(const Terms& terms, std::span<const RouteLimits> routes);

    // The routes alone, as at the start.
    void limits_changed(std::span<const RouteLimits> routes, int gateways);

    // Whether parts of what is stated for the fleet are learned from load reports, or even.
    void parts_are_learned(bool learned);
    // This gateway's part now.
    double part() const;

    void list_arrived(std::span<const Listing> entries, bool whole);
    void list_missed();

    // A token of an attempt's answer. True: it belongs to the stream of `query`; false: nobody's.
    bool token_came(AttemptId attempt, QueryIndex& query);
    // How an attempt has ended, once for each; of an attempt that is over already, it is ignored. Fields of
    // the outcome that the desk knows (took, over) are filled in here.
    void attempt_ended(AttemptId attempt, Outcome outcome);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void peer_told(std::string_view note);
    void time_came();
    // Every open query that has not begun is given up now, for a stop that has taken too long.
    void give_up_all(std::string_view why);

    // Whether an attempt that waits for its connection may still be sent now. Asked right before its first
    // byte.
    Denial may_be_written(AttemptId attempt, bool client_gone, Span told);
    SendGuard& guard() { return guard_; }
    const SendGuard& guard() const { return guard_; }
    HoldLedger& ledger() { return ledger_; }
    const HoldLedger& ledger() const { return ledger_; }
    // A part of an attempt's answer has come, which need not be a token.
    void answer_began(AttemptId attempt);

    std::size_t open_queries() const { return open_; }
    std::size_t attempts_out() const { return attempts_.size(); }
    Rules::Waiting waiting() const { return rules_.waiting(); }
    const Tally& tally() const { return tally_; }
    const Admission& admission() const { return admission_; }
    // Whether an attempt with this id was ever made here.
    bool was_made(AttemptId attempt) const { return attempt > 0 && attempt < next_attempt_; }

  private:
    static constexpr QueryIndex kNobody = ~QueryIndex{0};
    struct Ticket {
        RequestKey key = 0;  // in the ledger
        bool used = false, ended = false, streams = true, held = false;
        Span silence;                                  // the longest that its stream may say nothing
        bool read_begun = false, write_begun = false;  // its first attempts were made
        // A second copy is a query of its own to the rules, under an index that nobody outside sees; `pair`
        // is the other of the two. `done`: the rules are through with it, while its pair may still be
        // answered.
        bool copy = false, done = false;
        QueryIndex pair = kNobody;
        Arrival facts;  // kept where a copy may be made
        RouteIndex route = 0;
        Effect effect = Effect::pure;
        bool may_have_run = false;  // an attempt that could have had the request's effect
        double prompt_tokens = 0;
        Span whole, copy_after, connect;
        Instant came, deadline;
        std::uint32_t after[kCauses] = {}, most_after[kCauses] = {};
        std::uint32_t made = 0, out = 0;
        AttemptId bound = 0;  // the attempt whose stream the caller gets
        AttemptId state = 0;  // the state that the next write takes; 0: none
        ServerIndex state_at = 0;
        Account account;                  // kept where a trace is
        const char* why = nullptr;        // that the rules gave last
        std::vector<AttemptId> attempts;  // by attempt number
    };
    struct Attempt {
        QueryIndex query = 0;
        ServerIndex server = 0;
        Instant sent, heard;
        Instant write_by;     // not sent any more after that
        AttemptId state = 0;  // write: the state it takes
        double tokens = 0;    // write: of memory that it holds there
        bool reading = false, begun = false, called_off = false;
        bool unsent = false;  // it never left, and its end is on its way to the rules
        Outcome pending;      // of one that was called off: told once its close has reached the server
        const char* why = "";
    };
    enum class Ring { rules, watching, limit, connect, called_off, lease, stream, whole, copy };
    struct Alarm {
        Instant at;
        std::uint64_t order = 0;
        Ring ring = Ring::rules;
        std::uint64_t key = 0;
        bool operator>(const Alarm& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    class Turn;

    Instant now() const override { return outside_.now(); }
    void start_attempt(QueryIndex query, ServerIndex server, const AttemptLimits& limits) override;
    void retract(QueryIndex query, std::uint32_t number) override;
    void decline(QueryIndex query, Span stay_away) override;
    void give_up(QueryIndex query) override;
    void release(QueryIndex query) override;
    bool may_attempt_again(QueryIndex query, Ending after) override;
    void probe(ServerIndex server) override;
    void subscribe() override { outside_.subscribe(); }
    void tell_peers(std::string_view note) override { outside_.tell_peers(note); }
    void set_timer(Span from_now, TimerKey key) override { set_alarm(from_now, Ring::rules, key); }
    void log(std::string_view line) override { outside_.log(line); }

    void note_report(ServerIndex server, const LoadReport& report);
    bool keeps_trace() const override { return witness_ != nullptr; }
    void chose(QueryIndex query, ServerIndex server, bool reading, const char* why,
               std::span<const Sight> seen, std::size_t of) override;
    void held(QueryIndex query, const char* why) override;
    void ends(QueryIndex query, const char* why) override { tickets_[query].why = why; }
    void shut(ServerIndex server, bool out) override {
        if (witness_) witness_->shut(server, out);
    }

    void set_alarm(Span from_now, Ring ring, std::uint64_t key);
    void finish(AttemptId attempt, Outcome outcome, std::string_view why = "");
    void call_off(AttemptId attempt, const Outcome& outcome, const char* why);
    void over_once_closed(Attempt& mine, AttemptId attempt, const Outcome& outcome, const char* why);
    void set_lease_alarm(QueryIndex query);
    void lease_ends(QueryIndex query);
    void ring(const Alarm& alarm);
    void ring_whole(QueryIndex query);
    void attempt_alarm_due(const Alarm& alarm);
    void stream_may_be_silent(AttemptId attempt);
    void release_held(QueryIndex query, AttemptId except);
    void end(QueryIndex query, Fate fate, std::string_view why);
    QueryIndex face(QueryIndex query) const { return tickets_[query].copy ? tickets_[query].pair : query; }
    QueryIndex live_pair(QueryIndex query) const;
    bool steps_back(QueryIndex query);
    bool is_answered(QueryIndex query);
    void set_down(QueryIndex query);
    void call_off_pair(QueryIndex winner);
    void make_copy(QueryIndex query);
    void sweep();
    void wish_to_wake();

    std::vector<Kind> kinds_;
    std::vector<Category> categories_;
    std::uint32_t max_attempts_;
    Outside& outside_;
    std::vector<Role> role_;                   // by server
    std::vector<double> memory_, own_tokens_;  // by server: what it has, and what our writes hold of it
    std::vector<Ticket> tickets_;
    std::vector<QueryIndex> free_, ended_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    AttemptId next_attempt_ = 1;
    std::deque<std::pair<AttemptId, Outcome>> posted_;
    std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms_;
    std::uint64_t next_order_ = 0;
    Instant wished_;
    bool wishing_ = false;
    std::size_t open_ = 0;
    Tally tally_;
    Witness* witness_ = nullptr;
    std::vector<Sight> seen_;  // of the choice in hand
    Choice choice_;
    Admission admission_;
    bool parts_learned_ = false;
    FleetShare share_;
    std::unique_ptr<Watching> watching_;  // null: no other terms are watched
    SendGuard guard_;
    HoldLedger ledger_;
    RequestKey next_key_ = 1;
    Rules rules_;
};

}  // namespace copperfront
