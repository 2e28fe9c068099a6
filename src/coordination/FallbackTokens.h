// Tokens that an entry node grants itself while the owner of a team's plan can't be reached. Where its share
// of a plan is less than a whole request, it grants one with that probability: all nodes together grant about
// half of the plan, however many they are.
#pragma once

#include "coordination/TokenBuckets.h"
#include "state/RandomSource.h"

#include <map>

namespace Ebonystack {

/// Not thread-safe.
class FallbackTokens {
public:
    explicit FallbackTokens(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Takes a token for one request. `share`: of the plan, see entryNodePlanShare.
    TokenGrant take(const TeamId&, const TeamPlan&, double share, Instant now);

private:
    struct Bucket {
        double tokens { 0 }; // also parts of one
        Instant refilledAt;
    };

    RandomSource m_random;
    std::map<TeamId, Bucket> m_buckets;
};

} // namespace Ebonystack
