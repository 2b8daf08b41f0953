// A byte relay in front of one model server that fails as networks do: connections fall silent without an
// error, are cut off, are slow to open, or are reset. Discovery reports its address as that of the server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/line_connection.h"
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
    // The address that bytes go to from now on; connections to an earlier address are reset.
    void forward_to(const Address& server);
    // While the server is cut off, no bytes pass on any connection, old or new. When this ends, all
    // connections are reset.
    void cut_off(bool on);
    // This share of the connections that are open now falls silent for good.
    void silence(double share);
    void reset(double share);
    // New connections forward their first bytes only after this time.
    void delay_new(Duration delay) { connect_delay_ = delay; }
    // Called when a connection that was silent for a while ends, with the times on the machine's monotonic
    // clock.
    std::function<void(std::int64_t from_us, std::int64_t until_us)> on_silence_ended;
    std::size_t connections() const { return relays_.size(); }

  private:
    class Relay;
    void drop(Relay& relay, bool reset);
    double draw();

    Loop& loop_;
    std::uint64_t random_state_;
    Address server_;
    bool has_server_ = false, is_cut_off_ = false;
    Duration connect_delay_;
    std::map<Relay*, std::unique_ptr<Relay>> relays_;
    Listener listener_;
};

}  // namespace copperfront::soak
