// Decides how much memory a gateway may hold for its peers, and whose bytes it gives up first when the limit
// is near. All bytes that clients and model servers can make the process hold are charged to one budget,
// divided by use. The resident memory of the process, which also counts what the allocator keeps, narrows the
// budget further. Does no I/O and has no clock of its own.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "units.h"

namespace copperfront {

enum class MemoryUse {
    client_input,   // received from clients: incomplete requests, and bytes behind an open request
    requests,       // accepted requests until their stream begins: bodies and header fields
    client_output,  // responses that clients have not read yet
    server_input,   // received from model servers and not forwarded yet
};
inline constexpr std::size_t kMemoryUseCount = static_cast<std::size_t>(MemoryUse::server_input) + 1;

class MemoryBudget {
  public:
    // What the process needs apart from the bytes of its peers.
    struct Process {
        std::size_t limit = 0;  // of its resident memory, in bytes; 0: no limit
        std::size_t servers = 0, connections = 0;
        std::size_t list_bytes = 0;        // longest server list that is accepted
        std::size_t remembered_bytes = 0;  // ids of requests that have ended
    };
    // Bytes that are left for peers in such a process; 0 if its limit is too low.
    static std::size_t bytes_for_peers(const Process& process);
    // The least limit with which such a process can start, in bytes.
    static std::size_t least_limit(const Process& process);

    explicit MemoryBudget(const Process& process);
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    std::size_t used(MemoryUse use) const { return used_[index_of(use)]; }
    std::size_t used() const;
    std::size_t bytes() const { return bytes_; }
    std::size_t share(MemoryUse use) const;

    // Bytes that may still be taken for this use.
    std::size_t available(MemoryUse use) const;
    bool is_exceeded(MemoryUse use) const;
    // Once a use has exceeded its share, input is given up until it is at most this.
    std::size_t target(MemoryUse use) const;

    // Whether a request that has been received completely is accepted. Large requests are refused first, as
    // one of them takes the room of many small ones.
    bool may_accept(std::size_t request_bytes) const;
    // Most bytes to read at once from a peer that holds `held` bytes of this use already.
    std::size_t read_limit(MemoryUse use, std::size_t held) const;
    // Most bytes queued for one client before its stream's source is paused.
    std::size_t stream_buffer(std::size_t streams) const;
    // Whether a model server's response, or one event of it, may go on to be buffered while it is incomplete.
    bool may_buffer_response(std::size_t bytes) const;
    // What giving up a connection's input would gain: the connection with the highest value is given up
    // first. `age`: since its oldest byte. A request that is received at a usual speed has a low value.
    static double eviction_value(std::size_t bytes, Duration age);

    // The resident memory of the process, in bytes, as the system reports it now and then.
    void set_resident(std::size_t resident);
    // Whether the process has far more memory than can be explained by what is charged, so that the allocator
    // should return free memory to the system.
    bool should_trim() const;
    // To be called after that, with the memory that remains. Returns the time until the next attempt, which
    // is longer after attempts that gained little.
    Duration trimmed(std::size_t resident);
    std::size_t resident() const { return resident_; }

  private:
    friend class MemoryCharge;
    static std::size_t index_of(MemoryUse use) { return static_cast<std::size_t>(use); }
    void change(MemoryUse use, std::size_t before, std::size_t after);

    bool is_at_limit() const;
    std::size_t not_charged(std::size_t resident) const;

    const std::size_t limit_, bytes_;
    std::array<std::size_t, kMemoryUseCount> used_{};
    // Bytes by which the budget may grow until the process reaches its limit, and its use at that time.
    std::size_t headroom_, used_at_reading_ = 0;
    std::size_t resident_ = 0,
                at_rest_ = 0;  // at_rest_: least resident memory that was not charged; 0: not known
    Duration trim_interval_;
};

// Bytes charged to a budget for as long as this object lives.
class MemoryCharge {
  public:
    MemoryCharge() = default;
    MemoryCharge(MemoryBudget& budget, MemoryUse use) : budget_(&budget), use_(use) {}
    MemoryCharge(MemoryCharge&& other) noexcept { *this = std::move(other); }
    MemoryCharge& operator=(MemoryCharge&& other) noexcept {
        set(0);
        budget_ = std::exchange(other.budget_, nullptr);
        use_ = other.use_;
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    ~MemoryCharge() { set(0); }

    void set(std::size_t bytes) {
        if (budget_ == nullptr || bytes == bytes_) return;
        budget_->change(use_, bytes_, bytes);
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

  private:
    MemoryBudget* budget_ = nullptr;
    MemoryUse use_ = MemoryUse::client_input;
    std::size_t bytes_ = 0;
};

}  // namespace copperfront
