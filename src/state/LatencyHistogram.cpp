// Finds the bucket of a duration by binary search.
#include "state/LatencyHistogram.h"

#include <algorithm>
#include <numeric>

namespace Ebonystack {

void LatencyHistogram::add(Duration duration)
{
    const auto bucket = std::ranges::lower_bound(latencyBounds, duration) - latencyBounds.begin();
    ++m_counts[static_cast<std::size_t>(bucket)];
    m_sum += duration;
}

std::uint64_t LatencyHistogram::count() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t { 0 });
}

} // namespace Ebonystack
