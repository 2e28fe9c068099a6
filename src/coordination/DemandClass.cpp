// The worth is a power of the priorities.
#include "coordination/DemandClass.h"

#include <cmath>

namespace Ebonystack {
namespace {

/// How much more a request of one priority is worth than one of the next.
constexpr double worthPerRoutePriority = 2.5;
constexpr double worthPerTeamPriority = 1.5;
/// A caller's retry after the Retry-After time is admitted before new requests of the same priorities.
constexpr double callerRetryWorthFactor = 1.5;

} // namespace

double worthOf(const DemandClass& demand)
{
    const double worth = std::pow(worthPerRoutePriority, -demand.routePriority)
        * std::pow(worthPerTeamPriority, -demand.teamPriority);
    return demand.isCallerRetry ? worth * callerRetryWorthFactor : worth;
}

} // namespace Ebonystack
