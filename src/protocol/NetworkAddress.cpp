// Validates addresses with the system's parser of IP addresses, inet_pton.
#include "protocol/NetworkAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <string>

namespace Ebonystack {
namespace {

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size();
}

bool isIpAddress(int family, std::string_view text)
{
    in6_addr unused {}; // large enough for both families
    return inet_pton(family, std::string(text).c_str(), &unused) == 1;
}

} // namespace

bool isNetworkAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    const auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        return isIpAddress(AF_INET6, host.substr(1, host.size() - 2));
    return isIpAddress(AF_INET, host);
}

} // namespace Ebonystack
