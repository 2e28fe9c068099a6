// Keeps the bounds of the current and of the last outage.
#include "coordination/StoreContactTracker.h"

namespace Ebonystack {

void StoreContactTracker::onResponse(Instant now)
{
    if (m_contact.lostAfter)
        m_contact.lastOutage = StoreOutage { *m_contact.lostAfter, m_lastFailureBegunAt, now };
    m_contact.lostAfter.reset();
    m_contact.lastSeen = now;
    m_lastResponseAt = now;
    m_failingSince.reset();
}

void StoreContactTracker::onFailure(StoreCallFailure failure, Instant begunAt, Instant now)
{
    m_lastFailureBegunAt = failure == StoreCallFailure::ConnectionEnded ? now : begunAt;
    if (m_failingSince)
        return;
    m_failingSince = now;
    if (failure == StoreCallFailure::ConnectionEnded && m_contact.lastSeen)
        m_contact.lastSeen = now;
    m_contact.lostAfter = m_contact.lastSeen.value_or(now);
}

Duration StoreContactTracker::failingFor(Instant now) const
{
    return m_failingSince ? now - *m_failingSince : Duration::zero();
}

} // namespace Ebonystack
