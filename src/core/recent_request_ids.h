// The ids of requests that may have run, so that an id that comes again does not run again. An id is
// remembered for at least a given time and at most twice as long, in a bounded number. No clock of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <memory_resource>
#include <unordered_set>

#include "units.h"

namespace copperfront {

class RecentRequestIds {
  public:
    // `most`: ids that are remembered at once.
    RecentRequestIds(Duration remember_for, std::size_t most)
        : remember_for_(remember_for),
          most_per_generation_(most / 2),
          current_(std::make_unique<Generation>()),
          previous_(std::make_unique<Generation>()) {}
    void set_remember_for(Duration remember_for) { remember_for_ = remember_for; }

    // Bytes that one id takes in memory.
    static constexpr std::size_t kBytesPerId = 48;

    // An attempt of this request is about to be written, so that it may run.
    void add(std::uint64_t id_hash, Instant now);
    // The request was rejected, which promises that a repeat is harmless.
    void remove(std::uint64_t id_hash);
    bool may_have_run(std::uint64_t id_hash, Instant now);
    std::size_t size() const { return current_->ids.size() + previous_->ids.size(); }
    // Ids that were forgotten before their time because of the limit on their number.
    std::uint64_t forgotten_early() const { return forgotten_early_; }

  private:
    // The ids lie together in memory: scattered among other objects, they would keep the pages around them
    // from being returned to the system.
    struct Generation {
        std::pmr::unsynchronized_pool_resource memory;
        std::pmr::unordered_set<std::uint64_t> ids{&memory};
    };
    void begin_generation(Instant now);
    void expire(Instant now);

    Duration remember_for_;
    const std::size_t most_per_generation_;
    Instant generation_began_;
    std::unique_ptr<Generation> current_, previous_;
    std::uint64_t forgotten_early_ = 0;
};

}  // namespace copperfront
