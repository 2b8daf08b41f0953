// Loopback addresses in the form operators write: "127.0.0.1:7400", "[::1]:7400". Port 0 means any free port.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

struct sockaddr;

namespace copperfront {

struct NetworkError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Address {
  public:
    Address() = default;
    // Throws NetworkError with the text found and the form expected. Only loopback addresses are accepted: no
    // part of the program may be reachable from, or connect to, another machine.
    static Address parse(std::string_view text);
    static Address from_sockaddr(const sockaddr* raw);

    std::string text() const;
    std::uint16_t port() const { return port_; }
    // Fills a sockaddr_storage; returns its length.
    int fill_sockaddr(void* storage) const;

  private:
    std::string host_;
    std::uint16_t port_ = 0;
    bool is_ipv6_ = false;
};

}  // namespace copperfront
