// The owner VM of each team's plan, by rendezvous hashing over the VMs with a published record. All nodes
// that know the same records compute the same owner.
#pragma once

#include "coordination/UpstreamDirectory.h"

#include <optional>
#include <unordered_map>

namespace Ebonystack {

/// The owner of the team's plan among `vms`; nothing when `vms` is empty.
std::optional<VmId> planOwner(const TeamId&, const std::vector<VmId>& vms);

/// Caches owners until the directory changes. Not thread-safe.
class PlanOwners {
public:
    /// The directory must outlive this object.
    explicit PlanOwners(const UpstreamDirectory&);

    /// The owner of the team's plan; nothing when no VM has a published record.
    std::optional<VmId> ownerOf(const TeamId&);

private:
    const UpstreamDirectory& m_directory;
    std::uint64_t m_directoryVersion { 0 }; // when m_vms was read
    std::vector<VmId> m_vms;
    std::unordered_map<TeamId, VmId> m_owners; // among m_vms
};

} // namespace Ebonystack
