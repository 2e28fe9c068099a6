// An "ip:port" address as host and port.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Ebonystack {

struct SocketAddress {
    std::string host;
    std::uint16_t port { 0 };

    auto operator<=>(const SocketAddress&) const = default;

    /// Throws UserError unless `text` is "ip:port".
    static SocketAddress parse(std::string_view text);
};

} // namespace Ebonystack
