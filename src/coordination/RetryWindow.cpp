// A ring of buckets.
#include "coordination/RetryWindow.h"

#include <algorithm>
#include <limits>

namespace Ebonystack {

void RetryWindow::add(double firstAttempts, double repeats, Instant at)
{
    const std::int64_t index = indexOf(at);
    Bucket& bucket = m_buckets[static_cast<std::size_t>(index % bucketCount)];
    if (bucket.index > index)
        return; // older than the ring
    if (bucket.index < index)
        bucket = { index, 0, 0 };
    m_lastIndex = std::max(m_lastIndex, index);
    bucket.firstAttempts += firstAttempts;
    bucket.repeats += repeats;
}

double RetryWindow::repeatsLeft(const WindowLimit& limit, Instant now) const
{
    const std::int64_t last = indexOf(now);
    double repeats = 0;
    double left = std::numeric_limits<double>::max();
    for (std::int64_t first = last; first >= last - bucketsPerWindow; --first) {
        repeats += sum(&Bucket::repeats, first, first);
        // The operator's limit counts the first attempts of the window, of the one before it or of the one
        // half a window before it, whichever has most. The mean of the three is never more than that, and
        // means of several nodes add up.
        const double firstAttempts = (sum(&Bucket::firstAttempts, first, last)
                                         + sum(&Bucket::firstAttempts, first - bucketsPerWindow, first - 1)
                                         + sum(&Bucket::firstAttempts, first - bucketsPerWindow / 2,
                                             std::min(last, first + bucketsPerWindow / 2 - 1)))
            / 3;
        left = std::min(left, limit.ratio * firstAttempts + limit.extra - repeats);
    }
    return left;
}

double RetryWindow::sum(double Bucket::*amount, std::int64_t first, std::int64_t last) const
{
    double total = 0;
    for (std::int64_t index = std::max<std::int64_t>(first, 0); index <= last; ++index) {
        const Bucket& bucket = m_buckets[static_cast<std::size_t>(index % bucketCount)];
        if (bucket.index == index)
            total += bucket.*amount;
    }
    return total;
}

} // namespace Ebonystack
