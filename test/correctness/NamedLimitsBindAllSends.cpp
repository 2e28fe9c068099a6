// An upstream that names a limit gets no more than that, whoever sends and whatever its node has forgotten.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 4; // requests per second

ScriptedResponse respondWithLimit(const HttpRequest& request)
{
    std::string bytes = sealedResponse(request);
    bytes.insert(bytes.find("X-Seal"), "X-Limit: 4\r\n");
    return { bytes };
}

ScriptedResponse staySilent(const HttpRequest&) { return { "", false, true }; }

/// The number of requests that reach the upstream within `time` when more than it takes arrive at the node.
std::size_t arrivalsWithin(HopServiceFixture& fixture, Duration time, std::optional<double> knownLimit)
{
    const std::size_t before = fixture.upstream.requests().size();
    const Instant end = fixture.state.now() + time;
    for (std::uint64_t number = 1000; number < 1040; ++number) {
        HopRequest request = HopServiceFixture::makeRequest(number, true);
        request.knownRequestLimit = knownLimit;
        fixture.hop.request(fixture.origin, request);
    }
    fixture.runUntil([&] {
        fixture.hop.tick(fixture.state.now());
        return fixture.state.now() >= end;
    });
    return fixture.upstream.requests().size() - before;
}

} // namespace

TEST_CASE("an upstream that has named a limit gets requests at that rate, and the load report tells it")
{
    HopServiceFixture fixture(respondWithLimit);
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.hop.load().notice);
    CHECK(fixture.hop.load().notice->requestsPerSecond == limit);
    CHECK(fixture.hop.load().notice->instance == InstanceId { "i-1" });
    CHECK(fixture.hop.load().gate.limit == 1);
    CHECK(arrivalsWithin(fixture, 600ms, std::nullopt) <= 4);
}

TEST_CASE("a node that has just started keeps the limit that an entry node remembers")
{
    HopServiceFixture fixture(staySilent);
    CHECK(arrivalsWithin(fixture, 300ms, limit) <= 3);
}

TEST_CASE("a remembered limit ends with the first response that names none")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) -> ScriptedResponse { return { sealedResponse(request) }; });
    HopRequest request = HopServiceFixture::makeRequest(1, true);
    request.knownRequestLimit = limit;
    fixture.hop.request(fixture.origin, request);
    fixture.runUntil([&] { return !fixture.responses.empty(); });
    CHECK(arrivalsWithin(fixture, 300ms, limit) == 40);
}

TEST_CASE("entry nodes pass on the limit that a load report has told them")
{
    EntryServiceFixture fixture;
    UpstreamLoad load { { 0, 0, 1 }, 0, 50ms, true, UpstreamNotice { { "i-2" }, limit, false } };
    fixture.state.recordLoadReport({ "10.0.0.2" }, load, fixture.now);
    load.notice.reset(); // the node has restarted
    fixture.state.recordLoadReport({ "10.0.0.2" }, load, fixture.now);
    for (int i = 0; i < 50; ++i) {
        fixture.begin("/read/1", std::to_string(i));
        const SentRequest& sent = fixture.transport.sent.back();
        CHECK(sent.request.knownRequestLimit.has_value() == (sent.vm == VmId { "10.0.0.2" }));
    }
}

TEST_CASE("an upstream gets requests in proportion to the limit that it names")
{
    UpstreamSelector selector({ "a" }, 1);
    const KnownUpstream limited { makeUpstreamRecord("i-2", "10.0.0.2"), { 0, 1 }, Instant(), std::nullopt,
        false };
    const KnownUpstream other { makeUpstreamRecord("i-3", "10.0.0.3"), { 0, 1 }, Instant(), std::nullopt,
        false };
    const Instant now { 100s };
    selector.recordLoadReport(
        { "10.0.0.2" }, { { 0, 0, 1 }, 0, 50ms, true, UpstreamNotice { { "i-2" }, 20, false } }, now);
    selector.recordLoadReport({ "10.0.0.3" }, { { 0, 0, 10 }, 0, 50ms, true, std::nullopt }, now);
    int toLimited = 0;
    for (int i = 0; i < 1000; ++i)
        toLimited += selector.select({ &limited, &other }, {}, now) == &limited ? 1 : 0;
    CHECK(toLimited > 50);
    CHECK(toLimited < 150);
}
