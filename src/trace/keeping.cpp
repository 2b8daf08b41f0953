#include "trace/keeping.h"

#include <algorithm>

namespace copperfront::trace {
namespace {

constexpr Duration kMinRetryDelay{250000}, kMaxRetryDelay{30000000};

}  // namespace

// Guards against a gateway whose name is a prefix of another: g1 must not delete the files of g1-b.
bool StoragePolicy::belongs_to(const std::string& file, const std::string& gateway) {
    const std::string prefix = gateway + "-", suffix = ".cft";
    if (file.size() <= prefix.size() + suffix.size() || file.compare(0, prefix.size(), prefix) != 0 ||
        file.compare(file.size() - suffix.size(), suffix.size(), suffix) != 0)
        return false;
    const std::string middle = file.substr(prefix.size(), file.size() - prefix.size() - suffix.size());
    const std::size_t dash = middle.find('-');
    return dash != std::string::npos && dash > 0 && middle.find_first_not_of("0123456789abcdef") == dash &&
           middle.size() >= dash + 7 && middle.find_first_not_of("0123456789", dash + 1) == std::string::npos;
}

std::vector<std::string> StoragePolicy::files_to_delete(const std::vector<Disk::FileEntry>& files,
                                                        const std::string& open) const {
    std::uint64_t total_bytes = 0;
    for (const Disk::FileEntry& f : files) total_bytes += f.bytes;
    std::vector<std::string> out;
    // Leaves room for the file that is being written to grow; otherwise the budget would be exceeded before
    // it is closed.
    const std::uint64_t budget =
        terms_.max_folder_bytes > terms_.max_file_bytes ? terms_.max_folder_bytes - terms_.max_file_bytes : 0;
    for (const Disk::FileEntry& f : files) {
        if (total_bytes <= budget) break;
        if (f.name == open) continue;
        out.push_back(f.name);
        total_bytes -= f.bytes;
    }
    return out;
}

bool StoragePolicy::record_failure(Instant now) {
    Duration delay = kMinRetryDelay;
    for (std::uint32_t n = 0; n < failures_ && delay < kMaxRetryDelay; ++n) delay = delay * 2;
    failed_at_ = now;
    retry_at_ = now + std::min(delay, kMaxRetryDelay);
    return failures_++ == 0;
}

bool StoragePolicy::record_success() {
    const bool had_failed = failures_ > 0;
    failures_ = 0;
    return had_failed;
}

}  // namespace copperfront::trace
