// Decisions about a gateway's trace files: when to start a new file, which old files to delete, when to sync,
// and how to back off while a disk fails. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/units.h"
#include "trace/disk.h"

namespace copperfront::trace {

struct KeepingTerms {
    std::uint64_t file_bytes = 64U << 20;   // a new file is started at this size
    Span file_age{3600000000};              // and at this age
    std::uint64_t folder_bytes = 1U << 30;  // of all files of this gateway; the oldest are deleted first
    Span hand_over{1000000};  // rows are passed to the writer thread after this time at the latest
    Span sync{1000000};       // between syncs
    std::size_t queue = 16;   // batches of rows that may wait for the disk
};

class StoragePolicy {
  public:
    explicit StoragePolicy(const KeepingTerms& terms) : terms_(terms) {}

    bool should_rotate(std::uint64_t bytes, Span age) const {
        return bytes >= terms_.file_bytes || age >= terms_.file_age || age < Span{0};
    }
    // Whether a file of this name belongs to the gateway: NAME-LIFE-NUMBER.cft.
    static bool belongs_to(const std::string& file, const std::string& gateway);
    // Returns the names of the files to delete, oldest first, so that the rest fits the byte budget of the
    // folder; `open` is never among them. `files` are sorted by name, which is by age.
    std::vector<std::string> files_to_delete(const std::vector<Disk::FileEntry>& files,
                                             const std::string& open) const;

    // If the clock steps back, nothing waits until it has caught up: whatever depends on it is due at once.
    //
    // Record the result of a write. While writes fail, they are retried with exponential backoff, so that a
    // dead disk costs almost nothing. record_failure returns true for the first failure in a row, which is to
    // be logged once as an error.
    bool record_failure(Instant now);
    // Returns true if writes had failed before and have now recovered.
    bool record_success();
    bool may_write(Instant now) const { return failures_ == 0 || now >= retry_at_ || now < failed_at_; }
    bool sync_due(Instant now, bool unsynced) const {
        return unsynced && (now - last_sync_at_ >= terms_.sync || now < last_sync_at_);
    }
    void record_sync(Instant now) { last_sync_at_ = now; }
    const KeepingTerms& terms() const { return terms_; }

  private:
    KeepingTerms terms_;
    std::uint32_t failures_ = 0;
    Instant failed_at_, retry_at_, last_sync_at_;
};

}  // namespace copperfront::trace
