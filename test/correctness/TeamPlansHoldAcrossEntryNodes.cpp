// Plans of teams: token buckets at a plan's owner, tokens granted in advance, and the share of an entry node
// that can't reach the owner.
#include "coordination/PlanOwners.h"
#include "coordination/TokenBuckets.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const TeamId team { "team" };
constexpr TeamPlan plan { 100, 100 };

/// Requests one token every millisecond and returns how many were granted.
std::uint32_t takeEveryMillisecond(TokenBuckets& buckets, Duration time)
{
    std::uint32_t granted = 0;
    for (Duration passed = Duration::zero(); passed < time; passed += 1ms)
        granted += buckets.take(team, plan, 1, start + passed).tokens;
    return granted;
}

} // namespace

TEST_CASE("a bucket never grants more than its rate and burst, and no less than its rate")
{
    TokenBuckets buckets(1);
    const std::uint32_t granted = takeEveryMillisecond(buckets, 5s);
    CHECK(granted <= 600);
    CHECK(granted >= 500);
}

TEST_CASE("an empty bucket returns the time until a token is available")
{
    TokenBuckets buckets(1);
    takeEveryMillisecond(buckets, 2s);
    const TokenGrant refused = buckets.take(team, plan, 1, start + 2s);
    const TokenGrant granted = buckets.take(team, plan, 1, start + 2s + 10ms + refused.retryAfter);
    CHECK(granted.tokens == 1);
}

TEST_CASE("one grant in advance does not empty the bucket for the other entry nodes")
{
    TokenBuckets buckets(1);
    CHECK(buckets.take(team, plan, 1000, start).tokens <= 25);
}

TEST_CASE("a plan without a rate has no limit")
{
    TokenBuckets buckets(1);
    CHECK(buckets.take(team, TeamPlan {}, 7, start).tokens == 7);
}

TEST_CASE("entry nodes that can't reach the owner stay within the plan together")
{
    constexpr int entryNodes = 18;
    std::uint32_t granted = 0;
    for (int entryNode = 0; entryNode < entryNodes; ++entryNode) {
        TokenBuckets buckets(0.5 / entryNodes);
        granted += takeEveryMillisecond(buckets, 5s);
    }
    CHECK(granted <= 600);
}

TEST_CASE("three successive owners stay within the rate and burst of one")
{
    std::uint32_t granted = 0;
    for (int owner = 0; owner < 3; ++owner) {
        TokenBuckets buckets(1);
        granted += takeEveryMillisecond(buckets, 1667ms);
    }
    CHECK(granted <= 600);
}

TEST_CASE("owners that change while records return stay within the plan and its overshoot")
{
    // Each has owned the plan before, and its bucket has filled up since.
    constexpr std::size_t ownerCount = 5;
    std::vector<TokenBuckets> owners(ownerCount, TokenBuckets(1));
    for (TokenBuckets& owner : owners)
        owner.take(team, plan, 1, start - 60s);
    std::uint32_t granted = 0;
    for (Duration passed = Duration::zero(); passed < 5s; passed += 1ms) {
        const auto current = std::min<std::size_t>(passed / 200ms, ownerCount) % ownerCount;
        for (std::size_t i = 0; i < ownerCount; ++i)
            owners[i].limitUnowned([&](const TeamId&) { return i == current; }, start + passed);
        granted += owners[current].take(team, plan, 1, start + passed).tokens;
    }
    CHECK(granted <= 750); // the operator allows 25 % beyond rate and burst
    CHECK(granted >= 500);
}

TEST_CASE("granted tokens expire when they are not used")
{
    TokenCache cache;
    cache.add(team, 2, start);
    CHECK(cache.use(team, start + 100ms));
    CHECK_FALSE(cache.use(team, start + 2s));
}

TEST_CASE("a busy entry node requests more tokens at once than an idle one")
{
    TokenCache cache;
    CHECK(cache.tokensToRequest(team) == 1);
    for (int i = 0; i < 500; ++i)
        cache.use(team, start + i * 10ms);
    CHECK(cache.tokensToRequest(team) > 5);
}

TEST_CASE("the owner of a plan stays the same when another VM is lost")
{
    std::vector<VmId> vms;
    for (int i = 1; i <= 10; ++i)
        vms.push_back({ "10.0.0." + std::to_string(i) });
    const auto owner = planOwner(team, vms);
    REQUIRE(owner);
    for (const VmId& lost : vms) {
        if (lost == *owner)
            continue;
        std::vector<VmId> others = vms;
        std::erase(others, lost);
        CHECK(planOwner(team, others) == owner);
    }
    CHECK_FALSE(planOwner(team, {}));
}

TEST_CASE("the cached owner of a plan follows the directory")
{
    UpstreamDirectory directory;
    PlanOwners owners(directory);
    CHECK_FALSE(owners.ownerOf(team));
    UpstreamRecord record;
    for (int vm = 1; vm <= 20; ++vm) {
        record.vm = { "10.0.0." + std::to_string(vm) };
        record.instance = { "i-" + std::to_string(vm) };
        record.address = record.vm.text + ":80";
        directory.put(record, { 0, static_cast<std::uint64_t>(vm) }, start);
        CHECK(owners.ownerOf(team) == planOwner(team, directory.publishedVms()));
    }
    const auto before = owners.ownerOf(team);
    REQUIRE(before);
    directory.remove({ "i-" + before->text.substr(7) }, start + 1s, start);
    CHECK(owners.ownerOf(team) != before); // its record is not published, but may be written again
    CHECK(owners.ownerOf(team) == planOwner(team, directory.publishedVms()));
}
