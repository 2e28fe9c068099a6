// Estimates the callers' usual remaining time per route and chooses Retry-After times within it.
#include "coordination/RetryAfterPolicy.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// The Retry-After time of shed requests is random between these shares of the route's target latency, so
/// that the response to a retry can still be within that latency and retries do not arrive together.
constexpr double minRetryAfterShare = 0.3;
constexpr double maxRetryAfterShare = 0.7;
/// Factor of the usual remaining time at each request, so that the value follows a decrease.
constexpr double usualRemainingTimeDecay = 0.9995;
/// Callers wait for a Retry-After time of up to about this share of their remaining time.
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
    double& usual = m_usualRemainingSeconds[route];
    const double remainingTime = toSeconds(callerRemainingTime);
    const bool isRetry = usual - remainingTime >= toSeconds(targetLatency) * minRetryAfterShare;
    usual = std::max(usual * usualRemainingTimeDecay, remainingTime);
    return isRetry;
}

Duration RetryAfterPolicy::randomRetryAfter(const RefusedRequest& request)
{
    const double share = minRetryAfterShare + (maxRetryAfterShare - minRetryAfterShare) * m_random.uniform();
    return boundedRetryAfter(request, fromSeconds(toSeconds(request.targetLatency) * share));
}

Duration RetryAfterPolicy::boundedRetryAfter(const RefusedRequest& request, Duration requested) const
{
    const auto usual = m_usualRemainingSeconds.find(request.route);
    const Duration remainingTime = usual == m_usualRemainingSeconds.end()
        ? request.remainingTime
        : std::max(minRetryAfter, fromSeconds(usual->second) - request.elapsed);
    return std::max(
        minRetryAfter, std::min(requested, fromSeconds(toSeconds(remainingTime) * maxShareOfRemainingTime)));
}

} // namespace Ebonystack
