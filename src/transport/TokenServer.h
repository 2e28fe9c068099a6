// The home of team plans: answers entries' asks for tokens out of one bucket a team.
#pragma once

#include "coordination/TokenBuckets.h"
#include "protocol/PeerFrame.h"
#include "transport/SidecarState.h"

namespace Ebonystack {

/// Belongs to the event loop's thread.
class TokenServer {
public:
    /// The state outlives the home.
    explicit TokenServer(const SidecarState&);

    /// Grants nothing for a team that the configuration in force does not hold.
    TokenResponse grant(const TokenRequest&);

private:
    const SidecarState& m_state;
    TokenBuckets m_buckets; // of whole plans
};

} // namespace Ebonystack
