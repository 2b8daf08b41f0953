// The decisions of one gateway. Each method is one thing that can happen; it acts through the Host.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "helpers.h"
#include "host.h"
#include "server_subset.h"
#include "terms.h"
#include "units.h"

namespace copperfront {

enum class Standing { ready, draining, gone };

struct Listing {
    ServerIndex server = 0;
    std::uint16_t kind = 0;
    std::uint16_t zone = 0;
    std::uint32_t cell = 0;  // dense
    Instant born;            // 0: long ago
    Standing standing = Standing::ready;
    std::uint64_t mark = 0;  // alike at all gateways; tells nothing of the server
};

struct Arrival {
    std::uint16_t category = 0;
    std::int32_t client_group = -1;  // -1: none
    std::uint64_t session = 0;       // 0: none
    std::uint64_t beginning = 0;     // shared with other sessions; 0: none
    double prompt_tokens = 0;
    double beginning_tokens = 0;
    double most_tokens = 0;   // upper limit of the answer
    Span hint;                // rough length of the answer; 0: none
    Span budget;              // until the client stops waiting for this try
    std::int32_t avoid = -1;  // a server that it is not to go to first; -1: none
    // Limits of its own; 0: none but those of the terms.
    std::uint32_t most_attempts = 0;
    Span read_within, hand_over_within, first_token_within;
};

struct LoadReport {
    double memory_share = -1;  // -1: not in the report
    double unread_thousands = -1;
};

struct Outcome {
    Ending ending = Ending::error;
    Span took;
    double kept_tokens = 0;
    bool no_state = false;
    bool over = false;  // the query has had its final answer
    // Broken, on a connection kept from an earlier attempt, before anything came back on it: that tells of
    // the connection, not of the server, and it is likely that the server never saw the attempt.
    bool stale = false;
    // Broken by this gateway's own close, which has yet to reach the server.
    bool closed_here = false;
    LoadReport report;
};

enum class Stage { idle, first_line, further_line, reading, parked, writing, streaming, over };

struct Query {
    Arrival facts;
    Stage stage = Stage::idle;
    std::uint32_t serial = 0;
    Instant came, goal, hard_stop;
    Instant ask_until;  // asked readers may answer until then
    std::array<ServerIndex, 2> asked{};
    std::uint32_t attempts = 0;
    ServerIndex server = 0;  // of the attempt that is out
    std::uint32_t server_life = 0;
    bool out = false;
    bool at_reader = false;
    bool called_off = false, begun = false;
    bool has_state = false;
    ServerIndex state_at = 0;
    std::uint32_t state_life = 0;
    Instant parked_since, sent;
    double read_tokens = 0, stream_tokens = 0, queued_tokens = 0;
    double part = 0;  // of the traffic that begins like it, as met here
    std::vector<ServerIndex> avoid;
    Ending last = Ending::read;  // of the attempt before
    bool answer_lost = false;
    bool may_have_run = false;
    // Of the earliest attempt that may have run, or else of the newest one. Not its index, which may name
    // another server by then.
    std::uint16_t ran_zone = 0;
    std::uint32_t ran_cell = 0;
    Instant ran_since;
};

struct KeptText {
    ServerIndex reader = 0;
    std::uint32_t life = 0;
    double tokens = 0;
};

// A category that a server leaves unanswered: not sent there until then, and what was sent since then tells.
struct Mute {
    Instant until, since;
    Span held;  // 0: it is answered
};

// Parts of the fleet that a cell or a zone holds.
struct Mix {
    double readers = 0, writers = 0;
    double reads = 0;            // of all reads, what its readers are to do
    double over = 0, spare = 0;  // of a zone: what its cells hold of one over the other
    std::uint16_t zone = 0;      // of a cell
};

class Rules {
  public:
    Rules(const Terms& terms, Host& host, std::uint32_t seed);

    // Categories, kinds and client groups may only have grown; queries in hand keep the category that they
    // came with.
    void terms_changed(const Terms& terms);
    void list_arrived(std::span<const Listing> entries, bool whole);
    void list_missed();
    void query_arrived(QueryIndex query, const Arrival& facts);
    void query_left(QueryIndex query);
    void stream_began(QueryIndex query, Span took);
    void attempt_ended(QueryIndex query, ServerIndex server, const Outcome& outcome);
    // The lease of what is held for a request has ended: it has been released, whatever attempt is out.
    void state_expired(QueryIndex query);
    void probe_answered(ServerIndex server, bool answered, const LoadReport& report);
    void timer_rang(TimerKey key);
    void peer_told(std::string_view text);
    // Requests that wait for a server, for whoever watches the gateway.
    struct Waiting {
        std::size_t requests = 0;
        Instant oldest;  // when the one that has waited for longest came; of use where there are any
    };
    Waiting waiting() const;
    // What is kept of servers to spare work is worked out anew, which changes no decision. For tests that
    // compare.
    void drop_kept() { listed_servers_changed(); }

  private:
    bool reads(ServerIndex s) const;
    bool writes(ServerIndex s) const;
    bool ready(ServerIndex s) const;
    bool is_cold(ServerIndex s) const;
    bool may_take(ServerIndex s) const;
    const std::vector<ServerIndex>& prefill_candidates();
    const std::vector<ServerIndex>& decode_candidates();
    void listed_servers_changed();
    void capacity_changed(ServerIndex s);
    void set_cold_level(ServerIndex s, double level);
    void change_waiting(ServerIndex s, int by);
    bool is_open(ServerIndex s) const;
    Span repeat_left(const Query& q) const;
    bool may_go(const Query& q, ServerIndex s) const;
    bool shows_room(ServerIndex s) const;
    bool any_room(const Query& q);
    bool look_for_room(const Query& q, const std::vector<ServerIndex>& among);
    bool has_room(ServerIndex s) const;
    // What this gateway knows of where a query's texts lie; null: nothing.
    struct Texts {
        const KeptText* session;
        const KeptText* beginning;
    };
    Texts texts_of(const Query& q) const;
    double expected_kept(const Query& q, const Texts& texts, ServerIndex s) const;
    double stream_estimate(const Query& q) const;
    double told(ServerIndex s, const std::vector<double>& figure, const std::vector<Learned>& average) const;
    double still_running(Instant then) const;
    void note_sent(ServerIndex s, double tokens);
    double sent_since(ServerIndex s) const;
    double reader_load(ServerIndex s) const;
    double writer_room(ServerIndex s) const;
    bool tell(const Query& q, ServerIndex taken, bool reading, const char* why);
    bool pick_reader(const Query& q, ServerIndex& best);
    bool pick_writer(const Query& q, ServerIndex& best);
    bool is_connected(ServerIndex s) const;
    ServerIndex draw_among_ties(const Query& q, double least_room);
    ServerIndex connected_instead(ServerIndex drawn, double least_room);

    double chance();
    double lot(const Query& q, ServerIndex s);
    double reader_part(ServerIndex s) const { return reader_parts_[s]; }
    double part_of_reads(ServerIndex s) const;
    void gather_lots(const Query& q, double most_load);
    ServerIndex home_of(const Query& q, double readers);
    std::size_t home_place(const Query& q, double readers) const;
    double writer_part(ServerIndex s, ServerIndex reader) const;
    double part_of_place(ServerIndex s, ServerIndex reader);
    std::size_t way(ServerIndex from, ServerIndex to) const;
    void note_hand_over(const Query& q, Span took);
    double hand_over_time(std::size_t w) const;
    void weigh_cells();
    void grow(ServerIndex s);
    void forget(ServerIndex s);
    void refill_cold();
    void note_good(ServerIndex s, double pace, bool reading);
    void note_bad(ServerIndex s);
    double failing(ServerIndex s, double sample);
    void weigh(ServerIndex s, double odds);
    void shut_out(ServerIndex s, bool lost);
    double pace_now(ServerIndex s, Span goal) const;
    double usual_pace(Span goal) const;
    bool link_late(const Query& q, ServerIndex s, Span read) const;
    bool read_late(const Query& q, double kept, ServerIndex s) const;
    void note_report(ServerIndex s, const LoadReport& report);
    void remember_read(const Query& q, ServerIndex s);

    void send(QueryIndex i, ServerIndex s, bool reading);
    void settle_books(Query& q);
    bool start(QueryIndex i);
    void hand_over(QueryIndex i);
    void let_go(QueryIndex i);
    void park(QueryIndex i);
    void stand_again(QueryIndex i);
    void retry_or_end(QueryIndex i);
    void end(QueryIndex i, Span stay_away);
    void over(QueryIndex i);
    void take_back_unheard(QueryIndex i);
    std::uint32_t most_attempts(const Query& q) const;
    Instant of_use_until(const Query& q) const;
    void serve_lines();
    void serve_line(std::deque<std::pair<QueryIndex, std::uint32_t>>& line, Stage stage);
    bool is_overdue(const Query& q) const;
    void serve_parked();
    void wake_soon(Span after);
    void watch();
    void watch_on();
    bool is_open_to(const Query& q, ServerIndex s) const;
    void unanswered(std::uint16_t category, ServerIndex s, bool own);
    void answered(const Query& q, ServerIndex s);
    void tell_peers(char what, ServerIndex s, double figure);
    void pay_probes();
    void probe(ServerIndex s);
    void probe_some();
    void ask_readers(Query& q);
    bool answers_at_once(const Query& q, ServerIndex s) const;
    bool over_share(const Query& q);

    Terms terms_;
    Host& host_;
    Instant now_;  // of the event in hand
    std::minstd_rand chance_;

    std::vector<Query> queries_;
    std::deque<std::pair<QueryIndex, std::uint32_t>> first_line_, further_line_, parked_;
    Instant sweep_at_;
    bool watch_set_ = false;
    Recent<KeptText> sessions_, beginnings_;

    std::size_t servers_ = 0;
    std::vector<Role> role_;
    std::vector<Standing> standing_;
    std::vector<std::uint16_t> zone_, kind_;
    bool has_readers_ = false;
    std::vector<std::uint32_t> cell_, life_;
    std::vector<std::uint64_t> mark_;
    std::vector<ServerIndex> candidates_;  // of the choice in hand
    // Of the choice of a decode server in hand: the candidates' room, and parts by cell.
    std::vector<double> rooms_;
    struct PartOfCell {
        bool is_known = false;
        std::uint16_t zone = 0;
        double part = 0;
    };
    std::vector<PartOfCell> parts_of_cells_;
    // Ready servers by role, with mixed ones in both; and of these, those that may be sent something now.
    std::vector<ServerIndex> ready_prefill_, ready_decode_, cold_;
    ServerSubset prefill_candidates_, decode_candidates_, servers_with_room_;
    bool room_is_of_all_ = false;  // what cell_room_ and zone_room_ tell holds for any request
    std::vector<double> reader_parts_;
    struct UsualPace {
        Instant at;
        Span goal;
        std::uint64_t samples = 0;
        double pace = 0;
    };
    mutable UsualPace usual_pace_;  // as last worked out
    std::size_t looks_ = 0;         // at servers for requests that wait, since then
    Instant looks_since_;
    std::vector<Host::Sight> sights_;
    std::vector<std::pair<double, ServerIndex>> lots_;
    std::unordered_map<std::uint64_t, std::pair<double, Instant>> popularity_;
    std::vector<Mix> cells_, zones_;
    std::vector<bool> cell_room_, zone_room_;  // as last looked at
    double far_spare_ = 0, spare_readers_ = 0;
    std::vector<Instant> born_, full_at_, shut_until_, cold_filled_, heard_at_, told_at_, paced_at_,
        probed_at_, answered_at_, sent_at_, connected_at_;
    Instant peers_paced_at_;
    std::vector<Span> shut_for_, answer_took_;
    std::vector<double> memory_, unread_, streams_, reported_memory_, reported_unread_, sent_unread_,
        sent_streams_, newer_unread_, newer_streams_, doubt_, failed_, pace_, cold_level_;
    std::vector<bool> lost_;
    std::vector<std::uint32_t> paced_, waiting_;

    Learned prompt_, read_time_, read_tokens_, first_time_, stream_time_, kept_share_;
    std::vector<Learned> told_memory_, told_unread_;  // by kind
    // Of writers and mixed servers, then of readers.
    std::array<Learned, 2> fails_, paces_;
    std::array<Learned, 3> hand_overs_;  // by way
    std::array<Instant, 3> handed_at_{};
    Instant weighed_at_;
    std::array<double, 2> peers_{};
    bool memory_told_ = false;
    double probes_due_ = 0;
    std::vector<Learned> work_of_category_;
    Learned work_;
    double strain_ = 0;
    double reads_done_ = 0, writes_done_ = 0, arrivals_ = 0;
    double alike_ = 0, pairs_ = 0;  // of queries met one after the other, with the same beginning and in all
    Instant counted_at_;
    std::vector<std::vector<Mute>> mutes_;  // by category
    std::array<std::vector<Instant>, 2>
        passed_;  // when the latest attempt was sent that has been answered: hand-overs, reads
    std::vector<double> share_level_;
    std::vector<Instant> share_filled_;
};

}  // namespace copperfront
