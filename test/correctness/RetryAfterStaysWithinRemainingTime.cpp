// When refused callers are told to return.
#include "coordination/RetryAfterPolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const RouteId route { "read" };

} // namespace

TEST_CASE("returns are spread over the target, and can still be answered within it")
{
    RetryAfterPolicy policy(1);
    policy.detectCallerRetry(route, 1s, 5s);
    std::vector<Duration> times;
    times.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        times.push_back(policy.randomRetryAfter({ route, 1s, 0ms, 1s }));
    const auto [least, most] = std::ranges::minmax(times);
    CHECK(least >= 290ms);
    CHECK(most <= 710ms);
    CHECK(most - least >= 300ms);
}

TEST_CASE("advice is no longer than the caller has patience for")
{
    RetryAfterPolicy policy(1);
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 5s)
        <= 200ms); // nothing is known of the caller's time
    policy.detectCallerRetry(route, 1s, 3s);
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 5s) == fromSeconds(3 * 0.32));
    CHECK(policy.boundedRetryAfter({ route, 1s, 0ms, 600ms }, 300ms) == 300ms);
    CHECK(policy.boundedRetryAfter({ route, 1s, 2900ms, 0ms }, 5s) >= 50ms);
}

TEST_CASE("a caller with less time than usual has returned")
{
    RetryAfterPolicy policy(1);
    CHECK_FALSE(policy.detectCallerRetry(route, 1s, 5s));
    CHECK_FALSE(policy.detectCallerRetry(route, 1s, 4900ms));
    CHECK(policy.detectCallerRetry(route, 1s, 4500ms));
}

TEST_CASE("a shorter deadline becomes the usual one after a while")
{
    RetryAfterPolicy policy(1);
    policy.detectCallerRetry(route, 1s, 5s);
    bool returns = true;
    for (int i = 0; i < 2000 && returns; ++i)
        returns = policy.detectCallerRetry(route, 1s, 3s);
    CHECK_FALSE(returns);
}
