// The text form of network addresses in settings and documents.
#pragma once

#include <string_view>

namespace Ebonystack {

/// Whether `text` is "ip:port" with an IP address and a port from 0 to 65535. IPv6 addresses are written in
/// brackets. Host names are rejected, since they are not resolved.
bool isNetworkAddress(std::string_view text);

/// The hint in problems and errors about an invalid address.
constexpr auto networkAddressFormatHint = "must be \"ip:port\" with an IP address";

} // namespace Ebonystack
