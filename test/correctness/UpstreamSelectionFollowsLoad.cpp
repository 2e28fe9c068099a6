// Which VM gets a request: news of loads, speeds, cold starts, failures, and the own data centre.
#include "coordination/UpstreamSelector.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr int picks = 2000;

KnownUpstream makeUpstream(const std::string& vm, const std::string& dataCentre = "a")
{
    return { { { "i-" + vm }, { "registry" }, { dataCentre }, vm + ":80", { vm }, 50, false,
                 Duration::zero() },
        1, start, std::nullopt, false };
}

UpstreamLoad makeLoad(std::uint32_t running, Duration meanServiceTime = 100ms)
{
    return { { running, 0, 48 }, 0, meanServiceTime, true };
}

/// The share of picks that fell to each VM.
std::map<VmId, double> shares(UpstreamSelector& selector, const std::vector<KnownUpstream>& upstreams)
{
    std::vector<const KnownUpstream*> candidates;
    candidates.reserve(upstreams.size());
    for (const KnownUpstream& upstream : upstreams)
        candidates.push_back(&upstream);
    std::map<VmId, double> shares;
    for (int i = 0; i < picks; ++i)
        shares[selector.select(candidates, {}, start + 1s)->record.vm] += 1.0 / picks;
    return shares;
}

} // namespace

TEST_CASE("equal upstreams share evenly")
{
    UpstreamSelector selector({ "a" }, 1);
    const auto parts = shares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(parts.at({ "1" }) == doctest::Approx(0.5).epsilon(0.1));
}

TEST_CASE("a faster upstream gets more, a full one hardly any")
{
    UpstreamSelector selector({ "a" }, 1);
    selector.observe({ "1" }, makeLoad(10, 50ms), start + 1s);
    selector.observe({ "2" }, makeLoad(10, 100ms), start + 1s);
    selector.observe({ "3" }, makeLoad(48, 50ms), start + 1s);
    auto parts = shares(selector, { makeUpstream("1"), makeUpstream("2"), makeUpstream("3") });
    CHECK(parts[{ "1" }] > 2 * parts[{ "2" }]);
    CHECK(parts[{ "3" }] < 0.15);
}

TEST_CASE("a cold upstream gets less but something")
{
    UpstreamSelector selector({ "a" }, 1);
    KnownUpstream cold = makeUpstream("2");
    cold.coldUntil = start + 5s;
    const auto parts = shares(selector, { makeUpstream("1"), cold });
    CHECK(parts.at({ "2" }) < 0.4);
    CHECK(parts.at({ "2" }) > 0.1);
}

TEST_CASE("an upstream that fails is avoided, and tried again after a while")
{
    UpstreamSelector selector({ "a" }, 1);
    for (int i = 0; i < 30; ++i) {
        selector.requestStarted({ "1" });
        selector.requestEnded({ "1" }, true, start + 1s);
    }
    auto parts = shares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(parts[{ "1" }] < 0.05);
    const KnownUpstream failing = makeUpstream("1");
    CHECK(selector.select({ &failing }, {}, start + 1s) == &failing); // the last one left
}

TEST_CASE("the own data centre is preferred, and a VM that was tried is not chosen again")
{
    UpstreamSelector selector({ "a" }, 1);
    const auto parts = shares(selector, { makeUpstream("1", "a"), makeUpstream("2", "b") });
    CHECK(parts.at({ "1" }) > 0.7);
    const KnownUpstream only = makeUpstream("1");
    CHECK(selector.select({ &only }, { { "1" } }, start) == nullptr);
}

TEST_CASE("a VM that accepts nothing is chosen only when there is no other")
{
    UpstreamSelector selector({ "a" }, 1);
    UpstreamLoad leaving = makeLoad(0);
    leaving.accepts = false;
    selector.observe({ "1" }, leaving, start + 1s);
    auto parts = shares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(parts[{ "1" }] < 0.01);
}

TEST_CASE("the shed share of a service is the mean of its upstreams, old news left out")
{
    UpstreamSelector selector({ "a" }, 1);
    UpstreamLoad load = makeLoad(48);
    load.shedShare = 0.4;
    selector.observe({ "1" }, load, start + 1s);
    const KnownUpstream one = makeUpstream("1");
    const KnownUpstream two = makeUpstream("2");
    CHECK(selector.shedShare({ &one, &two }, start + 1s) == doctest::Approx(0.4));
    CHECK(selector.shedShare({ &one, &two }, start + 60s) == 0);
}
