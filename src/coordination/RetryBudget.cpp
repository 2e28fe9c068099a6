// One window for all arrivals at the upstream, and one for the runs of each route.
#include "coordination/RetryBudget.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Shares of the operator's limits up to which repeats are sent. The rest covers calls of repeated runs, of
/// which only the expected number is known, and a number of upstreams that nodes see differently for a
/// moment.
constexpr double usableRatioShare = 0.85;
constexpr double usableExtraShare = 0.3;
/// The same for routes with nested calls. What they leave of the ratio is for repeats at the services that
/// they call, where a repeat costs least.
constexpr double nestingRatioShare = 0.65;
constexpr double nestingExtraShare = 0.05;
/// Weight of the calls of repeated runs in the limit on runs. With a weight of 1, nodes that happen to get
/// few of them would fill up to the limit, and the share of repeats would grow with each level of a call
/// tree.
constexpr double inducedRepeatWeight = 2;

} // namespace

RetryBudget::RetryBudget(const RetryLimits& limits)
    : m_limits(limits)
    , m_service(limits.window)
    , m_arrivals(limits.window)
{
}

void RetryBudget::setUpstreamCount(std::size_t count)
{
    m_upstreamCount = static_cast<double>(std::max<std::size_t>(count, 1));
}

void RetryBudget::recordServiceRequests(double requestsPerSecond, Instant now)
{
    if (m_serviceRecordedAt)
        m_service.add(requestsPerSecond * toSeconds(now - *m_serviceRecordedAt), 0, now);
    m_serviceRecordedAt = now;
}

void RetryBudget::recordFirstAttempt(const RouteId& route, double repeatShare, Instant now)
{
    if (!m_firstUseAt)
        m_firstUseAt = now;
    m_arrivals.add(1 - repeatShare, repeatShare, now);
    runsOf(route).add(1 - repeatShare, inducedRepeatWeight * repeatShare, now);
}

bool RetryBudget::takeRepeat(const RouteId& route, double callsPerRun, Instant now)
{
    if (!m_firstUseAt)
        m_firstUseAt = now;
    RetryWindow& runs = runsOf(route);
    const double extra = extraRetries(now);
    if (!m_arrivals.allowsRepeat(arrivalLimit(now), m_service, now))
        return false;
    if (callsPerRun > 0) {
        const WindowLimit runLimit { nestingRatioShare * m_limits.ratio,
            nestingExtraShare * extra / std::max(callsPerRun, 1.0) };
        if (!runs.allowsRepeat(runLimit, m_service, now))
            return false;
    }
    m_arrivals.add(0, 1, now);
    runs.add(0, 1, now);
    return true;
}

void RetryBudget::returnRepeat(const RouteId& route, Instant takenAt)
{
    m_arrivals.add(0, -1, takenAt);
    recordNotRun(route, 1, takenAt);
}

void RetryBudget::recordNotRun(const RouteId& route, double repeatShare, Instant sentAt)
{
    const double weight = repeatShare < 1 ? inducedRepeatWeight : 1;
    runsOf(route).add(repeatShare - 1, -weight * repeatShare, sentAt);
}

void RetryBudget::removeIdleRoutes(Instant now)
{
    std::erase_if(m_runs, [now](const auto& item) { return item.second.isIdle(now); });
}

RetryWindow& RetryBudget::runsOf(const RouteId& route)
{
    return m_runs.try_emplace(route, m_limits.window).first->second;
}

WindowLimit RetryBudget::arrivalLimit(Instant now) const
{
    return { usableRatioShare * m_limits.ratio, usableExtraShare * extraRetries(now) };
}

double RetryBudget::repeatsLeft(Instant now) const
{
    return std::max(0.0, m_arrivals.repeatsLeft(arrivalLimit(now), m_service, now));
}

double RetryBudget::extraRetries(Instant now) const
{
    if (!m_firstUseAt)
        return 0;
    // A node that has just started may have sent retries before it ended. It gets its part over one window.
    const double age = std::clamp(toSeconds(now - *m_firstUseAt) / toSeconds(m_limits.window), 0.0, 1.0);
    return m_limits.extraRetries * age / m_upstreamCount;
}

} // namespace Ebonystack
