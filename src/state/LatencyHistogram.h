// Counts durations in buckets, for the metrics page.
#pragma once

#include "state/Time.h"

#include <array>
#include <compare>
#include <cstdint>

namespace Ebonystack {

/// Upper bounds of the buckets. One more bucket, without a bound, follows. The bounds cover the durations of
/// requests, from a call to a nearby upstream to the longest timeouts.
constexpr auto latencyBounds = std::to_array<Duration>(
    { std::chrono::milliseconds(1), std::chrono::milliseconds(3), std::chrono::milliseconds(10),
        std::chrono::milliseconds(30), std::chrono::milliseconds(100), std::chrono::milliseconds(300),
        std::chrono::milliseconds(1000), std::chrono::milliseconds(3000), std::chrono::milliseconds(10000) });

class LatencyHistogram {
public:
    void add(Duration);

    /// The number of durations per bucket: up to the bound of the same index and above the previous bound.
    /// The last bucket has no upper bound.
    const std::array<std::uint64_t, latencyBounds.size() + 1>& counts() const { return m_counts; }
    std::uint64_t count() const;
    Duration sum() const { return m_sum; }

    auto operator<=>(const LatencyHistogram&) const = default;

private:
    std::array<std::uint64_t, latencyBounds.size() + 1> m_counts {};
    Duration m_sum { 0 };
};

} // namespace Ebonystack
