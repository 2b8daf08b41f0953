// What is decided about a gateway's trace files: when a new one begins, which old ones are let go, when to
// sync, and what happens while a disk fails. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/units.h"
#include "trace/disk.h"

namespace copperfront::trace {

struct KeepingTerms {
    std::uint64_t file_bytes = 64U << 20;   // a new file begins at this size
    Span file_age{3600000000};              // and at this age
    std::uint64_t folder_bytes = 1U << 30;  // of all of this gateway's files, the oldest let go first
    Span hand_over{1000000};                // rows wait no longer than this for the writing thread
    Span sync{1000000};                     // between syncs
    std::size_t queue = 16;                 // packages of rows that may wait for the disk
};

class Keeping {
  public:
    explicit Keeping(const KeepingTerms& terms) : terms_(terms) {}

    bool begin_new(std::uint64_t bytes, Span age) const {
        return bytes >= terms_.file_bytes || age >= terms_.file_age || age < Span{0};
    }
    // Whether a file of this name is one of the gateway's: NAME-LIFE-NUMBER.cft.
    static bool is_of(const std::string& file, const std::string& gateway);
    // Names of those to remove, the oldest first, so that all keep to the folder's bytes; `open` is never
    // among them. `files` by name, which is by age.
    std::vector<std::string> let_go(const std::vector<Disk::Kept>& files, const std::string& open) const;

    // A clock that steps back makes nothing wait for it: what would be due by it is due.
    // A write went well, or did not. While they do not, the disk is tried again after a time that doubles, so
    // that a dead disk costs nothing; true: this is the first in a row, to be told loudly, once.
    bool failed(Instant now);
    // True: it had failed before, and that is over.
    bool went_well();
    bool may_try(Instant now) const { return failures_ == 0 || now >= again_ || now < failed_at_; }
    bool sync_due(Instant now, bool unsynced) const {
        return unsynced && (now - synced_ >= terms_.sync || now < synced_);
    }
    void synced(Instant now) { synced_ = now; }
    const KeepingTerms& terms() const { return terms_; }

  private:
    KeepingTerms terms_;
    std::uint32_t failures_ = 0;
    Instant failed_at_, again_, synced_;
};

}  // namespace copperfront::trace
