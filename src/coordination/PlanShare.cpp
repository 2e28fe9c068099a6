// Compares the nodes that are within reach with those that are known.
#include "coordination/PlanShare.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Part of its equal share of a plan that an entry node grants when the owner does not respond.
constexpr double fallbackShare = 0.5;
/// Of the known nodes: a few that have ended are no split.
constexpr double minWholeFleet = 0.9;

} // namespace

double entryNodePlanShare(std::size_t knownNodes)
{
    return fallbackShare / static_cast<double>(std::max<std::size_t>(knownNodes, 1));
}

double ownerPlanShareWithoutStore(std::size_t reachableNodes, std::size_t knownNodes)
{
    const auto reachable = static_cast<double>(reachableNodes);
    if (reachable >= minWholeFleet * static_cast<double>(knownNodes))
        return 1;
    return reachable * entryNodePlanShare(knownNodes);
}

} // namespace Ebonystack
