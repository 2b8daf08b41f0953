// A relay of bytes in front of one model server, which can fail as networks do: connections fall silent
// without an error, are cut off, come up slow, or are reset. Its address is the one that discovery tells.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/link.h"
#include "net/loop.h"
#include "net/stream.h"

namespace copperfront::soak {

class FaultProxy {
  public:
    FaultProxy(Loop& loop, std::uint32_t seed);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Address address() const { return listener_.address(); }
    // Where bytes go from now on; connections to an earlier address are reset.
    void forward_to(const Address& server);
    // Cut off: nothing passes on any connection, old or new. At its end all of them are reset.
    void cut_off(bool on);
    // Of the connections open now: this share falls silent for good.
    void silence(double share);
    void reset(double share);
    // New connections pass their first bytes on only after this time.
    void delay_new(Span delay) { delay_ = delay; }
    // Told, on the machine's monotonic clock, of each connection that was silent for a while when it ends.
    std::function<void(std::int64_t from_us, std::int64_t until_us)> on_silence_over;
    std::size_t connections() const { return pairs_.size(); }

  private:
    class Pair;
    void drop(Pair& pair, bool reset);
    double chance();

    Loop& loop_;
    std::uint64_t random_;
    Address server_;
    bool has_server_ = false, is_cut_ = false;
    Span delay_;
    std::map<Pair*, std::unique_ptr<Pair>> pairs_;
    Listener listener_;
};

}  // namespace copperfront::soak
