// An integral controller on the logarithm of the admitted share.
#include "coordination/PressureControl.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Load per slot that the control steers to: nearly all slots in use, hardly any request waiting.
constexpr double targetLoad = 0.95;
/// Averages out the fluctuation of random arrivals.
constexpr Duration loadSmoothing = 250ms;
/// The time in which the share follows a change of load by a factor of e. Longer than it takes until a
/// request that an entry admits reaches the services deepest in its call tree.
constexpr Duration fallTime = 700ms;
constexpr Duration riseTime = 900ms;
/// Bounds of one step's logarithm, so that an idle or flooded moment does not throw the share far off.
constexpr double steepestRise = 1.2;
constexpr double steepestFall = 0.9;
constexpr double leastAdmitted = 0.03;
/// A longer pause between observations means that the process stood still; it says nothing of the load.
constexpr Duration longestStep = 500ms;

} // namespace

void PressureControl::observe(const GateState& state, Instant now)
{
    const Duration step = m_observedAt ? std::min(now - *m_observedAt, longestStep) : Duration::zero();
    m_observedAt = now;
    const double load = static_cast<double>(state.running + state.queued) / std::max(state.limit, 1U);
    m_load += (load - m_load) * std::min(1.0, toSeconds(step) / toSeconds(loadSmoothing));
    const double error
        = std::clamp(std::log(std::max(m_load, 0.01) / targetLoad), -steepestRise, steepestFall);
    const double time = toSeconds(error > 0 ? fallTime : riseTime);
    m_admitShare = std::clamp(m_admitShare * std::exp(-error * toSeconds(step) / time), leastAdmitted, 1.0);
}

} // namespace Ebonystack
