// An integral controller on the logarithm of the admitted share.
#include "coordination/OverloadController.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Offered work per slot that the control steers to: nearly all slots in use, hardly any request waiting.
constexpr double targetLoad = 0.95;
/// How much lower the target is while requests wait for `longWait` or more, so that the queue empties.
constexpr double maxTargetReduction = 0.25;
constexpr Duration longWait = 150ms;
/// The wait that counts is the one expected after this time if the queue goes on as it does: calls of
/// requests that were admitted before fill a queue for a while whatever is refused now, and it empties by
/// itself.
constexpr Duration waitPredictionHorizon = 1s;
/// Averages out the fluctuation of random arrivals.
constexpr Duration arrivalSmoothing = 300ms;
/// The time in which the share follows a change of load by a factor of e. Longer than it takes until a
/// request that an entry admits reaches the services deepest in its call tree.
constexpr Duration fallTime = 600ms;
constexpr Duration riseTime = 1000ms;
/// Bounds of one step's logarithm, so that an idle or flooded moment does not throw the share far off.
constexpr double maxRisePerStep = 1.0;
constexpr double maxFallPerStep = 1.2;
constexpr double minAdmittedShare = 0.03;
constexpr double minLoad = 0.01;
/// A longer pause between observations means that the process stood still; it says nothing of the load.
constexpr Duration maxStep = 500ms;

} // namespace

void OverloadController::observe(
    const GateState& state, std::uint32_t arrivals, Duration meanServiceTime, Instant now)
{
    const Duration step = m_observedAt ? now - *m_observedAt : Duration::zero();
    m_observedAt = now;
    if (step <= Duration::zero() || step > maxStep)
        return;
    const double seconds = toSeconds(step);
    const double offered = arrivals / seconds * toSeconds(meanServiceTime);
    m_offered += (offered - m_offered) * std::min(1.0, seconds / toSeconds(arrivalSmoothing));
    const double limit = std::max(state.limit, 1U);
    const double wait = state.queued * toSeconds(meanServiceTime) / limit;
    const double slope = (wait - m_wait) / seconds;
    m_wait = wait;
    m_waitSlope += (slope - m_waitSlope) * std::min(1.0, seconds / toSeconds(arrivalSmoothing));
    const double expected = wait + m_waitSlope * toSeconds(waitPredictionHorizon);
    const double target
        = targetLoad - maxTargetReduction * std::clamp(expected / toSeconds(longWait), 0.0, 1.0);
    const double error = std::clamp(
        std::log(std::max(m_offered / limit, minLoad) / target), -maxRisePerStep, maxFallPerStep);
    const double time = toSeconds(error > 0 ? fallTime : riseTime);
    m_admittedShare = std::clamp(m_admittedShare * std::exp(-error * seconds / time), minAdmittedShare, 1.0);
}

} // namespace Ebonystack
