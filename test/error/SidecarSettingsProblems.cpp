// Invalid settings of a sidecar: all problems are reported at once, each with its path.
#include "protocol/SidecarSettings.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view validSettings = R"({"vm":"10.0.0.1","dataCentre":"a","service":"s",
    "upstreamAddress":"10.0.0.1:80","callerAddress":"10.0.0.1:81","readinessAddress":"10.0.0.1:82",
    "storeAddress":"10.0.0.2:83","peerPort":7000,"grace":"6s","drain":"2500ms","repeatRatio":0.2})";

bool hasProblemAt(const Problems& problems, std::string_view path)
{
    return std::ranges::any_of(problems, [&](const Problem& problem) { return problem.path == path; });
}

} // namespace

TEST_CASE("valid settings are read")
{
    const auto settings = parseSidecarSettings(validSettings);
    REQUIRE(settings);
    CHECK(settings->vm.text == "10.0.0.1");
    CHECK(settings->peerPort == 7000);
    CHECK(settings->grace == 6s);
    CHECK(settings->drain == 2500ms);
}

TEST_CASE("all problems are reported at once, with their paths")
{
    const auto settings = parseSidecarSettings(R"({"vm":"10.0.0.1","dataCentre":"a","service":"s",
        "upstreamAddress":"nowhere","callerAddress":"10.0.0.1:81","readinessAddress":"10.0.0.1:82",
        "storeAddress":"10.0.0.2:83","peerPort":70000,"grace":6000,"surprise":1})");
    REQUIRE_FALSE(settings);
    for (const char* path : { "/upstreamAddress", "/peerPort", "/grace", "/surprise" }) {
        CAPTURE(path);
        CHECK(hasProblemAt(settings.error(), path));
    }
}

TEST_CASE("settings that are no JSON, lack fields or can't be read from a file are rejected")
{
    CHECK_FALSE(parseSidecarSettings("vm = 1"));
    CHECK_FALSE(parseSidecarSettings("{}"));
    CHECK_FALSE(loadSidecarSettings("/nonexistent/settings.json"));
}
