#include "release_policy.h"

namespace copperfront::release_policy {

bool may_end_late(const UnheardAttemptServer& server) {
    const bool silent_since = server.last_heard <= server.attempt_over;
    const bool has_hung = server.hung_until > server.attempt_over;
    return silent_since || has_hung;
}

bool is_better(const Target& one, const Target& other) {
    if (one.may_hang != other.may_hang) return other.may_hang;
    return one.last_heard > other.last_heard;
}

}  // namespace copperfront::release_policy
