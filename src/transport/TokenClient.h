// The entry's side of team plans: uses tokens that were granted ahead, asks the plan's home for more, and
// falls back on a small share of the plan when the home does not answer.
#pragma once

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
    using Done = std::function<void(const std::optional<Refusal>&)>;

    /// Both outlive the client.
    TokenClient(SidecarState&, NodeTransport&);

    /// Takes a token for one request of a team; `done` is called once, now or after the home's answer.
    void take(const TeamConfig&, Done done);
    /// A request whose token was taken was not started.
    void giveBack(const TeamId&);
    void onTokenResponse(const TokenResponse&);

private:
    struct PendingRequest {
        TeamId team;
        TeamPlan plan;
        Done done;
    };

    void fallBack(const PendingRequest&, const std::string& reason);

    SidecarState& m_state;
    NodeTransport& m_transport;
    PlanOwners m_owners;
    TokenCache m_cache;
    TokenBuckets m_fallback;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests; // those without an answer
    std::uint64_t m_nextNumber { 1 };
};

} // namespace Ebonystack
