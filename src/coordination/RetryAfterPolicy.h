// Chooses the Retry-After time for refused requests. The retries after a burst are spread over the time in
// which a response still has its full worth, and stay within the caller's remaining time.
#pragma once

#include "state/Names.h"
#include "state/RandomSource.h"
#include "state/Time.h"

#include <compare>
#include <map>

namespace Ebonystack {

struct RefusedRequest {
    RouteId route;
    Duration targetLatency { 0 }; ///< a response within this time has its full worth
    Duration elapsed { 0 }; ///< since the request arrived
    Duration remainingTime { 0 }; ///< until the request's deadline at this node

    auto operator<=>(const RefusedRequest&) const = default;
};

/// Not thread-safe.
class RetryAfterPolicy {
public:
    explicit RetryAfterPolicy(std::uint64_t seed);

    /// Records the remaining time of a caller whose request arrives. Returns true when this seems to be a
    /// caller retry: the caller has waited for a Retry-After time, and so has less time left than the other
    /// callers of the route.
    bool detectCallerRetry(const RouteId&, Duration targetLatency, Duration callerRemainingTime);

    /// For a request that was shed: a random time after which a retry can still get its response in time.
    Duration randomRetryAfter(const RefusedRequest&);
    /// Returns `requested`, or less when the caller would not wait so long.
    Duration boundedRetryAfter(const RefusedRequest&, Duration requested) const;

private:
    RandomSource m_random;
    std::map<RouteId, double> m_usualRemainingSeconds; // of callers at their first attempt
};

} // namespace Ebonystack
