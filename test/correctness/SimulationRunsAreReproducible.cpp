// Simulation runs: the seed determines the result, and admission by worth and the gate each improve it.
#include "lab/ScenarioParser.h"
#include "lab/SimulationRun.h"
#include "transport/Log.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

namespace {

LoadScenario makeScenario()
{
    Log::setLevel(Log::Level::Error);
    const auto scenario = parseScenario(
        "service front vms 2 slots 200 speeds 1\n"
        "service deep vms 2 slots 8 speeds 1\n"
        "kind read at front rate 200 work 20ms aim 500ms deadline 2s timeout 600ms priority 2 retries 1\n"
        "kind order at front rate 60 work 20ms aim 500ms deadline 2s worth 3 priority 0 retries 1 order\n"
        "kind part at deep work 20ms\n"
        "call read part times 4\n"
        "call order part times 1\n"
        "load 1 until 3s\n"
        "load 3 until 8s\n");
    REQUIRE(scenario);
    return *scenario;
}

} // namespace

TEST_CASE("the same seed gives the same result, and another seed a different one")
{
    const LoadScenario scenario = makeScenario();
    const SimulationResult first = runScenario(scenario, {}, 5);
    CHECK(first == runScenario(scenario, {}, 5));
    CHECK_FALSE(first == runScenario(scenario, {}, 6));
}

TEST_CASE("admission by worth serves 99 % of the most valuable requests when a nested service is overloaded")
{
    const LoadScenario scenario = makeScenario();
    const SimulationResult with = runScenario(scenario, {}, 5);
    const SimulationResult without = runScenario(scenario, { .withoutAdmission = true }, 5);
    CHECK(with.measures.at("served order") >= 0.99);
    CHECK(with.measures.at("worth") > without.measures.at("worth"));
    CHECK(with.measures.at("wasted") < without.measures.at("wasted"));
}

TEST_CASE("upstreams shed requests without the gate and none with the gate")
{
    const LoadScenario scenario = makeScenario();
    CHECK(runScenario(scenario, {}, 5).measures.at("upstream-sheds") == 0);
    CHECK(runScenario(scenario, { .withoutGate = true }, 5).measures.at("upstream-sheds") > 0);
}
