// Under overload of a service deep in the graph, entries refuse whole requests: those that are worth least
// for the slots they take there, and about as many as asked.
#include "coordination/EntryAdmission.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName deep { "deep" };
const DemandClass read { { "read" }, 2, 1, false };
const DemandClass order { { "order" }, 0, 1, false };
const DemandClass cheap { { "cheap" }, 2, 1, false };

/// Reads cost 8 calls of 30 ms at the deep service, orders 4, and cheap requests none.
CallCosts makeCosts()
{
    CallCosts costs({ "entry" });
    costs.updateReportedCost(read.route, { { deep, 0.24 } });
    costs.updateReportedCost(order.route, { { deep, 0.12 } });
    costs.updateReportedCost(cheap.route, { { { "other" }, 0.1 } });
    return costs;
}

/// Plays `seconds` of requests at `perSecond` each and returns the shares that were admitted.
std::map<DemandClass, double> play(EntryAdmission& admission, const CallCosts& costs, double shedShare,
    const std::map<DemandClass, int>& perSecond, int seconds)
{
    std::map<DemandClass, double> admitted;
    Instant now { 100s };
    for (int tick = 0; tick < seconds * 10; ++tick) {
        for (const auto& [demandClass, rate] : perSecond) {
            for (int i = 0; i < rate / 10; ++i)
                admitted[demandClass] += admission.admit(demandClass) ? 1.0 / (rate * seconds) : 0;
        }
        now += 100ms;
        admission.updateAdmittedShares({ { deep, shedShare } }, costs, now);
    }
    return admitted;
}

} // namespace

TEST_CASE("without pressure everything is admitted")
{
    EntryAdmission admission(1);
    const auto admitted = play(admission, makeCosts(), 0, { { read, 100 }, { order, 50 } }, 3);
    CHECK(admitted.at(read) > 0.99);
    CHECK(admitted.at(order) > 0.99);
}

TEST_CASE("orders are shed after reads, and requests that don't use the service not at all")
{
    EntryAdmission admission(1);
    const auto admitted
        = play(admission, makeCosts(), 0.4, { { read, 100 }, { order, 50 }, { cheap, 50 } }, 10);
    CHECK(admitted.at(read) < 0.65);
    CHECK(admitted.at(read) > 0.4);
    CHECK(admitted.at(order) > 0.95);
    CHECK(admitted.at(cheap) > 0.99);
}

TEST_CASE("an order of a less urgent team is shed after the reads of a more urgent one")
{
    const DemandClass urgentRead { { "read" }, 2, 0, false };
    const DemandClass lateOrder { { "order" }, 0, 1, false };
    EntryAdmission admission(1);
    const auto admitted = play(admission, makeCosts(), 0.3, { { urgentRead, 100 }, { lateOrder, 50 } }, 10);
    CHECK(admitted.at(lateOrder) > admitted.at(urgentRead));
}

TEST_CASE("no kind of request is starved")
{
    EntryAdmission admission(1);
    const auto admitted = play(admission, makeCosts(), 0.95, { { read, 100 }, { order, 50 } }, 10);
    const double all = (100 * admitted.at(read) + 50 * admitted.at(order)) / 150;
    CHECK(admitted.at(read) >= 0.25 * all); // the operators' measure of starving
    CHECK(admitted.at(order) > admitted.at(read));
}

TEST_CASE("what keeps reads from starving does not cost the orders")
{
    // Orders are a twentieth of the work; all of them fit beside a few reads.
    EntryAdmission admission(1);
    const auto admitted = play(admission, makeCosts(), 0.93, { { read, 500 }, { order, 50 } }, 20);
    CHECK(admitted.at(order) > 0.8);
}

TEST_CASE("routes whose costs are not known yet are shed as well")
{
    EntryAdmission admission(1);
    const CallCosts nothingKnown({ "entry" });
    const auto admitted = play(admission, nothingKnown, 0.5, { { read, 100 } }, 10);
    CHECK(admitted.at(read) < 0.7);
}

TEST_CASE("a caller that came back as advised goes before a new one of its kind")
{
    const DemandClass callerRetry { { "read" }, 2, 1, true };
    EntryAdmission admission(1);
    const auto admitted = play(admission, makeCosts(), 0.3, { { read, 100 }, { callerRetry, 50 } }, 10);
    CHECK(admitted.at(callerRetry) > admitted.at(read));
}
