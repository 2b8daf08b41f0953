// All decisions of copperfront, for one gateway, made and acted on at once through the Host (host.h); rules.h
// has a method for each event. The ordinary path is that of docs/design.md: to the reader with the fewest
// queued prompt tokens (or the one that kept the text), held before the read while no writer shows room, and
// from the read's end to the writer with the most free memory. All else stands against a named trouble.

#include "rules.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace copperfront {
namespace {

constexpr Span kMs{1000};
constexpr std::size_t kSightsTold = 8;  // of a choice, to a trace
constexpr double kInfinite = std::numeric_limits<double>::infinity();

// Settled by the design.
constexpr double kRoomShare = 0.9;
constexpr Span kFullFor = kMs * 1000;
constexpr double kKeptMargin = 1.0;  // typical prompts

// Left open by the design: what counts as a tie, in which the shorter way counts for more.
constexpr double kScatter = 2.0;    // mean deviations of reported loads
constexpr double kLeaveCost = 2.0;  // times the tokens read anew that a shorter queue must save
constexpr double kReaderTie = 0.25, kHomesPart = 2.0;  // typical prompts; homes for each reader kept busy
constexpr double kFewArrivals = 16.0, kReadStretch = 2.0, kLeastPart = 1e-9;
constexpr double kAlikeBefore = 0.5,
                 kPairsBefore = 8.0;  // queries that begin alike, before any have been met
constexpr double kWriterTie = 3.0;    // streams of the size in hand; wider ties lose under overload
constexpr Span kWeighEvery = kMs * 1000;

// Health. Evidence is weighed as odds: how often an ill server fails, how often one must be thought to fail
// at the least, and what is far enough from its peers' pace; one sample alone shuts out nobody.
constexpr double kLearn = 0.3, kLearnPool = 0.05, kLearnUsual = 0.02;  // of one server, a role, all queries
constexpr double kIllFails = 0.6, kFewFail = 0.02, kSlack = 0.9, kMostSlow = 2.3, kShutDoubt = 4.6;
constexpr Span kShutFirst = kMs * 1000, kShutMost = kMs * 8000;
constexpr double kShutPart = 0.5;  // the most of a role that plain failures and slowness may shut out
constexpr std::uint64_t kPaceSamples = 8, kUsualSamples = 20;
constexpr double kLeastRead = 0.1;  // typical prompts that a read costs even where all of it is kept

// Silence: far past the usual, with a bound from the latency goal; of a category, its first and longest time.
constexpr double kSpreads = 6.0, kSilentFactor = 4.0, kSilentGoal = 0.5;
constexpr Span kWatchEvery = kMs * 20, kMuteFirst = kMs * 4000, kMuteMost = kMs * 16000;

// Cold servers: the part of a full budget that is planned for, and how much of it may go at once.
constexpr double kColdPart = 0.8, kColdBurst = 0.35;

// The part of the latency goal that a read may fill, and of that where nothing is kept.
constexpr double kFillGoal = 0.6, kFillUnkept = 0.5;

constexpr double kRateWindowS = 10.0;
constexpr double kFresh = 0.5;     // latency goals in which what a read took tells of the next
constexpr double kStrained = 0.4;  // first-token time over the latency goal
constexpr double kShareBurstS = 2.0, kShareChance = 3.0;  // seconds of a share; deviations that are chance
constexpr double kAskPart = 1.0 / 128;  // of the latency goal that asked readers have to answer in
constexpr double kProbeSpend = 0.008, kProbesMost = 3.0;  // points of the result, and probes, for a query
constexpr std::size_t kTextsKept = 20000;                 // sessions remembered in each of two generations
constexpr double kFigureTold = 100;                       // tokens

constexpr TimerKey kSweepKey = 1, kListKey = 2, kWatchKey = 3, kQueryKeys = TimerKey{1} << 62;

void learn(Learned& l, double sample, double least = kLearnUsual) { l.learn(sample, least); }

// What a client group may send at once here: a gateway among many is sent few queries, which chance bunches.
double share_burst(double rate) {
    const double usual = rate * kShareBurstS;
    return std::max(1.0, usual + kShareChance * std::sqrt(usual));
}

double seconds(Span s) { return s.ms() / 1000; }

// What it has just found bad, or came to get away from.
bool avoids(const Query& q, ServerIndex s) {
    return std::find(q.avoid.begin(), q.avoid.end(), s) != q.avoid.end();
}

// What a quick one takes: a jam that is over still fills the means of a gateway that is sent little.
double quick_of(const Learned& l) { return std::max(0.0, l.mean - l.spread); }

}  // namespace

Rules::Rules(const Terms& terms, Host& host, std::uint32_t seed)
    : terms_(terms),
      host_(host),
      chance_(seed),
      sessions_(kTextsKept),
      beginnings_(kTextsKept),
      told_memory_(terms.kinds.size()),
      told_unread_(terms.kinds.size()),
      work_of_category_(terms.categories.size()),
      mutes_(terms.categories.size()),
      share_level_(terms.quotas.size()),
      share_filled_(terms.quotas.size(), host.now()) {
    counted_at_ = host_.now();
    for (std::size_t g = 0; g < terms_.quotas.size(); ++g)
        share_level_[g] = share_burst(terms_.quotas[g] / terms_.gateways);
    if (terms_.ask_for_list) host_.subscribe();
}

// What was learned and spent stays: a change of terms is no new start.
void Rules::terms_changed(const Terms& terms) {
    terms_ = terms;
    work_of_category_.resize(terms_.categories.size());
    mutes_.resize(terms_.categories.size(), std::vector<Mute>(servers_));
    for (auto* told : {&told_memory_, &told_unread_}) told->resize(terms_.kinds.size());
    share_level_.resize(terms_.quotas.size());
    share_filled_.resize(terms_.quotas.size(), host_.now());
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
                     &probed_at_, &answered_at_, &sent_at_})
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
    full_at_[s] = host_.now() - kFullFor * 2;
    shut_until_[s] = host_.now();
    shut_for_[s] = {};
    reported_memory_[s] = reported_unread_[s] = -1;
    told_at_[s] = host_.now() - kMs * 1000;
    unread_[s] = streams_[s] = sent_unread_[s] = sent_streams_[s] = newer_unread_[s] = newer_streams_[s] =
        doubt_[s] = failed_[s] = pace_[s] = 0;
    paced_[s] = waiting_[s] = 0;
    // Many gateways together send what one rate allows, even where each may send less than one.
    cold_level_[s] = chance();
    cold_filled_[s] = host_.now();
}

void Rules::list_arrived(std::span<const Listing> entries, bool whole) {
    std::vector<bool> named(servers_, false);
    for (const Listing& e : entries) {
        const bool known = e.server < servers_;
        grow(e.server);
        named.resize(servers_, false);
        named[e.server] = true;
        const ServerIndex s = e.server;
        if (!known || born_[s] != e.born) forget(s);
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
    serve_lines();
}

// The parts of readers, writers and reads of each cell and zone. Reads lean towards readers beside writers as
// far as hand-overs out of a cell take longer than those within it.
void Rules::weigh_cells() {
    cells_.assign(cells_.size(), {});
    zones_.assign(zones_.size(), {});
    double readers = 0, writers = 0, reads_all = 0;
    const double near = hand_over_time(0),
                 far = std::max({0.0, hand_over_time(1) - near, hand_over_time(2) - near});
    const double beside = far > 0 ? far / (far + read_time_.mean) : 0.0;
    weighed_at_ = host_.now();
    const bool had = std::exchange(has_readers_, false);
    for (ServerIndex s = 0; s < servers_; ++s) has_readers_ |= ready(s) && role_[s] == Role::reader;
    // Mixed servers are judged by another pace from now on.
    for (ServerIndex s = 0; s < servers_ && had != has_readers_; ++s)
        if (role_[s] == Role::mixed) paced_[s] = 0;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (cell_[s] >= cells_.size()) cells_.resize(cell_[s] + 1);
        if (zone_[s] >= zones_.size()) zones_.resize(zone_[s] + 1);
        cells_[cell_[s]].zone = zone_[s];
        if (!ready(s)) continue;
        readers += reads(s);
        writers += writes(s);
        cells_[cell_[s]].readers += reads(s);
        cells_[cell_[s]].writers += writes(s);
    }
    for (Mix& cell : cells_) {
        cell.readers /= std::max(1.0, readers);
        cell.writers /= std::max(1.0, writers);
        cell.reads = std::min(kReadStretch * cell.readers, cell.writers);
        reads_all += cell.reads;
    }
    for (Mix& cell : cells_) {
        cell.reads = cell.readers + (reads_all > 0 ? beside * (cell.reads / reads_all - cell.readers) : 0.0);
        zones_[cell.zone].readers += cell.readers;
        zones_[cell.zone].reads += cell.reads;
        zones_[cell.zone].over += std::max(0.0, cell.reads - cell.writers);
        zones_[cell.zone].spare += std::max(0.0, cell.writers - cell.reads);
    }
    peers_ = {writers, readers};
    far_spare_ = spare_readers_ = 0;
    for (const Mix& zone : zones_) {
        far_spare_ += std::max(0.0, zone.spare - zone.over);
        spare_readers_ += std::max(0.0, zone.reads - 1.0 / static_cast<double>(zones_.size()));
    }
}

// The old list stands; asking again at once would load the one list service that all gateways share.
void Rules::list_missed() {
    if (!terms_.ask_for_list) return;
    std::uniform_int_distribution<std::int64_t> wait(200, 1000);
    host_.set_timer(kMs * static_cast<double>(wait(chance_)), kListKey);
}

double Rules::chance() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

// Mixed servers write: what they read slows all answers that they write, and only they and the writers can
// write. They count as readers where there are no others.
bool Rules::reads(ServerIndex s) const {
    return role_[s] == Role::reader || (role_[s] == Role::mixed && !has_readers_);
}
bool Rules::writes(ServerIndex s) const { return role_[s] != Role::reader; }
bool Rules::ready(ServerIndex s) const { return standing_[s] == Standing::ready; }

bool Rules::is_cold(ServerIndex s) const {
    return born_[s].us > 0 && host_.now() - born_[s] < terms_.warm_within;
}

// Cold servers: all gateways together must stay under tip x capacity x window. Each keeps to the part that
// its own traffic to warm servers of the role tells: if all do, the sum is the fleet's part.
void Rules::refill_cold() {
    const Instant now = host_.now();
    const double fade = std::exp(-seconds(now - counted_at_) / kRateWindowS);
    reads_done_ *= fade;
    writes_done_ *= fade;
    arrivals_ *= fade;
    counted_at_ = now;
    double warm_readers = 0, warm_writers = 0;
    bool cold = false;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!ready(s)) continue;
        const bool warm = !is_cold(s);
        cold |= !warm;
        warm_readers += warm && reads(s);
        warm_writers += warm && writes(s);
    }
    if (!cold) return;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!ready(s) || !is_cold(s)) continue;
        const double done = role_[s] == Role::reader ? reads_done_ : writes_done_;
        const double peers = role_[s] == Role::reader ? warm_readers : warm_writers;
        const double rate = peers > 0 ? done / kRateWindowS / peers : 0;
        const double allowed = rate * terms_.tip_multiple * terms_.start_capacity * kColdPart;
        const double most = std::max(1.0, allowed * seconds(terms_.fall) * kColdBurst);
        cold_level_[s] =
            std::min(most, cold_level_[s] + allowed * (1 - kColdBurst) * seconds(now - cold_filled_[s]));
        cold_filled_[s] = now;
    }
}

bool Rules::may_take(ServerIndex s) const { return ready(s) && (!is_cold(s) || cold_level_[s] >= 1); }

// Shut out, a server is tried again by single launches once its time is over; a good one lets it back in.
bool Rules::is_open(ServerIndex s) const {
    return may_take(s) && (shut_for_[s].us == 0 || (host_.now() >= shut_until_[s] && waiting_[s] == 0));
}

// Open to this query: not known to leave its category unanswered.
bool Rules::is_open_to(const Query& q, ServerIndex s) const {
    return is_open(s) && host_.now() >= mutes_[q.facts.category][s].until;
}

// Doubt in a server is the log of the odds that it is ill rather than like its role, gathered from each
// outcome against what the role as a whole shows now: a few samples are enough where they stand out, and a
// fleet that fails or is slow as a whole shuts out nobody. Against servers that answer fast with errors (and,
// with the fewest queued, would draw all traffic), fall silent or lose states or streams.
void Rules::note_bad(ServerIndex s) { weigh(s, std::log(kIllFails / failing(s, 1.0))); }

// The share that fails at the other servers of the role.
double Rules::failing(ServerIndex s, double sample) {
    Learned& share = fails_[role_[s] == Role::reader];
    const double peers = std::max(1.0, peers_[role_[s] == Role::reader]);
    const double others = peers > 1 ? (share.mean * peers - failed_[s]) / (peers - 1) : share.mean;
    learn(share, sample, std::min(kLearn, 1 / peers));
    failed_[s] += kLearn * (sample - failed_[s]);
    return std::clamp(others, kFewFail, kIllFails);
}

// Against servers that run slow without failing. Each is judged by one of the two paces.
void Rules::note_good(ServerIndex s, double pace, bool reading) {
    const double odds = std::log((1 - kIllFails) / (1 - failing(s, 0.0)));
    if (reading != reads(s)) return weigh(s, odds);
    Learned& peers = paces_[reading];
    const double log_pace = std::log(std::max(pace, 1e-9));
    const double slow = peers.samples < kPaceSamples ? 0.0 : log_pace - peers.mean - kSlack;
    if (reading) peers_paced_at_ = host_.now();
    learn(peers, log_pace, kLearnPool);
    paced_at_[s] = host_.now();
    ++paced_[s];
    pace_[s] += std::max(kLearn, 1.0 / paced_[s]) * (pace - pace_[s]);
    weigh(s, odds + std::clamp(slow, -kSlack, kMostSlow));
}

void Rules::weigh(ServerIndex s, double odds) {
    doubt_[s] = std::max(0.0, doubt_[s] + odds);
    if (doubt_[s] >= kShutDoubt) return shut_out(s, false);
    if (shut_for_[s].us == 0) return;
    shut_for_[s] = {};
    host_.shut(s, false);
    host_.log("server " + std::to_string(s) + " is let in again");
}

// Doubt may shut out no more than half of what can be reached of a role, or the rest would drown; what can't
// be reached, for which one launch is enough, counts on neither side: a dead zone keeps no failing server in.
void Rules::shut_out(ServerIndex s, bool lost) {
    doubt_[s] = kShutDoubt;
    if (!lost && shut_for_[s].us == 0) {
        double peers = 0, shut = 0;
        for (ServerIndex o = 0; o < servers_; ++o) {
            if (!ready(o) || role_[o] != role_[s] || (shut_for_[o].us > 0 && lost_[o])) continue;
            ++peers;
            shut += shut_for_[o].us > 0;
        }
        if (shut + 1 > peers * kShutPart) return;
    }
    lost_[s] = lost;
    if (shut_for_[s].us == 0) host_.log("server " + std::to_string(s) + " is shut out after failures");
    host_.shut(s, true);
    shut_for_[s] = shut_for_[s].us == 0 ? kShutFirst : std::min(kShutMost, shut_for_[s] * 2);
    shut_until_[s] = host_.now() + shut_for_[s];
}

// A report may be asked for more often than it is made: the same figure again is the same report, and what
// was sent before the last answer that still held the old one is in the new one at the earliest.
void Rules::note_report(ServerIndex s, const LoadReport& report) {
    const auto take = [](double told, double& held, Learned& average, double& since, double& newer) {
        if (told < 0) return;
        if (told != held) since = newer;
        held = told;
        newer = 0;
        learn(average, told, kLearnPool);
    };
    // What the terms do not promise is left alone.
    const double memory = terms_.reports_memory ? report.memory_share : -1;
    const double unread = terms_.reports_unread ? report.unread_thousands * 1000 : -1;
    take(memory, reported_memory_[s], told_memory_[kind_[s]], sent_streams_[s], newer_streams_[s]);
    take(unread, reported_unread_[s], told_unread_[kind_[s]], sent_unread_[s], newer_unread_[s]);
    if (memory >= 0 || unread >= 0) told_at_[s] = host_.now();
    memory_told_ |= memory >= 0 && writes(s);
}

// The time in which what may have run may still be sent again: never what runs only once; while its repeat is
// known what is receipted, less what a connection may take. The host keeps to it too, whenever it comes up.
Span Rules::repeat_left(const Query& q) const {
    const Category& c = terms_.categories[q.facts.category];
    if (!q.may_have_run || c.effect == Effect::pure) return q.hard_stop - host_.now();
    const Span known = q.ran_since + c.window - terms_.connect_within - host_.now();
    return c.effect == Effect::effectful ? Span{} : known;
}

// Receipted queries that may have run stay within the servers that drop their repeat.
bool Rules::may_go(const Query& q, ServerIndex s) const {
    const Category& c = terms_.categories[q.facts.category];
    if (!q.may_have_run || c.effect == Effect::pure) return true;
    if (repeat_left(q).us <= 0) return false;
    if (c.group == Group::zone) return zone_[s] == q.ran_zone;
    return c.group == Group::all || cell_[s] == q.ran_cell;
}

Rules::Texts Rules::texts_of(const Query& q) const {
    return {sessions_.find(q.facts.session), beginnings_.find(q.facts.beginning)};
}

double Rules::expected_kept(const Query& q, const Texts& texts, ServerIndex s) const {
    double kept = 0;
    if (const KeptText* t = texts.session)
        if (t->reader == s && t->life == life_[s]) kept = t->tokens;
    if (const KeptText* t = texts.beginning)
        if (t->reader == s && t->life == life_[s]) kept = std::max(kept, q.facts.beginning_tokens);
    return std::min(kept, q.facts.prompt_tokens);
}

// The output estimate is the client's hint, or half of the most that it allows.
double Rules::stream_estimate(const Query& q) const {
    const Category& c = terms_.categories[q.facts.category];
    const double answer =
        q.facts.hint.us > 0 && c.token_gap.us > 0 ? q.facts.hint / c.token_gap : q.facts.most_tokens / 2;
    return q.facts.prompt_tokens + answer;
}

// Servers not heard of count as the average of those heard of, of their kind: one for all would send
// everything to the kind with the largest memory. A report fades into that average as the streams that it
// counted end, or gateways that hear of a server seldom would all trust what is long gone.
double Rules::told(ServerIndex s, const std::vector<double>& figure,
                   const std::vector<Learned>& average) const {
    const double mean = average[kind_[s]].mean;
    return figure[s] < 0 ? mean : mean + (figure[s] - mean) * still_running(told_at_[s]);
}

double Rules::still_running(Instant then) const {
    const double usual = stream_time_.mean > 0 ? stream_time_.mean / 1000 : kRateWindowS;
    return std::exp(-seconds(host_.now() - then) / usual);
}

// Streams sent since a report end too; else notes of peers alone would fill a server for good.
void Rules::note_sent(ServerIndex s, double tokens) {
    for (auto* sent : {&sent_streams_, &newer_streams_})
        (*sent)[s] = (*sent)[s] * still_running(sent_at_[s]) + tokens;
    sent_at_[s] = host_.now();
}

double Rules::sent_since(ServerIndex s) const { return sent_streams_[s] * still_running(sent_at_[s]); }

double Rules::reader_load(ServerIndex s) const {
    if (told_unread_[kind_[s]].samples == 0) return unread_[s];
    // What of ours has been read waits no more, even if an idle reader's report stays the same.
    return told(s, reported_unread_, told_unread_) + std::min(sent_unread_[s], unread_[s]);
}

// A kind of which nothing was heard counts as empty, so that it is tried.
double Rules::writer_room(ServerIndex s) const {
    if (!memory_told_) return -streams_[s];
    return (1 - told(s, reported_memory_, told_memory_)) * memory_[s] - sent_since(s);
}

bool Rules::shows_room(ServerIndex s) const {
    if (reported_memory_[s] >= 0 && memory_[s] > 0 &&
        told(s, reported_memory_, told_memory_) + sent_since(s) / memory_[s] > kRoomShare)
        return false;
    return host_.now() - full_at_[s] >= kFullFor;
}

bool Rules::any_room(const Query& q) {
    cell_room_.assign(cells_.size(), false);
    zone_room_.assign(zones_.size(), false);
    bool any = false;
    for (ServerIndex s = 0; s < servers_; ++s)
        if (writes(s) && is_open(s) && may_go(q, s) && shows_room(s))
            any = cell_room_[cell_[s]] = zone_room_[zone_[s]] = true;
    return any;
}

// Against texts that every gateway has read somewhere else: a text's home is drawn by a lot that falls alike
// at all gateways, so that it is the likeliest to have read the text last. A beginning that many sessions
// share has as many homes as its part of the traffic would keep busy, and the session tells which. The lot is
// drawn by the part of a reader's work that is this zone's, or a zone with few readers would drown them.
double Rules::lot(const Query& q, ServerIndex s) {
    const std::uint64_t text = q.facts.beginning != 0 ? q.facts.beginning : q.facts.session;
    const double drawn = text != 0 ? unit(mixed(text ^ mixed(mark_[s]))) : chance();
    return arrival_at(drawn, reader_part(s));
}

double Rules::reader_part(ServerIndex s) const {
    const double wanted = 1.0 / static_cast<double>(zones_.size());
    const Mix& cell = cells_[cell_[s]];
    const double here = zones_[terms_.zone].reads, there = zones_[zone_[s]].reads;
    if (there <= 0 || cell.readers <= 0) return kLeastPart;
    const double own = cell.reads / cell.readers;
    if (zone_[s] == terms_.zone) return std::max(kLeastPart, own * std::min(1.0, wanted / there));
    const double over = std::max(0.0, wanted - here), spare = std::max(0.0, there - wanted);
    return std::max(kLeastPart, spare_readers_ > 0 ? own * over * spare / spare_readers_ / there : 0.0);
}

std::size_t Rules::home_place(const Query& q, double readers) const {
    const double homes = std::max(1.0, q.part * readers * kHomesPart);
    return q.facts.beginning == 0 ? 0 : static_cast<std::size_t>(unit(mixed(q.facts.session)) * homes);
}

// What was compared, for whoever keeps a trace of it. Nothing here depends on that.
bool Rules::tell(const Query& q, ServerIndex taken, bool reading, const char* why) {
    if (!host_.keeps_trace()) return true;
    sights_.clear();
    for (const ServerIndex s : candidates_) sights_.push_back({s, reading ? reader_load(s) : writer_room(s)});
    const std::size_t told = std::min(sights_.size(), kSightsTold);
    const auto end = sights_.begin() + static_cast<std::ptrdiff_t>(told);
    std::partial_sort(sights_.begin(), end, sights_.end(), [&](const Host::Sight& a, const Host::Sight& b) {
        return reading ? a.figure < b.figure : a.figure > b.figure;
    });
    host_.chose(static_cast<QueryIndex>(&q - queries_.data()), taken, reading, why, {sights_.begin(), end},
                candidates_.size());
    return true;
}

bool Rules::pick_reader(const Query& q, ServerIndex& best) {
    const Texts texts = texts_of(q);
    bool left = false;  // somebody to read who has not found himself shut out
    // Readers; mixed servers; also what this query has just found bad, and writers that read where nobody
    // else is left; what is shut out.
    for (const int pass : {0, 1, 2, 3}) {
        const auto fit = [&](ServerIndex s) {
            const bool by_role = pass == 0   ? reads(s)
                                 : pass == 1 ? role_[s] == Role::mixed
                                             : role_[s] != Role::writer || (terms_.writers_read && !left);
            if (!by_role || !may_go(q, s) || !may_take(s) || (pass < 3 && !is_open_to(q, s))) return false;
            if (host_.now() - full_at_[s] < kFullFor) return false;
            return pass > 1 || !avoids(q, s);
        };
        double least = kInfinite, readers = 0;
        candidates_.clear();
        for (ServerIndex s = 0; s < servers_; ++s) {
            if (!fit(s)) continue;
            candidates_.push_back(s);
            least = std::min(least, reader_load(s));
            readers += reader_part(s);
        }
        if (candidates_.empty()) continue;
        left = true;
        double home_end = kInfinite, home_own = 0;
        const double typical = prompt_.mean;
        const auto keeps_to = [&](ServerIndex s, double kept) {
            const double margin = kKeptMargin * typical + kScatter * told_unread_[kind_[s]].spread;
            return reader_load(s) <= least + margin && !read_late(q, kept, s);
        };
        if (const KeptText* t = texts.session; t && t->life == life_[t->reader] && fit(t->reader)) {
            best = t->reader;
            if (keeps_to(best, expected_kept(q, texts, best)))
                return tell(q, best, true, "it kept the session's text");
        }
        const auto gather = [&](double most) {
            lots_.clear();
            for (const ServerIndex s : candidates_)
                if (reader_load(s) <= most) lots_.emplace_back(lot(q, s), s);
        };
        if (q.facts.beginning != 0 || q.facts.session != 0) {
            gather(kInfinite);
            const std::size_t place = std::min(lots_.size() - 1, home_place(q, readers));
            const auto home = lots_.begin() + static_cast<std::ptrdiff_t>(place);
            std::nth_element(lots_.begin(), home, lots_.end());
            best = home->second;
            // A text never met here is likely to lie at its home all the same, above all after a restart.
            const double usual = kept_share_.mean * q.facts.beginning_tokens;
            const double kept = texts.beginning ? expected_kept(q, texts, best) : usual;
            if (keeps_to(best, kept)) return tell(q, best, true, "it is the home of its text");
            home_own = q.facts.prompt_tokens - kept;
            home_end = reader_load(best);
        }
        // Against jams that feed on themselves: a text that is read anew elsewhere costs more than it saves
        // where the home's queue is not longer by far more than that.
        std::erase_if(candidates_, [&](ServerIndex s) {
            const double kept = expected_kept(q, texts, s), more = q.facts.prompt_tokens - kept - home_own;
            return read_late(q, kept, s) || reader_load(s) + kLeaveCost * more > home_end;
        });
        if (candidates_.empty()) continue;
        least = kInfinite;
        for (const ServerIndex s : candidates_) least = std::min(least, reader_load(s));
        gather(least + kReaderTie * typical);
        best = std::min_element(lots_.begin(), lots_.end())->second;
        return tell(q, best, true, pass < 2 ? "fewest queued prompt tokens" : "all others are shut out");
    }
    return false;
}

// Against cells whose writers drown because all gateways favour the reader's cell at once: ties favour it
// only as far as its writers' part matches its readers' part of the reads. What is over goes to cells with
// writers to spare, of the same zone first. If all draw so, each writer gets its part.
double Rules::writer_part(ServerIndex s, ServerIndex reader) const {
    const Mix& here = cells_[cell_[reader]];
    const Mix& there = cells_[cell_[s]];
    const Mix& zone = zones_[zone_[reader]];
    if (there.writers <= 0 || here.reads <= 0) return kLeastPart;
    if (cell_[s] == cell_[reader])
        return std::max(kLeastPart, std::min(here.reads, here.writers) / there.writers);
    const double over = std::max(0.0, here.reads - here.writers);
    const double stays = zone.over > 0 ? std::min(1.0, zone.spare / zone.over) : 1.0;
    const double spare = std::max(0.0, there.writers - there.reads) / there.writers;
    if (zone_[s] == zone_[reader])
        return std::max(kLeastPart, zone.spare > 0 ? over * stays * spare / zone.spare : 0.0);
    const Mix& far = zones_[zone_[s]];
    const double left = far.spare > 0 ? std::max(0.0, 1 - far.over / far.spare) : 0.0;
    return std::max(kLeastPart, far_spare_ > 0 ? over * (1 - stays) * spare * left / far_spare_ : 0.0);
}

// How far a state goes: within its cell, over the cell's link, or on to another zone.
std::size_t Rules::way(ServerIndex from, ServerIndex to) const {
    return cell_[from] == cell_[to] ? 0 : zone_[from] == zone_[to] ? 1 : 2;
}

void Rules::note_hand_over(const Query& q, Span took) {
    const std::size_t w = way(q.state_at, q.server);
    learn(hand_overs_[w], took.ms(), kLearnPool);
    handed_at_[w] = host_.now();
}

// What was learned fades, as a way that is avoided teaches nothing more.
double Rules::hand_over_time(std::size_t w) const {
    return hand_overs_[w].mean * std::exp(-seconds(host_.now() - handed_at_[w]) / kRateWindowS);
}

bool Rules::pick_writer(const Query& q, ServerIndex& best) {
    // Against links that are jammed: the state would be there too late, and hold up those behind it.
    std::array<bool, 3> late{};
    for (const std::size_t w : {1, 2})
        late[w] = hand_over_time(w) > hand_over_time(0) && host_.now() + kMs * hand_over_time(w) > q.goal;
    for (const int pass : {0, 1, 2}) {
        const auto fit = [&](ServerIndex s) {
            if (!writes(s) || !may_go(q, s) || !may_take(s)) return false;
            if (pass < 2 && !is_open_to(q, s)) return false;
            if (pass > 0) return true;
            return !avoids(q, s) && shows_room(s) && !late[way(q.state_at, s)];
        };
        double most = -kInfinite;
        candidates_.clear();
        for (ServerIndex s = 0; s < servers_; ++s) {
            if (!fit(s)) continue;
            candidates_.push_back(s);
            most = std::max(most, writer_room(s));
        }
        if (candidates_.empty()) continue;
        const double tie = kWriterTie * stream_estimate(q);
        double first = kInfinite;
        for (const ServerIndex s : candidates_) {
            if (writer_room(s) < most - tie) continue;
            const double arrival = arrival_at(chance(), writer_part(s, q.state_at));
            if (arrival >= first) continue;
            first = arrival;
            best = s;
        }
        return tell(q, best, false, pass == 0 ? "most free memory" : "no open writer shows room");
    }
    return false;
}

// What a read sent now would take, by what reads took of late for each token that this gateway had queued:
// here, as far as that is fresh, else at the role as a whole. Both fade, or a jam that is over would last.
// Where a reader's load is reported, it tells a jam by itself; single reports are off by far, so the pace is
// that of all reads together.
double Rules::pace_now(ServerIndex s, Span goal) const {
    if (told_unread_[kind_[s]].samples > 0)
        return read_tokens_.samples < kPaceSamples ? 0.0 : read_time_.mean / read_tokens_.mean;
    const auto fresh = [&](Instant at) { return std::exp((at - host_.now()) / goal / kFresh); };
    const double usual = paces_[1].samples > 0 ? std::exp(paces_[1].mean) * fresh(peers_paced_at_) : 0;
    return paced_[s] > 0 && reads(s) ? usual + (pace_[s] - usual) * fresh(paced_at_[s]) : usual;
}

// Against jams: a read that would end past the latency goal, or the client's patience, only makes those
// behind it late as well. What was kept passes more easily, as it costs the jam least for the same gain. A
// long prompt counts as a typical one where nothing of ours is out, or it would never pass.
bool Rules::read_late(const Query& q, double kept, ServerIndex s) const {
    const double pace = pace_now(s, q.goal - q.came);
    const double share = kept / std::max(1.0, q.facts.prompt_tokens);
    const double fill = kFillGoal * (kFillUnkept + (1 - kFillUnkept) * share);
    const double own = q.facts.prompt_tokens - kept;
    const double tokens = reader_load(s) + (waiting_[s] > 0 ? own : std::min(own, 2 * prompt_.mean));
    const Span read = kMs * (pace * (tokens + kLeastRead * prompt_.mean)), useful = of_use_until(q) - q.came;
    return host_.now() + read > q.came + useful * fill || link_late(q, s, read);
}

// What is read there would wait for a jammed link: it is held before its read, as for writers.
bool Rules::link_late(const Query& q, ServerIndex s, Span read) const {
    if (!reads(s) || cell_room_[cell_[s]]) return false;
    return host_.now() + read + kMs * hand_over_time(zone_room_[zone_[s]] ? 1 : 2) > of_use_until(q);
}

void Rules::send(QueryIndex i, ServerIndex s, bool reading) {
    Query& q = queries_[i];
    q.stage = reading ? Stage::reading : Stage::writing;
    q.server = s;
    q.server_life = life_[s];
    q.out = true;
    q.called_off = q.begun = false;
    q.at_reader = role_[s] == Role::reader;
    q.sent = host_.now();
    q.state_life = reading ? life_[s] : q.state_life;
    if (!q.may_have_run) q.ran_since = q.sent, q.ran_zone = zone_[s], q.ran_cell = cell_[s];
    ++q.launches;
    ++waiting_[s];
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
        cold_level_[s] -= work_.mean > 0 && mine.samples > 0 ? mine.mean / work_.mean : 1.0;
    }
    // Tried anew by one at a time.
    if (Mute& mute = mutes_[q.facts.category][s]; mute.held.us > 0) {
        mute.since = q.sent;
        mute.until = q.goal;
    }
    // No shorter limit of ours: in a jam every launch would run into it and its work be asked for again.
    const Span own = reading ? q.facts.read_within : q.facts.first_token_within;
    const Span left = q.hard_stop - host_.now();
    host_.launch(i, s, {own.us > 0 ? std::min(own, left) : left, repeat_left(q)});
    watch_on();
}

// What was counted against the server of the launch that has ended; a process started since knows none of it.
void Rules::settle_books(Query& q) {
    if (!q.out) return;
    q.out = false;
    const ServerIndex s = q.server;
    if (q.server_life == life_[s]) {
        waiting_[s] -= !q.begun;
        unread_[s] = std::max(0.0, unread_[s] - q.read_tokens);
        streams_[s] = std::max(0.0, streams_[s] - q.stream_tokens);
    }
    q.read_tokens = q.stream_tokens = 0;
}

void Rules::query_arrived(QueryIndex i, const Arrival& facts) {
    if (i >= queries_.size()) queries_.resize(i + 1);
    const std::uint32_t serial = queries_[i].serial + 1;
    Query& q = queries_[i];
    q = Query{};
    q.serial = serial;
    q.facts = facts;
    if (facts.avoid >= 0) q.avoid.push_back(static_cast<ServerIndex>(facts.avoid));
    const Category& c = terms_.categories[facts.category];
    q.came = host_.now();
    q.goal = q.came + c.latency_goal + c.goal_per_thousand * (facts.prompt_tokens / 1000.0);
    q.hard_stop = q.came + facts.budget;
    // Not nothing, or a first empty prompt would divide by it.
    learn(prompt_, std::max(1.0, facts.prompt_tokens));
    learn(work_of_category_[facts.category], stream_estimate(q));
    learn(work_, stream_estimate(q));
    refill_cold();
    if (host_.now() - weighed_at_ > kWeighEvery) weigh_cells();
    if (facts.beginning != 0) {
        // Its part of the traffic, of which a gateway among many sees little: what was met before, leaning
        // towards how often two queries begin alike. Counting itself would give each text met once many
        // homes.
        if (popularity_.size() >= kTextsKept) popularity_.clear();
        auto& [level, at] = popularity_[facts.beginning];
        level *= std::exp(-seconds(q.came - at) / kRateWindowS);
        alike_ += level;
        pairs_ += arrivals_;
        const double usual = (alike_ + kAlikeBefore) / (pairs_ + kPairsBefore);
        q.part = (level + kFewArrivals * usual) / (arrivals_ + kFewArrivals);
        level += 1;
        at = q.came;
    }
    arrivals_ += 1;
    // A shade before the client leaves, so that the answer is there in time however the batches fall.
    host_.set_timer(std::max(Span{0}, facts.budget - terms_.quantum),
                    kQueryKeys + (TimerKey{i} << 30) + serial % (1U << 30));
    q.stage = Stage::first_line;
    if (over_share(q) && strain_ > kStrained) {
        host_.ends(i, kOverItsShare);
        return end(i, terms_.max_stay_away);
    }
    first_line_.emplace_back(i, serial);
    pay_probes();
    ask_readers(q);
    serve_lines();
    probe_some();
}

// Shares are told for all gateways; the front spreads clients evenly, so each holds its part.
bool Rules::over_share(const Query& q) {
    if (q.facts.client_group < 0) return false;
    const auto g = static_cast<std::size_t>(q.facts.client_group);
    if (g >= terms_.quotas.size() || terms_.quotas[g] <= 0) return false;
    const double rate = terms_.quotas[g] / terms_.gateways;
    share_level_[g] =
        std::min(share_burst(rate), share_level_[g] + rate * seconds(host_.now() - share_filled_[g]));
    share_filled_[g] = host_.now();
    if (share_level_[g] < 1) return true;
    share_level_[g] -= 1;
    return false;
}

// Reports that come with the answers of a gateway that is sent little are mostly old. A probe waits in a
// reader's queue, so one that answers at once has none: the text's home is asked, and the next by its lot.
void Rules::ask_readers(Query& q) {
    if (!terms_.probes || !terms_.reports_unread || probes_due_ < 2 || !any_room(q)) return;
    lots_.clear();
    double readers = 0;
    for (ServerIndex s = 0; s < servers_; ++s) {
        if (!reads(s) || !is_open_to(q, s) || avoids(q, s) || host_.now() - full_at_[s] < kFullFor) continue;
        if (link_late(q, s, {})) continue;
        lots_.emplace_back(lot(q, s), s);
        readers += reader_part(s);
    }
    if (lots_.size() < 2) return;
    std::sort(lots_.begin(), lots_.end());
    const std::size_t place = home_place(q, readers);
    q.asked = {lots_[place % lots_.size()].second, lots_[(place + 1) % lots_.size()].second};
    if (const KeptText* t = texts_of(q).session; t && t->life == life_[t->reader] && reads(t->reader) &&
                                                 is_open_to(q, t->reader) && !avoids(q, t->reader)) {
        if (q.asked[1] == t->reader) q.asked[1] = q.asked[0];
        q.asked[0] = t->reader;
    }
    q.ask_until = q.came + (q.goal - q.came) * kAskPart;
    for (const ServerIndex s : q.asked) probe(s);
    wake_soon(terms_.quantum);
}

bool Rules::answers_at_once(const Query& q, ServerIndex s) const {
    return answered_at_[s] >= q.came && answer_took_[s] <= q.ask_until - q.came && is_open_to(q, s) &&
           may_go(q, s);
}

// The hold is before the read: no writer shows room, no read.
bool Rules::start(QueryIndex i) {
    Query& q = queries_[i];
    ServerIndex s = 0;
    const bool room = any_room(q);
    if (room && q.ask_until > q.came) {
        const Instant half = q.came + (q.ask_until - q.came) * 0.5, now = host_.now();
        for (const ServerIndex asked : q.asked) {
            if (!answers_at_once(q, asked) || (asked != q.asked[0] && now < half)) continue;
            candidates_ = {q.asked[0], q.asked[1]};
            q.ask_until = q.came;
            tell(q, asked, true, "it answers at once");
            return send(i, asked, true), true;
        }
        if (now < q.ask_until) {
            host_.held(i, "asked readers have not answered");
            wake_soon((now < half ? half : q.ask_until) - now);
            return false;
        }
        q.ask_until = q.came;
    }
    if (room && pick_reader(q, s)) return send(i, s, true), true;
    host_.held(i, room ? "no reader can take it in time" : "no writer shows room");
    return false;
}

// Against queries that wait only to be answered too late. One whose answer was lost has cost its work, most
// of which is kept where it lies.
Instant Rules::of_use_until(const Query& q) const {
    return q.answer_lost ? q.hard_stop : std::min(q.goal, q.hard_stop);
}

void Rules::serve_lines() {
    refill_cold();
    const Instant now = host_.now();
    const Span quick = kMs * (quick_of(read_time_) + quick_of(first_time_));
    for (auto* line : {&first_line_, &further_line_}) {
        const Stage stage = line == &first_line_ ? Stage::first_line : Stage::further_line;
        for (std::size_t n = line->size(); n > 0; --n) {
            const auto [i, serial] = line->front();
            line->pop_front();
            Query& q = queries_[i];
            if (q.serial != serial || q.stage != stage || start(i)) continue;
            if (now + quick > of_use_until(q) && now > q.came) {
                host_.ends(i, "it would be settled too late");
                end(i, terms_.max_stay_away);
                continue;
            }
            // Against a state that a read left behind after its answer was lost.
            if (q.launches > 0 && now - q.parked_since >= terms_.release_within * 0.4) {
                host_.release(i);
                q.parked_since = now;
            }
            line->emplace_back(i, serial);
        }
    }
    if (!first_line_.empty() || !further_line_.empty()) wake_soon(kMs * 20);
}

void Rules::stand_again(QueryIndex i) {
    Query& q = queries_[i];
    q.stage = Stage::further_line;
    further_line_.emplace_back(i, q.serial);
    wake_soon(Span{0});
}

// The read has ended, so the state goes to the writer with the most free memory now.
void Rules::hand_over(QueryIndex i) {
    Query& q = queries_[i];
    if (standing_[q.state_at] == Standing::gone || life_[q.state_at] != q.state_life || is_overdue(q) ||
        repeat_left(q).us <= 0 || q.launches >= most_launches(q)) {
        let_go(i);
        return retry_or_end(i);
    }
    ServerIndex s = 0;
    if (pick_writer(q, s)) return send(i, s, false);
    park(i);
}

void Rules::let_go(QueryIndex i) {
    host_.release(i);
    queries_[i].has_state = false;
}

void Rules::park(QueryIndex i) {
    Query& q = queries_[i];
    q.stage = Stage::parked;
    host_.held(i, "no writer can take its state");
    parked_.emplace_back(i, q.serial);
    wake_soon(terms_.release_within * 0.25);
}

// A state may wait only as long as the rule on held states allows, less a margin for what never connects.
bool Rules::is_overdue(const Query& q) const {
    const Span own = q.facts.hand_over_within, rule = terms_.release_within * 0.6;
    return host_.now() - q.parked_since >= (own.us > 0 ? std::min(own, rule) : rule);
}

void Rules::serve_parked() {
    for (std::size_t n = parked_.size(); n > 0; --n) {
        const auto [i, serial] = parked_.front();
        parked_.pop_front();
        Query& q = queries_[i];
        if (q.serial != serial || q.stage != Stage::parked) continue;
        ServerIndex s = 0;
        const bool spent = q.launches >= most_launches(q);
        if (!spent && (host_.now() - q.parked_since >= terms_.release_within * 0.4 || any_room(q)) &&
            pick_writer(q, s)) {
            send(i, s, false);
        } else if (is_overdue(q) || spent) {
            let_go(i);
            retry_or_end(i);
        } else {
            parked_.emplace_back(i, serial);
        }
    }
    if (!parked_.empty()) wake_soon(kMs * 20);
}

// A query may come with tighter limits, and each further launch is taken out of a budget of its own.
std::uint32_t Rules::most_launches(const Query& q) const {
    const std::uint32_t own = q.facts.most_launches;
    return own > 0 ? std::min(own, terms_.max_launches) : terms_.max_launches;
}

void Rules::retry_or_end(QueryIndex i) {
    Query& q = queries_[i];
    // A read without a launch left to hand it over would only be waste.
    const char* why = q.may_have_run && repeat_left(q).us <= 0      ? "it may have run"
                      : q.launches + 2 > most_launches(q)           ? "it has no launch left"
                      : host_.now() + terms_.quantum >= q.hard_stop ? "it has no time left"
                      : !host_.may_launch_again(i, q.last)          ? "its route has no further launch left"
                                                                    : nullptr;
    if (!why) return stand_again(i);
    host_.ends(i, why);
    end(i, terms_.max_stay_away * 0.25);
}

// The final answer, at once. A decline says that trying again is harmless, for as long as a try may take.
void Rules::end(QueryIndex i, Span stay_away) {
    Query& q = queries_[i];
    const Category& c = terms_.categories[q.facts.category];
    if (q.out && q.stage == Stage::writing && q.has_state) note_hand_over(q, host_.now() - q.sent);
    const bool harmless = (!q.may_have_run && !q.out) || c.effect == Effect::pure ||
                          (c.group == Group::all && repeat_left(q) >= q.facts.budget + terms_.max_stay_away);
    harmless ? host_.decline(i, stay_away) : host_.give_up(i);
    over(i);
}

// No answer lets go of a state, so every end does; what a launch still out brings back is let go then.
void Rules::over(QueryIndex i) {
    Query& q = queries_[i];
    if (q.out && terms_.cancel && q.stage != Stage::streaming) host_.retract(i, q.launches - 1);
    q.stage = Stage::over;
    let_go(i);
}

void Rules::stream_began(QueryIndex i, Span took) {
    Query& q = queries_[i];
    const ServerIndex s = q.server;
    heard_at_[s] = host_.now();
    if (q.server_life == life_[s]) {
        --waiting_[s];
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
    strain_ += 0.05 * ((host_.now() - q.came) / (q.goal - q.came) - strain_);
}

void Rules::remember_read(const Query& q, ServerIndex s) {
    const Arrival& f = q.facts;
    if (f.session != 0) sessions_.keep(f.session, {s, life_[s], f.prompt_tokens});
    if (f.beginning != 0) beginnings_.keep(f.beginning, {s, life_[s], f.beginning_tokens});
}

void Rules::launch_ended(QueryIndex i, ServerIndex s, const Outcome& outcome) {
    Query& q = queries_[i];
    const bool reading = q.stage == Stage::reading;
    const double ahead = std::max(0.0, q.queued_tokens - q.read_tokens);
    if (!q.out || q.server != s) q.state_life = life_[s];  // a launch that others made
    settle_books(q);
    note_report(s, outcome.report);

    const Ending e = outcome.ending;
    const bool local =
        e == Ending::retracted || e == Ending::late || e == Ending::unreachable || e == Ending::unsent;
    if (!local) heard_at_[s] = host_.now();
    if (e == Ending::unreachable) shut_out(s, true);
    if (e == Ending::error || e == Ending::late || (e == Ending::broken && !outcome.stale)) note_bad(s);
    if (e == Ending::full && !outcome.no_state) full_at_[s] = host_.now();
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
        q.parked_since = host_.now();
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
        if (e != Ending::unreachable) q.parked_since = host_.now();
        q.last = e;
        const bool barred = !reading && q.may_have_run && repeat_left(q).us <= 0;
        if (e == Ending::unsent || q.hard_stop <= host_.now() + terms_.quantum || barred) {
            end(i, Span{0});
        } else if (reading || outcome.no_state) {
            if (outcome.no_state && q.has_state) note_bad(q.state_at);
            let_go(i);
            retry_or_end(i);
        } else if (!q.has_state) {
            retry_or_end(i);
        } else if (!host_.may_launch_again(i, q.last)) {
            end(i, terms_.max_stay_away * 0.25);
        } else if (e == Ending::full && q.launches < most_launches(q) && !any_room(q)) {
            park(i);
        } else {
            hand_over(i);
        }
    }
    serve_lines();
}

void Rules::state_expired(QueryIndex i) {
    Query& q = queries_[i];
    q.has_state = false;
    if (q.stage == Stage::writing && q.out) return take_back_unheard(i);
    if (q.stage != Stage::parked) return;
    retry_or_end(i);
    serve_lines();
}

// What may simply be repeated does not wait for a server that has said nothing at all since its hand-over was
// sent, for far longer than hand-overs usually take: without its state that can only be turned away. Where
// they usually take long, a server that is slow would be left for the next slow one.
void Rules::take_back_unheard(QueryIndex i) {
    Query& q = queries_[i];
    const Category& c = terms_.categories[q.facts.category];
    if (q.begun || q.called_off || heard_at_[q.server] > q.sent) return;
    if (c.effect != Effect::pure || !c.stream) return;
    const Span usual = kMs * (first_time_.mean + kSpreads * first_time_.spread);
    if (first_time_.samples < kPaceSamples || host_.now() - q.sent < usual) return;
    q.called_off = true;
    note_bad(q.server);
    host_.retract(i, q.launches - 1);
}

void Rules::query_left(QueryIndex i) {
    Query& q = queries_[i];
    if (q.stage == Stage::over) return;
    over(i);
    serve_lines();
}

void Rules::wake_soon(Span after) {
    const Instant at = host_.now() + std::max(after, terms_.quantum);
    if (sweep_at_ > host_.now() && sweep_at_ <= at) return;
    sweep_at_ = at;
    host_.set_timer(at - host_.now(), kSweepKey);
}

void Rules::timer_rang(TimerKey key) {
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
        if (host_.now() >= sweep_at_) sweep_at_ = {};
        serve_parked(), serve_lines();
    }
    if (key == kListKey) host_.subscribe();
    if (key == kWatchKey) watch();
}

void Rules::watch_on() {
    if (!terms_.cancel || std::exchange(watch_set_, true)) return;
    host_.set_timer(std::max(kWatchEvery, terms_.quantum), kWatchKey);
}

// Against servers that fall silent. A launch is called off only when for far longer than usual nothing at all
// has been heard from its server since it was sent, or what was sent there later has been answered: a jammed
// server goes on answering others, in their turn. One that does may leave this category alone unanswered;
// what may run only once stays where it is, and warns the next ones.
void Rules::watch() {
    watch_set_ = false;
    bool out = false;
    for (QueryIndex i = 0; i < queries_.size(); ++i) {
        Query& q = queries_[i];
        const bool reading = q.stage == Stage::reading;
        if (!q.out || q.called_off || (!reading && q.stage != Stage::writing)) continue;
        const Category& c = terms_.categories[q.facts.category];
        const ServerIndex s = q.server;
        out = true;
        const Learned& usual = reading ? read_time_ : first_time_;
        const bool lives = heard_at_[s] > q.sent;
        if (usual.samples < kUsualSamples || (lives && passed_[reading][s] <= q.sent)) continue;
        // Of a mixed server one of the two paces is known.
        const double of_late = reading != reads(s)
                                   ? 0.0
                                   : pace_[s] * (reading ? q.queued_tokens + kLeastRead * prompt_.mean : 1.0);
        double far = std::max(kSilentFactor * of_late, usual.mean + kSpreads * usual.spread);
        if (!reading && q.has_state) {
            const Learned& by_way = hand_overs_[way(q.state_at, s)];
            far = std::max(far, by_way.mean + kSpreads * by_way.spread);
        }
        if (host_.now() - q.sent < std::max(kMs * far, (q.goal - q.came) * kSilentGoal)) continue;
        q.called_off = true;
        lives ? unanswered(q.facts.category, s, true) : note_bad(s);
        if (q.at_reader || (c.effect == Effect::pure && c.stream)) host_.retract(i, q.launches - 1);
    }
    if (out) watch_on();
}

// They are passed over for the category, and tried again after a time that doubles. Gateways that may tell
// each other do: what may run only once is lost with each try. A message may be lost; nothing rests on one.
void Rules::unanswered(std::uint16_t category, ServerIndex s, bool own) {
    Mute& mute = mutes_[category][s];
    if (own || mute.held.us == 0)
        mute.held = mute.held.us == 0 ? kMuteFirst : std::min(kMuteMost, mute.held * 2);
    // Not all are to try it anew at the same time.
    mute.until = std::max(mute.until, host_.now() + mute.held * (own ? 1.0 : 1 + chance()));
    if (own) tell_peers('u', s, category);
}

// Some are answered all the same, so one answer is not enough. What was sent before tells nothing.
void Rules::answered(const Query& q, ServerIndex s) {
    Mute& mute = mutes_[q.facts.category][s];
    if (mute.held.us == 0 || q.sent < mute.since) return;
    mute.held = mute.held * 0.25;
    mute.until = host_.now();
    if (mute.held >= kMuteFirst * 0.25) return;
    mute.held = {};
    tell_peers('a', s, q.facts.category);
}

void Rules::tell_peers(char what, ServerIndex s, double figure) {
    if (!terms_.peers) return;
    host_.tell_peers(PeerNote::of(what, mark_[s], figure).text());
}

// What other gateways send counts like what this one does: reports are older.
void Rules::peer_told(std::string_view text) {
    PeerNote note;
    if (!terms_.peers || !PeerNote::read(text, note)) return;
    ServerIndex s = 0;
    while (s < servers_ && PeerNote::end_of(mark_[s]) != note.mark) ++s;
    if (s == servers_) return;
    if (note.what == 'w') {
        note_sent(s, std::clamp(memory_[s] - sent_since(s), 0.0, note.figure * kFigureTold));
    } else if (note.figure < mutes_.size()) {
        if (note.what == 'u') unanswered(static_cast<std::uint16_t>(note.figure), s, false);
        if (note.what == 'a') mutes_[note.figure][s].until = host_.now();
    }
}

// What a gateway knows is not to thin out as gateways or servers grow in number.
void Rules::pay_probes() {
    const double earned = terms_.probe_fee > 0 ? kProbeSpend / terms_.probe_fee : kProbesMost;
    probes_due_ = std::min(probes_due_ + std::min(kProbesMost, earned), 2 * kProbesMost);
}

void Rules::probe(ServerIndex s) {
    host_.probe(s);
    told_at_[s] = probed_at_[s] = host_.now();
    probes_due_ -= 1;
}

// Where load is told by probes alone, what is left goes to those not heard of for longest.
void Rules::probe_some() {
    while (terms_.probes && terms_.reports_by_probe && probes_due_ >= 1) {
        auto chosen = static_cast<ServerIndex>(servers_);
        for (ServerIndex s = 0; s < servers_; ++s)
            if (ready(s) && ((terms_.reports_memory && writes(s)) || (terms_.reports_unread && reads(s))))
                if (chosen == servers_ || told_at_[s] < told_at_[chosen]) chosen = s;
        if (chosen == servers_ || told_at_[chosen] >= host_.now()) return;
        probe(chosen);
    }
}

void Rules::probe_answered(ServerIndex s, bool answered, const LoadReport& report) {
    if (answered) {
        answered_at_[s] = heard_at_[s] = host_.now();
        answer_took_[s] = host_.now() - probed_at_[s];
        note_report(s, report);
    }
    serve_lines();
}

}  // namespace copperfront
