// What the upstream's node says of a request whose answer is lost, spoilt, late or not the upstream's own.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

ScriptedResponse sound(const HttpRequest& request) { return { sealedResponse(request) }; }

} // namespace

TEST_CASE("a whole, sealed answer is passed on")
{
    HopServiceFixture fixture(sound);
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    CHECK(fixture.responses[0].body == "ok");
    CHECK(fixture.hop.openCount() == 0);
}

TEST_CASE("an order whose answer was lost with the link is not called not run afterwards")
{
    HopServiceFixture fixture(sound);
    fixture.linkUp = false;
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, false));
    fixture.runUntil([&] { return fixture.hop.openCount() == 0; });
    REQUIRE(fixture.upstream.requests().size() == 1);
    fixture.linkUp = true;
    fixture.hop.resume(fixture.origin, { 1 });
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    fixture.state.timers.advance(fixture.state.now() + std::chrono::seconds(20));
    fixture.hop.resume(fixture.origin, { 1 });
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::OutcomeUnknown);
}

TEST_CASE("an order that never came is called not run")
{
    HopServiceFixture fixture(sound);
    fixture.hop.resume(fixture.origin, { 5 });
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
}

TEST_CASE("a connection that ends without an answer leaves an order open, and it is not sent again")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", true }; });
    fixture.requestAndWait(1, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.responses[0].reachedUpstream);
    CHECK(fixture.upstream.requests().size() == 1);
}

TEST_CASE("an upstream that can't be reached has run nothing")
{
    HopServiceFixture fixture(sound);
    fixture.pool.setAddress("127.0.0.1:1");
    fixture.requestAndWait(1, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK_FALSE(fixture.responses[0].reachedUpstream);
    CHECK_FALSE(fixture.hop.load().accepts);
}

TEST_CASE("the upstream's own statement that it did not run is taken, and known as an arrival")
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

TEST_CASE("a success without a seal, or encoded, or cut short, is no answer")
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

TEST_CASE("bytes that are no answer end the connection")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "gibberish\r\n\r\n" }; });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::OutcomeUnknown);
    CHECK(fixture.pool.connections() == 0);
}

TEST_CASE("a late second answer is passed over for the one that belongs to the request")
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
    CHECK(fixture.pool.connections() == 0); // its connection can't be trusted any more
}

TEST_CASE("an extra answer after the one that was asked for ends the connection")
{
    HopServiceFixture fixture([](const HttpRequest& request) {
        return ScriptedResponse { sealedResponse(request) + sealedResponse(request) };
    });
    fixture.requestAndWait(1, true);
    CHECK(fixture.responses.at(0).outcome == HopOutcome::Responded);
    CHECK(fixture.pool.connections() == 0);
}

TEST_CASE("an answer without a length is whole when its connection ends in order")
{
    HopServiceFixture fixture([](const HttpRequest&) {
        return ScriptedResponse { "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nall of it", true };
    });
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::Responded);
    CHECK(fixture.responses[0].body == "all of it");
}

TEST_CASE("a kept connection that the upstream has closed is not used for an order")
{
    HopServiceFixture fixture(sound);
    fixture.requestAndWait(1, false);
    fixture.upstream.closeAll();
    fixture.requestAndWait(2, false);
    REQUIRE(fixture.responses.size() == 2);
    CHECK(fixture.responses[1].outcome == HopOutcome::Responded);
    CHECK(fixture.upstream.requests().size() == 2);
}

TEST_CASE("a caller that leaves ends a read at the upstream, and leaves an order running")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", false, true }; });
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, true));
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(2, false));
    fixture.runUntil([&] { return fixture.upstream.requests().size() == 2; });
    fixture.hop.cancel(fixture.origin, 1);
    fixture.hop.cancel(fixture.origin, 2);
    CHECK(fixture.hop.openCount() == 1);
    CHECK(fixture.pool.connections() == 1);
}

TEST_CASE("an upstream that drains gets nothing after a part of the drain time")
{
    HopServiceFixture fixture(sound);
    UpstreamRecord record = fixture.state.directory.atAddress(fixture.upstream.address())->record;
    record.draining = true;
    fixture.state.directory.put(record, 2, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now() - std::chrono::milliseconds(1500));
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.responses[0].reason == HopReason::UpstreamDraining);
}

TEST_CASE(
    "a leaving node serves others until shortly before its end, and takes nothing that would outlast it")
{
    HopServiceFixture fixture(sound);
    fixture.state.shutdownDeadline = fixture.state.now() + std::chrono::seconds(5);
    CHECK(fixture.hop.load().accepts);
    fixture.requestAndWait(1, true);
    CHECK(fixture.responses.at(0).outcome == HopOutcome::Responded);
    fixture.state.shutdownDeadline = fixture.state.now() + finalDrainTime / 2;
    CHECK_FALSE(fixture.hop.load().accepts);
    fixture.requestAndWait(2, true); // it has two seconds left
    CHECK(fixture.responses.at(1).outcome == HopOutcome::NotRun);
    CHECK(fixture.responses.at(1).reason == HopReason::NodeLeaving);
}
