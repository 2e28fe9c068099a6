// Plans of teams: buckets at the team's home, tokens granted ahead, and the share of an entry without a home.
#include "coordination/PlanOwners.h"
#include "coordination/TokenBuckets.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const TeamId team { "team" };
constexpr TeamPlan plan { 100, 100 };

/// Takes single tokens as fast as possible and returns how many were granted.
std::uint32_t drain(TokenBuckets& buckets, Duration time)
{
    std::uint32_t granted = 0;
    for (Duration passed = Duration::zero(); passed < time; passed += 1ms)
        granted += buckets.take(team, plan, 1, start + passed).tokens;
    return granted;
}

} // namespace

TEST_CASE("a bucket never grants more than its rate and burst")
{
    TokenBuckets buckets(1);
    const std::uint32_t granted = drain(buckets, 5s);
    CHECK(granted <= 600);
    CHECK(granted >= 500);
}

TEST_CASE("an empty bucket says when there is a token again")
{
    TokenBuckets buckets(1);
    drain(buckets, 2s);
    const TokenGrant refused = buckets.take(team, plan, 1, start + 2s);
    const TokenGrant granted = buckets.take(team, plan, 1, start + 2s + 10ms + refused.retryAfter);
    CHECK(granted.tokens == 1);
}

TEST_CASE("one grant ahead does not empty the bucket for the other entries")
{
    TokenBuckets buckets(1);
    CHECK(buckets.take(team, plan, 1000, start).tokens <= 25);
}

TEST_CASE("a plan without a rate has no limit")
{
    TokenBuckets buckets(1);
    CHECK(buckets.take(team, TeamPlan {}, 7, start).tokens == 7);
}

TEST_CASE("entries without a home stay within the plan together")
{
    constexpr int entries = 18;
    std::uint32_t granted = 0;
    for (int entry = 0; entry < entries; ++entry) {
        TokenBuckets buckets(0.5 / entries);
        granted += drain(buckets, 5s);
    }
    CHECK(granted <= 600);
}

TEST_CASE("three homes after each other stay within the rate and burst of one")
{
    std::uint32_t granted = 0;
    for (int home = 0; home < 3; ++home) {
        TokenBuckets buckets(1);
        granted += drain(buckets, 1667ms);
    }
    CHECK(granted <= 600);
}

TEST_CASE("granted tokens are void after a while")
{
    TokenCache stash;
    stash.add(team, 2, start);
    CHECK(stash.use(team, start + 100ms));
    CHECK_FALSE(stash.use(team, start + 2s));
}

TEST_CASE("a busy entry asks for more tokens at once than an idle one")
{
    TokenCache stash;
    CHECK(stash.requestSize(team) == 1);
    for (int i = 0; i < 500; ++i)
        stash.use(team, start + i * 10ms);
    CHECK(stash.requestSize(team) > 5);
}

TEST_CASE("a team's home is the same for every node, and the loss of another VM does not move it")
{
    std::vector<VmId> vms;
    for (int i = 1; i <= 10; ++i)
        vms.push_back({ "10.0.0." + std::to_string(i) });
    const auto home = planOwner(team, vms);
    REQUIRE(home);
    for (const VmId& lost : vms) {
        if (lost == *home)
            continue;
        std::vector<VmId> others = vms;
        std::erase(others, lost);
        CHECK(planOwner(team, others) == home);
    }
    CHECK_FALSE(planOwner(team, {}));
}

TEST_CASE("a remembered home follows the directory")
{
    UpstreamDirectory directory;
    PlanOwners homes(directory);
    CHECK_FALSE(homes.of(team));
    UpstreamRecord record;
    for (int vm = 1; vm <= 20; ++vm) {
        record.vm = { "10.0.0." + std::to_string(vm) };
        record.instance = { "i-" + std::to_string(vm) };
        record.address = record.vm.text + ":80";
        directory.put(record, static_cast<std::uint64_t>(vm), start);
        CHECK(homes.of(team) == planOwner(team, directory.publishedVms()));
    }
    const auto before = homes.of(team);
    REQUIRE(before);
    directory.remove({ "i-" + before->text.substr(7) }, start + 1s);
    CHECK(homes.of(team) != before); // its entry is not published, though it may come back
    CHECK(homes.of(team) == planOwner(team, directory.publishedVms()));
}
