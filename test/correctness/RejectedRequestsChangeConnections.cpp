// An upstream that rejects a request and repeats the rejection late, where the next response is expected.
#include "coordination/CarriedRequests.h"
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

HopRequest makeSending(std::uint64_t number, const std::string& id)
{
    HopRequest request = HopServiceFixture::makeRequest(number, false);
    request.fields.removeIf([](const HttpField& field) { return field.name == "X-Id"; });
    request.fields.add("X-Id", id);
    return request;
}

void sendAndWait(HopServiceFixture& fixture, std::uint64_t number, const std::string& id)
{
    const std::size_t before = fixture.responses.size();
    fixture.hop.request(fixture.origin, makeSending(number, id));
    fixture.runUntil([&] { return fixture.responses.size() > before; });
}

} // namespace

// Guards against reporting a request as not run because an earlier sending of it was rejected.
TEST_CASE("a rejection that comes twice is not taken for the response to the next sending of the request")
{
    const std::string rejection
        = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedUpstream* upstream = nullptr;
    HopServiceFixture fixture([&](const HttpRequest& request) {
        if (upstream->requests().size() == 1)
            return ScriptedResponse { rejection };
        const bool isFirstConnection = upstream->connections() == 1;
        return ScriptedResponse { (isFirstConnection ? rejection : "") + sealedResponse(request) };
    });
    upstream = &fixture.upstream;
    sendAndWait(fixture, 1, "a");
    sendAndWait(fixture, 2, "a");
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.responses[1].outcome == HopOutcome::Responded);
    CHECK(fixture.upstream.requests().size() == 2);
}

TEST_CASE("a connection that can't carry a request again still carries others")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
    sendAndWait(fixture, 1, "a");
    sendAndWait(fixture, 2, "a");
    sendAndWait(fixture, 3, "b");
    sendAndWait(fixture, 4, "c");
    CHECK(fixture.responses.size() == 4);
    CHECK(fixture.upstream.connections() == 2);
}

TEST_CASE("a connection is closed when it can remember no further request")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
    for (std::uint64_t number = 1; number <= CarriedRequests::maxCount; ++number)
        sendAndWait(fixture, number, std::to_string(number));
    CHECK(fixture.responses.size() == CarriedRequests::maxCount);
    CHECK(fixture.upstream.connections() == 1);
    CHECK(fixture.pool.connectionCount() == 0);
}
