// Parsing of addresses.
#include "transport/SocketAddress.h"

#include "state/Check.h"

#include <charconv>

namespace Ebonystack {

SocketAddress SocketAddress::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    userCheck(colon != std::string_view::npos, "Write an address as ip:port, for example 127.0.0.1:8080.");
    SocketAddress address { std::string(text.substr(0, colon)), 0 };
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    userCheck(
        error == std::errc() && end == digits.data() + digits.size(), "A port is a number from 0 to 65535.");
    return address;
}

} // namespace Ebonystack
