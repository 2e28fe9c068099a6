// Grants what is wanted by falling value of the trees.
#include "coordination/ValueRationing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Time constant of the moving averages of what is wanted.
constexpr Duration smoothingTime = 300ms;
/// Trees whose values differ by less than about a factor of 2 to the power of 1 / levelsPerDoubling share a
/// level.
constexpr double levelsPerDoubling = 12;
constexpr double minTreeValue = 1e-6;
/// A class that wants less is removed.
constexpr double minWantedPerSecond = 1e-3;

int levelOf(double treeValue)
{
    return static_cast<int>(std::lround(std::log2(std::max(treeValue, minTreeValue)) * levelsPerDoubling));
}

} // namespace

bool ValueRationing::admit(double treeValue)
{
    Demand& demand = m_demands[levelOf(treeValue)];
    ++demand.wantedSinceUpdate;
    demand.credit += demand.share;
    if (demand.credit < 1)
        return false;
    demand.credit -= 1;
    return true;
}

void ValueRationing::update(const RationedSupply& supply, Instant now)
{
    const Duration elapsed = m_updatedAt ? now - *m_updatedAt : smoothingTime;
    m_updatedAt = now;
    const double seconds = std::max(toSeconds(elapsed), 1e-3);
    const int topLevel = m_demands.empty() ? 0 : m_demands.rbegin()->first;
    double granted = 0;
    for (auto next = m_demands.rbegin(); next != m_demands.rend(); ++next) {
        auto& [level, demand] = *next;
        const double sample = std::exchange(demand.wantedSinceUpdate, 0) / seconds;
        demand.wantedPerSecond
            += (sample - demand.wantedPerSecond) * std::min(1.0, seconds / toSeconds(smoothingTime));
        const double relativeValue = std::exp2((level - topLevel) / levelsPerDoubling);
        const double horizon
            = std::min(toSeconds(supply.longestHorizon), toSeconds(supply.shortestHorizon) / relativeValue);
        const double available = std::max(0.0, supply.amount / horizon - granted);
        demand.share = demand.wantedPerSecond > available ? available / demand.wantedPerSecond : 1;
        granted += demand.share * demand.wantedPerSecond;
    }
    std::erase_if(
        m_demands, [](const auto& item) { return item.second.wantedPerSecond < minWantedPerSecond; });
}

} // namespace Ebonystack
