// Chooses the VM for a request from the loads that nodes report and from this node's own experience. The
// choice is random in proportion to the work that each VM can take on soon, so that entries with the same
// news don't all choose the same VM. Answers upstreams of different speed, cold ones and failing ones.
#pragma once

#include "coordination/UpstreamDirectory.h"
#include "state/RandomSource.h"
#include "state/UpstreamLoad.h"

#include <map>
#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class UpstreamSelector {
public:
    UpstreamSelector(DataCentre localDataCentre, std::uint64_t seed);

    /// Picks one of `candidates` that is not in `tried`; null when none is left. VMs that failed lately are
    /// picked rarely.
    const KnownUpstream* select(
        const std::vector<const KnownUpstream*>& candidates, const std::vector<VmId>& tried, Instant now);

    /// A request was sent to a VM.
    void requestStarted(const VmId&);
    /// It has ended; `failed` when the upstream did not give a sound answer.
    void requestEnded(const VmId&, bool failed, Instant now);
    /// News of a VM's load.
    void observe(const VmId&, const UpstreamLoad&, Instant now);

    /// The mean shed share of the upstreams, weighted by their slots.
    double shedShare(const std::vector<const KnownUpstream*>&, Instant now) const;

private:
    struct VmState {
        UpstreamLoad load;
        std::optional<Instant> observedAt;
        std::uint32_t startedSinceReport { 0 }; // requests sent since the last news
        double failures { 0 }; // smoothed share of requests that failed
        Instant failedAt;
    };

    double weight(const KnownUpstream&, Instant now) const;

    DataCentre m_localDataCentre;
    RandomSource m_random;
    std::map<VmId, VmState> m_vmStates;
};

} // namespace Ebonystack
