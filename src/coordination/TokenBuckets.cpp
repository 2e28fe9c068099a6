// Buckets, stashes and the choice of a home.
#include "coordination/TokenBuckets.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// The part of the burst that a new bucket holds: whoever kept it before may have granted the rest, and homes
/// change several times in a few seconds when nodes are restarted in turn.
constexpr double initialFill = 0.1;
/// Most of a bucket that one grant ahead of use may take.
constexpr double maxGrantShare = 0.25;
/// Granted tokens that were not used are void after this time: the bucket counts them as used.
constexpr Duration grantLifetime = 800ms;
/// Requests of this time are covered by one grant.
constexpr double grantHorizon = 0.15; // seconds
constexpr double rateSmoothing = 1; // seconds
constexpr std::uint32_t maxTokensAhead = 16;

} // namespace

TokenGrant TokenBuckets::take(
    const TeamId& team, const TeamPlan& plan, std::uint32_t requestSize, Instant now)
{
    if (plan.ratePerSecond <= 0)
        return { requestSize, Duration::zero() };
    const double rate = plan.ratePerSecond * m_share;
    const double burst = std::max(plan.burst * m_share, 1.0);
    const auto [found, isNew]
        = m_buckets.try_emplace(team, Bucket { std::max(burst * initialFill, 1.0), now });
    Bucket& bucket = found->second;
    bucket.tokens = std::min(burst, bucket.tokens + rate * toSeconds(now - bucket.filledAt));
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return { 0, fromSeconds((1 - bucket.tokens) / rate) };
    const double ahead = std::max(1.0, std::floor(bucket.tokens * maxGrantShare));
    const auto granted = static_cast<std::uint32_t>(std::min<double>(requestSize, ahead));
    bucket.tokens -= granted;
    return { granted, Duration::zero() };
}

bool TokenCache::use(const TeamId& team, Instant now)
{
    TeamTokens& teamTokens = m_teamTokens[team];
    const double elapsed = std::max(toSeconds(now - teamTokens.countedAt), 1e-4);
    const double weight = 1 - std::exp(-elapsed / rateSmoothing);
    teamTokens.perSecond += (1 / elapsed - teamTokens.perSecond) * weight;
    teamTokens.countedAt = now;
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

std::uint32_t TokenCache::requestSize(const TeamId& team)
{
    const double ahead = m_teamTokens[team].perSecond * grantHorizon;
    return 1 + static_cast<std::uint32_t>(std::min<double>(ahead, maxTokensAhead));
}

} // namespace Ebonystack
