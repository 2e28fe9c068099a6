// Refills the buckets and limits the tokens that are granted ahead of use.
#include "coordination/TokenBuckets.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Share of the burst in a new bucket: the previous owner may have granted the rest, and owners change
/// several times in a few seconds when nodes are restarted one after the other.
constexpr double initialFill = 0.1;
/// Largest share of the tokens in a bucket that one grant may take ahead of use.
constexpr double maxGrantShareOfBucket = 0.25;
/// Granted tokens expire after this time. The bucket counts unused ones as used.
constexpr Duration grantLifetime = 800ms;
/// One grant covers the requests expected within this time.
constexpr double grantHorizonSeconds = 0.15;
constexpr double rateSmoothingSeconds = 1; // time constant of the moving average
constexpr std::uint32_t maxTokensAhead = 16;

} // namespace

TokenGrant TokenBuckets::take(
    const TeamId& team, const TeamPlan& plan, std::uint32_t requestedTokens, Instant now)
{
    if (plan.ratePerSecond <= 0)
        return { requestedTokens, Duration::zero() };
    const double rate = plan.ratePerSecond * m_share;
    const double burst = std::max(plan.burst * m_share, 1.0);
    const double newOwnersTokens = std::max(burst * initialFill, 1.0);
    Bucket& bucket = m_buckets.try_emplace(team, Bucket { newOwnersTokens, now }).first->second;
    bucket.newOwnersTokens = newOwnersTokens;
    bucket.tokens = std::min(burst, bucket.tokens + rate * toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return { 0, fromSeconds((1 - bucket.tokens) / rate) };
    const double maxGrant = std::max(1.0, std::floor(bucket.tokens * maxGrantShareOfBucket));
    const auto granted = static_cast<std::uint32_t>(std::min<double>(requestedTokens, maxGrant));
    bucket.tokens -= granted;
    return { granted, Duration::zero() };
}

void TokenBuckets::limitUnowned(const std::function<bool(const TeamId&)>& isOwned, Instant now)
{
    for (auto& [team, bucket] : m_buckets) {
        if (isOwned(team))
            continue;
        bucket.tokens = std::min(bucket.tokens, bucket.newOwnersTokens);
        bucket.refilledAt = now;
    }
}

bool TokenCache::use(const TeamId& team, Instant now)
{
    TeamTokens& teamTokens = m_teamTokens[team];
    const double elapsed = std::max(toSeconds(now - teamTokens.lastUseAt), 1e-4);
    const double weight = 1 - std::exp(-elapsed / rateSmoothingSeconds);
    teamTokens.requestsPerSecond += (1 / elapsed - teamTokens.requestsPerSecond) * weight;
    teamTokens.lastUseAt = now;
    while (!teamTokens.granted.empty()
        && (teamTokens.granted.front().expiresAt <= now || teamTokens.granted.front().tokens == 0))
        teamTokens.granted.pop_front();
    if (teamTokens.granted.empty())
        return false;
    --teamTokens.granted.front().tokens;
    return true;
}

void TokenCache::add(const TeamId& team, std::uint32_t tokens, Instant now)
{
    if (tokens > 0)
        m_teamTokens[team].granted.push_back({ tokens, now + grantLifetime });
}

std::uint32_t TokenCache::tokensToRequest(const TeamId& team)
{
    const double expectedRequests = m_teamTokens[team].requestsPerSecond * grantHorizonSeconds;
    return 1 + static_cast<std::uint32_t>(std::min<double>(expectedRequests, maxTokensAhead));
}

} // namespace Ebonystack
