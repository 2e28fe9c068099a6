// The home VM of each team's plan, by rendezvous hashing over the VMs with a published entry. Every node that
// knows the same entries names the same home.
#pragma once

#include "coordination/UpstreamDirectory.h"

#include <optional>
#include <unordered_map>

namespace Ebonystack {

/// The home among `vms`; nothing when there are none.
std::optional<VmId> planOwner(const TeamId&, const std::vector<VmId>& vms);

/// Remembers homes until the directory changes. Not thread-safe.
class PlanOwners {
public:
    /// The directory outlives this.
    explicit PlanOwners(const UpstreamDirectory&);

    std::optional<VmId> of(const TeamId&);

private:
    const UpstreamDirectory& m_directory;
    std::uint64_t m_directoryVersion { 0 }; // of the directory, when m_vms was read
    std::vector<VmId> m_vms;
    std::unordered_map<TeamId, VmId> m_owners; // among m_vms
};

} // namespace Ebonystack
