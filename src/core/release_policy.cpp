#include "release_policy.h"

namespace copperfront::release_policy {

bool may_end_late(const UnheardAttemptServer& server) {
    const bool silent_since = server.last_heard <= server.attempt_over;
    const bool has_hung = server.hung_until > server.attempt_over;
    return silent_since || has_hung;
}

}  // namespace copperfront::release_policy
