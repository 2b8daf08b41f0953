#include "trace/keeping.h"

#include <algorithm>

namespace copperfront::trace {
namespace {

constexpr Span kFirstWait{250000}, kLongestWait{30000000};  // ours

}  // namespace

// Against a gateway whose name begins another's: g1 must not let go of the files of g1-b.
bool Keeping::is_of(const std::string& file, const std::string& gateway) {
    const std::string head = gateway + "-", tail = ".cft";
    if (file.size() <= head.size() + tail.size() || file.compare(0, head.size(), head) != 0 ||
        file.compare(file.size() - tail.size(), tail.size(), tail) != 0)
        return false;
    const std::string middle = file.substr(head.size(), file.size() - head.size() - tail.size());
    const std::size_t dash = middle.find('-');
    return dash != std::string::npos && dash > 0 && middle.find_first_not_of("0123456789abcdef") == dash &&
           middle.size() >= dash + 7 && middle.find_first_not_of("0123456789", dash + 1) == std::string::npos;
}

std::vector<std::string> Keeping::let_go(const std::vector<Disk::Kept>& files,
                                         const std::string& open) const {
    std::uint64_t all = 0;
    for (const Disk::Kept& f : files) all += f.bytes;
    std::vector<std::string> out;
    // Room for the file that is being written to grow into, or the budget would be passed before its end.
    const std::uint64_t room =
        terms_.folder_bytes > terms_.file_bytes ? terms_.folder_bytes - terms_.file_bytes : 0;
    for (const Disk::Kept& f : files) {
        if (all <= room) break;
        if (f.name == open) continue;
        out.push_back(f.name);
        all -= f.bytes;
    }
    return out;
}

bool Keeping::failed(Instant now) {
    Span wait = kFirstWait;
    for (std::uint32_t n = 0; n < failures_ && wait < kLongestWait; ++n) wait = wait * 2;
    failed_at_ = now;
    again_ = now + std::min(wait, kLongestWait);
    return failures_++ == 0;
}

bool Keeping::went_well() {
    const bool had = failures_ > 0;
    failures_ = 0;
    return had;
}

}  // namespace copperfront::trace
