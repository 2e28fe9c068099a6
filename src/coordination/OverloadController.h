// How much of the work asked of one upstream has to be refused at the entries, so that its queue stays short.
// Answers sustained overload: the share rises while requests come faster than the upstream's slots free up.
// It follows the rate of arrivals and not the length of the queue, which still grows for a while after the
// entries have begun to refuse.
#pragma once

#include "state/UpstreamLoad.h"

#include <cstdint>
#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class OverloadController {
public:
    /// Takes the gate's state, the requests that came since the last call, and the mean time for which one
    /// holds a slot; called at short, regular intervals.
    void observe(const GateState&, std::uint32_t arrivals, Duration meanServiceTime, Instant now);

    /// The share of the demand to refuse, from 0 to just under 1.
    double shedShare() const { return 1 - m_admittedShare; }

private:
    double m_offered { 0 }; // work that comes in, in slots, smoothed
    double m_wait { 0 }; // seconds for which a request that comes now would wait
    double m_waitSlope { 0 }; // its change a second, smoothed
    double m_admittedShare { 1 };
    std::optional<Instant> m_observedAt;
};

} // namespace Ebonystack
