// Keeps the newest notice.
#include "coordination/UpstreamNoticeTracker.h"

namespace Ebonystack {

bool UpstreamNoticeTracker::onResponse(const UpstreamNotice& notice, Instant sentAt, Instant now)
{
    m_hasResponded = true;
    const bool saysSomething = notice.requestsPerSecond || notice.leaving;
    if (saysSomething)
        m_heardAt = now;
    else if (!m_notice || sentAt <= m_heardAt)
        return false;
    if (m_notice == notice)
        return false;
    m_notice = notice;
    return true;
}

bool UpstreamNoticeTracker::adopt(const UpstreamNotice& notice)
{
    if (m_hasResponded || m_notice)
        return false;
    m_notice = notice;
    return true;
}

} // namespace Ebonystack
