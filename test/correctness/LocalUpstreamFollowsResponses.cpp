// The limit in force is that of the newest response, also where responses overtake each other or nodes
// restart.
#include "coordination/LocalUpstream.h"
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const UpstreamNotice limited { {}, 20, false };
const UpstreamNotice leaving { {}, std::nullopt, true };

LocalUpstream makeUpstream()
{
    LocalUpstream upstream;
    upstream.setRecord(Testing::makeUpstreamRecord("i-1", "10.0.0.1"), start);
    return upstream;
}

} // namespace

TEST_CASE("an upstream that has never said anything has no notice")
{
    LocalUpstream upstream = makeUpstream();
    CHECK_FALSE(upstream.onResponse({}, start, start + 1s));
    CHECK_FALSE(upstream.notice());
    CHECK_FALSE(upstream.requestLimit());
}

TEST_CASE("a limit holds until a response to a later request comes without it")
{
    LocalUpstream upstream = makeUpstream();
    CHECK(upstream.onResponse(limited, start, start + 1s));
    CHECK_FALSE(upstream.onResponse({}, start + 900ms, start + 2s));
    CHECK(upstream.requestLimit() == 20);
    CHECK(upstream.onResponse({}, start + 2s, start + 3s));
    CHECK_FALSE(upstream.requestLimit());
    CHECK(upstream.notice() == UpstreamNotice { { "i-1" }, std::nullopt, false });
}

TEST_CASE("a changed limit holds at once")
{
    LocalUpstream upstream = makeUpstream();
    upstream.onResponse(limited, start, start + 1s);
    CHECK(upstream.onResponse({ {}, 5, true }, start, start + 1s));
    CHECK(upstream.notice() == UpstreamNotice { { "i-1" }, 5, true });
}

TEST_CASE("a limit that is taken over is not reported, and ends with the first response without one")
{
    LocalUpstream upstream = makeUpstream();
    CHECK(upstream.adoptRequestLimit(7));
    CHECK_FALSE(upstream.adoptRequestLimit(8));
    CHECK(upstream.requestLimit() == 7);
    CHECK_FALSE(upstream.notice());
    CHECK(upstream.onResponse({}, start, start + 1s));
    CHECK_FALSE(upstream.requestLimit());
    CHECK_FALSE(upstream.adoptRequestLimit(7));
}

TEST_CASE("an upstream that is leaving stays so until another run has its address")
{
    LocalUpstream upstream = makeUpstream();
    upstream.onResponse(leaving, start, start + 1s);
    upstream.onResponse({}, start + 2s, start + 3s);
    CHECK(upstream.isLeaving());
    CHECK_FALSE(upstream.hasDrained({ 1s, 2s }, start + 2s));
    CHECK(upstream.hasDrained({ 1s, 2s }, start + 2500ms));
    UpstreamRecord record = Testing::makeUpstreamRecord("i-1", "10.0.0.1");
    record.startedAt = 1;
    upstream.setRecord(record, start + 3s);
    CHECK_FALSE(upstream.isLeaving());
    CHECK_FALSE(upstream.notice());
}
