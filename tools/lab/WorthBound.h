// The most worth that any control could deliver at a steady load: a linear programme over the kinds of
// request, with each service's slots as a bound. Queueing is left out, so no run can do better for long.
#pragma once

#include "lab/LoadScenario.h"

#include <vector>

namespace Ebonystack {

/// Maximizes gains * x for x >= 0 and rows * x <= bounds, where the bounds are not negative. Returns x.
std::vector<double> solveLinearProgram(
    const std::vector<double>& gains, std::vector<std::vector<double>> rows, std::vector<double> bounds);

/// The share of the worth asked for that can be delivered at `load` times the usual rates.
double worthBound(const LoadScenario&, double load);

} // namespace Ebonystack
