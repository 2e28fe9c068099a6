// The load of an upstream as its node reports it.
#pragma once

#include "state/RetryLoad.h"
#include "state/Time.h"
#include "state/UpstreamNotice.h"

#include <compare>
#include <cstdint>

namespace Ebonystack {

/// The request counts and the limit of the gate in front of an upstream.
struct GateState {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /// Requests that may run at the same time, or that run on average at the rate that the upstream takes.
    std::uint32_t limit { 0 };

    auto operator<=>(const GateState&) const = default;
};

struct UpstreamLoad {
    GateState gate;
    double shedShare { 0 }; ///< share of the demand to be shed by entry nodes; from 0 to just under 1
    Duration meanServiceTime { 0 }; ///< mean time for which a request occupies a slot
    bool acceptsRequests { true }; ///< false: the upstream can't be reached, or its node is shutting down
    /// What the upstream says of itself; nothing until it has said something since its node's start.
    std::optional<UpstreamNotice> notice;
    RetryLoad retryLoad;

    auto operator<=>(const UpstreamLoad&) const = default;
};

} // namespace Ebonystack
