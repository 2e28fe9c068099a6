// The part of a team's plan that a node may grant. Nodes that are cut off from each other can't know what the
// others grant; all of them together must stay within what the operator allows beyond a plan.
#pragma once

#include <cstddef>

namespace Ebonystack {

/// Of an entry node to which the plan's owner doesn't respond. `knownNodes`: those in its copy of the store.
double entryNodePlanShare(std::size_t knownNodes);

/// Of the plan's owner while it can't reach the store, and so doesn't hear that another node has become the
/// owner. If it reaches part of the fleet only, it grants what these nodes could grant without an owner.
/// `reachableNodes`: those with a link that is up, and the owner itself.
double ownerPlanShareWithoutStore(std::size_t reachableNodes, std::size_t knownNodes);

} // namespace Ebonystack
