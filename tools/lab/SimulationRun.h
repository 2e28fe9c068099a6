// Runs a scenario in virtual time and measures the result.
#pragma once

#include "lab/LoadScenario.h"
#include "lab/SimulatedNode.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Ebonystack {

/// Results of one kind of request. The doubles are shares of `requested`.
struct KindResult {
    std::uint64_t requested { 0 };
    double inTime { 0 }; ///< served within the target latency
    double late { 0 }; ///< served after it
    double refused { 0 };
    double failed { 0 }; ///< with CallerResult::Failed or TimedOut
    Duration median { 0 }; ///< latency of the served requests
    Duration p99 { 0 }; ///< 99th percentile of the same latencies

    auto operator<=>(const KindResult&) const = default;
};

struct SimulationResult {
    std::map<RouteId, KindResult> kinds;
    std::map<RouteId, std::vector<KindResult>> seconds; ///< the same for the requests of each second
    /// "worth", "bound-share", "served", "worst-team", "wasted", "upstream-sheds", "retry-use", "limit-use",
    /// "late-arrivals",
    /// "plan-refusals", "others-refused", "recovery", "cut"; and "worth KIND" and "served KIND" for each
    /// kind. docs/SCENARIOS.md describes them.
    std::map<std::string, double> measures;

    auto operator<=>(const SimulationResult&) const = default;
};

/// The same seed gives the same result.
SimulationResult runScenario(const LoadScenario&, SimulationOptions, std::uint64_t seed);

/// Returns the expectations that the result misses, as text. An expectation of an unknown measure counts as
/// missed.
std::vector<std::string> missedExpectations(const LoadScenario&, const SimulationResult&);

} // namespace Ebonystack
