// A request that upstreams reject without running it is offered again while the operator's limits allow it.
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>
#include <set>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

struct RejectingFixture : EntryServiceFixture {
    explicit RejectingFixture(std::uint32_t maxAttempts = 2)
    {
        ServingConfig config = makeServingConfig();
        for (RouteConfig& route : config.routes)
            route.maxAttempts = maxAttempts;
        state.config = std::make_shared<const ServingIndex>(config);
        state.directory.put(makeUpstreamRecord("i-4", "10.0.0.4"), { 0, 3 }, now);
    }

    /// Rejects the request that was sent last, and lets pass the longest pause before the next offer.
    void reject()
    {
        HopResponse response;
        response.number = transport.sent.back().request.number;
        response.outcome = HopOutcome::NotRun;
        response.reason = HopReason::UpstreamShed;
        response.reachedUpstream = true;
        entry.onResponse(transport.sent.back().vm, response);
        advanceTime(50ms);
    }

    std::set<VmId> reachedVms() const
    {
        std::set<VmId> vms;
        for (const SentRequest& each : transport.sent)
            vms.insert(each.vm);
        return vms;
    }
};

} // namespace

TEST_CASE("a rejected request reaches no more upstreams than the operator allows, and these again until one "
          "takes it")
{
    for (const char* path : { "/read/1", "/order/1" }) {
        RejectingFixture fixture;
        fixture.begin(path);
        for (int offers = 1; offers <= 3; ++offers) {
            fixture.reject();
            REQUIRE(fixture.transport.sent.size() == static_cast<std::size_t>(offers) + 1);
            CHECK(fixture.transport.sent.back().request.repeatShare == 1);
        }
        CHECK(fixture.reachedVms().size() == 2);
        fixture.respond(HopOutcome::Responded, 200);
        REQUIRE(fixture.responses.size() == 1);
        CHECK(fixture.responses[0].head.status == 200);
    }
}

TEST_CASE("an upstream that rejected a request is offered it again only after a pause")
{
    RejectingFixture fixture(1);
    fixture.begin("/read/1");
    HopResponse response;
    response.number = fixture.transport.sent.back().request.number;
    response.outcome = HopOutcome::NotRun;
    response.reason = HopReason::UpstreamShed;
    response.reachedUpstream = true;
    fixture.entry.onResponse(fixture.transport.sent.back().vm, response);
    CHECK(fixture.transport.sent.size() == 1);
    fixture.advanceTime(50ms);
    CHECK(fixture.transport.sent.size() == 2);
    CHECK(fixture.reachedVms().size() == 1);
}

TEST_CASE("a caller's rejected request is refused as not run when its target latency has passed")
{
    RejectingFixture fixture;
    fixture.begin("/order/1");
    while (fixture.responses.empty() && fixture.transport.sent.size() < 100)
        fixture.reject();
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].head.status == 503);
    CHECK(fixture.transport.sent.size() <= 6);
}

TEST_CASE("a rejected request is not offered again when the retry budget is spent")
{
    RejectingFixture fixture;
    fixture.begin("/order/1");
    fixture.reject();
    fixture.respond(HopOutcome::NotRun, 0, HopReason::RetryBudgetSpent);
    fixture.advanceTime(50ms);
    CHECK(fixture.transport.sent.size() == 2);
    CHECK(fixture.responses.size() == 1);
}
