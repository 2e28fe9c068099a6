// Entry nodes learn what a request costs at services that only its nested calls reach, without knowing the
// call graph.
#include "coordination/CallCosts.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName front { "front" };
const ServiceName deep { "deep" };
const RouteId readRoute { "read" };
const RouteId order { "order" };
const RouteId leaf { "leaf" };

/// Runs `count` requests of a route one after the other, each with `callsPerRequest` calls of `leaf`.
void runRequests(CallCosts& costs, const RouteId& route, int count, int callsPerRequest, Duration serviceTime)
{
    for (int i = 0; i < count; ++i) {
        costs.requestStarted(route);
        for (int call = 0; call < callsPerRequest; ++call)
            costs.recordCall(leaf);
        costs.requestEnded(route, serviceTime, true);
    }
}

} // namespace

TEST_CASE("the costs of a route include those of its nested calls")
{
    CallCosts costs(front);
    costs.updateReportedCost(leaf, { { deep, 0.03 } });
    runRequests(costs, readRoute, 100, 8, 400ms);
    const CostVector costVector = costs.localCost(readRoute);
    CHECK(costVector.at(front) == doctest::Approx(0.4));
    CHECK(costVector.at(deep) == doctest::Approx(0.24));
}

TEST_CASE("nested calls are attributed to the routes that make them, also when several routes run at once")
{
    CallCosts costs(front);
    costs.updateReportedCost(leaf, { { deep, 0.03 } });
    for (int round = 0; round < 300; ++round) {
        costs.requestStarted(readRoute);
        costs.requestStarted(order); // makes no calls
        for (int call = 0; call < 4; ++call)
            costs.recordCall(leaf);
        costs.requestEnded(order, 200ms, true);
        costs.requestEnded(readRoute, 200ms, true);
        runRequests(costs, order, 1, 0, 200ms);
        runRequests(costs, readRoute, 1, 4, 200ms);
        if (round % 10 == 0)
            costs.decay();
    }
    CHECK(costs.localCost(readRoute)[deep] == doctest::Approx(0.12).epsilon(0.15));
    CHECK(costs.localCost(order)[deep] < 0.02);
}

TEST_CASE("a report without costs changes nothing, and the cost of a call that is no longer made decays")
{
    CallCosts costs(front);
    costs.updateReportedCost(readRoute, { { deep, 0.2 }, { front, 0.1 } });
    costs.updateReportedCost(readRoute, {});
    CHECK(costs.reportedCost(readRoute).at(deep) == doctest::Approx(0.2));
    for (int i = 0; i < 30; ++i)
        costs.updateReportedCost(readRoute, { { front, 0.1 } });
    CHECK(costs.reportedCost(readRoute).at(deep) < 0.01);
}

TEST_CASE("a route that has not run on this node has no costs and the default service time")
{
    CallCosts costs(front);
    CHECK(costs.localCost(readRoute).empty());
    CHECK(costs.meanServiceTime(readRoute, 7ms) == 7ms);
}

TEST_CASE("a nested call is a repeat with the share of repeated runs among those that can have made it")
{
    CallCosts costs(front);
    CHECK(costs.recordCall(leaf) == 0);
    costs.requestStarted(readRoute, 1);
    costs.requestStarted(readRoute, 0);
    costs.requestStarted(readRoute, 0.5);
    CHECK(costs.recordCall(leaf) == doctest::Approx(0.5));
    costs.requestEnded(readRoute, 200ms, true, 1);
    CHECK(costs.recordCall(leaf) == doctest::Approx(0.25));
}
