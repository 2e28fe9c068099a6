// One run of a scenario, and its measures.
#pragma once

#include "lab/LoadScenario.h"
#include "lab/SimulatedNode.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Ebonystack {

/// What became of one kind of request, as shares of what was asked.
struct KindResult {
    std::uint64_t requested { 0 };
    double inTime { 0 };
    double late { 0 };
    double refused { 0 };
    double failed { 0 };
    Duration median { 0 }; ///< of the answers served
    Duration p99 { 0 }; ///< the time that 99 in 100 of them keep

    auto operator<=>(const KindResult&) const = default;
};

struct SimulationResult {
    std::map<RouteId, KindResult> kinds;
    /// "worth", "bound-share", "served", "worst-team", "wasted", "upstream-sheds", "plan-refusals",
    /// "others-refused", "recovery", "cut"; and "worth KIND" and "served KIND" for each kind.
    /// docs/SCENARIOS.md describes them.
    std::map<std::string, double> measures;

    auto operator<=>(const SimulationResult&) const = default;
};

SimulationResult runScenario(const LoadScenario&, SimulationOptions, std::uint64_t seed);

/// The expectations that a result misses, as text; one that names no measure is missed.
std::vector<std::string> missedExpectations(const LoadScenario&, const SimulationResult&);

} // namespace Ebonystack
