// Counts first attempts and repeats in a sliding window, and tells whether one more repeat stays within a
// limit in every window that contains it. The limit is the operator's: a part of the first attempts plus a
// constant. Counts of several nodes can be added: if each node stays within its limit, the sum of their
// repeats stays within the sum of the limits. That holds as long as all nodes compare the same windows, so
// they choose them by the first attempts of the whole service.
#pragma once

#include "state/Time.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>

namespace Ebonystack {

/// The repeats that one window may have: `ratio` of its first attempts plus `extra`.
struct WindowLimit {
    double ratio { 0 };
    double extra { 0 };

    auto operator<=>(const WindowLimit&) const = default;
};

/// Not thread-safe. Amounts may be fractions: the probability that an attempt is a repeat.
class RetryWindow {
public:
    explicit RetryWindow(Duration window)
        : m_bucketLength(std::max(window / bucketsPerWindow, Duration(1)))
    {
    }

    void add(double firstAttempts, double repeats, Instant);
    /// How many repeats at `now` stay within the limit; less than 1 when there is no room for one. `service`
    /// has the first attempts at all upstreams of the service, as far as they are known.
    double repeatsLeft(const WindowLimit&, const RetryWindow& service, Instant now) const;
    /// Whether one more repeat at `now` stays within the limit.
    bool allowsRepeat(const WindowLimit& limit, const RetryWindow& service, Instant now) const
    {
        return repeatsLeft(limit, service, now) >= 1;
    }
    /// Whether nothing that was added matters any more.
    bool isIdle(Instant now) const { return indexOf(now) - m_lastIndex > bucketCount; }

private:
    static constexpr std::int64_t bucketsPerWindow = 20;
    static constexpr std::int64_t bucketCount = 2 * bucketsPerWindow + 1;

    struct Bucket {
        std::int64_t index { -1 }; // the number of its time interval
        double firstAttempts { 0 };
        double repeats { 0 };
    };

    std::int64_t indexOf(Instant at) const { return at.time_since_epoch() / m_bucketLength; }
    /// The first attempts of the windows that the operator's limit compares for the window that begins with
    /// bucket `first`: of itself, the one before it and the one half a window before it.
    std::array<double, 3> comparedFirstAttempts(std::int64_t first, std::int64_t last) const;
    /// Those of them that count for the limit.
    double countedFirstAttempts(const RetryWindow& service, std::int64_t first, std::int64_t last) const;
    /// The sum over the buckets from `first` to `last`, both included.
    double sum(double Bucket::*amount, std::int64_t first, std::int64_t last) const;

    Duration m_bucketLength;
    std::int64_t m_lastIndex { -1 }; // of the newest bucket
    std::array<Bucket, bucketCount> m_buckets; // that of index i at position i modulo bucketCount
};

} // namespace Ebonystack
