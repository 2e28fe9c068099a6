// Tables about other VMs and processes in a node that runs for months, while these come and go.
#include "coordination/DroppedRecords.h"
#include "coordination/StoreReachability.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

HopOrigin process(std::uint64_t incarnation) { return { { "10.0.0.2" }, incarnation }; }

} // namespace

TEST_CASE("a process whose dropped requests are forgotten is not told that one of them has not run")
{
    constexpr std::uint64_t processes = 3 * DroppedRecords::maxProcesses;
    DroppedRecords dropped;
    dropped.add(process(1), 500);
    for (std::uint64_t i = 2; i <= processes; ++i)
        dropped.add(process(i), 10);
    CHECK(dropped.size() <= DroppedRecords::maxProcesses);
    CHECK(dropped.mayInclude(process(1), 500));
    CHECK_FALSE(dropped.mayInclude(process(1), 501));
    CHECK(dropped.mayInclude(process(processes), 10));
    dropped.add(process(1), 400); // has had a later deadline than number 500
    CHECK(dropped.mayInclude(process(1), 500));
}

TEST_CASE("a process whose dropped requests are known learns of later ones that they have not run")
{
    DroppedRecords dropped;
    CHECK_FALSE(dropped.mayInclude(process(1), 1));
    dropped.add(process(1), 9);
    dropped.add(process(1), 7);
    CHECK(dropped.mayInclude(process(1), 9));
    CHECK_FALSE(dropped.mayInclude(process(1), 10));
    CHECK_FALSE(dropped.mayInclude(process(2), 1));
}

TEST_CASE("reports of VMs that are long gone are forgotten, and the others are kept")
{
    StoreReachability reachability;
    Instant now { 100s };
    const VmId steady { "10.1.0.0" };
    for (int i = 0; i < 20'000; ++i) {
        now += 1s;
        reachability.report(steady, false, now);
        reachability.report({ "10.2.0." + std::to_string(i) }, true, now);
    }
    CHECK(reachability.size() < 1'000);
    CHECK(reachability.stateOf(steady, now) == StoreReachabilityState::Unreachable);
}
