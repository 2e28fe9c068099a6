// Faults in scenario files are told with their line and column.
#include "lab/ScenarioParser.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

namespace {

ScenarioError faultOf(const std::string& text)
{
    const auto scenario = parseScenario(text);
    REQUIRE_FALSE(scenario);
    return scenario.error();
}

const std::string service = "service a vms 1 slots 10 speeds 1\n";

} // namespace

TEST_CASE("an unknown statement")
{
    const ScenarioError fault = faultOf(service + "sevice b vms 1 slots 1 speeds 1\n");
    CHECK(fault.line == 2);
    CHECK(fault.message.find("sevice") != std::string::npos);
}

TEST_CASE("a word in place of a number")
{
    const ScenarioError fault = faultOf("service a vms many slots 10 speeds 1\n");
    CHECK(fault.line == 1);
    CHECK(fault.column == 15);
}

TEST_CASE("a kind of a service that is not described")
{
    CHECK(faultOf(service + "kind k at b rate 1\n").line == 2);
}

TEST_CASE("phases in the wrong order")
{
    CHECK(faultOf(service + "kind k at a rate 1\nload 1 until 5s\nload 2 until 3s\n").line == 4);
}

TEST_CASE("characters that are no words") { CHECK(faultOf(service + "kind k at a rate 1 ;\n").line == 2); }

TEST_CASE("a scenario without a load") { CHECK_FALSE(parseScenario(service)); }

TEST_CASE("a file that can't be read") { CHECK_FALSE(loadScenario("no/such/file.scn")); }
