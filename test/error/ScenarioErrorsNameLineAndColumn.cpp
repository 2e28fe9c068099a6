// Errors in scenario files are reported with their line and column.
#include "lab/ScenarioParser.h"

#include <doctest/doctest.h>

using namespace Ebonystack;

namespace {

ScenarioError parseError(const std::string& text)
{
    const auto scenario = parseScenario(text);
    REQUIRE_FALSE(scenario);
    return scenario.error();
}

const std::string service = "service a vms 1 slots 10 speeds 1\n";

} // namespace

TEST_CASE("an unknown statement is named with its line")
{
    const ScenarioError scenarioError = parseError(service + "sevice b vms 1 slots 1 speeds 1\n");
    CHECK(scenarioError.line == 2);
    CHECK(scenarioError.message.find("sevice") != std::string::npos);
}

TEST_CASE("a word in place of a number is reported with its line and column")
{
    const ScenarioError scenarioError = parseError("service a vms many slots 10 speeds 1\n");
    CHECK(scenarioError.line == 1);
    CHECK(scenarioError.column == 15);
}

TEST_CASE("a kind of an undeclared service is reported with its line")
{
    CHECK(parseError(service + "kind k at b rate 1\n").line == 2);
}

TEST_CASE("a load phase that ends before the one above it is reported with its line")
{
    CHECK(parseError(service + "kind k at a rate 1\nload 1 until 5s\nload 2 until 3s\n").line == 4);
}

TEST_CASE("an unexpected character is reported with its line")
{
    CHECK(parseError(service + "kind k at a rate 1 ;\n").line == 2);
}

TEST_CASE("a scenario without a load is rejected") { CHECK_FALSE(parseScenario(service)); }

TEST_CASE("a scenario file that can't be read is an error") { CHECK_FALSE(loadScenario("no/such/file.scn")); }
