#include "release_policy.h"

namespace copperfront::release_policy {

bool is_better(const Target& one, const Target& other) {
    if (one.may_hang != other.may_hang) return other.may_hang;
    return one.last_heard > other.last_heard;
}

}  // namespace copperfront::release_policy
