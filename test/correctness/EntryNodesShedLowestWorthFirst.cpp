// Under overload of a service deep in the call graph, entry nodes refuse whole requests: those with the
// lowest worth for the slots they take there, and about the share that the service asks to shed.
#include "coordination/EntryAdmission.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName deep { "deep" };
const DemandClass readClass { { "read" }, 2, 1, false };
const DemandClass order { { "order" }, 0, 1, false };
const DemandClass cheap { { "cheap" }, 2, 1, false };

/// A request of `read` costs 8 calls of 30 ms at the deep service, one of `order` 4, and one of `cheap` none.
CallCosts makeCosts()
{
    CallCosts costs({ "entry" });
    costs.updateReportedCost(readClass.route, { { deep, 0.24 } });
    costs.updateReportedCost(order.route, { { deep, 0.12 } });
    costs.updateReportedCost(cheap.route, { { { "other" }, 0.1 } });
    return costs;
}

/// Simulates `seconds` of requests, of each class at its rate, and returns the share of each that was
/// admitted.
std::map<DemandClass, double> runDemand(EntryAdmission& admission, const CallCosts& costs, double shedShare,
    const std::map<DemandClass, int>& requestsPerSecond, int seconds)
{
    std::map<DemandClass, double> admitted;
    Instant now { 100s };
    for (int tick = 0; tick < seconds * 10; ++tick) {
        for (const auto& [demandClass, rate] : requestsPerSecond) {
            for (int i = 0; i < rate / 10; ++i)
                admitted[demandClass] += admission.admit(demandClass) ? 1.0 / (rate * seconds) : 0;
        }
        now += 100ms;
        admission.updateAdmittedShares({ { deep, shedShare } }, costs, now);
    }
    return admitted;
}

} // namespace

TEST_CASE("without overload all requests are admitted")
{
    EntryAdmission admission(1);
    const auto admitted = runDemand(admission, makeCosts(), 0, { { readClass, 100 }, { order, 50 } }, 3);
    CHECK(admitted.at(readClass) > 0.99);
    CHECK(admitted.at(order) > 0.99);
}

TEST_CASE("requests of lower priority are shed first, and those that don't use the service not at all")
{
    EntryAdmission admission(1);
    const auto admitted
        = runDemand(admission, makeCosts(), 0.4, { { readClass, 100 }, { order, 50 }, { cheap, 50 } }, 10);
    CHECK(admitted.at(readClass) < 0.65);
    CHECK(admitted.at(readClass) > 0.4);
    CHECK(admitted.at(order) > 0.95);
    CHECK(admitted.at(cheap) > 0.99);
}

TEST_CASE("the priority of the route counts more than that of the team")
{
    const DemandClass highPriorityTeamRead { { "read" }, 2, 0, false };
    const DemandClass lowPriorityTeamOrder { { "order" }, 0, 1, false };
    EntryAdmission admission(1);
    const auto admitted = runDemand(
        admission, makeCosts(), 0.3, { { highPriorityTeamRead, 100 }, { lowPriorityTeamOrder, 50 } }, 10);
    CHECK(admitted.at(lowPriorityTeamOrder) > admitted.at(highPriorityTeamRead));
}

TEST_CASE("no class of requests is starved")
{
    EntryAdmission admission(1);
    const auto admitted = runDemand(admission, makeCosts(), 0.95, { { readClass, 100 }, { order, 50 } }, 10);
    const double meanShare = (100 * admitted.at(readClass) + 50 * admitted.at(order)) / 150;
    // The operators call a class of requests starved below a quarter of the mean.
    CHECK(admitted.at(readClass) >= 0.25 * meanShare);
    CHECK(admitted.at(order) > admitted.at(readClass));
}

TEST_CASE("the share that low-priority requests keep does not displace high-priority ones")
{
    // Requests of `order` are a twentieth of the work; all of them fit beside a few of `read`.
    EntryAdmission admission(1);
    const auto admitted = runDemand(admission, makeCosts(), 0.93, { { readClass, 500 }, { order, 50 } }, 20);
    CHECK(admitted.at(order) > 0.8);
}

TEST_CASE("requests of routes with unknown costs are shed, too")
{
    EntryAdmission admission(1);
    const CallCosts unknownCosts({ "entry" });
    const auto admitted = runDemand(admission, unknownCosts, 0.5, { { readClass, 100 } }, 10);
    CHECK(admitted.at(readClass) < 0.7);
}

TEST_CASE("a caller retry is shed less than a first request of the same class")
{
    const DemandClass callerRetry { { "read" }, 2, 1, true };
    EntryAdmission admission(1);
    const auto admitted
        = runDemand(admission, makeCosts(), 0.3, { { readClass, 100 }, { callerRetry, 50 } }, 10);
    CHECK(admitted.at(callerRetry) > admitted.at(readClass));
}
