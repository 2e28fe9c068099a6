// What the upstream's node reports about a request whose response is lost, malformed, late or not from the
// upstream itself.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

ScriptedResponse makeValidResponse(const HttpRequest& request) { return { sealedResponse(request) }; }

} // namespace

TEST_CASE("a complete, sealed response is passed on")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    CHECK(fixture.responses[0].body == "ok");
    CHECK(fixture.hop.openCount() == 0);
}

TEST_CASE("a non-idempotent request whose response was lost with the link is not reported as not run")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.linkUp = false;
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    REQUIRE(fixture.upstream.requests().size() == 1);
    fixture.linkUp = true;
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    fixture.state.timers.advance(fixture.state.now() + std::chrono::seconds(20));
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::OutcomeUnknown);
}

// Guards against running a request again whose record was dropped before its deadline.
TEST_CASE("a request that ran is not reported as not run while its entry node may still wait for it")
{
    HopServiceFixture fixture(makeValidResponse);
    HopRequest request = HopServiceFixture::makeRequest(1, false);
    request.remainingTime = std::chrono::minutes(10);
    fixture.linkUp = false;
    fixture.hop.request(fixture.origin, std::move(request));
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    fixture.state.timers.advance(fixture.state.now() + std::chrono::minutes(9));
    fixture.linkUp = true;
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
}

TEST_CASE("a resumed request that never arrived is reported as not run")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.hop.resume(fixture.origin, { 5 }, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
}

TEST_CASE("a resumed request that was sent to an earlier process of the node is not reported as not run")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.hop.resume(fixture.origin, { 5 }, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
}

TEST_CASE("a non-idempotent request whose connection is lost has an unknown outcome and is not sent again")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", true }; });
    fixture.requestAndWait(1, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.responses[0].reachedUpstream);
    CHECK(fixture.upstream.requests().size() == 1);
}

TEST_CASE("a request for an unreachable upstream is reported as not run, and the node accepts no more")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.pool.setAddress("127.0.0.1:1");
    fixture.requestAndWait(1, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK_FALSE(fixture.responses[0].reachedUpstream);
    CHECK_FALSE(fixture.hop.load().acceptsRequests);
}

TEST_CASE(
    "an upstream's statement that a request did not run is passed on, and the request counts as arrived")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { "HTTP/1.1 503 Service Unavailable\r\nX-Id: "
            + std::string(*request.head.fields.find("X-Id"))
            + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" };
    });
    fixture.requestAndWait(1, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.responses[0].reason == HopReason::UpstreamShed);
    CHECK(fixture.responses[0].reachedUpstream);
}

TEST_CASE("a success response without a seal, with a content encoding or cut short gives an unknown outcome")
{
    const std::vector<std::string> heads { "Content-Length: 2\r\n\r\nok",
        "X-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
        "X-Seal: s\r\nContent-Length: 200\r\n\r\nok" };
    for (const std::string& head : heads) {
        HopServiceFixture fixture([&](const HttpRequest&) {
            return ScriptedResponse { "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + head, true };
        });
        fixture.requestAndWait(1, true);
        REQUIRE(fixture.responses.size() == 1);
        CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    }
}

// Guards against taking a surplus response without an id for the response to the request under way.
TEST_CASE("a response that names no request gives an unknown outcome, whatever it states")
{
    const std::vector<std::string> responses { "200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok",
        "200 OK\r\nX-Seal: s\r\n\r\nok",
        "503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" };
    for (const std::string& response : responses) {
        HopServiceFixture fixture([&](const HttpRequest&) {
            return ScriptedResponse { "HTTP/1.1 " + response, true };
        });
        fixture.requestAndWait(1, false);
        REQUIRE(fixture.responses.size() == 1);
        CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    }
}

TEST_CASE("bytes that are not an HTTP response end the connection")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "gibberish\r\n\r\n" }; });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.pool.connectionCount() == 0);
}

TEST_CASE("a late response to an earlier request is skipped, and the connection is closed after the next one")
{
    std::string late;
    HopServiceFixture fixture([&](const HttpRequest& request) {
        ScriptedResponse response { late + sealedResponse(request) };
        late = sealedResponse(request, "late");
        return response;
    });
    fixture.requestAndWait(1, true);
    fixture.requestAndWait(2, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::Responded);
    CHECK(fixture.responses[1].body == "ok");
    CHECK(fixture.pool.connectionCount() == 0); // the connection is no longer trusted
}

TEST_CASE("a surplus response after the expected one ends the connection")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { sealedResponse(request) + sealedResponse(request) };
    });
    fixture.requestAndWait(1, true);
    CHECK(fixture.responses.at(0).outcome == HopOutcome::Responded);
    CHECK(fixture.pool.connectionCount() == 0);
}

TEST_CASE("a response without a length is complete when its connection is closed in an orderly way")
{
    HopServiceFixture fixture([](const HttpRequest&) {
        return ScriptedResponse { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nall of it", true };
    });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    CHECK(fixture.responses[0].body == "all of it");
}

TEST_CASE("a pooled connection that the upstream has closed is not used for a non-idempotent request")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.requestAndWait(1, false);
    fixture.upstream.closeAll();
    fixture.requestAndWait(2, false);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::Responded);
    CHECK(fixture.upstream.requests().size() == 2);
}

TEST_CASE("cancelling ends an idempotent request at the upstream, and a non-idempotent one runs on")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", false, true }; });
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, true));
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(2, false));
    fixture.runUntil([&] { return fixture.upstream.requests().size() == 2; });
    fixture.hop.cancel(fixture.origin, 1);
    fixture.hop.cancel(fixture.origin, 2);
    CHECK(fixture.hop.openCount() == 1);
    CHECK(fixture.pool.connectionCount() == 1);
}

TEST_CASE("a draining upstream gets no requests after a part of the drain time")
{
    HopServiceFixture fixture(makeValidResponse);
    UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
    record.draining = true;
    fixture.state.directory.put(record, { 0, 2 }, fixture.state.now() - std::chrono::milliseconds(1500));
    fixture.hop.refreshUpstream(fixture.state.now());
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.responses[0].reason == HopReason::UpstreamDraining);
}

TEST_CASE(
    "a node shutting down serves others until shortly before its end, but no request that would outlast it")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.state.shutdownDeadline = fixture.state.now() + std::chrono::seconds(5);
    CHECK(fixture.hop.load().acceptsRequests);
    fixture.requestAndWait(1, true);
    CHECK(fixture.responses.at(0).outcome == HopOutcome::Responded);
    fixture.state.shutdownDeadline = fixture.state.now() + finalDrainTime / 2;
    CHECK_FALSE(fixture.hop.load().acceptsRequests);
    fixture.requestAndWait(2, true); // the request has 2 s left
    CHECK(fixture.responses.at(1).outcome == HopOutcome::NotRun);
    CHECK(fixture.responses.at(1).reason == HopReason::NodeLeaving);
}

// Guards against cancelling the requests of a link that was lost again because of the loss before.
TEST_CASE("an entry node has the whole resume time after each loss of its link")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", false, true }; });
    Instant now = fixture.state.now();
    fixture.state.clock = [&] { return now; };
    HopRequest request = HopServiceFixture::makeRequest(1, true);
    request.remainingTime = std::chrono::seconds(20);
    fixture.hop.request(fixture.origin, std::move(request));
    fixture.runUntil([&] { return fixture.upstream.requests().size() == 1; });
    const auto advance = [&](std::chrono::milliseconds time) {
        now += time;
        fixture.state.timers.advance(now);
    };
    fixture.hop.originLost(fixture.origin, false);
    advance(std::chrono::milliseconds(1000));
    fixture.hop.resume(fixture.origin, { 1 }, true);
    fixture.hop.originLost(fixture.origin, false);
    advance(std::chrono::milliseconds(1000));
    CHECK(fixture.hop.openCount() == 1);
    advance(std::chrono::milliseconds(500));
    CHECK(fixture.hop.openCount() == 0);
}

// Guards against a response that is withheld from an entry node whose link came back after the resume time.
TEST_CASE("a non-idempotent request that is resumed after its resume time gets its response")
{
    HopServiceFixture fixture(makeValidResponse);
    Instant now = fixture.state.now();
    fixture.state.clock = [&] { return now; };
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.hop.originLost(fixture.origin, false);
    now += std::chrono::milliseconds(1500);
    fixture.state.timers.advance(now);
    fixture.hop.resume(fixture.origin, { 1 }, true);
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
}

// Guards against losing a response that came after the resume time, before the link was back.
TEST_CASE("a non-idempotent request that ended while its link was lost gets its response until its deadline")
{
    HopServiceFixture fixture(makeValidResponse);
    Instant now = fixture.state.now();
    fixture.state.clock = [&] { return now; };
    HopRequest request = HopServiceFixture::makeRequest(1, false);
    request.remainingTime = std::chrono::seconds(10);
    fixture.hop.request(fixture.origin, std::move(request));
    fixture.hop.originLost(fixture.origin, false);
    const auto advance = [&](std::chrono::milliseconds time) {
        now += time;
        fixture.state.timers.advance(now);
    };
    advance(std::chrono::milliseconds(1500));
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    CHECK(fixture.responses.empty());
    advance(std::chrono::milliseconds(8000));
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    advance(std::chrono::milliseconds(1000));
    fixture.hop.resume(fixture.origin, { 1 }, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::OutcomeUnknown); // no longer kept
}

// Guards against running a request again whose entry node stood still, with its clock, for over a minute.
TEST_CASE("a request that ran is not reported as not run after its record was dropped")
{
    HopServiceFixture fixture(makeValidResponse);
    fixture.linkUp = false;
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    fixture.state.timers.advance(fixture.state.now() + std::chrono::minutes(2));
    fixture.linkUp = true;
    fixture.hop.resume(fixture.origin, { 1, 2 }, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.responses[1].outcome == HopOutcome::NotRun); // was sent later, and never arrived
}

// Guards against slots held until the deadline, and against callers that get such a response.
TEST_CASE("a response with a status that has no meaning is invalid at once, and is no interim response")
{
    for (const std::string status : { "000 X", "099 X", "101 Switching Protocols", "600 X", "999 X" }) {
        CAPTURE(status);
        for (const bool idempotent : { false, true }) {
            HopServiceFixture fixture([&](const HttpRequest& request) {
                std::string bytes = sealedResponse(request);
                return ScriptedResponse { bytes.replace(bytes.find("200 OK"), 6, status) };
            });
            fixture.requestAndWait(1, idempotent);
            REQUIRE(fixture.responses.size() == 1);
            CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
            CHECK(fixture.responses[0].reason == HopReason::ResponseInvalid);
            CHECK(fixture.upstream.requests().size() == 1);
            CHECK(fixture.pool.connectionCount() == 0);
            CHECK(fixture.hop.openCount() == 0);
        }
    }
}
