// Token buckets for the plans of teams. Each team's plan has one owner VM (see PlanOwners), from which entry
// nodes request tokens. A new owner starts with a partly filled bucket, also if it has owned the plan before.
// An entry node that can't reach the owner falls back to a small share of its own (FallbackTokens).
#pragma once

#include "state/Names.h"
#include "state/ServingConfig.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace Ebonystack {

/// The result of a request for tokens.
struct TokenGrant {
    std::uint32_t tokens { 0 };
    Duration retryAfter { 0 }; ///< when no token is granted: the time until there is one

    auto operator<=>(const TokenGrant&) const = default;
};

/// The buckets at one VM, one per team, each with the team's burst as its capacity. Not thread-safe.
class TokenBuckets {
public:
    /// `share` scales rates and bursts: 1 at a plan's owner, less if it is cut off (PlanShare).
    explicit TokenBuckets(double share)
        : m_share(share)
    {
    }
    void setPlanShare(double share) { m_share = share; }

    /// Takes up to `requestedTokens` tokens from the team's bucket: one at least, or none. A plan without a
    /// limit grants all.
    TokenGrant take(const TeamId&, const TeamPlan&, std::uint32_t requestedTokens, Instant now);
    /// Leaves no more than a new owner starts with in the buckets of plans that this node doesn't own:
    /// another node grants the rest. Call it at regular intervals.
    void limitUnowned(const std::function<bool(const TeamId&)>& isOwned, Instant now);

private:
    struct Bucket {
        double tokens { 0 };
        Instant refilledAt;
        double newOwnersTokens { 0 }; // what a new owner starts with
    };

    double m_share;
    std::map<TeamId, Bucket> m_buckets;
};

/// Tokens that an entry node was granted ahead of use. Not thread-safe.
class TokenCache {
public:
    /// Counts a request of the team and uses a granted token. Returns false when there is none.
    bool use(const TeamId&, Instant now);
    /// Adds granted tokens, which expire after a short time.
    void add(const TeamId&, std::uint32_t tokens, Instant now);
    /// How many tokens to request: enough for the requests expected in a short time at the team's mean rate.
    std::uint32_t tokensToRequest(const TeamId&);

private:
    struct GrantedTokens {
        std::uint32_t tokens;
        Instant expiresAt;
    };
    struct TeamTokens {
        std::deque<GrantedTokens> granted; // in the order of expiry, soonest first
        double requestsPerSecond { 0 }; // smoothed
        Instant lastUseAt;
    };

    std::map<TeamId, TeamTokens> m_teamTokens;
};

} // namespace Ebonystack
