// Grants tokens of the team plans that this node owns to entry nodes, from one bucket per team.
#pragma once

#include "coordination/PlanOwners.h"
#include "coordination/TokenBuckets.h"
#include "protocol/PeerFrame.h"
#include "transport/SidecarState.h"

namespace Ebonystack {

/// Belongs to the event loop's thread.
class TokenServer {
public:
    /// The state outlives the server.
    explicit TokenServer(const SidecarState&);

    /// Grants no tokens for a team that is not in the current configuration.
    TokenResponse grant(const TokenRequest&);
    /// Of every plan, see ownerPlanShareWithoutStore.
    void setPlanShare(double share) { m_buckets.setPlanShare(share); }
    /// Call it at regular intervals.
    void tick(Instant now);

private:
    const SidecarState& m_state;
    PlanOwners m_owners;
    TokenBuckets m_buckets;
};

} // namespace Ebonystack
