// The text form of network addresses in settings and documents.
#pragma once

#include <string_view>

namespace Ebonystack {

/// Whether `text` is "ip:port" with an IP number and a port from 0 to 65535. IPv6 numbers stand in
/// brackets. Names are not resolved, so they are refused.
bool isNetworkAddress(std::string_view text);

/// What to write instead, for problems.
constexpr auto networkAddressFormatHint = "must be \"ip:port\" with an IP number";

} // namespace Ebonystack
