// Periods of a node's recurring work. The sidecar and the simulation use the same values.
#pragma once

#include "state/Time.h"

namespace Ebonystack {

/// Resolution of all timers.
constexpr Duration tickPeriod = std::chrono::milliseconds(10);
/// Gate: drops requests that wait for too long and measures the arrival rate.
constexpr Duration gatePeriod = std::chrono::milliseconds(20);
/// Recomputes the share of the demand that is admitted.
constexpr Duration admissionPeriod = std::chrono::milliseconds(150);
/// Work that is not urgent: decay of observations, log lines, the list of peers.
constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
/// Part of the grace period that is reserved for the end of the process.
constexpr Duration shutdownMargin = std::chrono::milliseconds(800);

} // namespace Ebonystack
