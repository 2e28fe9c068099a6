// What a route costs is learned from runs that were not broken off by a refused nested call.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

const ServiceName deep { "deep" };
const RouteId readRoute { "read" };
const RouteId leaf { "leaf" };
constexpr int callsPerRun = 4;

/// An upstream whose runs make `callsPerRun` calls, or one when that is refused.
struct CallingFixture {
    CallingFixture() { hop.state.costs.updateReportedArrivals(leaf, { { deep, 1 } }); }

    ScriptedResponse respond(const HttpRequest& request)
    {
        UpstreamRuns& runs = hop.state.runs;
        const Instant now = hop.state.now();
        for (int call = 0; call < (refusesCalls ? 1 : callsPerRun); ++call)
            runs.endCall(runs.startCall(leaf, now + 2s), refusesCalls, now);
        if (!refusesCalls)
            return { sealedResponse(request) };
        return { "HTTP/1.1 500 Failed\r\nX-Id: " + std::string(request.head.fields.find("X-Id").value_or(""))
            + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n" };
    }

    void runRequests(std::uint64_t count)
    {
        for (std::uint64_t i = 0; i < count; ++i)
            hop.requestAndWait(++sent, true);
    }

    bool refusesCalls { false };
    std::uint64_t sent { 0 };
    HopServiceFixture hop { [this](const HttpRequest& request) { return respond(request); } };
};

} // namespace

TEST_CASE("runs that end early because a call is refused don't make their route seem cheap")
{
    CallingFixture fixture;
    fixture.runRequests(10);
    CHECK(fixture.hop.state.costs.localArrivals(readRoute).at(deep) == doctest::Approx(callsPerRun));
    fixture.refusesCalls = true;
    fixture.runRequests(40);
    CHECK(fixture.hop.state.costs.localArrivals(readRoute).at(deep) == doctest::Approx(callsPerRun));
}
