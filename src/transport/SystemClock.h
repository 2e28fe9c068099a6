// The system's clocks. Only the transport layer and the tools read them.
#pragma once

#include "state/Time.h"

namespace Ebonystack {

/// The monotonic clock, which continues while the machine is suspended (CLOCK_BOOTTIME).
Instant monotonicNow();

/// Milliseconds since the Unix epoch.
WallMilliseconds wallNow();

} // namespace Ebonystack
