// Computes the share of the demand for one upstream that entry nodes have to shed so that the upstream's
// queue stays short. In sustained overload the share rises while requests arrive faster than the upstream
// frees slots. The share follows the arrival rate and not the queue length, because the queue still grows for
// a while after entry nodes have begun to shed.
#pragma once

#include "state/UpstreamLoad.h"

#include <cstdint>
#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class OverloadController {
public:
    /// Updates the share from the gate's state, the number of requests that arrived since the last call, and
    /// their mean service time. Called at short, regular intervals.
    void observe(const GateState&, std::uint32_t arrivals, Duration meanServiceTime, Instant now);

    /// The share of the demand to shed, from 0 to just under 1.
    double shedShare() const { return 1 - m_admittedShare; }

private:
    double m_offeredLoad { 0 }; // slots that the arriving requests need, smoothed
    double m_queueWait { 0 }; // seconds for which a request that arrives now would be queued
    double m_queueWaitTrend { 0 }; // change of m_queueWait per second, smoothed
    double m_admittedShare { 1 };
    std::optional<Instant> m_observedAt;
};

} // namespace Ebonystack
