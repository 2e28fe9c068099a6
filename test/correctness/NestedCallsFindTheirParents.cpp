// Nested calls name no parent; their deadlines, and the failures that follow their refusals, tell it.
#include "coordination/UpstreamRuns.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant now { 100s };
constexpr Instant deadline { 102s };
const RouteId leaf { "leaf" };

} // namespace

TEST_CASE("the parent of a call is the run with the nearest deadline, within rounding and transit")
{
    UpstreamRuns runs;
    const RunId first = runs.start({ { "read" }, deadline });
    const RunId second = runs.start({ { "read" }, deadline + 30ms });
    const auto parentOf = [&](Instant callDeadline) {
        const RunId parent = runs.startCall(leaf, callDeadline);
        runs.endCall(parent, false, now);
        return parent;
    };
    CHECK(parentOf(deadline - 2ms) == first);
    CHECK(parentOf(deadline + 10ms) == first);
    CHECK(parentOf(deadline + 28ms) == second);
    CHECK(parentOf(deadline + 35ms) == second);
    CHECK(parentOf(deadline - 10ms) == 0);
    CHECK(parentOf(deadline + 90ms) == 0);
    runs.end(second, false, now);
    CHECK(parentOf(deadline + 30ms) == first);
}

TEST_CASE("a run that waits for a call is not taken for the parent of another")
{
    UpstreamRuns runs;
    const RunId first = runs.start({ { "read" }, deadline });
    const RunId second = runs.start({ { "read" }, deadline + 20ms });
    CHECK(runs.startCall(leaf, deadline) == first);
    CHECK(runs.startCall(leaf, deadline + 19ms) == second);
    CHECK(runs.startCall(leaf, deadline) == 0);
    runs.endCall(first, false, now);
    CHECK(runs.startCall(leaf, deadline) == first);
}

TEST_CASE("a call that ends after its run has no effect")
{
    UpstreamRuns runs;
    const RunId run = runs.start({ { "read" }, deadline });
    const RunId parent = runs.startCall(leaf, deadline);
    REQUIRE(parent == run);
    CHECK(runs.end(run, false, now)->calls.at(leaf) == 1);
    runs.endCall(parent, true, now);
    const RunId other = runs.start({ { "read" }, deadline });
    CHECK_FALSE(runs.end(other, true, now)->hasRefusedCall);
}

TEST_CASE("the refusal of a call of an unknown run is that of the run that fails right after")
{
    UpstreamRuns runs;
    const RunId first = runs.start({ { "read" }, deadline });
    const RunId second = runs.start({ { "read" }, deadline });
    const RunId third = runs.start({ { "read" }, deadline });
    runs.endCall(0, true, now);
    CHECK_FALSE(runs.end(first, false, now + 1ms)->hasRefusedCall);
    CHECK(runs.end(second, true, now + 2ms)->hasRefusedCall);
    CHECK_FALSE(runs.end(third, true, now + 3ms)->hasRefusedCall);
    const RunId late = runs.start({ { "read" }, deadline });
    runs.endCall(0, true, now);
    CHECK_FALSE(runs.end(late, true, now + 1s)->hasRefusedCall);
}
