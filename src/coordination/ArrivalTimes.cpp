// A node reads its sockets between two ticks, but not necessarily all of them.
#include "coordination/ArrivalTimes.h"

#include <utility>

namespace Ebonystack {
namespace {

/// A longer gap between ticks means that the process was stalled.
constexpr Duration stallThreshold = std::chrono::milliseconds(400);
/// Within this time after a stall the process reads what has waited for it.
constexpr Duration stallRecoveryTime = std::chrono::milliseconds(500);

} // namespace

std::optional<Duration> ArrivalTimes::tick(Instant now)
{
    const Duration gap = now - m_lastTick;
    if (gap > stallThreshold) {
        m_stalledAt = now;
        m_stalledSince = m_lastTick;
    }
    m_previousTick = std::exchange(m_lastTick, now);
    return gap > stallThreshold ? std::optional(gap) : std::nullopt;
}

bool ArrivalTimes::isCatchingUp(Instant now) const
{
    return m_stalledAt && now - *m_stalledAt <= stallRecoveryTime;
}

Instant ArrivalTimes::earliestArrival(Instant now) const
{
    return isCatchingUp(now) ? m_stalledSince : m_previousTick;
}

} // namespace Ebonystack
