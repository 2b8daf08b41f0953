#include "net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <cstring>

namespace copperfront {
namespace {

[[noreturn]] void throw_invalid(std::string_view text, const char* why) {
    throw NetworkError("address \"" + std::string(text.substr(0, 80)) + "\": " + why +
                       "; expected a loopback address and a port, such as 127.0.0.1:7400 or [::1]:7400");
}

}  // namespace

Address Address::parse(std::string_view text) {
    Address address;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) throw_invalid(text, "no port");
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        address.is_ipv6_ = true;
    }
    unsigned number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc() || end != port.data() + port.size() || number > 65535)
        throw_invalid(text, "the port is not a number up to 65535");
    address.port_ = static_cast<std::uint16_t>(number);
    address.host_ = std::string(host);
    if (address.is_ipv6_) {
        in6_addr address6{};
        if (inet_pton(AF_INET6, address.host_.c_str(), &address6) != 1)
            throw_invalid(text, "not an IPv6 address");
        if (!IN6_IS_ADDR_LOOPBACK(&address6)) throw_invalid(text, "not on loopback");
    } else {
        in_addr address4{};
        if (inet_pton(AF_INET, address.host_.c_str(), &address4) != 1)
            throw_invalid(text, "not an IPv4 address");
        if ((ntohl(address4.s_addr) >> 24) != 127) throw_invalid(text, "not on loopback");
    }
    return address;
}

Address Address::from_sockaddr(const sockaddr* raw) {
    Address address;
    char host[INET6_ADDRSTRLEN] = {};
    if (raw->sa_family == AF_INET6) {
        sockaddr_in6 address6{};
        std::memcpy(&address6, raw, sizeof address6);
        inet_ntop(AF_INET6, &address6.sin6_addr, host, sizeof host);
        address.port_ = ntohs(address6.sin6_port);
        address.is_ipv6_ = true;
    } else {
        sockaddr_in address4{};
        std::memcpy(&address4, raw, sizeof address4);
        inet_ntop(AF_INET, &address4.sin_addr, host, sizeof host);
        address.port_ = ntohs(address4.sin_port);
    }
    address.host_ = host;
    return address;
}

std::string Address::text() const {
    return (is_ipv6_ ? "[" + host_ + "]" : host_) + ":" + std::to_string(port_);
}

int Address::fill_sockaddr(void* storage) const {
    if (is_ipv6_) {
        sockaddr_in6 address6{};
        address6.sin6_family = AF_INET6;
        address6.sin6_port = htons(port_);
        inet_pton(AF_INET6, host_.c_str(), &address6.sin6_addr);
        std::memcpy(storage, &address6, sizeof address6);
        return static_cast<int>(sizeof address6);
    }
    sockaddr_in address4{};
    address4.sin_family = AF_INET;
    address4.sin_port = htons(port_);
    inet_pton(AF_INET, host_.c_str(), &address4.sin_addr);
    std::memcpy(storage, &address4, sizeof address4);
    return static_cast<int>(sizeof address4);
}

}  // namespace copperfront
