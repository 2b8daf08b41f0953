// Further attempts of a request, states that wait for a decode server, and final answers.
#include <algorithm>

#include "router.h"
#include "router_constants.h"

namespace copperfront {

// Time left in which a request that may have run can be sent again. Effectful requests: none. Receipted ones:
// while servers remember the request, less what a connection may take to be made. The host enforces the limit
// as well, whenever the connection is made.
Duration Router::repeat_time_left(const RoutedRequest& q) const {
    const Category& c = terms_.categories[q.info.category];
    if (!q.may_have_run || c.effect == Effect::pure) return q.deadline - now_;
    const Duration left = q.ran_since + c.window - terms_.connect_timeout - now_;
    return c.effect == Effect::effectful ? Duration{} : left;
}

// Receipted requests that may have run stay within the servers that drop their repeat.
bool Router::may_run_on(const RoutedRequest& q, ServerIndex s) const {
    const Category& c = terms_.categories[q.info.category];
    if (!q.may_have_run || c.effect == Effect::pure) return true;
    if (repeat_time_left(q).us <= 0) return false;
    if (c.group == DedupScope::zone) return zone_[s] == q.ran_zone;
    return c.group == DedupScope::all || cell_[s] == q.ran_cell;
}

// The prefill has ended, so the state goes to the decode server with the most free memory now.
void Router::hand_over(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    if (status_[q.state_server] == ServerStatus::removed ||
        incarnation_[q.state_server] != q.state_incarnation || is_overdue(q) || repeat_time_left(q).us <= 0 ||
        q.attempts >= attempt_limit(q)) {
        release_state(i);
        return retry_or_end(i);
    }
    ServerIndex s = 0;
    if (pick_decode_server(q, s)) return send(i, s, false);
    wait_for_decode(i);
}

void Router::release_state(RequestIndex i) {
    host_.release(i);
    requests_[i].has_state = false;
}

void Router::wait_for_decode(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    q.stage = Stage::waiting_for_decode;
    host_.request_waits(i, "no writer can take its state");
    waiting_for_decode_.emplace_back(i, q.serial);
    schedule_sweep(terms_.release_within * 0.25);
}

// A state may wait only as long as the terms allow it to be held, less a margin for hand-overs that never
// connect.
bool Router::is_overdue(const RoutedRequest& q) const {
    const Duration limit = q.info.hand_over_timeout, allowed = terms_.release_within * 0.6;
    return now_ - q.waiting_since >= (limit.us > 0 ? std::min(limit, allowed) : allowed);
}

void Router::serve_waiting_for_decode() {
    for (std::size_t n = waiting_for_decode_.size(); n > 0; --n) {
        const auto [i, serial] = waiting_for_decode_.front();
        waiting_for_decode_.pop_front();
        RoutedRequest& q = requests_[i];
        if (q.serial != serial || q.stage != Stage::waiting_for_decode) continue;
        ServerIndex s = 0;
        // After 0.4 of the time limit, decode servers that show no room are tried as well.
        const bool is_exhausted = q.attempts >= attempt_limit(q);
        if (!is_exhausted && (now_ - q.waiting_since >= terms_.release_within * 0.4 || any_decode_room(q)) &&
            pick_decode_server(q, s)) {
            send(i, s, false);
        } else if (is_overdue(q) || is_exhausted) {
            release_state(i);
            retry_or_end(i);
        } else {
            waiting_for_decode_.emplace_back(i, serial);
        }
    }
    if (!waiting_for_decode_.empty()) schedule_sweep(kMs * 20);
}

// Most attempts of the request: the limit of the terms, or a tighter one of its own. The retry budget is
// separate, see Host::may_attempt_again().
std::uint32_t Router::attempt_limit(const RoutedRequest& q) const {
    const std::uint32_t limit = q.info.max_attempts;
    return limit > 0 ? std::min(limit, terms_.max_attempts) : terms_.max_attempts;
}

void Router::retry_or_end(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    // A prefill without an attempt left for its hand-over would be wasted.
    const char* why = q.may_have_run && repeat_time_left(q).us <= 0 ? "it may have run"
                      : q.attempts + 2 > attempt_limit(q)           ? "it has no launch left"
                      : now_ + terms_.quantum >= q.deadline         ? "it has no time left"
                      : !host_.may_attempt_again(i, q.last_ending)  ? "its route has no further launch left"
                                                                    : nullptr;
    if (!why) return requeue(i);
    host_.request_ends(i, why);
    end_request(i, terms_.max_retry_after * 0.25);
}

// Gives the final answer at once: a rejection if the client may safely send the request again, otherwise
// Host::abandon(). A receipted request that may have run is safe to repeat only if its servers still remember
// it for max_retry_after (the client's longest wait) and time_budget (the duration of the repeat).
void Router::end_request(RequestIndex i, Duration retry_after) {
    RoutedRequest& q = requests_[i];
    const Category& c = terms_.categories[q.info.category];
    if (q.in_flight && q.stage == Stage::decoding && q.has_state) note_hand_over(q, now_ - q.sent_at);
    const bool is_repeatable =
        (!q.may_have_run && !q.in_flight) || c.effect == Effect::pure ||
        (c.group == DedupScope::all && repeat_time_left(q) >= q.info.time_budget + terms_.max_retry_after);
    is_repeatable ? host_.reject(i, retry_after) : host_.abandon(i);
    finish(i);
}

// The final answer to the client does not free a state that a server holds, so a release is requested at the
// end of every request. If an attempt still in flight leaves a state, attempt_ended() requests its release.
void Router::finish(RequestIndex i) {
    RoutedRequest& q = requests_[i];
    if (q.in_flight && terms_.cancel && q.stage != Stage::streaming) host_.cancel_attempt(i, q.attempts - 1);
    q.stage = Stage::finished;
    release_state(i);
}

}  // namespace copperfront
