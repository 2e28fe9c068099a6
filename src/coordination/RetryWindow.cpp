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

double RetryWindow::repeatsLeft(const WindowLimit& limit, const RetryWindow& service, Instant now) const
{
    const std::int64_t last = indexOf(now);
    double repeats = 0;
    double left = std::numeric_limits<double>::max();
    for (std::int64_t first = last; first >= last - bucketsPerWindow; --first) {
        repeats += sum(&Bucket::repeats, first, first);
        const double firstAttempts = countedFirstAttempts(service, first, last);
        left = std::min(left, limit.ratio * firstAttempts + limit.extra - repeats);
    }
    return left;
}

std::array<double, 3> RetryWindow::comparedFirstAttempts(std::int64_t first, std::int64_t last) const
{
    return { sum(&Bucket::firstAttempts, first, last),
        sum(&Bucket::firstAttempts, first - bucketsPerWindow, first - 1),
        sum(&Bucket::firstAttempts, first - bucketsPerWindow / 2,
            std::min(last, first + bucketsPerWindow / 2 - 1)) };
}

double RetryWindow::countedFirstAttempts(
    const RetryWindow& service, std::int64_t first, std::int64_t last) const
{
    // The operator counts the window in which the whole service has most. Without knowledge of the service
    // the mean of the three is never more than that.
    const std::array<double, 3> own = comparedFirstAttempts(first, last);
    const std::array<double, 3> all = service.comparedFirstAttempts(first, last);
    const auto* const most = std::ranges::max_element(all);
    if (*most <= 0)
        return (own[0] + own[1] + own[2]) / 3;
    return own.at(static_cast<std::size_t>(most - all.begin()));
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
