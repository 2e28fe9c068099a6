// Refills the node's share of each plan, and draws whether a part of a token is one.
#include "coordination/FallbackTokens.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Share of the node's burst in a new bucket, as the owner may have granted the rest; a request at least, as
/// far as the burst has it.
constexpr double initialFill = 0.1;

} // namespace

TokenGrant FallbackTokens::take(const TeamId& team, const TeamPlan& plan, double share, Instant now)
{
    if (plan.ratePerSecond <= 0)
        return { 1, Duration::zero() };
    const double rate = plan.ratePerSecond * share;
    const double burst = std::max(plan.burst, 1.0) * share;
    const double initial = std::max(burst * initialFill, std::min(burst, 1.0));
    Bucket& bucket = m_buckets.try_emplace(team, Bucket { initial, now }).first->second;
    bucket.tokens = std::min(burst, bucket.tokens + rate * toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
    const double drawn = std::min(bucket.tokens, 1.0);
    bucket.tokens -= drawn;
    if (m_random.uniform() < drawn)
        return { 1, Duration::zero() };
    return { 0, fromSeconds((1 - bucket.tokens) / rate) };
}

} // namespace Ebonystack
