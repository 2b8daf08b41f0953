// Short notes between gateways: datagrams on loopback addresses, at most 256 bytes, without a guarantee of
// delivery. Datagrams from addresses that are not those of peers are dropped and counted.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/address.h"
#include "net/loop.h"

struct event;

namespace copperfront {

class PeerNotes {
  public:
    // Throws NetworkError if the address cannot be bound or an address cannot be parsed.
    PeerNotes(Loop& loop, const Address& listen_address, const std::vector<std::string>& peers,
              std::function<void(std::string_view)> on_note);
    ~PeerNotes();
    PeerNotes(const PeerNotes&) = delete;
    PeerNotes& operator=(const PeerNotes&) = delete;

    Address address() const;
    void add(const Address& peer) { peers_.push_back(peer); }
    void send(std::string_view note);

    struct Counts {
        std::uint64_t sent = 0, received = 0, dropped = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    static void on_readable(int, short, void* self);
    void receive();

    int fd_ = -1;
    event* event_ = nullptr;
    std::vector<Address> peers_;
    std::function<void(std::string_view)> on_note_;
    Counts counts_;
};

}  // namespace copperfront
