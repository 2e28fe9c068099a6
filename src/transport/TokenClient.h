// Takes tokens of team plans at the entry node: uses cached tokens, requests more from the plan's owner, and
// falls back to a small share of the plan when the owner does not respond.
#pragma once

#include "coordination/FallbackTokens.h"
#include "coordination/PlanOwners.h"
#include "coordination/TokenBuckets.h"
#include "protocol/Refusal.h"
#include "transport/NodeTransport.h"
#include "transport/SidecarState.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Ebonystack {

/// Belongs to the event loop's thread.
class TokenClient : public std::enable_shared_from_this<TokenClient> {
public:
    using Callback = std::function<void(const std::optional<Refusal>&)>;

    /// The state and the transport outlive the client.
    TokenClient(SidecarState&, NodeTransport&, std::uint64_t seed);

    /// Takes a token for one request of a team; `done` is called once, possibly before `take`
    /// returns, with a refusal or nothing.
    void take(const TeamConfig&, Callback done);
    /// Returns the token of a request that was not started.
    void returnToken(const TeamId&);
    void onTokenResponse(const TokenResponse&);

private:
    struct PendingRequest {
        TeamId team;
        TeamPlan plan;
        Callback done;
    };

    /// Takes a token of the node's own share; refuses with `reason` when there is none.
    void takeFromFallback(const PendingRequest&, const std::string& reason);

    SidecarState& m_state;
    NodeTransport& m_transport;
    PlanOwners m_owners;
    TokenCache m_cache;
    FallbackTokens m_fallbackTokens;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests; // without a response, by number
    std::uint64_t m_nextNumber { 1 };
};

} // namespace Ebonystack
