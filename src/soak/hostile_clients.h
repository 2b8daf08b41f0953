// Clients that cost a gateway as much as they can within the protocol's limits: they stop in the middle of
// large requests, write or read slowly, or send heads with very many fields. Each connects again soon after
// its connection has ended.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/loop.h"

namespace copperfront::soak {

enum class HostileBehavior {
    large_request_behind_another,  // a complete small request, and most of a large one behind it
    many_header_fields,            // and the start of a body
    half_body,
    slow_body,
    single_byte_chunks,
    head_without_end,
    slow_reader,
    mixed,  // each connection draws one of the others
};
inline constexpr HostileBehavior kHostileBehaviors[] = {HostileBehavior::large_request_behind_another,
                                                        HostileBehavior::many_header_fields,
                                                        HostileBehavior::half_body,
                                                        HostileBehavior::slow_body,
                                                        HostileBehavior::single_byte_chunks,
                                                        HostileBehavior::head_without_end,
                                                        HostileBehavior::slow_reader,
                                                        HostileBehavior::mixed};
const char* text_of(HostileBehavior behavior);

class HostileClients {
  public:
    struct Options {
        HostileBehavior behavior = HostileBehavior::mixed;
        std::size_t clients = 100;
        std::uint32_t seed = 1;
        std::string service_class = "help";
        std::size_t body_bytes = 250 << 10;
    };
    HostileClients(Loop& loop, const Address& gateway, const Options& options);
    // Closes all connections.
    ~HostileClients();
    HostileClients(const HostileClients&) = delete;
    HostileClients& operator=(const HostileClients&) = delete;

    // Connections that the gateway has closed or answered to the end so far.
    std::size_t ended() const { return ended_; }

  private:
    class Connection;
    friend class Connection;
    void advance();

    Loop& loop_;
    const Address gateway_;
    const Options options_;
    std::size_t ended_ = 0;
    std::uint64_t next_id_ = 0;
    std::vector<std::unique_ptr<Connection>> connections_;
    Timer timer_;
};

}  // namespace copperfront::soak
