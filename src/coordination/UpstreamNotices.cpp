// Keeps the last notice of each instance.
#include "coordination/UpstreamNotices.h"

namespace Ebonystack {

void UpstreamNotices::record(const UpstreamNotice& notice)
{
    if (!notice.instance.empty())
        m_notices.insert_or_assign(notice.instance, notice);
}

std::optional<double> UpstreamNotices::requestLimit(const InstanceId& instance) const
{
    const auto found = m_notices.find(instance);
    return found == m_notices.end() ? std::nullopt : found->second.requestsPerSecond;
}

void UpstreamNotices::removeUnknown(const UpstreamDirectory& directory)
{
    std::erase_if(m_notices, [&](const auto& item) { return !directory.find(item.first); });
}

} // namespace Ebonystack
