#include "recent_request_ids.h"

#include <utility>

namespace copperfront {

void RecentRequestIds::begin_generation(Instant now) {
    previous_ = std::exchange(current_, std::make_unique<Generation>());
    generation_began_ = now;
}

void RecentRequestIds::expire(Instant now) {
    const Duration age = now - generation_began_;
    if (age < remember_for_) return;
    begin_generation(now);
    if (age >= remember_for_ * 2) previous_ = std::make_unique<Generation>();
}

void RecentRequestIds::add(std::uint64_t id_hash, Instant now) {
    expire(now);
    if (current_->ids.size() >= most_per_generation_) {
        forgotten_early_ += previous_->ids.size();
        begin_generation(now);
    }
    current_->ids.insert(id_hash);
}

void RecentRequestIds::remove(std::uint64_t id_hash) {
    current_->ids.erase(id_hash);
    previous_->ids.erase(id_hash);
}

bool RecentRequestIds::may_have_run(std::uint64_t id_hash, Instant now) {
    expire(now);
    return current_->ids.count(id_hash) > 0 || previous_->ids.count(id_hash) > 0;
}

}  // namespace copperfront
