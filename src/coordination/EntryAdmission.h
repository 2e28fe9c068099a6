// Decides at the entry whether a request's whole call tree is worth starting. Each service states the share
// of its demand that has to be refused; the entry refuses that share of the work that it asks of the service,
// beginning with the requests that are worth least for the slots they take. Answers sustained overload of a
// service deep in the graph: a request refused here has cost nothing, one whose call is refused there has.
#pragma once

#include "coordination/CallCosts.h"
#include "state/RandomSource.h"

#include <compare>
#include <map>
#include <optional>

namespace Ebonystack {

/// Requests that are treated alike.
struct DemandClass {
    RouteId route;
    int routePriority { 0 }; ///< 0 is refused last
    int teamPriority { 0 }; ///< 0 is refused last, among requests of like routes
    bool isCallerRetry { false }; ///< was refused before and has come back as advised

    auto operator<=>(const DemandClass&) const = default;
};

/// The share of the demand for a service that has to be refused.
using ShedShares = std::map<ServiceName, double>;

/// Not thread-safe.
class EntryAdmission {
public:
    explicit EntryAdmission(std::uint64_t seed);

    /// Counts a request and decides on it. Admissions of a class are spaced evenly.
    bool admit(const DemandClass&);
    /// Recomputes the admitted share of every class. Call it a few times a second.
    void updateAdmittedShares(const ShedShares&, const CallCosts&, Instant now);
    /// The share of a class that is admitted.
    double admittedShare(const DemandClass&) const;

private:
    struct Demand {
        double perSecond { 0 }; // smoothed arrivals
        std::uint32_t arrived { 0 }; // since the last plan
        double share { 1 };
        double credit { 0 }; // admits when it reaches 1; starts at random, so that entries don't act alike
    };

    std::map<DemandClass, Demand> m_demands;
    RandomSource m_random;
    std::optional<Instant> m_updatedAt;
};

} // namespace Ebonystack
