// The notice in force is that of the newest response, also where responses overtake each other.
#include "coordination/UpstreamNoticeTracker.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const UpstreamNotice limited { {}, 20, false };

} // namespace

TEST_CASE("an upstream that has never said anything has no notice")
{
    UpstreamNoticeTracker tracker;
    CHECK_FALSE(tracker.onResponse({}, start, start + 1s));
    CHECK_FALSE(tracker.notice());
}

TEST_CASE("a limit holds until a response to a later request comes without it")
{
    UpstreamNoticeTracker tracker;
    CHECK(tracker.onResponse(limited, start, start + 1s));
    CHECK_FALSE(tracker.onResponse({}, start + 900ms, start + 2s));
    CHECK(tracker.notice() == limited);
    CHECK(tracker.onResponse({}, start + 2s, start + 3s));
    CHECK(tracker.notice() == UpstreamNotice {});
}

TEST_CASE("a changed limit holds at once")
{
    UpstreamNoticeTracker tracker;
    tracker.onResponse(limited, start, start + 1s);
    CHECK(tracker.onResponse({ {}, 5, true }, start, start + 1s));
    CHECK(tracker.notice()->requestsPerSecond == 5);
    CHECK(tracker.notice()->leaving);
}
