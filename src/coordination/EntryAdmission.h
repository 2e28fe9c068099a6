// Decides at the entry node whether to start a request and its whole call tree. Each service reports the
// share of its demand to be shed. The entry node sheds that share of the work that its requests cause at the
// service, beginning with the requests of the lowest worth per slot second. This handles sustained overload
// of a service deep in the call graph: a request refused at the entry node has used no resources, while one
// whose nested call is refused has.
#pragma once

#include "coordination/CallCosts.h"
#include "coordination/DemandClass.h"
#include "state/RandomSource.h"

#include <compare>
#include <map>
#include <optional>

namespace Ebonystack {

/// The share of the demand for each service that has to be shed, from 0 to just under 1.
using ShedShares = std::map<ServiceName, double>;

/// Not thread-safe.
class EntryAdmission {
public:
    explicit EntryAdmission(std::uint64_t seed);

    /// Counts a request and returns whether it is admitted. The admitted requests of a class are spaced
    /// evenly.
    bool admit(const DemandClass&);
    /// Recomputes the admitted share of every class. Call it a few times a second.
    void updateAdmittedShares(const ShedShares&, const CallCosts&, Instant now);
    /// The share of a class that is admitted, from 0 to 1; 1 for a class without requests so far.
    double admittedShare(const DemandClass&) const;

private:
    struct Demand {
        double requestsPerSecond { 0 }; // smoothed arrivals
        std::uint32_t arrivedSinceUpdate { 0 };
        double share { 1 }; // of the requests, admitted
        // Each request adds `share`; at 1 a request is admitted. Starts at a random value, so that entry
        // nodes don't admit in step.
        double credit { 0 };
    };

    std::map<DemandClass, Demand> m_demands;
    RandomSource m_random;
    std::optional<Instant> m_updatedAt;
};

} // namespace Ebonystack
