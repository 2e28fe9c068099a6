// One account a service.
#include "coordination/RetryBudget.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// The part of the operator's ratio that one level of a call tree may spend: a repeated request repeats all
/// calls below it, so the levels add up at the deepest service.
constexpr double ratioSharePerLevel = 0.22;
/// The part of the extra repeats that nodes hand out: the rest covers requests that upstreams count and
/// nodes don't, and windows that two fillings fall into.
constexpr double usableExtraShare = 0.4;
constexpr double maxBalance = 6; // repeats

} // namespace

RetryBudget::RetryBudget(const RetryLimits& bounds)
    : m_bounds(bounds)
{
    setNodeCount(1);
}

void RetryBudget::setNodeCount(std::size_t count)
{
    m_extraRetriesPerNode
        = usableExtraShare * m_bounds.extraRetries / static_cast<double>(std::max<std::size_t>(count, 1));
}

void RetryBudget::recordFirstAttempt(const ServiceName& service, Instant now)
{
    Account& account = refilled(service, now);
    account.balance = std::min(maxBalance, account.balance + ratioSharePerLevel * m_bounds.ratio);
}

bool RetryBudget::spend(const ServiceName& service, Instant now)
{
    Account& account = refilled(service, now);
    if (account.balance < 1)
        return false;
    account.balance -= 1;
    return true;
}

RetryBudget::Account& RetryBudget::refilled(const ServiceName& service, Instant now)
{
    const auto [found, isNew]
        = m_accounts.try_emplace(service, Account { std::min(1.0, m_extraRetriesPerNode), now });
    Account& account = found->second;
    const double elapsed = toSeconds(now - account.filledAt) / toSeconds(m_bounds.window);
    account.balance
        = std::min(std::max(maxBalance, account.balance), account.balance + m_extraRetriesPerNode * elapsed);
    account.filledAt = now;
    return account;
}

} // namespace Ebonystack
