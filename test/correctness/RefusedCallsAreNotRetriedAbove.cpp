// A failure that comes from a refused nested call is retried at no level above it.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

ScriptedResponse respondWithError(const HttpRequest& request)
{
    return { "HTTP/1.1 500 Failed\r\nX-Id: " + std::string(request.head.fields.find("X-Id").value_or(""))
        + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n" };
}

HopResponse makeServerError(std::uint64_t number, bool hasRefusedCall)
{
    HopResponse response;
    response.number = number;
    response.outcome = HopOutcome::Responded;
    response.status = 500;
    response.reachedUpstream = true;
    response.hasRefusedCall = hasRefusedCall;
    return response;
}

} // namespace

TEST_CASE("a server error is retried, but not if a nested call was refused")
{
    for (const bool hasRefusedCall : { false, true }) {
        EntryServiceFixture fixture;
        fixture.begin("/read/1");
        const SentRequest first = fixture.transport.sent.back();
        fixture.entry.onResponse(first.vm, makeServerError(first.request.number, hasRefusedCall));
        CHECK(fixture.transport.sent.size() == (hasRefusedCall ? 1 : 2));
        CHECK(fixture.responses.size() == (hasRefusedCall ? 1 : 0));
    }
}

TEST_CASE("the node beside an upstream reports that a nested call of a failed run was refused")
{
    HopServiceFixture* running = nullptr;
    bool refuses = true;
    HopServiceFixture fixture([&](const HttpRequest& request) {
        const Instant now = running->state.now();
        running->state.runs.endCall(running->state.runs.startCall({ "leaf" }, now + 2s), refuses, now);
        return respondWithError(request);
    });
    running = &fixture;
    fixture.requestAndWait(1, true);
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].hasRefusedCall);
    refuses = false;
    fixture.requestAndWait(2, true);
    REQUIRE(fixture.responses.size() == 2);
    CHECK_FALSE(fixture.responses[1].hasRefusedCall);
}

TEST_CASE("a refused nested call marks the run that made it, also when the refusal is further below")
{
    EntryServiceFixture fixture;
    ServingConfig config = makeServingConfig();
    config.routes[0].isPublic = true;
    fixture.state.config = std::make_shared<const ServingIndex>(config);
    UpstreamRuns& runs = fixture.state.runs;
    const RunId other = runs.start({ { "other" }, fixture.now + 1400ms });
    for (const HopOutcome outcome : { HopOutcome::NotRun, HopOutcome::Responded }) {
        const RunId parent = runs.start({ { "parent" }, fixture.now + 1s });
        HttpRequest call = makeCallerRequest("/read/1", "1");
        call.head.fields.removeIf([](const HttpField& field) { return field.name == "Authorization"; });
        fixture.begin(call);
        const SentRequest sent = fixture.transport.sent.back();
        HopResponse response = makeServerError(sent.request.number, true);
        response.outcome = outcome;
        response.reason = HopReason::RetryBudgetSpent;
        fixture.entry.onResponse(sent.vm, response);
        CHECK(runs.end(parent, true, fixture.now)->hasRefusedCall);
    }
    CHECK_FALSE(runs.end(other, true, fixture.now)->hasRefusedCall);
}
