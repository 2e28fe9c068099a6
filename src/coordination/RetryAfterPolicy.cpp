// The usual time left by route, and random moments within it.
#include "coordination/RetryAfterPolicy.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Refused requests are advised to come back after a random time between these parts of the route's target
/// latency, so that they can still be answered within it and returns don't come together.
constexpr double minRetryAfterShare = 0.3;
constexpr double maxRetryAfterShare = 0.7;
/// The usual time left fades by this factor with each request, so that a change is followed.
constexpr double usualRemainingTimeDecay = 0.9995;
/// Callers follow advice up to about this part of the time that they have left.
constexpr double maxShareOfRemainingTime = 0.32;
constexpr Duration minRetryAfter = 60ms;

} // namespace

RetryAfterPolicy::RetryAfterPolicy(std::uint64_t seed)
    : m_random(seed)
{
}

bool RetryAfterPolicy::detectCallerRetry(
    const RouteId& route, Duration targetLatency, Duration callerRemainingTime)
{
    double& usual = m_usualRemainingTime[route];
    const double remainingTime = toSeconds(callerRemainingTime);
    const bool isRetry = usual - remainingTime >= toSeconds(targetLatency) * minRetryAfterShare;
    usual = std::max(usual * usualRemainingTimeDecay, remainingTime);
    return isRetry;
}

Duration RetryAfterPolicy::randomRetryAfter(const RefusedRequest& request)
{
    const double share = minRetryAfterShare + (maxRetryAfterShare - minRetryAfterShare) * m_random.unit();
    return boundedRetryAfter(request, fromSeconds(toSeconds(request.targetLatency) * share));
}

Duration RetryAfterPolicy::boundedRetryAfter(const RefusedRequest& request, Duration requested) const
{
    const auto usual = m_usualRemainingTime.find(request.route);
    const Duration remainingTime = usual == m_usualRemainingTime.end()
        ? request.remainingTime
        : std::max(minRetryAfter, fromSeconds(usual->second) - request.elapsed);
    return std::max(
        minRetryAfter, std::min(requested, fromSeconds(toSeconds(remainingTime) * maxShareOfRemainingTime)));
}

} // namespace Ebonystack
