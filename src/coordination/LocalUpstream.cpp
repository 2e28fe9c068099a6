// Keeps the newest limit, and the first news that the upstream is leaving.
#include "coordination/LocalUpstream.h"

namespace Ebonystack {

void LocalUpstream::setRecord(const UpstreamRecord& record, const ChangeTime& written)
{
    const bool isOtherRun
        = m_record && (m_record->instance != record.instance || m_record->startedAt != record.startedAt);
    if (isOtherRun)
        *this = {};
    m_record = record;
    if (!record.draining)
        m_drainingSince.reset();
    else if (!m_drainingSince)
        m_drainingSince = written;
}

void LocalUpstream::removeRecord(const ChangeTime& removed)
{
    if (m_record && !m_drainingSince)
        m_drainingSince = removed;
}

bool LocalUpstream::onResponse(const UpstreamNotice& notice, Instant sentAt, Instant now)
{
    m_hasResponded = true;
    bool hasChanged = false;
    if (notice.leaving && !m_leavingSince) {
        m_leavingSince = now;
        hasChanged = true;
    }
    m_hasGivenNotice = m_hasGivenNotice || notice.leaving || notice.requestsPerSecond;
    // Responses can overtake each other: one without a limit counts only if its request was sent after the
    // last response with one had arrived.
    if (notice.requestsPerSecond)
        m_limitHeardAt = now;
    else if (sentAt <= m_limitHeardAt)
        return hasChanged;
    hasChanged = hasChanged || m_requestLimit != notice.requestsPerSecond;
    m_requestLimit = notice.requestsPerSecond;
    return hasChanged;
}

bool LocalUpstream::adoptRequestLimit(double requestsPerSecond)
{
    if (m_hasResponded || m_requestLimit)
        return false;
    m_requestLimit = requestsPerSecond;
    return true;
}

std::optional<UpstreamNotice> LocalUpstream::notice() const
{
    if (!m_hasGivenNotice || !m_record)
        return std::nullopt;
    return UpstreamNotice { m_record->instance, m_requestLimit, isLeaving() };
}

std::optional<ChangeTime> LocalUpstream::leavingSince() const
{
    if (m_drainingSince && m_leavingSince)
        return m_drainingSince->heardAt < *m_leavingSince ? m_drainingSince : ChangeTime(*m_leavingSince);
    return m_drainingSince ? m_drainingSince : m_leavingSince;
}

bool LocalUpstream::hasDrained(const DrainTimes& times, Instant now) const
{
    const auto isOver = [&](const ChangeTime& since) {
        return now - since.heardAt > times.afterNews || !since.madeAfter
            || now - *since.madeAfter > times.afterLeaving;
    };
    return (m_drainingSince && isOver(*m_drainingSince)) || (m_leavingSince && isOver(*m_leavingSince));
}

} // namespace Ebonystack
