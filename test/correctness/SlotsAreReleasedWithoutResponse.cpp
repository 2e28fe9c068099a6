// An upstream that never responds, neither to a request nor to any later one on that connection. The slot and
// the connection are released shortly after the deadline, also when the request must not be sent again.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

ScriptedResponse stayMute(const HttpRequest&) { return { "", false, true }; }

/// The deadline of HopServiceFixture::makeRequest, and the time in which the slot has to be free after it.
constexpr Duration requestTime = 2s;
constexpr Duration releaseTime = 500ms;

} // namespace

TEST_CASE("a request without a response ends after its deadline with an unknown outcome")
{
    for (const bool idempotent : { true, false }) {
        HopServiceFixture fixture(stayMute);
        fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, idempotent));
        fixture.runUntil([&] { return fixture.upstream.requests().size() == 1; });
        fixture.state.timers.advance(fixture.state.now() + requestTime - 100ms);
        CHECK(fixture.hop.openCount() == 1);
        fixture.state.timers.advance(fixture.state.now() + requestTime + releaseTime);
        CHECK(fixture.hop.openCount() == 0);
        CHECK(fixture.hop.load().gate.running == 0);
        CHECK(fixture.pool.connectionCount() == 0);
        REQUIRE(fixture.responses.size() == 1);
        CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
        CHECK(fixture.responses[0].reason == HopReason::NoResponse);
    }
}

TEST_CASE("a cancelled non-idempotent request without a response releases its slot after its deadline")
{
    HopServiceFixture fixture(stayMute);
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.runUntil([&] { return fixture.upstream.requests().size() == 1; });
    fixture.hop.cancel(fixture.origin, 1);
    CHECK(fixture.hop.openCount() == 1); // it may be running, and is not broken off
    fixture.state.timers.advance(fixture.state.now() + requestTime + releaseTime);
    CHECK(fixture.hop.openCount() == 0);
    CHECK(fixture.pool.connectionCount() == 0);
    CHECK(fixture.responses.empty());
}

TEST_CASE("a request that was given up is not sent again, and is remembered as one that may have run")
{
    HopServiceFixture fixture(stayMute);
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.runUntil([&] { return fixture.upstream.requests().size() == 1; });
    fixture.state.timers.advance(fixture.state.now() + requestTime + releaseTime);
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.upstream.requests().size() == 1);
}
