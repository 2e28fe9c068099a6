// Two small tables: most upstreams name no limit and are not leaving.
#include "coordination/UpstreamNotices.h"

namespace Ebonystack {

void UpstreamNotices::record(const UpstreamNotice& notice, const UpstreamDirectory& directory, Instant now)
{
    const KnownUpstream* upstream = directory.find(notice.instance);
    if (!upstream)
        return;
    if (notice.requestsPerSecond)
        m_requestLimits[notice.instance] = *notice.requestsPerSecond;
    else
        m_requestLimits.erase(notice.instance);
    if (notice.leaving && !leavingSince(upstream->record))
        m_leaving[notice.instance] = { upstream->record.startedAt, now };
}

std::optional<double> UpstreamNotices::requestLimit(const InstanceId& instance) const
{
    const auto found = m_requestLimits.find(instance);
    return found == m_requestLimits.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Instant> UpstreamNotices::leavingSince(const UpstreamRecord& record) const
{
    const auto found = m_leaving.find(record.instance);
    const bool isLeaving = found != m_leaving.end() && found->second.startedAt == record.startedAt;
    return isLeaving ? std::optional(found->second.since) : std::nullopt;
}

void UpstreamNotices::removeUnknown(const UpstreamDirectory& directory)
{
    const auto isUnknown = [&](const auto& item) { return !directory.find(item.first); };
    std::erase_if(m_requestLimits, isUnknown);
    std::erase_if(m_leaving, isUnknown);
}

} // namespace Ebonystack
