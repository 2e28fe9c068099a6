// Grants repeats by falling value of the trees.
#include "coordination/RetryRationing.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Time for which the repeats that are left should last.
constexpr Duration spendingHorizon = 5s;
/// Time constant of the moving averages of what is wanted.
constexpr Duration smoothingTime = 300ms;
/// Trees whose values differ by less than about a factor of 2 to the power of 1 / levelsPerDoubling share a
/// level.
constexpr double levelsPerDoubling = 2;
constexpr double minTreeValue = 1e-6;
/// A class that wants less is removed.
constexpr double minWantedPerSecond = 1e-3;

int levelOf(double treeValue)
{
    return static_cast<int>(std::lround(std::log2(std::max(treeValue, minTreeValue)) * levelsPerDoubling));
}

} // namespace

bool RetryRationing::admit(double treeValue)
{
    Demand& demand = m_demands[levelOf(treeValue)];
    ++demand.wantedSinceUpdate;
    demand.credit += demand.share;
    if (demand.credit < 1)
        return false;
    demand.credit -= 1;
    return true;
}

void RetryRationing::update(double repeatsLeft, Instant now)
{
    const Duration elapsed = m_updatedAt ? now - *m_updatedAt : smoothingTime;
    m_updatedAt = now;
    const double seconds = std::max(toSeconds(elapsed), 1e-3);
    double available = std::max(repeatsLeft, 0.0) / toSeconds(spendingHorizon);
    for (Demand& demand : m_demands | std::views::reverse | std::views::values) {
        const double sample = std::exchange(demand.wantedSinceUpdate, 0) / seconds;
        demand.wantedPerSecond
            += (sample - demand.wantedPerSecond) * std::min(1.0, seconds / toSeconds(smoothingTime));
        demand.share = demand.wantedPerSecond > available ? available / demand.wantedPerSecond : 1;
        available -= demand.share * demand.wantedPerSecond;
    }
    std::erase_if(
        m_demands, [](const auto& item) { return item.second.wantedPerSecond < minWantedPerSecond; });
}

double RetryRationing::wantedPerSecond() const
{
    double wanted = 0;
    for (const Demand& demand : m_demands | std::views::values)
        wanted += demand.wantedPerSecond;
    return wanted;
}

} // namespace Ebonystack
