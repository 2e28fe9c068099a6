// A multiple of the slowest response of the last calls, within bounds.
#include "coordination/StoreCallTimeout.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration minTimeout = 500ms;
constexpr Duration maxTimeout = 2s;
constexpr int responseTimeFactor = 4;
/// What remains of an earlier response time after each call.
constexpr double responseTimeDecay = 0.75;

} // namespace

void StoreCallTimeout::recordResponseTime(Duration time)
{
    const Duration decayed = fromSeconds(toSeconds(m_slowestResponse) * responseTimeDecay);
    m_slowestResponse = std::max(time, decayed);
}

Duration StoreCallTimeout::silentAfter(bool isRetry) const
{
    return isRetry ? maxTimeout : std::clamp(m_slowestResponse * responseTimeFactor, minTimeout, maxTimeout);
}

} // namespace Ebonystack
