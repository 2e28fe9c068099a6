// An integral controller on the logarithm of the admitted share.
#include "coordination/OverloadController.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Target of the offered load per slot: nearly all slots in use, hardly any request queued.
constexpr double targetLoad = 0.95;
/// The target is lower by this much when the predicted wait is `waitOfFullReduction` or more, so that the
/// queue empties; for shorter waits the reduction is proportionally smaller.
constexpr double maxTargetReduction = 0.25;
constexpr Duration waitOfFullReduction = 150ms;
/// The wait is extrapolated this far by its trend. Nested calls of requests that were admitted earlier fill a
/// queue for a while whatever is shed now, and that queue empties by itself.
constexpr Duration waitPredictionHorizon = 1s;
/// Time constant of the moving averages, which smooth the fluctuation of random arrivals.
constexpr Duration smoothingTime = 300ms;
/// Times in which the share follows a change of load by a factor of e. They are longer than the time from the
/// admission of a request until its calls reach the deepest services of its call tree.
constexpr Duration decreaseTime = 600ms;
constexpr Duration increaseTime = 1000ms;
/// Bounds of the logarithmic error in one step, so that a moment without or with very many requests does not
/// change the share much.
constexpr double maxLogIncrease = 1.0;
constexpr double maxLogDecrease = 1.2;
constexpr double minAdmittedShare = 0.03;
constexpr double minLoad = 0.01;
/// A longer time between observations means that the process was stalled; such an interval is ignored
/// because it does not show the load.
constexpr Duration maxObservationGap = 500ms;

} // namespace

void OverloadController::observe(
    const GateState& state, std::uint32_t arrivals, Duration meanServiceTime, Instant now)
{
    const Duration elapsed = m_observedAt ? now - *m_observedAt : Duration::zero();
    m_observedAt = now;
    if (elapsed <= Duration::zero() || elapsed > maxObservationGap)
        return;
    const double seconds = toSeconds(elapsed);
    const double offered = arrivals / seconds * toSeconds(meanServiceTime);
    m_offeredLoad += (offered - m_offeredLoad) * std::min(1.0, seconds / toSeconds(smoothingTime));
    const double limit = std::max(state.limit, 1U);
    const double queueWait = state.queued * toSeconds(meanServiceTime) / limit;
    const double trend = (queueWait - m_queueWait) / seconds;
    m_queueWait = queueWait;
    m_queueWaitTrend += (trend - m_queueWaitTrend) * std::min(1.0, seconds / toSeconds(smoothingTime));
    const double predictedWait = queueWait + m_queueWaitTrend * toSeconds(waitPredictionHorizon);
    const double target = targetLoad
        - maxTargetReduction * std::clamp(predictedWait / toSeconds(waitOfFullReduction), 0.0, 1.0);
    const double error = std::clamp(
        std::log(std::max(m_offeredLoad / limit, minLoad) / target), -maxLogIncrease, maxLogDecrease);
    const double timeConstant = toSeconds(error > 0 ? decreaseTime : increaseTime);
    m_admittedShare
        = std::clamp(m_admittedShare * std::exp(-error * seconds / timeConstant), minAdmittedShare, 1.0);
}

} // namespace Ebonystack
