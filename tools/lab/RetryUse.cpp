// Compares the repeats in each window that begins with one to the requests of that window, the one before it
// or the one half a window before it, whichever has most.
#include "lab/RetryUse.h"

#include <algorithm>

namespace Ebonystack {
namespace {

std::ptrdiff_t countIn(const std::vector<Instant>& times, Instant from, Instant until)
{
    return std::ranges::lower_bound(times, until) - std::ranges::lower_bound(times, from);
}

} // namespace

void RetryUse::recordRequest(const ServiceName& service, Instant now)
{
    m_services[service].requests.push_back(now);
}

bool RetryUse::recordArrival(const ServiceName& service, const std::string& requestId, Instant now)
{
    ServiceUse& use = m_services[service];
    const bool isFirst = use.arrived.insert(requestId).second;
    const bool isRepeat = !isFirst || m_callsOfRepeats.contains(requestId);
    if (isRepeat)
        use.repeats.push_back(now);
    return isRepeat;
}

double RetryUse::maxUse(const RetryLimits& limits) const
{
    double maxUse = 0;
    for (const auto& [service, use] : m_services) {
        for (const Instant from : use.repeats) {
            const auto requestsFrom = [&, &requests = use.requests](Instant start) {
                return countIn(requests, start, start + limits.window);
            };
            const auto requests = std::max({ requestsFrom(from), requestsFrom(from - limits.window / 2),
                requestsFrom(from - limits.window) });
            const double allowed = limits.ratio * static_cast<double>(requests) + limits.extraRetries;
            maxUse = std::max(
                maxUse, static_cast<double>(countIn(use.repeats, from, from + limits.window)) / allowed);
        }
    }
    return maxUse;
}

} // namespace Ebonystack
