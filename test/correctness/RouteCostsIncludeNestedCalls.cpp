// Entries learn what a request costs at services that only its calls reach, without knowing the graph.
#include "coordination/CallCosts.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName front { "front" };
const ServiceName deep { "deep" };
const RouteId read { "read" };
const RouteId order { "order" };
const RouteId leaf { "leaf" };

/// Runs `count` requests of a route with `calls` calls of the leaf each, one after the other.
void run(CallCosts& costs, const RouteId& route, int count, int calls, Duration serviceTime)
{
    for (int i = 0; i < count; ++i) {
        costs.begin(route);
        for (int call = 0; call < calls; ++call)
            costs.recordCall(leaf);
        costs.end(route, serviceTime, true);
    }
}

} // namespace

TEST_CASE("a route's costs contain those of its calls")
{
    CallCosts costs(front);
    costs.updateReportedCost(leaf, { { deep, 0.03 } });
    run(costs, read, 100, 8, 400ms);
    const CostVector vector = costs.localCost(read);
    CHECK(vector.at(front) == doctest::Approx(0.4));
    CHECK(vector.at(deep) == doctest::Approx(0.24));
}

TEST_CASE("calls are attributed to the routes that make them, also when several run at once")
{
    CallCosts costs(front);
    costs.updateReportedCost(leaf, { { deep, 0.03 } });
    for (int round = 0; round < 300; ++round) {
        costs.begin(read);
        costs.begin(order); // makes no calls
        for (int call = 0; call < 4; ++call)
            costs.recordCall(leaf);
        costs.end(order, 200ms, true);
        costs.end(read, 200ms, true);
        run(costs, order, 1, 0, 200ms);
        run(costs, read, 1, 4, 200ms);
        if (round % 10 == 0)
            costs.decay();
    }
    CHECK(costs.localCost(read)[deep] == doctest::Approx(0.12).epsilon(0.15));
    CHECK(costs.localCost(order)[deep] < 0.02);
}

TEST_CASE("a report without costs changes nothing, and a call that is no longer made fades")
{
    CallCosts costs(front);
    costs.updateReportedCost(read, { { deep, 0.2 }, { front, 0.1 } });
    costs.updateReportedCost(read, {});
    CHECK(costs.reportedCost(read).at(deep) == doctest::Approx(0.2));
    for (int i = 0; i < 30; ++i)
        costs.updateReportedCost(read, { { front, 0.1 } });
    CHECK(costs.reportedCost(read).at(deep) < 0.01);
}

TEST_CASE("a route that has not run here has no costs")
{
    CallCosts costs(front);
    CHECK(costs.localCost(read).empty());
    CHECK(costs.meanServiceTime(read, 7ms) == 7ms);
}
