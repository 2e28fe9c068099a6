// Computes the owners by rendezvous weight and caches them.
#include "coordination/PlanOwners.h"

#include "state/Rendezvous.h"

#include <utility>

namespace Ebonystack {

std::optional<VmId> planOwner(const TeamId& team, const std::vector<VmId>& vms)
{
    std::optional<VmId> owner;
    std::uint64_t maxWeight = 0;
    for (const VmId& vm : vms) {
        const std::uint64_t weight = rendezvousWeight(team.text, vm.text);
        if (!owner || weight > maxWeight) {
            owner = vm;
            maxWeight = weight;
        }
    }
    return owner;
}

PlanOwners::PlanOwners(const UpstreamDirectory& directory)
    : m_directory(directory)
{
}

std::optional<VmId> PlanOwners::ownerOf(const TeamId& team)
{
    if (m_directoryVersion != m_directory.version()) {
        m_directoryVersion = m_directory.version();
        auto vms = m_directory.publishedVms();
        if (vms != m_vms)
            m_owners.clear(); // not when records are only renewed
        m_vms = std::move(vms);
    }
    const auto known = m_owners.find(team);
    if (known != m_owners.end())
        return known->second;
    auto owner = planOwner(team, m_vms);
    if (owner)
        m_owners.emplace(team, *owner);
    return owner;
}

} // namespace Ebonystack
