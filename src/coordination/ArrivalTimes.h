// Since when the bytes that a node reads now can have waited for it. Frames that wait while the process
// stands still are not as fresh as the moment at which they are read.
#pragma once

#include "state/Time.h"

#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class ArrivalTimes {
public:
    explicit ArrivalTimes(Instant now)
        : m_lastTick(now)
        , m_previousTick(now)
    {
    }

    /// Called at each tick of the node. Returns for how long the process stood still, if it did.
    std::optional<Duration> tick(Instant now);
    /// Whether the process stood still a moment ago, so that what it knows of other nodes is outdated.
    bool isCatchingUp(Instant now) const;
    /// The earliest time at which a frame that is read now can have arrived.
    Instant earliestArrival(Instant now) const;

private:
    Instant m_lastTick;
    Instant m_previousTick;
    std::optional<Instant> m_stalledAt; // when a stall was last noticed
    Instant m_stalledSince; // when the node was last seen to run before m_stalledAt
};

} // namespace Ebonystack
