// The token buckets of team plans. Each team has one home VM (see PlanOwners);
// entries ask it for tokens. A home that starts keeps a fresh, partly filled bucket, and an entry
// that can't reach the home falls back on its own small share of the plan.
#pragma once

#include "state/Names.h"
#include "state/ServingConfig.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

namespace Ebonystack {

/// The answer to a request for tokens.
struct TokenGrant {
    std::uint32_t tokens { 0 };
    Duration retryAfter { 0 }; ///< when none is granted: the time until there is one

    auto operator<=>(const TokenGrant&) const = default;
};

/// Buckets of one VM, each full at its team's burst. Not thread-safe.
class TokenBuckets {
public:
    /// `share` scales rates and bursts: 1 at a team's home, less for the fallback of an entry.
    explicit TokenBuckets(double share)
        : m_share(share)
    {
    }
    void setShare(double share) { m_share = share; }

    /// Grants up to `requestSize` tokens. Takes a whole token at least, or none.
    TokenGrant take(const TeamId&, const TeamPlan&, std::uint32_t requestSize, Instant now);

private:
    struct Bucket {
        double tokens { 0 };
        Instant filledAt;
    };

    double m_share;
    std::map<TeamId, Bucket> m_buckets;
};

/// Tokens that an entry has been granted ahead of use. Not thread-safe.
class TokenCache {
public:
    /// Uses a granted token; false when there is none.
    bool use(const TeamId&, Instant now);
    /// Adds granted tokens, which can be used for a short time.
    void add(const TeamId&, std::uint32_t tokens, Instant now);
    /// How many tokens to ask for: enough for the requests of the next moment at the usual rate.
    std::uint32_t requestSize(const TeamId&);

private:
    struct Granted {
        std::uint32_t tokens;
        Instant expiresAt;
    };
    struct TeamTokens {
        std::deque<Granted> granted; // soonest expiry first
        double perSecond { 0 }; // smoothed requests
        Instant countedAt;
    };

    std::map<TeamId, TeamTokens> m_teamTokens;
};

} // namespace Ebonystack
