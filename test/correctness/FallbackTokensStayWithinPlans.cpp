// What all entry nodes together grant of a team's plan while its owner can't be reached.
#include "coordination/FallbackTokens.h"
#include "coordination/PlanShare.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const TeamId team { "team" };

/// Each node asks for a token every 20 ms.
unsigned grantedByAll(std::vector<FallbackTokens>& nodes, const TeamPlan& plan, Instant from, Duration time)
{
    unsigned granted = 0;
    const double share = entryNodePlanShare(nodes.size());
    for (Duration passed = Duration::zero(); passed < time; passed += 20ms) {
        for (FallbackTokens& node : nodes)
            granted += node.take(team, plan, share, from + passed).tokens;
    }
    return granted;
}

std::vector<FallbackTokens> makeNodes(std::size_t count, std::uint64_t seed)
{
    std::vector<FallbackTokens> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.emplace_back(seed * 1'000'000 + i);
    return nodes;
}

} // namespace

TEST_CASE("nodes without the owner of a small plan stay within it, however many they are")
{
    const TeamPlan plan { 2, 2 };
    constexpr double allowed = (2 * 5 + 2) * 1.25 + 20;
    for (const std::size_t count : { 18U, 60U, 300U, 1100U }) {
        CAPTURE(count);
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::vector<FallbackTokens> nodes = makeNodes(count, seed);
            CHECK(grantedByAll(nodes, plan, start, 5s) <= allowed);
            // The share of each has filled up again.
            CHECK(grantedByAll(nodes, plan, start + 10min, 5s) <= allowed);
        }
    }
}

TEST_CASE("nodes without the owner of a plan grant about half of its rate")
{
    const TeamPlan plan { 200, 100 };
    for (const std::size_t count : { 6U, 60U, 600U }) {
        CAPTURE(count);
        std::vector<FallbackTokens> nodes = makeNodes(count, 7);
        const unsigned granted = grantedByAll(nodes, plan, start, 10s);
        CHECK(granted >= 850);
        CHECK(granted <= 1200);
    }
}

TEST_CASE("a node whose share is a whole request grants the first one")
{
    const TeamPlan plan { 50, 50 };
    for (FallbackTokens& node : makeNodes(18, 3))
        CHECK(node.take(team, plan, entryNodePlanShare(18), start).tokens == 1);
}

TEST_CASE("a plan without a rate has no limit, also without an owner")
{
    FallbackTokens tokens(1);
    CHECK(tokens.take(team, {}, 0.01, start).tokens == 1);
}
