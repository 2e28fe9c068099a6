// Keeps the last notice of each instance.
#include "coordination/UpstreamNotices.h"

namespace Ebonystack {

void UpstreamNotices::record(const UpstreamNotice& notice, const UpstreamDirectory& directory, Instant now)
{
    const KnownUpstream* upstream = directory.find(notice.instance);
    if (!upstream)
        return;
    KnownNotice& known = m_notices[notice.instance];
    const bool wasLeaving = known.notice.leaving && known.startedAt == upstream->record.startedAt;
    known = { notice, upstream->record.startedAt, wasLeaving ? known.leavingSince : now };
}

std::optional<Instant> UpstreamNotices::leavingSince(const UpstreamRecord& record) const
{
    const auto found = m_notices.find(record.instance);
    const bool isLeaving = found != m_notices.end() && found->second.notice.leaving
        && found->second.startedAt == record.startedAt;
    return isLeaving ? std::optional(found->second.leavingSince) : std::nullopt;
}

std::optional<double> UpstreamNotices::requestLimit(const InstanceId& instance) const
{
    const auto found = m_notices.find(instance);
    return found == m_notices.end() ? std::nullopt : found->second.notice.requestsPerSecond;
}

void UpstreamNotices::removeUnknown(const UpstreamDirectory& directory)
{
    std::erase_if(m_notices, [&](const auto& item) { return !directory.find(item.first); });
}

} // namespace Ebonystack
