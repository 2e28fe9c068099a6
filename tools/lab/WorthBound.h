// An upper bound on the worth that any admission control can deliver at a constant load. A linear program
// chooses the rate of each kind of request within the demand and each service's slots. It leaves queueing
// out, so no run can exceed the bound for long.
#pragma once

#include "lab/LoadScenario.h"

#include <vector>

namespace Ebonystack {

/// Returns the x >= 0 with rows * x <= bounds that maximizes gains * x. No bound may be negative.
std::vector<double> solveLinearProgram(
    const std::vector<double>& gains, std::vector<std::vector<double>> rows, std::vector<double> bounds);

/// Returns the largest share of the requested worth that can be delivered at `load` times the usual rates.
double worthBound(const LoadScenario&, double load);

} // namespace Ebonystack
