#include "release_policy.h"

#include <numeric>

namespace copperfront::release_policy {
namespace {

constexpr double kInverseGoldenRatio = 0.618;

}  // namespace

std::size_t list_stride(std::size_t entries) {
    auto step = static_cast<std::size_t>(static_cast<double>(entries) * kInverseGoldenRatio);
    while (std::gcd(step, entries) != 1) ++step;
    return step;
}

bool has_moved(Instant attempt_started, Instant address_since) { return address_since > attempt_started; }

bool may_end_late(const UnansweredAttemptServer& server) {
    if (has_moved(server.attempt_started, server.address_since)) return true;
    const bool silent_since = server.last_heard <= server.attempt_ended;
    const bool has_hung = server.hung_until > server.attempt_ended;
    return silent_since || has_hung;
}

}  // namespace copperfront::release_policy
