// What is known of a request before it is admitted, and what it is worth relative to others.
#pragma once

#include "state/Names.h"

#include <compare>

namespace Ebonystack {

/// Requests with the same admitted share.
struct DemandClass {
    RouteId route;
    int routePriority { 0 }; ///< 0 is shed last
    int teamPriority { 0 }; ///< 0 is shed last among requests of the same route priority
    bool isCallerRetry { false }; ///< the caller retries a refused request after the Retry-After time

    auto operator<=>(const DemandClass&) const = default;
};

/// The worth of a request, without a unit. Route priorities count more than team priorities: non-idempotent
/// requests of any team are worth more than the reads of all teams.
double worthOf(const DemandClass&);

} // namespace Ebonystack
