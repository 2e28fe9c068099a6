// Writes the metrics page of a sidecar.
#pragma once

#include "state/UpstreamLoad.h"
#include "transport/CallerServer.h"
#include "transport/SidecarState.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Ebonystack {

/// Values of the sidecar's parts at the time of one metrics request.
struct SidecarStats {
    UpstreamLoad load;
    std::size_t callerConnections { 0 };
    SlowReaders slowReaders;
    std::size_t upstreamConnections { 0 };
    std::uint64_t upstreamConnectionsOpened { 0 };
    std::uint64_t strayResponses { 0 };
    std::size_t linksUp { 0 };
    std::uint64_t storeCalls { 0 };
    std::size_t openCalls { 0 };
    std::size_t openHops { 0 };
    std::uint64_t storeRevision { 0 };
    std::uint64_t storeEra { 0 }; ///< of the revision
    std::optional<Duration> storeSilence; ///< since the store's last response to this node; none before it

    auto operator<=>(const SidecarStats&) const = default;
};

/// Returns all metrics in the Prometheus text format.
std::string writeSidecarMetrics(const SidecarState&, const SidecarStats&);

} // namespace Ebonystack
