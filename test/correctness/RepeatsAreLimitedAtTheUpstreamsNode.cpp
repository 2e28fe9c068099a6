// The node beside an upstream counts the arrivals there, and rejects repeats beyond the operator's limits.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

const RouteId route { "read" };
constexpr RetryLimits limits { 0.2, 10s, 50 };
constexpr Instant start { 100s };

ScriptedResponse respondOk(const HttpRequest& request) { return { sealedResponse(request) }; }

ScriptedResponse rejectAllButTheFirst(const HttpRequest& request)
{
    if (request.head.fields.find("X-Id") == "1")
        return respondOk(request);
    return { "HTTP/1.1 503 Full\r\nX-Id: " + std::string(request.head.fields.find("X-Id").value_or(""))
        + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" };
}

HopRequest makeRepeat(std::uint64_t number)
{
    HopRequest request = HopServiceFixture::makeRequest(number, true);
    request.repeatShare = 1;
    return request;
}

/// Returns how many repeats a budget allows after `firstAttempts` in each of the last 20 s.
int allowedRepeats(double firstAttemptsPerSecond, double repeatShare, double callsPerRun)
{
    RetryBudget budget(limits);
    for (int i = 0; i < 20 * static_cast<int>(firstAttemptsPerSecond); ++i)
        budget.recordFirstAttempt(route, repeatShare, start + fromSeconds(i / firstAttemptsPerSecond));
    int allowed = 0;
    while (allowed < 10000 && budget.takeRepeat(route, callsPerRun, start + 20s))
        ++allowed;
    return allowed;
}

} // namespace

TEST_CASE("a repeat beyond the budget is reported as not run and does not reach the upstream")
{
    HopServiceFixture fixture(respondOk);
    fixture.hop.request(fixture.origin, makeRepeat(1));
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses[0].outcome == HopOutcome::NotRun);
    CHECK(fixture.responses[0].reason == HopReason::RetryBudgetSpent);
    CHECK_FALSE(fixture.responses[0].reachedUpstream);
    CHECK(fixture.upstream.requests().empty());
}

TEST_CASE("first attempts allow repeats of the same service")
{
    HopServiceFixture fixture(respondOk);
    for (std::uint64_t number = 1; number <= 100; ++number)
        fixture.requestAndWait(number, true);
    fixture.hop.request(fixture.origin, makeRepeat(101));
    fixture.runUntil([&] { return fixture.responses.size() == 101; });
    CHECK(fixture.responses.back().outcome == HopOutcome::Responded);
    CHECK(fixture.state.counters.repeatArrivals == 1);
    CHECK(fixture.state.counters.firstArrivals == 100);
}

TEST_CASE("arrivals that the upstream rejects count toward the limits")
{
    HopServiceFixture fixture(rejectAllButTheFirst);
    for (std::uint64_t number = 1; number <= 40; ++number)
        fixture.requestAndWait(number, true);
    std::size_t sent = 40;
    for (std::uint64_t number = 41; number <= 80; ++number) {
        fixture.hop.request(fixture.origin, makeRepeat(number));
        ++sent;
        fixture.runUntil([&] { return fixture.responses.size() == sent; });
    }
    CHECK(fixture.upstream.requests().size() > 40);
    CHECK(fixture.upstream.requests().size() <= 48);
}

TEST_CASE("a steady load allows most of the operator's ratio, and less for routes with nested calls")
{
    const int leaf = allowedRepeats(100, 0, 0);
    const int nesting = allowedRepeats(100, 0, 10);
    CHECK(leaf <= 250);
    CHECK(leaf >= 100);
    CHECK(nesting < leaf);
    CHECK(nesting >= 60);
}

TEST_CASE(
    "when load has risen or fallen, repeats are allowed by the window in which the service has most requests")
{
    struct Case {
        Duration loadedFrom;
        Duration loadedUntil;
        double countedRequests; // by the operator, in the window that has least
    };
    for (const Case& each : { Case { 10s, 20s, 750 }, Case { 0s, 18s, 800 } }) {
        RetryBudget budget(limits);
        budget.setUpstreamCount(1000); // leaves out the extra retries
        for (Duration time = 0s; time < 20s; time += 100ms) {
            const bool isLoaded = time >= each.loadedFrom && time < each.loadedUntil;
            budget.recordServiceRequests(isLoaded ? 500 : 0, start + time);
            for (int i = 0; i < (isLoaded ? 10 : 0); ++i)
                budget.recordFirstAttempt(route, 0, start + time);
        }
        int allowed = 0;
        while (allowed < 10000 && budget.takeRepeat(route, 0, start + 20s))
            ++allowed;
        CHECK(allowed >= 0.8 * limits.ratio * each.countedRequests);
        CHECK(allowed <= limits.ratio * each.countedRequests);
    }
}

TEST_CASE("the more calls a run makes, the fewer of the extra retries are used for it")
{
    CHECK(allowedRepeats(1, 0, 1) >= allowedRepeats(1, 0, 20));
    CHECK(allowedRepeats(1, 0, 20) <= 3);
}

TEST_CASE("calls of repeated runs neither allow repeats nor leave the limit to others")
{
    CHECK(allowedRepeats(100, 1, 0) == 0);
    CHECK(allowedRepeats(100, 0.1, 1) < allowedRepeats(100, 0, 1));
}

TEST_CASE("a repeat that is returned can be taken again")
{
    RetryBudget budget(limits);
    for (int i = 0; i < 20; ++i)
        budget.recordFirstAttempt(route, 0, start);
    int allowed = 0;
    while (budget.takeRepeat(route, 0, start))
        ++allowed;
    REQUIRE(allowed > 0);
    budget.returnRepeat(route, start);
    CHECK(budget.takeRepeat(route, 0, start));
    CHECK_FALSE(budget.takeRepeat(route, 0, start));
}
