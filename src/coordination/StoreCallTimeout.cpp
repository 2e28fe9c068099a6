// A multiple of the slowest response of the last calls, within bounds.
#include "coordination/StoreCallTimeout.h"

#include <algorithm>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

constexpr Duration minTimeout = 500ms;
constexpr Duration maxTimeout = 2s;
constexpr Duration retryTimeout = 700ms;
constexpr int retriesPerLongOne = 3;
constexpr int responseTimeFactor = 4;
/// What remains of an earlier response time after each call.
constexpr double responseTimeDecay = 0.75;

} // namespace

void StoreCallTimeout::recordResponseTime(Duration time)
{
    const Duration decayed = fromSeconds(toSeconds(m_slowestResponse) * responseTimeDecay);
    m_slowestResponse = std::max(time, decayed);
}

Duration StoreCallTimeout::silentAfter(int failures) const
{
    const Duration usual = std::clamp(m_slowestResponse * responseTimeFactor, minTimeout, maxTimeout);
    if (failures == 0)
        return usual;
    return failures % retriesPerLongOne == 0 ? maxTimeout : std::max(usual, retryTimeout);
}

} // namespace Ebonystack
