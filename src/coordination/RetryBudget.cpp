// Keeps one budget per service.
#include "coordination/RetryBudget.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// Share of the operator's ratio that one level of a call tree may spend. The retry of a request makes all
/// its nested calls again, so the retries of all levels add up at the deepest service.
constexpr double ratioSharePerLevel = 0.22;
/// Share of the extra retries that the nodes use. The rest covers requests that upstreams count and nodes
/// don't, and windows in which the budget is filled twice.
constexpr double usableExtraShare = 0.4;
constexpr double maxUnusedRetries = 6;

} // namespace

RetryBudget::RetryBudget(const RetryLimits& limits)
    : m_limits(limits)
{
    setNodeCount(1);
}

void RetryBudget::setNodeCount(std::size_t count)
{
    m_extraRetriesPerNode
        = usableExtraShare * m_limits.extraRetries / static_cast<double>(std::max<std::size_t>(count, 1));
}

void RetryBudget::recordFirstAttempt(const ServiceName& service, Instant now)
{
    ServiceBudget& serviceBudget = refill(service, now);
    serviceBudget.retries
        = std::min(maxUnusedRetries, serviceBudget.retries + ratioSharePerLevel * m_limits.ratio);
}

bool RetryBudget::spend(const ServiceName& service, Instant now)
{
    ServiceBudget& serviceBudget = refill(service, now);
    if (serviceBudget.retries < 1)
        return false;
    serviceBudget.retries -= 1;
    return true;
}

RetryBudget::ServiceBudget& RetryBudget::refill(const ServiceName& service, Instant now)
{
    const auto [found, isNew]
        = m_serviceBudgets.try_emplace(service, ServiceBudget { std::min(1.0, m_extraRetriesPerNode), now });
    ServiceBudget& serviceBudget = found->second;
    const double elapsed = toSeconds(now - serviceBudget.refilledAt) / toSeconds(m_limits.window);
    serviceBudget.retries = std::min(std::max(maxUnusedRetries, serviceBudget.retries),
        serviceBudget.retries + m_extraRetriesPerNode * elapsed);
    serviceBudget.refilledAt = now;
    return serviceBudget;
}

} // namespace Ebonystack
