// Which VM gets a request, by reported load, speed, cold start, failures and data centre.
#include "coordination/UpstreamSelector.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr int selections = 2000;

KnownUpstream makeUpstream(const std::string& vm, const std::string& dataCentre = "a")
{
    return { { { "i-" + vm }, { "registry" }, { dataCentre }, vm + ":80", { vm }, 50, false,
                 Duration::zero() },
        { 0, 1 }, start, std::nullopt, false };
}

UpstreamLoad makeLoad(std::uint32_t running, Duration meanServiceTime = 100ms)
{
    return { { running, 0, 48 }, 0, meanServiceTime, true };
}

/// The share of selections that each VM got.
std::map<VmId, double> selectionShares(
    UpstreamSelector& selector, const std::vector<KnownUpstream>& upstreams)
{
    std::vector<const KnownUpstream*> candidates;
    candidates.reserve(upstreams.size());
    for (const KnownUpstream& upstream : upstreams)
        candidates.push_back(&upstream);
    std::map<VmId, double> shares;
    for (int i = 0; i < selections; ++i)
        shares[selector.select(candidates, {}, start + 1s)->record.vm] += 1.0 / selections;
    return shares;
}

} // namespace

TEST_CASE("equal upstreams are selected equally often")
{
    UpstreamSelector selector({ "a" }, 1);
    const auto shares = selectionShares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(shares.at({ "1" }) == doctest::Approx(0.5).epsilon(0.1));
}

TEST_CASE("a faster upstream gets more requests, a full one few")
{
    UpstreamSelector selector({ "a" }, 1);
    selector.recordLoadReport({ "1" }, makeLoad(10, 50ms), start + 1s);
    selector.recordLoadReport({ "2" }, makeLoad(10, 100ms), start + 1s);
    selector.recordLoadReport({ "3" }, makeLoad(48, 50ms), start + 1s);
    auto shares = selectionShares(selector, { makeUpstream("1"), makeUpstream("2"), makeUpstream("3") });
    CHECK(shares[{ "1" }] > 2 * shares[{ "2" }]);
    CHECK(shares[{ "3" }] < 0.15);
}

TEST_CASE("a cold upstream gets fewer requests, but some")
{
    UpstreamSelector selector({ "a" }, 1);
    KnownUpstream cold = makeUpstream("2");
    cold.coldUntil = start + 5s;
    const auto shares = selectionShares(selector, { makeUpstream("1"), cold });
    CHECK(shares.at({ "2" }) < 0.4);
    CHECK(shares.at({ "2" }) > 0.1);
}

TEST_CASE("an upstream that fails is rarely selected, unless it is the only one")
{
    UpstreamSelector selector({ "a" }, 1);
    for (int i = 0; i < 30; ++i) {
        selector.requestStarted({ "1" });
        selector.requestEnded({ "1" }, true, start + 1s);
    }
    auto shares = selectionShares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(shares[{ "1" }] < 0.05);
    const KnownUpstream failing = makeUpstream("1");
    CHECK(selector.select({ &failing }, {}, start + 1s) == &failing); // the only candidate
}

TEST_CASE("the local data centre is preferred, and a VM that was tried is not selected again")
{
    UpstreamSelector selector({ "a" }, 1);
    const auto shares = selectionShares(selector, { makeUpstream("1", "a"), makeUpstream("2", "b") });
    CHECK(shares.at({ "1" }) > 0.7);
    const KnownUpstream only = makeUpstream("1");
    CHECK(selector.select({ &only }, { { "1" } }, start) == nullptr);
}

TEST_CASE("a VM that accepts no requests is hardly ever selected while there is another")
{
    UpstreamSelector selector({ "a" }, 1);
    UpstreamLoad notAccepting = makeLoad(0);
    notAccepting.acceptsRequests = false;
    selector.recordLoadReport({ "1" }, notAccepting, start + 1s);
    auto shares = selectionShares(selector, { makeUpstream("1"), makeUpstream("2") });
    CHECK(shares[{ "1" }] < 0.01);
}

TEST_CASE("the shed share of a service is the mean of its upstreams' recent reports")
{
    UpstreamSelector selector({ "a" }, 1);
    UpstreamLoad load = makeLoad(48);
    load.shedShare = 0.4;
    selector.recordLoadReport({ "1" }, load, start + 1s);
    const KnownUpstream one = makeUpstream("1");
    const KnownUpstream two = makeUpstream("2");
    CHECK(selector.shedShare({ &one, &two }, start + 1s) == doctest::Approx(0.4));
    CHECK(selector.shedShare({ &one, &two }, start + 60s) == 0);
}
