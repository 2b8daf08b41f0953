#include "memory_budget.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace copperfront {
namespace {

// The program itself, its libraries and caches, without servers and connections.
constexpr std::size_t kBaseBytes = 9 << 20;
constexpr std::size_t kBytesPerServer = 1200;
constexpr std::size_t kBytesPerConnection = 5000;
// Part of the limit that the process, its connections, one list and all bytes of peers may take together. The
// rest is for what the allocator cannot reuse.
constexpr double kUsableShare = 0.9;
constexpr std::size_t kLeastBytesForPeers = 3 << 20;
constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 8;

constexpr std::array<double, kMemoryUseCount> kShares = {0.35, 0.4, 0.15, 0.1};
constexpr double kTargetShare = 0.875;   // of a share that was exceeded
constexpr double kShareAtLimit = 0.125;  // of each share, once the process has reached its limit

// Large requests may take this part of the requests' share.
constexpr double kLargeRequestsShare = 0.75;
constexpr std::size_t kLargeRequestBytes = 32 << 10;

constexpr std::size_t kMinReadBytes = 4 << 10, kMaxReadBytes = 64 << 10;
constexpr std::size_t kUsualResponseBytes = 4 << 10;  // of a response, or of one event of a stream
constexpr Duration kLeastAge{1000};

// Trimming costs time, as the memory has to be mapped again.
constexpr std::size_t kMinTrimBytes = 256 << 10;
constexpr Duration kMinTrimInterval{1000000}, kMaxTrimInterval{2000000};
constexpr double kTrimShare = 1.0 / 64;  // of the limit

std::size_t part(std::size_t whole, double share) {
    return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

std::size_t bytes_at_rest(const MemoryBudget::Process& process) {
    return kBaseBytes + process.servers * kBytesPerServer + process.connections * kBytesPerConnection +
           process.list_bytes + process.remembered_bytes;
}

}  // namespace

std::size_t MemoryBudget::bytes_for_peers(const Process& process) {
    if (process.limit == 0) return kUnlimited;
    const std::size_t usable = part(process.limit, kUsableShare), needed = bytes_at_rest(process);
    return usable < needed + kLeastBytesForPeers ? 0 : usable - needed;
}

std::size_t MemoryBudget::least_limit(const Process& process) {
    const auto needed = static_cast<double>(bytes_at_rest(process) + kLeastBytesForPeers);
    return static_cast<std::size_t>(needed / kUsableShare) + 1;
}

MemoryBudget::MemoryBudget(const Process& process)
    : limit_(process.limit), bytes_(bytes_for_peers(process)), headroom_(bytes_) {}

std::size_t MemoryBudget::used() const { return std::accumulate(used_.begin(), used_.end(), std::size_t{0}); }

std::size_t MemoryBudget::share(MemoryUse use) const { return part(bytes_, kShares[index_of(use)]); }

std::size_t MemoryBudget::target(MemoryUse use) const {
    return part(share(use), is_at_limit() ? kShareAtLimit : kTargetShare);
}

std::size_t MemoryBudget::available(MemoryUse use) const {
    const std::size_t of_use = share(use), taken = used(use), total = used();
    const std::size_t grown = total > used_at_reading_ ? total - used_at_reading_ : 0;
    const std::size_t room = headroom_ > grown ? headroom_ - grown : 0;
    return std::min(room, of_use > taken ? of_use - taken : 0);
}

bool MemoryBudget::is_exceeded(MemoryUse use) const {
    return used(use) > (is_at_limit() ? part(share(use), kShareAtLimit) : share(use));
}

bool MemoryBudget::is_at_limit() const {
    const std::size_t total = used();
    return total > used_at_reading_ ? total - used_at_reading_ >= headroom_ : headroom_ == 0;
}

bool MemoryBudget::may_accept(std::size_t request_bytes) const {
    const std::size_t room = available(MemoryUse::requests);
    if (request_bytes <= kLargeRequestBytes) return request_bytes <= room;
    const std::size_t reserved = part(share(MemoryUse::requests), 1 - kLargeRequestsShare);
    return request_bytes + reserved <= room;
}

std::size_t MemoryBudget::read_limit(MemoryUse use, std::size_t held) const {
    const std::size_t room = available(use) + held;
    return std::clamp(room, kMinReadBytes, kMaxReadBytes);
}

std::size_t MemoryBudget::stream_buffer(std::size_t streams) const {
    const std::size_t each = share(MemoryUse::client_output) / std::max<std::size_t>(1, streams);
    return std::clamp(each, kMinReadBytes, kMaxReadBytes);
}

bool MemoryBudget::may_buffer_response(std::size_t bytes) const {
    return bytes <= kUsualResponseBytes || !is_exceeded(MemoryUse::server_input);
}

double MemoryBudget::eviction_value(std::size_t bytes, Duration age) {
    return static_cast<double>(bytes) * std::max(age, kLeastAge).ms();
}

std::size_t MemoryBudget::not_charged(std::size_t resident) const {
    return resident - std::min(resident, used());
}

void MemoryBudget::set_resident(std::size_t resident) {
    if (limit_ == 0 || resident == 0) return;
    const std::size_t usable = part(limit_, kUsableShare);
    resident_ = resident;
    headroom_ = usable - std::min(usable, resident);
    used_at_reading_ = used();
    at_rest_ = at_rest_ == 0 ? not_charged(resident) : std::min(at_rest_, not_charged(resident));
}

bool MemoryBudget::should_trim() const {
    return not_charged(resident_) > at_rest_ + std::max(kMinTrimBytes, part(limit_, kTrimShare));
}

Duration MemoryBudget::trimmed(std::size_t resident) {
    const bool gained = resident + kMinTrimBytes <= resident_;
    trim_interval_ =
        gained ? kMinTrimInterval : std::clamp(trim_interval_ * 2, kMinTrimInterval, kMaxTrimInterval);
    set_resident(resident);
    return trim_interval_;
}

void MemoryBudget::change(MemoryUse use, std::size_t before, std::size_t after) {
    std::size_t& bytes = used_[index_of(use)];
    bytes = bytes + after - before;
}

}  // namespace copperfront
