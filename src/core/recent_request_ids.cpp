#include "recent_request_ids.h"

#include <utility>

namespace copperfront {

void RecentRequestIds::expire(Instant now) {
    const Duration age = now - generation_began_;
    if (age < remember_for_) return;
    previous_ = std::exchange(current_, {});
    if (age >= remember_for_ * 2) previous_ = {};
    generation_began_ = now;
}

void RecentRequestIds::add(std::uint64_t id_hash, Instant now) {
    expire(now);
    if (current_.size() >= most_per_generation_) {
        forgotten_early_ += previous_.size();
        previous_ = std::exchange(current_, {});
        generation_began_ = now;
    }
    current_.insert(id_hash);
}

void RecentRequestIds::remove(std::uint64_t id_hash) {
    current_.erase(id_hash);
    previous_.erase(id_hash);
}

bool RecentRequestIds::may_have_run(std::uint64_t id_hash, Instant now) {
    expire(now);
    return current_.count(id_hash) > 0 || previous_.count(id_hash) > 0;
}

}  // namespace copperfront
