// Decisions about a gateway's trace files: when to start a new file, which old files to delete, when to sync,
// and how to back off while a disk fails. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/units.h"
#include "trace/disk.h"

namespace copperfront::trace {

struct StorageTerms {
    std::uint64_t max_file_bytes = 64U << 20;   // a new file is started at this size
    Duration max_file_age{3600000000};          // and at this age
    std::uint64_t max_folder_bytes = 1U << 30;  // of all files of this gateway; the oldest are deleted first
    Duration flush_interval{1000000};  // rows are passed to the writer thread after this time at the latest
    Duration sync_interval{1000000};   // between syncs
    std::size_t max_queued_batches = 16;  // batches of rows that may wait for the disk
};

class StoragePolicy {
  public:
    explicit StoragePolicy(const StorageTerms& terms) : terms_(terms) {}

    bool should_rotate(std::uint64_t bytes, Duration age) const {
        return bytes >= terms_.max_file_bytes || age >= terms_.max_file_age || age < Duration{0};
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
        return unsynced && (now - last_sync_at_ >= terms_.sync_interval || now < last_sync_at_);
    }
    void record_sync(Instant now) { last_sync_at_ = now; }
    const StorageTerms& terms() const { return terms_; }

  private:
    StorageTerms terms_;
    std::uint32_t failures_ = 0;
    Instant failed_at_, retry_at_, last_sync_at_;
};

}  // namespace copperfront::trace
