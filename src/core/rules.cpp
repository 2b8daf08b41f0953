// The events of one gateway, and what follows from each; rules.h has a method for each event. The ordinary
// path is that of docs/design.md: to the prefill server with the fewest queued prompt tokens (or the one that
// kept the text), held before the read while no decode server shows room, and from the read's end to the one
// with the most free memory. All else stands against a named trouble. Decisions stand in files of their own
// beside this one.
#include "rules.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rules_tuning.h"

namespace copperfront {

Rules::Rules(const Terms& terms, Host& host, std::uint32_t seed)
    : terms_(terms),
      host_(host),
      now_(host.now()),
      chance_(seed),
      sessions_(kTextsKept),
      beginnings_(kTextsKept),
      told_memory_(terms.kinds.size()),
      told_unread_(terms.kinds.size()),
      work_of_category_(terms.categories.size()),
      mutes_(terms.categories.size()),
      share_level_(terms.quotas.size()),
      share_filled_(terms.quotas.size(), host.now()) {
    counted_at_ = now_;
    for (std::size_t g = 0; g < terms_.quotas.size(); ++g)
        share_level_[g] = share_burst(terms_.quotas[g] / terms_.gateways);
    if (terms_.ask_for_list) host_.subscribe();
}

// What was learned and spent stays: a change of terms is no new start.
void Rules::terms_changed(const Terms& terms) {
    now_ = host_.now();
    terms_ = terms;
    work_of_category_.resize(terms_.categories.size());
    mutes_.resize(terms_.categories.size(), std::vector<Mute>(servers_));
    for (auto* told : {&told_memory_, &told_unread_}) told->resize(terms_.kinds.size());
    share_level_.resize(terms_.quotas.size());
    share_filled_.resize(terms_.quotas.size(), now_);
    weigh_cells();
    listed_servers_changed();
    serve_lines();
}

void Rules::grow(ServerIndex s) {
    if (s < servers_) return;
    servers_ = s + 1;
    role_.resize(servers_, Role::mixed);
    standing_.resize(servers_, Standing::gone);
    mark_.resize(servers_);
    for (auto* of : {&zone_, &kind_}) of->resize(servers_);
    for (auto* count : {&cell_, &life_, &paced_, &waiting_}) count->resize(servers_);
    for (auto* span : {&shut_for_, &answer_took_}) span->resize(servers_);
    for (auto* at : {&born_, &full_at_, &shut_until_, &cold_filled_, &heard_at_, &told_at_, &paced_at_,
                     &probed_at_, &answered_at_, &sent_at_, &connected_at_})
        at->resize(servers_);
    for (auto& at : passed_) at.resize(servers_);
    for (auto& mutes : mutes_) mutes.resize(servers_);
    for (auto* figure :
         {&memory_, &unread_, &streams_, &reported_memory_, &reported_unread_, &sent_unread_, &sent_streams_,
          &newer_unread_, &newer_streams_, &doubt_, &failed_, &pace_, &cold_level_})
        figure->resize(servers_);
    lost_.resize(servers_);
}

// A process that has started anew holds nothing of what the old one was sent, kept or was judged by.
void Rules::forget(ServerIndex s) {
    ++life_[s];
    for (auto& mutes : mutes_) mutes[s] = {};
    full_at_[s] = now_ - kFullFor * 2;
    shut_until_[s] = now_;
    shut_for_[s] = {};
    connected_at_[s] = {};
    reported_memory_[s] = reported_unread_[s] = -1;
    told_at_[s] = now_ - kMs * 1000;
    unread_[s] = streams_[s] = sent_unread_[s] = sent_streams_[s] = newer_unread_[s] = newer_streams_[s] =
        doubt_[s] = failed_[s] = pace_[s] = 0;
    paced_[s] = waiting_[s] = 0;
    // Many gateways together send what one rate allows, even where each may send less than one.
    cold_level_[s] = chance();
    cold_filled_[s] = now_;
}

void Rules::list_arrived(std::span<const Listing> entries, bool whole) {
    now_ = host_.now();
    const std::size_t known = servers_;
    ServerIndex last = 0;
    for (const Listing& e : entries) last = std::max(last, e.server);
    if (!entries.empty()) grow(last);
    std::vector<bool> named(servers_, false), met(servers_, false);
    std::fill_n(met.begin(), known, true);
    for (const Listing& e : entries) {
        const ServerIndex s = e.server;
        named[s] = true;
        if (!met[s] || born_[s] != e.born) forget(s);
        met[s] = true;
        role_[s] = terms_.kinds[e.kind].role;
        kind_[s] = e.kind;
        memory_[s] = terms_.kinds[e.kind].memory_tokens;
        zone_[s] = e.zone;
        cell_[s] = e.cell;
        mark_[s] = e.mark;
        born_[s] = e.born;
        standing_[s] = e.standing;
    }
    if (whole)
        for (ServerIndex s = 0; s < servers_; ++s)
            if (!named[s]) standing_[s] = Standing::gone;
    weigh_cells();
    listed_servers_changed();
    serve_lines();
}

// The old list stands; asking again at once would load the one list service that all gateways share.
void Rules::list_missed() {
    if (!terms_.ask_for_list) return;
    std::uniform_int_distribution<std::int64_t> wait(200, 1000);
    host_.set_timer(kMs * static_cast<double>(wait(chance_)), kListKey);
}

double Rules::chance() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

void Rules::send(QueryIndex i, ServerIndex s, bool reading) {
    Query& q = queries_[i];
    q.stage = reading ? Stage::reading : Stage::writing;
    q.server = s;
    q.server_life = life_[s];
    q.out = true;
    q.called_off = q.begun = false;
    q.at_reader = role_[s] == Role::reader;
    q.sent = now_;
    q.state_life = reading ? life_[s] : q.state_life;
    if (!q.may_have_run) q.ran_since = q.sent, q.ran_zone = zone_[s], q.ran_cell = cell_[s];
    ++q.attempts;
    change_waiting(s, 1);
    if (reading) {
        q.read_tokens = q.facts.prompt_tokens - expected_kept(q, texts_of(q), s);
        unread_[s] += q.read_tokens;
        sent_unread_[s] += q.read_tokens;
        newer_unread_[s] += q.read_tokens;
        q.queued_tokens = reader_load(s);
    }
    if (writes(s)) {
        q.stream_tokens = stream_estimate(q);
        streams_[s] += q.stream_tokens;
        note_sent(s, q.stream_tokens);
        tell_peers('w', s, q.stream_tokens / kFigureTold);
    }
    if (is_cold(s)) {
        const Learned& mine = work_of_category_[q.facts.category];
        const double work = work_.mean > 0 && mine.samples > 0 ? mine.mean / work_.mean : 1.0;
        set_cold_level(s, cold_level_[s] - work);
    }
    // Tried anew by one at a time.
    if (Mute& mute = mutes_[q.facts.category][s]; mute.held.us > 0) {
        mute.since = q.sent;
        mute.until = q.goal;
    }
    // No shorter limit of ours: in a jam every attempt would run into it and its work be asked for again.
    const Span own = reading ? q.facts.read_within : q.facts.first_token_within;
    const Span left = q.hard_stop - now_;
    host_.start_attempt(i, s, {own.us > 0 ? std::min(own, left) : left, repeat_left(q)});
    watch_on();
}

// How many attempts a server has not answered yet.
void Rules::change_waiting(ServerIndex s, int by) {
    waiting_[s] += static_cast<std::uint32_t>(by);
    // One that is ejected is tried by one at a time.
    if (shut_for_[s].us > 0) servers_with_room_.invalidate();
}

// What was counted against the server of the attempt that has ended; a process started since knows none of
// it.
void Rules::settle_books(Query& q) {
    if (!q.out) return;
    q.out = false;
    const ServerIndex s = q.server;
    if (q.server_life == life_[s]) {
        if (!q.begun) change_waiting(s, -1);
        unread_[s] = std::max(0.0, unread_[s] - q.read_tokens);
        streams_[s] = std::max(0.0, streams_[s] - q.stream_tokens);
    }
    q.read_tokens = q.stream_tokens = 0;
}

void Rules::stream_began(QueryIndex i, Span took) {
    now_ = host_.now();
    Query& q = queries_[i];
    const ServerIndex s = q.server;
    heard_at_[s] = now_;
    if (q.server_life == life_[s]) {
        connected_at_[s] = now_;
        change_waiting(s, -1);
        unread_[s] = std::max(0.0, unread_[s] - q.read_tokens);
    }
    q.begun = true;
    q.read_tokens = 0;
    if (q.stage == Stage::over) return;
    q.stage = Stage::streaming;
    writes_done_ += 1;
    learn(first_time_, took.ms());
    if (q.has_state) note_hand_over(q, took);
    passed_[false][s] = std::max(passed_[false][s], q.sent);
    answered(q, s);
    note_good(s, took.ms(), !q.has_state);
    q.has_state = false;
    strain_ += 0.05 * ((now_ - q.came) / (q.goal - q.came) - strain_);
}

void Rules::remember_read(const Query& q, ServerIndex s) {
    const Arrival& f = q.facts;
    if (f.session != 0) sessions_.keep(f.session, {s, life_[s], f.prompt_tokens});
    if (f.beginning != 0) beginnings_.keep(f.beginning, {s, life_[s], f.beginning_tokens});
}

void Rules::attempt_ended(QueryIndex i, ServerIndex s, const Outcome& outcome) {
    now_ = host_.now();
    Query& q = queries_[i];
    const bool reading = q.stage == Stage::reading;
    const double ahead = std::max(0.0, q.queued_tokens - q.read_tokens);
    if (!q.out || q.server != s) q.state_life = life_[s];  // an attempt that others made
    settle_books(q);
    note_report(s, outcome.report);

    const Ending e = outcome.ending;
    const bool local =
        e == Ending::retracted || e == Ending::late || e == Ending::unreachable || e == Ending::unsent;
    if (!local) heard_at_[s] = now_;
    const bool same_process = q.server_life == life_[s];
    if (!local && same_process) connected_at_[s] = e == Ending::broken ? Instant{} : now_;
    if (e == Ending::unreachable) shut_out(s, true);
    if (e == Ending::error || e == Ending::late || (e == Ending::broken && !outcome.stale)) note_bad(s);
    if (e == Ending::full && !outcome.no_state) {
        full_at_[s] = now_;
        capacity_changed(s);
    }
    if (e == Ending::read) {
        passed_[true][s] = std::max(passed_[true][s], q.sent);
        answered(q, s);
        reads_done_ += 1;
        learn(read_time_, outcome.took.ms());
        const double read = ahead + q.facts.prompt_tokens - outcome.kept_tokens;
        learn(read_tokens_, read + kLeastRead * prompt_.mean);
        note_good(s, outcome.took.ms() / (read + kLeastRead * prompt_.mean), true);
        if (q.facts.beginning_tokens > 0)
            learn(kept_share_, std::min(1.0, outcome.kept_tokens / q.facts.beginning_tokens));
        remember_read(q, s);
    }
    if (e == Ending::settled) learn(stream_time_, outcome.took.ms());
    if (e == Ending::late) learn(q.at_reader ? read_time_ : first_time_, outcome.took.ms());

    if (q.stage == Stage::over || outcome.over) {
        q.stage = Stage::over;
        host_.release(i);
        return serve_lines();
    }
    const bool ran = e == Ending::error || e == Ending::late || e == Ending::broken || e == Ending::retracted;
    q.may_have_run |= ran && !q.at_reader;
    if (e == Ending::read) {
        q.has_state = true;
        q.state_at = s;
        q.parked_since = now_;
        q.avoid.clear();
        hand_over(i);
    } else {
        // Against answers lost on their way back: the text is likely to be kept at that reader now, and the
        // state to have left for that writer. One that is silent may hang, so its text is read elsewhere.
        if (!reading || e != Ending::broken) q.avoid.push_back(s);
        if (e == Ending::broken || e == Ending::retracted) {
            q.answer_lost = true;
            if (!reading && q.has_state && !outcome.stale) let_go(i);
        }
        if (e != Ending::unreachable) q.parked_since = now_;
        q.last = e;
        const bool barred = !reading && q.may_have_run && repeat_left(q).us <= 0;
        if (e == Ending::unsent || q.hard_stop <= now_ + terms_.quantum || barred) {
            end(i, Span{0});
        } else if (reading || outcome.no_state) {
            if (outcome.no_state && q.has_state) note_bad(q.state_at);
            let_go(i);
            retry_or_end(i);
        } else if (!q.has_state) {
            retry_or_end(i);
        } else if (!host_.may_attempt_again(i, q.last)) {
            end(i, terms_.max_stay_away * 0.25);
        } else if (e == Ending::full && q.attempts < most_attempts(q) && !any_room(q)) {
            park(i);
        } else {
            hand_over(i);
        }
    }
    serve_lines();
}

void Rules::state_expired(QueryIndex i) {
    now_ = host_.now();
    Query& q = queries_[i];
    q.has_state = false;
    if (q.stage == Stage::writing && q.out) return take_back_unheard(i);
    if (q.stage != Stage::parked) return;
    retry_or_end(i);
    serve_lines();
}

void Rules::query_left(QueryIndex i) {
    now_ = host_.now();
    Query& q = queries_[i];
    if (q.stage == Stage::over) return;
    over(i);
    serve_lines();
}

void Rules::wake_soon(Span after) {
    const Instant at = now_ + std::max(after, terms_.quantum);
    if (sweep_at_ > now_ && sweep_at_ <= at) return;
    sweep_at_ = at;
    host_.set_timer(at - now_, kSweepKey);
}

void Rules::timer_rang(TimerKey key) {
    now_ = host_.now();
    if (key >= kQueryKeys) {
        const auto i = static_cast<QueryIndex>((key - kQueryKeys) >> 30);
        const auto serial = static_cast<std::uint32_t>(key & ((1U << 30) - 1));
        if (i >= queries_.size()) return;
        Query& q = queries_[i];
        if (q.serial % (1U << 30) != serial || q.stage == Stage::over || q.stage == Stage::streaming) return;
        strain_ += 0.05 * (1.5 - strain_);
        end(i, Span{0});
        return serve_lines();
    }
    if (key == kSweepKey) {
        if (now_ >= sweep_at_) sweep_at_ = {};
        serve_parked(), serve_lines();
    }
    if (key == kListKey) host_.subscribe();
    if (key == kWatchKey) watch();
}

}  // namespace copperfront
