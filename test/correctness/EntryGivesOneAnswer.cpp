// Whatever happens to a request behind the entry, its caller gets one answer, in time, that tells the truth
// about whether it ran.
#include "support/SidecarStandIns.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr auto longAfter = 10s;

} // namespace

TEST_CASE("an upstream's answer is delivered with its fields")
{
    EntryBench bench;
    bench.begin("/read/1");
    REQUIRE(bench.path.sent.size() == 1);
    bench.answer(HopOutcome::Answered, 200);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 200);
    CHECK(bench.entry.open() == 0);
}

TEST_CASE("a request without an answer ends at the timeout, as one that may have run")
{
    EntryBench bench;
    bench.begin("/order/1");
    REQUIRE(bench.path.sent.size() == 1);
    bench.pass(longAfter);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 504);
    CHECK(bench.entry.open() == 0);
    bench.answer(HopOutcome::Answered, 200); // the late answer goes nowhere
    CHECK(bench.answers.size() == 1);
}

TEST_CASE("the timer of an ended call does nothing")
{
    EntryBench bench;
    bench.begin("/read/1");
    bench.answer(HopOutcome::Answered, 200);
    bench.pass(longAfter);
    CHECK(bench.answers.size() == 1);
}

TEST_CASE("a request that did not run goes to another VM, and is refused as not run in the end")
{
    EntryBench bench;
    bench.begin("/order/1");
    const VmId first = bench.path.sent.back().vm;
    bench.answer(HopOutcome::NotRun, 0, HopReason::GateFull);
    REQUIRE(bench.path.sent.size() == 2);
    CHECK(bench.path.sent.back().vm != first);
    bench.answer(HopOutcome::NotRun, 0, HopReason::GateFull);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 503);
    CHECK(bench.answers[0].head.fields.find("Retry-After"));
}

TEST_CASE("an order that may have run is never sent again, and not called not run")
{
    EntryBench bench;
    bench.earnRepeats();
    bench.begin("/order/1");
    bench.answer(HopOutcome::Broken, 0, HopReason::ConnectionLost);
    CHECK(bench.path.sent.size() == 1);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 502);
}

TEST_CASE("an order's failure with a status that promises not run is not passed on as a promise")
{
    EntryBench bench;
    bench.begin("/order/1");
    bench.answer(HopOutcome::Answered, 503);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 502);
}

TEST_CASE("a read that failed is sent again within the budget, and its failure delivered without one")
{
    EntryBench bench;
    bench.earnRepeats();
    bench.begin("/read/1");
    bench.answer(HopOutcome::Answered, 500);
    REQUIRE(bench.path.sent.size() == 2);
    bench.answer(HopOutcome::Answered, 200);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 200);
}

TEST_CASE("a caller that leaves ends the attempt and gets no answer")
{
    EntryBench bench;
    const CallId call = bench.begin("/read/1");
    bench.entry.cancel(call);
    CHECK(bench.path.cancelled == std::vector { bench.path.sent.back().request.number });
    bench.pass(longAfter);
    CHECK(bench.answers.empty());
}

TEST_CASE("a lost link repeats reads at once and takes orders up again at the same process")
{
    EntryBench bench;
    bench.earnRepeats();
    bench.begin("/read/1", "1");
    const VmId vm = bench.path.sent.back().vm;
    bench.entry.onLinkDown(vm);
    CHECK(bench.path.sent.size() == 2);
    CHECK(bench.path.sent.back().vm != vm);
    bench.answer(HopOutcome::Answered, 200);

    bench.begin("/order/1", "2");
    const SentRequest order = bench.path.sent.back();
    bench.entry.onLinkDown(order.vm);
    CHECK(bench.answers.size() == 1);
    bench.entry.onLinkUp(order.vm, true);
    CHECK(bench.path.resumed == std::vector { order.request.number });
    bench.answer(HopOutcome::Answered, 200);
    CHECK(bench.answers.size() == 2);
}

TEST_CASE("an order at a process that has ended may have run")
{
    EntryBench bench;
    bench.begin("/order/1");
    const VmId vm = bench.path.sent.back().vm;
    bench.entry.onLinkUp(vm, false);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 502);
}

TEST_CASE("keys decide on the team, and never reach the upstream")
{
    EntryBench bench;
    bench.begin("/read/1");
    const HttpFields& fields = bench.path.sent.back().request.fields;
    CHECK(fields.find("X-Team") == "team");
    CHECK(fields.find("X-Caller") == "registry");
    CHECK_FALSE(fields.find("Authorization"));

    HttpRequest forged = makeCallerRequest("/read/1", "2");
    forged.head.fields.removeIf([](const HttpField& field) { return field.name == "Authorization"; });
    forged.head.fields.add("X-Team", "team");
    bench.begin(std::move(forged));
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 401);
}

TEST_CASE("without a configuration nothing is denied")
{
    EntryBench bench;
    bench.state.config.reset();
    bench.begin("/nowhere/1");
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 503);
}

TEST_CASE("a team beyond its plan is told when to come back; without its home, the entry's share applies")
{
    EntryBench bench;
    ServingConfig config = makeServingConfig();
    config.teams[0].plan = { 10, 10 };
    bench.state.config = std::make_shared<const ServingIndex>(config);
    bench.begin("/read/1", "1");
    REQUIRE(bench.path.asked.size() == 1);
    bench.entry.onTokens({ bench.path.asked[0].number, 0, 100ms });
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 429);
    CHECK(bench.answers[0].head.fields.find("Retry-After") == "0.100");

    bench.path.homeReachable = false;
    bench.begin("/read/1", "2");
    CHECK(bench.path.sent.size() == 1);
}

TEST_CASE("a node that is leaving takes only requests that end before it does")
{
    EntryBench bench;
    bench.state.endsAt = bench.now + 2s;
    bench.begin("/order/1", "1"); // its route's timeout is 200 ms
    CHECK(bench.path.sent.size() == 1);
    bench.now += 1900ms;
    bench.begin("/order/1", "2");
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].head.status == 503);
    CHECK(bench.answers[0].head.fields.find("Retry-After"));
    CHECK(bench.path.sent.size() == 1);
}
