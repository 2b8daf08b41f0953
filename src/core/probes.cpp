// Probes of servers, and notes between gateways.
#include <algorithm>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

void Router::notify_peers(char type, ServerIndex s, double value) {
    if (!terms_.peers) return;
    host_.notify_peers(PeerNote::make(type, name_hash_[s], value).text());
}

// Streams that other gateways send count like this gateway's own: load reports are older.
void Router::peer_note_received(std::string_view text) {
    now_ = host_.now();
    PeerNote note;
    if (!terms_.peers || !PeerNote::parse(text, note)) return;
    ServerIndex s = 0;
    while (s < server_count_ && PeerNote::hash_suffix(name_hash_[s]) != note.server_hash) ++s;
    if (s == server_count_) return;
    if (note.type == 'w') {
        note_stream_sent(s, std::clamp(memory_tokens_[s] - stream_tokens_since_report(s), 0.0,
                                       note.value * kTokensPerNoteUnit));
    } else if (note.value < suspensions_.size()) {
        if (note.type == 'u') suspend_category(static_cast<std::uint16_t>(note.value), s, false);
        if (note.type == 'a') suspensions_[note.value][s].until = now_;
    }
}

// Credit is earned per request, so that what a gateway knows of load does not thin out as gateways or servers
// grow in number.
void Router::earn_probe_credit() {
    const double earned =
        terms_.probe_fee > 0 ? kProbeSpendPerRequest / terms_.probe_fee : kMaxProbesPerRequest;
    probe_credit_ =
        std::min(probe_credit_ + std::min(kMaxProbesPerRequest, earned), 2 * kMaxProbesPerRequest);
}

void Router::probe(ServerIndex s) {
    host_.probe(s);
    reported_at_[s] = probed_at_[s] = now_;
    probe_credit_ -= 1;
}

// Where only probes report load, the remaining credit goes to the servers with the oldest reports.
void Router::probe_stalest() {
    while (terms_.probes && terms_.reports_by_probe && probe_credit_ >= 1) {
        auto stalest = static_cast<ServerIndex>(server_count_);
        for (ServerIndex s = 0; s < server_count_; ++s)
            if (is_ready(s) && ((terms_.reports_memory_share && does_decode(s)) ||
                                (terms_.reports_queued_tokens && does_prefill(s))))
                if (stalest == server_count_ || reported_at_[s] < reported_at_[stalest]) stalest = s;
        if (stalest == server_count_ || reported_at_[stalest] >= now_) return;
        probe(stalest);
    }
}

void Router::probe_answered(ServerIndex s, bool answered, const LoadReport& report) {
    now_ = host_.now();
    if (answered) {
        probe_answered_at_[s] = last_heard_at_[s] = now_;
        probe_duration_[s] = now_ - probed_at_[s];
        note_report(s, report);
    }
    serve_queues();
}

}  // namespace copperfront
