// The time for which a caller waits, as its request states it.
#pragma once

#include "protocol/HttpMessage.h"
#include "state/Time.h"

#include <optional>
#include <string>

namespace Ebonystack {

/// Returns the value of the field `name`, in milliseconds; nothing if it is absent, malformed or above an
/// hour.
std::optional<Duration> readCallerDeadline(const HttpFields&, const std::string& name);

} // namespace Ebonystack
