// The directory's table and its grace for lapsed entries.
#include "coordination/UpstreamDirectory.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// The platform puts entries that lapsed during an outage back within about this time of its end.
constexpr Duration lapsedEntryGrace = 2200ms;

} // namespace

void UpstreamDirectory::put(const UpstreamEntry& entry, Instant now)
{
    m_upstreams.insert_or_assign(entry.instance, KnownUpstream { entry, now + entry.coldFor, std::nullopt });
    m_order.try_emplace(entry.instance, m_nextOrder++);
}

void UpstreamDirectory::remove(const InstanceId& instance, bool lapsed, Instant now)
{
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end())
        return;
    if (lapsed && !found->second.entry.draining) {
        found->second.goneAt = now + lapsedEntryGrace;
        return;
    }
    m_order.erase(instance);
    m_upstreams.erase(found);
}

void UpstreamDirectory::expire(Instant now)
{
    std::erase_if(m_upstreams, [&](const auto& item) {
        const bool overdue = item.second.goneAt && *item.second.goneAt <= now;
        if (overdue)
            m_order.erase(item.first);
        return overdue;
    });
}

std::vector<const KnownUpstream*> UpstreamDirectory::usable(const ServiceName& service) const
{
    std::vector<const KnownUpstream*> usable;
    for (const auto& [instance, upstream] : m_upstreams) {
        if (upstream.entry.service == service && !upstream.entry.draining)
            usable.push_back(&upstream);
    }
    return usable;
}

const KnownUpstream* UpstreamDirectory::atAddress(const std::string& address) const
{
    const KnownUpstream* newest = nullptr;
    std::uint64_t newestOrder = 0;
    for (const auto& [instance, upstream] : m_upstreams) {
        const std::uint64_t order = m_order.at(instance);
        if (upstream.entry.address == address && order > newestOrder) {
            newest = &upstream;
            newestOrder = order;
        }
    }
    return newest;
}

const KnownUpstream* UpstreamDirectory::find(const InstanceId& instance) const
{
    const auto found = m_upstreams.find(instance);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<VmId> UpstreamDirectory::vms() const
{
    std::vector<VmId> vms;
    for (const auto& [instance, upstream] : m_upstreams)
        vms.push_back(upstream.entry.vm);
    std::ranges::sort(vms);
    const auto repeated = std::ranges::unique(vms);
    vms.erase(repeated.begin(), repeated.end());
    return vms;
}

} // namespace Ebonystack
