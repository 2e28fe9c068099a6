// One account a service.
#include "coordination/RepeatBudget.h"

#include <algorithm>

namespace Ebonystack {
namespace {

/// The part of the operator's ratio that one level of a call tree may spend: a repeated request repeats all
/// calls below it, so the levels add up at the deepest service.
constexpr double levelShare = 0.22;
/// The part of the extra repeats that nodes hand out: the rest covers requests that upstreams count and
/// nodes don't, and windows that two fillings fall into.
constexpr double extraUse = 0.4;
constexpr double mostSaved = 6; // repeats

} // namespace

RepeatBudget::RepeatBudget(const RepeatBounds& bounds)
    : m_bounds(bounds)
{
    setNodes(1);
}

void RepeatBudget::setNodes(std::size_t count)
{
    m_extraShare = extraUse * m_bounds.extra / static_cast<double>(std::max<std::size_t>(count, 1));
}

void RepeatBudget::countFirst(const ServiceName& service, Instant now)
{
    Account& account = filled(service, now);
    account.repeats = std::min(mostSaved, account.repeats + levelShare * m_bounds.ratio);
}

bool RepeatBudget::spend(const ServiceName& service, Instant now)
{
    Account& account = filled(service, now);
    if (account.repeats < 1)
        return false;
    account.repeats -= 1;
    return true;
}

RepeatBudget::Account& RepeatBudget::filled(const ServiceName& service, Instant now)
{
    const auto [found, isNew] = m_accounts.try_emplace(service, Account { std::min(1.0, m_extraShare), now });
    Account& account = found->second;
    const double elapsed = toSeconds(now - account.filledAt) / toSeconds(m_bounds.window);
    account.repeats
        = std::min(std::max(mostSaved, account.repeats), account.repeats + m_extraShare * elapsed);
    account.filledAt = now;
    return account;
}

} // namespace Ebonystack
