// Whatever happens to a request behind the entry, its caller gets one answer, in time, that tells the truth
// about whether it ran.
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto longAfter = 10s;

} // namespace

TEST_CASE("an upstream's answer is delivered with its fields")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    REQUIRE(fixture.transport.sent.size() == 1);
    fixture.respond(HopOutcome::Responded, 200);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 200);
    CHECK(fixture.entry.openCount() == 0);
}

TEST_CASE("a request without an answer ends at the timeout, as one that may have run")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    REQUIRE(fixture.transport.sent.size() == 1);
    fixture.advanceTime(longAfter);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 504);
    CHECK(fixture.entry.openCount() == 0);
    fixture.respond(HopOutcome::Responded, 200); // the late answer goes nowhere
    CHECK(fixture.responses.size() == 1);
}

TEST_CASE("the timer of an ended call does nothing")
{
    EntryServiceFixture fixture;
    fixture.begin("/read/1");
    fixture.respond(HopOutcome::Responded, 200);
    fixture.advanceTime(longAfter);
    CHECK(fixture.responses.size() == 1);
}

TEST_CASE("a request that did not run goes to another VM, and is refused as not run in the end")
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

TEST_CASE("an order that may have run is never sent again, and not called not run")
{
    EntryServiceFixture fixture;
    fixture.fillRetryBudget();
    fixture.begin("/order/1");
    fixture.respond(HopOutcome::OutcomeUnknown, 0, HopReason::ConnectionLost);
    CHECK(fixture.transport.sent.size() == 1);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("an order's failure with a status that promises not run is not passed on as a promise")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    fixture.respond(HopOutcome::Responded, 503);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("a read that failed is sent again within the budget, and its failure delivered without one")
{
    EntryServiceFixture fixture;
    fixture.fillRetryBudget();
    fixture.begin("/read/1");
    fixture.respond(HopOutcome::Responded, 500);
    REQUIRE(fixture.transport.sent.size() == 2);
    fixture.respond(HopOutcome::Responded, 200);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 200);
}

TEST_CASE("a caller that leaves ends the attempt and gets no answer")
{
    EntryServiceFixture fixture;
    const CallId call = fixture.begin("/read/1");
    fixture.entry.cancel(call);
    CHECK(fixture.transport.cancelled == std::vector { fixture.transport.sent.back().request.number });
    fixture.advanceTime(longAfter);
    CHECK(fixture.responses.empty());
}

TEST_CASE("a lost link repeats reads at once and takes orders up again at the same process")
{
    EntryServiceFixture fixture;
    fixture.fillRetryBudget();
    fixture.begin("/read/1", "1");
    const VmId vm = fixture.transport.sent.back().vm;
    fixture.entry.onLinkDown(vm);
    CHECK(fixture.transport.sent.size() == 2);
    CHECK(fixture.transport.sent.back().vm != vm);
    fixture.respond(HopOutcome::Responded, 200);

    fixture.begin("/order/1", "2");
    const SentRequest order = fixture.transport.sent.back();
    fixture.entry.onLinkDown(order.vm);
    CHECK(fixture.responses.size() == 1);
    fixture.entry.onLinkUp(order.vm, true);
    CHECK(fixture.transport.resumed == std::vector { order.request.number });
    fixture.respond(HopOutcome::Responded, 200);
    CHECK(fixture.responses.size() == 2);
}

TEST_CASE("an order at a process that has ended may have run")
{
    EntryServiceFixture fixture;
    fixture.begin("/order/1");
    const VmId vm = fixture.transport.sent.back().vm;
    fixture.entry.onLinkUp(vm, false);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 502);
}

TEST_CASE("keys decide on the team, and never reach the upstream")
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

TEST_CASE("without a configuration nothing is denied")
{
    EntryServiceFixture fixture;
    fixture.state.config.reset();
    fixture.begin("/nowhere/1");
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
}

TEST_CASE("a team beyond its plan is told when to come back; without its home, the entry's share applies")
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

TEST_CASE("a node that is leaving takes only requests that end before it does")
{
    EntryServiceFixture fixture;
    fixture.state.shutdownDeadline = fixture.now + 2s;
    fixture.begin("/order/1", "1"); // its route's timeout is 200 ms
    CHECK(fixture.transport.sent.size() == 1);
    fixture.now += 1900ms;
    fixture.begin("/order/1", "2");
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
    CHECK(fixture.responses[0].head.fields.find("Retry-After"));
    CHECK(fixture.transport.sent.size() == 1);
}
