// An upper bound on the worth that any admission control can deliver at a constant load. A linear program
// chooses the rate of each kind of request within the demand, each service's slots, and the operator's limit
// on retries where upstreams reject calls. It leaves queueing out, so no run can exceed the bound for long.
#pragma once

#include "lab/LoadScenario.h"

#include <map>
#include <vector>

namespace Ebonystack {

/// Returns the x >= 0 with rows * x <= bounds that maximizes gains * x. No bound may be negative.
std::vector<double> solveLinearProgram(
    const std::vector<double>& gains, std::vector<std::vector<double>> rows, std::vector<double> bounds);

/// What limits the nested calls of a service whose upstreams all reject a share of the requests.
struct RejectionBound {
    double rejectedShare { 0 }; ///< from 0 to under 1
    double repeatsPerSecond { 0 }; ///< that the operator allows

    auto operator<=>(const RejectionBound&) const = default;
};

using RejectionBounds = std::map<ServiceName, RejectionBound>;

/// The bounds that hold at a time since the beginning of the traffic. A service at which some upstreams
/// reject nothing has none: these may take the load.
RejectionBounds rejectionBoundsAt(const LoadScenario&, Duration);

/// Returns the largest share of the requested worth that can be delivered at `load` times the usual rates. A
/// call is repeated until it is accepted; the callers' own retries cost nothing.
double worthBound(const LoadScenario&, double load, const RejectionBounds& = {});

} // namespace Ebonystack
