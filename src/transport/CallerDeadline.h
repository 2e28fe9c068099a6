// The time for which a caller waits, as its request and the operator state it.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/ServingConfig.h"
#include "state/Time.h"

#include <optional>
#include <string>

namespace Ebonystack {

/// Returns the value of the field `name`, in milliseconds; nothing if it is absent, malformed or above an
/// hour.
std::optional<Duration> readCallerDeadline(const HttpFields&, const std::string& name);

/// The longest time from the first byte of a request to its response, whatever its caller says. `route`: null
/// if none matches.
Duration longestCallTime(const RouteConfig* route);

} // namespace Ebonystack
