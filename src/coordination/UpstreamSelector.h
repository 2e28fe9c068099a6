// Selects the VM for a request by the loads that nodes report and by the outcomes of this node's own
// requests. The selection is random, weighted by the work that each VM can take on soon, so that entry nodes
// with the same load reports don't all select the same VM. The weights account for upstreams of different
// speeds, for cold ones, which have just started, and for failing ones.
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

    /// Selects one of `candidates` whose VM is not in `triedVms`; null when there is none. VMs with recent
    /// failures are selected rarely.
    const KnownUpstream* select(
        const std::vector<const KnownUpstream*>& candidates, const std::vector<VmId>& triedVms, Instant now);

    /// Whether the VM's node has said that it has no repeats left.
    bool lacksRepeats(const VmId&, Instant now) const;

    /// Called when a request is sent to a VM.
    void requestStarted(const VmId&);
    /// Called when the request has ended; `failed` when the upstream gave no response or an error.
    void requestEnded(const VmId&, bool failed, Instant now);
    /// Called with every load report of a VM.
    void recordLoadReport(const VmId&, const UpstreamLoad&, Instant now);

    /// The mean shed share of the upstreams with a current load report, weighted by their slots.
    double shedShare(const std::vector<const KnownUpstream*>&, Instant now) const;
    /// The requests per second that reach the upstreams with a current load report, without repeats.
    double requestsPerSecond(const std::vector<const KnownUpstream*>&, Instant now) const;

private:
    struct VmState {
        UpstreamLoad load;
        std::optional<Instant> observedAt;
        std::uint32_t startedSinceReport { 0 }; // requests sent since the last load report
        double failureRate { 0 }; // smoothed share of requests that failed
        Instant lastFailureAt;
    };

    double weight(const KnownUpstream&, Instant now) const;
    /// The load that a VM has reported; null when there is no current report.
    const UpstreamLoad* currentLoad(const VmId&, Instant now) const;
    /// The requests that run at the upstream at the same time at most, by its record and its load report.
    static double capacity(const KnownUpstream&, const UpstreamLoad&);

    DataCentre m_localDataCentre;
    RandomSource m_random;
    std::map<VmId, VmState> m_vmStates;
};

} // namespace Ebonystack
