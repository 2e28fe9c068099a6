// Refills the bucket when it is used.
#include "coordination/RequestPacer.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// An upstream says in its responses when it takes more again, so it always gets a few requests.
constexpr double minRequestsPerSecond = 0.25;
/// Requests of this time may start at once.
constexpr Duration burstTime = 250ms;

} // namespace

void RequestPacer::setRate(std::optional<double> requestsPerSecond, Instant now)
{
    const bool wasLimited = m_rate.has_value();
    const double tokens = tokensAt(now);
    m_rate = requestsPerSecond ? std::optional(std::max(*requestsPerSecond, minRequestsPerSecond))
                               : std::nullopt;
    m_tokens = m_rate && wasLimited ? std::min(tokens, burst()) : burst();
    m_refilledAt = now;
}

void RequestPacer::recordStart(Instant now)
{
    if (!m_rate)
        return;
    m_tokens = tokensAt(now) - 1;
    m_refilledAt = now;
}

Duration RequestPacer::timeUntilStart(std::int64_t count, Instant now) const
{
    if (!m_rate)
        return Duration::zero();
    return fromSeconds(std::max(0.0, static_cast<double>(count) - tokensAt(now)) / *m_rate);
}

double RequestPacer::tokensAt(Instant now) const
{
    if (!m_rate)
        return 0;
    return std::min(burst(), m_tokens + *m_rate * toSeconds(now - m_refilledAt));
}

double RequestPacer::burst() const { return std::max(1.0, m_rate.value_or(0) * toSeconds(burstTime)); }

} // namespace Ebonystack
