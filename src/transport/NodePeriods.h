// How often a node does what it does by time. The daemon and the load laboratory keep the same.
#pragma once

#include "state/Time.h"

namespace Ebonystack {

/// Resolution of all timers.
constexpr Duration tickPeriod = std::chrono::milliseconds(10);
/// Between looks at the gate: what waits too long, and the rate of arrivals.
constexpr Duration gatePeriod = std::chrono::milliseconds(20);
/// Between plans of what share of the demand is admitted.
constexpr Duration admissionPeriod = std::chrono::milliseconds(150);
/// For what may wait: fading of observations, log lines, peers.
constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
/// Kept of the grace for the end of the process.
constexpr Duration shutdownMargin = std::chrono::milliseconds(800);

} // namespace Ebonystack
