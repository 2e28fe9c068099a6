// When a refused caller should come back. Answers bursts: returns are spread over the time in which an answer
// still has its full worth, and stay within the time that the caller has left.
#pragma once

#include "state/Names.h"
#include "state/RandomSource.h"
#include "state/Time.h"

#include <compare>
#include <map>

namespace Ebonystack {

/// What is known of a refused request.
struct RefusedRequest {
    RouteId route;
    Duration targetLatency { 0 }; ///< an answer within this time has its full worth
    Duration elapsed { 0 }; ///< since the request came
    Duration remainingTime { 0 }; ///< until its answer is due here

    auto operator<=>(const RefusedRequest&) const = default;
};

/// Not thread-safe.
class RetryAfterPolicy {
public:
    explicit RetryAfterPolicy(std::uint64_t seed);

    /// Notes the time that a caller has left when its request comes. True when the caller seems to have been
    /// refused before: it has waited as advised, and so has less time left than others on the route.
    bool detectCallerRetry(const RouteId&, Duration targetLatency, Duration callerRemainingTime);

    /// For a request that was shed: a random moment at which it can still be answered in time.
    Duration randomRetryAfter(const RefusedRequest&);
    /// `requested`, unless the caller would not wait so long.
    Duration boundedRetryAfter(const RefusedRequest&, Duration requested) const;

private:
    RandomSource m_random;
    std::map<RouteId, double> m_usualRemainingTime; // seconds that callers have left at their first try
};

} // namespace Ebonystack
