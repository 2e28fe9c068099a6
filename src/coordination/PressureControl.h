// How much of the work asked of one upstream has to be refused at the entries, so that its queue stays short.
// Answers sustained overload: the share rises while requests wait at the gate and falls while slots are idle.
#pragma once

#include "state/UpstreamLoad.h"

#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class PressureControl {
public:
    /// Takes the gate's state; called at short, regular intervals.
    void observe(const GateState&, Instant now);

    /// The share of the demand to refuse, from 0 to just under 1.
    double shedShare() const { return 1 - m_admitShare; }

private:
    double m_load { 0 }; // running and waiting requests per slot, smoothed
    double m_admitShare { 1 };
    std::optional<Instant> m_observedAt;
};

} // namespace Ebonystack
