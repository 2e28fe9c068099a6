// A caller gets exactly one response within its timeout, whatever happens to the request after the entry node
// has sent it. A request that may have run is never reported as not run.
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

/// Longer than the routes' timeout of 200 ms and the 1 s that callers have left.
constexpr auto beyondTimeout = 10s;

} // namespace

TEST_CASE("an upstream's response is delivered to the caller and ends the call")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    REQUIRE(fixture.transport.sent.size() == 1);
    fixture.respond(HopOutcome::Responded, 200);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 200);
    CHECK(fixture.entry.openCount() == 0);
}

TEST_CASE("a request without a response times out as one that may have run, and a late response is dropped")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    REQUIRE(fixture.transport.sent.size() == 1);
    fixture.advanceTime(beyondTimeout);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 504);
    CHECK(fixture.entry.openCount() == 0);
    fixture.respond(HopOutcome::Responded, 200); // the late response is dropped
    CHECK(fixture.responses.size() == 1);
}

TEST_CASE("the timeout of an ended call has no effect")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    fixture.respond(HopOutcome::Responded, 200);
    fixture.advanceTime(beyondTimeout);
    CHECK(fixture.responses.size() == 1);
}

TEST_CASE("a request that did not run is sent to another VM, and refused as not run if it did not run there")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    const VmId first = fixture.transport.sent.back().vm;
    fixture.respond(HopOutcome::NotRun, 0, HopReason::GateFull);
    REQUIRE(fixture.transport.sent.size() == 2);
    CHECK(fixture.transport.sent.back().vm != first);
    fixture.respond(HopOutcome::NotRun, 0, HopReason::GateFull);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
    CHECK(fixture.responses[0].head.fields.find("Retry-After"));
}

TEST_CASE("a non-idempotent request that may have run is not sent again and is not reported as not run")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    fixture.respond(HopOutcome::OutcomeUnknown, 0, HopReason::ConnectionLost);
    CHECK(fixture.transport.sent.size() == 1);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("an upstream's 503 for a non-idempotent request is delivered as 502: callers read 503 as not run")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    fixture.respond(HopOutcome::Responded, 503);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("an idempotent request that failed is sent again as a repeat")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    CHECK(fixture.transport.sent.back().request.repeatShare == 0);
    fixture.respond(HopOutcome::Responded, 500);
    REQUIRE(fixture.transport.sent.size() == 2);
    CHECK(fixture.transport.sent.back().request.repeatShare == 1);
    fixture.respond(HopOutcome::Responded, 200);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 200);
}

TEST_CASE(
    "a repeat for which the retry budget is spent ends with the earlier response and is sent nowhere else")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    fixture.respond(HopOutcome::Responded, 500);
    fixture.respond(HopOutcome::NotRun, 0, HopReason::RetryBudgetSpent);
    CHECK(fixture.transport.sent.size() == 2);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 500);
}

TEST_CASE("a cancelled call is cancelled at the upstream's node and gets no response")
{
    EntryServiceFixture fixture;
    const CallId call = fixture.begin("/read/1");
    fixture.entry.cancel(call);
    CHECK(fixture.transport.cancelled == std::vector { fixture.transport.sent.back().request.number });
    fixture.advanceTime(beyondTimeout);
    CHECK(fixture.responses.empty());
}

TEST_CASE(
    "after a link is lost, idempotent requests are retried at once and others resumed at the same process")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1", "1");
    const VmId vm = fixture.transport.sent.back().vm;
    fixture.entry.onLinkDown(vm);
    CHECK(fixture.transport.sent.size() == 2);
    CHECK(fixture.transport.sent.back().vm != vm);
    fixture.respond(HopOutcome::Responded, 200);

    fixture.begin("/order/1", "2");
    const SentRequest nonIdempotent = fixture.transport.sent.back();
    fixture.entry.onLinkDown(nonIdempotent.vm);
    CHECK(fixture.responses.size() == 1);
    fixture.entry.onLinkUp(nonIdempotent.vm, fixture.transport.process);
    CHECK(fixture.transport.resumed == std::vector { nonIdempotent.request.number });
    fixture.respond(HopOutcome::Responded, 200);
    CHECK(fixture.responses.size() == 2);
}

TEST_CASE("a non-idempotent request sent to a process that has ended is reported as one that may have run")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    const VmId vm = fixture.transport.sent.back().vm;
    fixture.entry.onLinkUp(vm, fixture.transport.process + 1);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("only the API key determines the team, and the key is not sent to the upstream")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    const HttpFields& fields = fixture.transport.sent.back().request.fields;
    CHECK(fields.find("X-Team") == "team");
    CHECK(fields.find("X-Caller") == "registry");
    CHECK_FALSE(fields.find("Authorization"));

    HttpRequest forged = makeCallerRequest("/read/1", "2");
    forged.head.fields.removeIf([](const HttpField& field) { return field.name == "Authorization"; });
    forged.head.fields.add("X-Team", "team");
    fixture.begin(std::move(forged));
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 401);
}

TEST_CASE("without a configuration a request for an unknown route is refused with 503, not with 404")
{
    EntryServiceFixture fixture;
    fixture.state.config.reset();
    fixture.begin("/nowhere/1");
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
}

TEST_CASE("a team over its plan gets Retry-After; without the plan's owner the entry node's share applies")
{
    EntryServiceFixture fixture;
    ServingConfig config = makeServingConfig();
    config.teams[0].plan = { 10, 10 };
    fixture.state.config = std::make_shared<const ServingIndex>(config);
    fixture.begin("/read/1", "1");
    REQUIRE(fixture.transport.tokenRequests.size() == 1);
    fixture.entry.onTokenResponse({ fixture.transport.tokenRequests[0].number, 0, 100ms });
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 429);
    CHECK(fixture.responses[0].head.fields.find("Retry-After") == "0.100");

    fixture.transport.ownerReachable = false;
    fixture.begin("/read/1", "2");
    CHECK(fixture.transport.sent.size() == 1);
}

TEST_CASE("a node that is shutting down accepts only requests that end before it does")
{
    EntryServiceFixture fixture;
    fixture.state.shutdownDeadline = fixture.now + 2s;
    fixture.begin("/order/1", "1"); // the route's timeout is 200 ms
    CHECK(fixture.transport.sent.size() == 1);
    fixture.now += 1900ms;
    fixture.begin("/order/1", "2");
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
    CHECK(fixture.responses[0].head.fields.find("Retry-After"));
    CHECK(fixture.transport.sent.size() == 1);
}

TEST_CASE("a request that a node can't accept goes to another one, and is reported as not run if none can")
{
    for (const std::string path : { "/read/1", "/order/1" }) {
        EntryServiceFixture fixture;
        fixture.transport.rejecting = { { "10.0.0.2" } };
        fixture.begin(path);
        REQUIRE(fixture.transport.sent.size() == 1);
        CHECK(fixture.transport.sent[0].vm == VmId { "10.0.0.3" });
        fixture.respond(HopOutcome::Responded);
        fixture.transport.rejecting.push_back({ "10.0.0.3" });
        fixture.begin(path, "2");
        REQUIRE(fixture.responses.size() == 2);
        CHECK(fixture.responses[1].head.status == 503);
        CHECK(fixture.entry.openCount() == 0);
    }
}

// Guards against a status without a meaning that a node of an earlier version passes on.
TEST_CASE("a node's response with a status that has no meaning is taken as one that may have run")
{
    for (const std::uint16_t status : { 0, 99, 101, 600, 999 }) {
        CAPTURE(status);
        EntryServiceFixture fixture;
        fixture.begin("/order/1");
        fixture.respond(HopOutcome::Responded, status);
        REQUIRE(fixture.responses.size() == 1);
        CHECK(fixture.responses[0].head.status == 502);
        CHECK(fixture.transport.sent.size() == 1);
    }
}
