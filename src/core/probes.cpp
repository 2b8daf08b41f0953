// Probes of servers, and notes between gateways.
#include <algorithm>

#include "rules.h"
#include "rules_tuning.h"

namespace copperfront {

void Rules::tell_peers(char what, ServerIndex s, double figure) {
    if (!terms_.peers) return;
    host_.tell_peers(PeerNote::of(what, mark_[s], figure).text());
}

// What other gateways send counts like what this one does: reports are older.
void Rules::peer_told(std::string_view text) {
    now_ = host_.now();
    PeerNote note;
    if (!terms_.peers || !PeerNote::read(text, note)) return;
    ServerIndex s = 0;
    while (s < servers_ && PeerNote::end_of(mark_[s]) != note.mark) ++s;
    if (s == servers_) return;
    if (note.what == 'w') {
        note_sent(s, std::clamp(memory_[s] - sent_since(s), 0.0, note.figure * kFigureTold));
    } else if (note.figure < mutes_.size()) {
        if (note.what == 'u') unanswered(static_cast<std::uint16_t>(note.figure), s, false);
        if (note.what == 'a') mutes_[note.figure][s].until = now_;
    }
}

// What a gateway knows is not to thin out as gateways or servers grow in number.
void Rules::pay_probes() {
    const double earned = terms_.probe_fee > 0 ? kProbeSpend / terms_.probe_fee : kProbesMost;
    probes_due_ = std::min(probes_due_ + std::min(kProbesMost, earned), 2 * kProbesMost);
}

void Rules::probe(ServerIndex s) {
    host_.probe(s);
    told_at_[s] = probed_at_[s] = now_;
    probes_due_ -= 1;
}

// Where load is told by probes alone, what is left goes to those not heard of for longest.
void Rules::probe_some() {
    while (terms_.probes && terms_.reports_by_probe && probes_due_ >= 1) {
        auto chosen = static_cast<ServerIndex>(servers_);
        for (ServerIndex s = 0; s < servers_; ++s)
            if (ready(s) && ((terms_.reports_memory && writes(s)) || (terms_.reports_unread && reads(s))))
                if (chosen == servers_ || told_at_[s] < told_at_[chosen]) chosen = s;
        if (chosen == servers_ || told_at_[chosen] >= now_) return;
        probe(chosen);
    }
}

void Rules::probe_answered(ServerIndex s, bool answered, const LoadReport& report) {
    now_ = host_.now();
    if (answered) {
        answered_at_[s] = heard_at_[s] = now_;
        answer_took_[s] = now_ - probed_at_[s];
        note_report(s, report);
    }
    serve_lines();
}

}  // namespace copperfront
