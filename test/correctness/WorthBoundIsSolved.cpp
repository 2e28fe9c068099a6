// The upper bound on the share of the requested worth that any admission control could deliver.
#include "lab/ScenarioParser.h"
#include "lab/WorthBound.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

TEST_CASE("the linear program solver finds the vertex with the highest gain")
{
    // 3x + 2y with x + y <= 4 and x + 3y <= 6 and x <= 3: at x = 3, y = 1.
    const auto solution = solveLinearProgram({ 3, 2 }, { { 1, 1 }, { 1, 3 }, { 1, 0 } }, { 4, 6, 3 });
    CHECK(solution.at(0) == doctest::Approx(3));
    CHECK(solution.at(1) == doctest::Approx(1));
}

TEST_CASE("the bound is 1 up to the capacity, and above it the requests of the lowest worth are dropped")
{
    const auto scenario = parseScenario("service a vms 2 slots 10 speeds 1\n"
                                        "kind cheap at a rate 100 work 50ms worth 1\n"
                                        "kind dear at a rate 100 work 50ms worth 3\n"
                                        "load 1 until 1s\n");
    REQUIRE(scenario);
    CHECK(worthBound(*scenario, 1) == doctest::Approx(1)); // 10 of 20 slots
    CHECK(worthBound(*scenario, 2) == doctest::Approx(1)); // all 20 slots
    CHECK(worthBound(*scenario, 4) == doctest::Approx(0.75)); // requests of worth 3 fill the slots
}

TEST_CASE("a request holds its slot during its nested calls")
{
    const auto scenario = parseScenario("service a vms 1 slots 10 speeds 1\n"
                                        "service b vms 1 slots 100 speeds 1\n"
                                        "kind root at a rate 100 work 50ms\n"
                                        "kind leaf at b work 50ms\n"
                                        "call root leaf times 3\n"
                                        "load 1 until 1s\n");
    REQUIRE(scenario);
    CHECK(worthBound(*scenario, 1) == doctest::Approx(0.5)); // 10 slots, 200 ms each: 50 a second
}

TEST_CASE("the operator's limit on retries bounds the calls that rejecting upstreams accept")
{
    const auto scenario = parseScenario("service a vms 1 slots 100 speeds 1\n"
                                        "service b vms 1 slots 100 speeds 1\n"
                                        "kind root at a rate 100 work 50ms\n"
                                        "kind leaf at b work 5ms\n"
                                        "call root leaf times 4\n"
                                        "reject b share 1 factor 0.5 from 5s until 25s\n"
                                        "load 1 until 30s\n");
    REQUIRE(scenario);
    CHECK(rejectionBoundsAt(*scenario, std::chrono::seconds(4)).empty());
    const RejectionBounds bounds = rejectionBoundsAt(*scenario, std::chrono::seconds(5));
    REQUIRE(bounds.size() == 1);
    // 0.2 of 400 requests a second, and 50 in 10 s; a tree needs four.
    CHECK(bounds.begin()->second.repeatsPerSecond == doctest::Approx(85));
    CHECK(worthBound(*scenario, 1, bounds) == doctest::Approx(85.0 / 400));
}
