// The Retry-After times of refused callers, and the detection of callers that retry.
#include "coordination/RetryAfterPolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const RouteId route { "read" };

} // namespace

TEST_CASE("Retry-After times are spread over the target latency and leave time for a response within it")
{
    RetryAfterPolicy policy(1);
    policy.detectCallerRetry(route, 1s, 5s);
    std::vector<Duration> times;
    times.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        times.push_back(policy.randomRetryAfter({ route, 1s, 0ms, 1s }));
    const auto [minTime, maxTime] = std::ranges::minmax(times);
    CHECK(minTime >= 290ms);
    CHECK(maxTime <= 710ms);
    CHECK(maxTime - minTime >= 300ms);
}

TEST_CASE("Retry-After is bounded by the remaining time of the caller")
{
    RetryAfterPolicy policy(1);
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 5s)
        <= 200ms); // the usual remaining time of the route's callers is unknown
    policy.detectCallerRetry(route, 1s, 3s);
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 5s) == fromSeconds(3 * 0.32));
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 300ms) == 300ms);
    CHECK(policy.boundedRetryAfter({ route, 1s, 2900ms, 0ms }, 5s) >= 50ms);
}

TEST_CASE("a caller with less remaining time than usual is taken for a retry")
{
    RetryAfterPolicy policy(1);
    CHECK_FALSE(policy.detectCallerRetry(route, 1s, 5s));
    CHECK_FALSE(policy.detectCallerRetry(route, 1s, 4900ms));
    CHECK(policy.detectCallerRetry(route, 1s, 4500ms));
}

TEST_CASE("a shorter remaining time becomes the usual one after some requests")
{
    RetryAfterPolicy policy(1);
    policy.detectCallerRetry(route, 1s, 5s);
    bool isRetry = true;
    for (int i = 0; i < 2000 && isRetry; ++i)
        isRetry = policy.detectCallerRetry(route, 1s, 3s);
    CHECK_FALSE(isRetry);
}
