// Keeps exponential moving averages.
#include "coordination/RetryMonitor.h"

#include <algorithm>
#include <utility>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration smoothingTime = 400ms;

} // namespace

void RetryMonitor::recordArrival(bool rejected)
{
    ++m_arrivalsSinceUpdate;
    m_rejectionsSinceUpdate += rejected ? 1 : 0;
}

void RetryMonitor::update(double repeatsLeft, Instant now)
{
    const Duration elapsed = m_updatedAt ? now - *m_updatedAt : smoothingTime;
    m_updatedAt = now;
    const double seconds = std::max(toSeconds(elapsed), 1e-3);
    const double weight = std::min(1.0, seconds / toSeconds(smoothingTime));
    const auto follow = [&](double& average, std::uint32_t& count) {
        average += weight * (std::exchange(count, 0) / seconds - average);
    };
    follow(m_load.requests, m_requestsSinceUpdate);
    follow(m_load.arrivals, m_arrivalsSinceUpdate);
    follow(m_load.rejections, m_rejectionsSinceUpdate);
    m_load.repeatsLeft = repeatsLeft;
}

} // namespace Ebonystack
