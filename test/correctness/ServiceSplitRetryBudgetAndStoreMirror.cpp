// Small pieces of the sidecar's coordination: route splits, the budget of repeats, and the copy of the store.
#include "coordination/RetryBudget.h"
#include "coordination/ServiceSplit.h"
#include "coordination/StoreMirror.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

} // namespace

TEST_CASE("a split keeps its weights at every moment")
{
    RouteConfig route;
    route.shares = { { { "a" }, 90 }, { { "b" }, 10 } };
    ServiceSplit split;
    int toB = 0;
    for (int i = 1; i <= 200; ++i) {
        toB += split.next(route).text == "b" ? 1 : 0;
        CHECK(std::abs(toB - 0.1 * i) <= 1);
    }
}

TEST_CASE("a split whose weights change starts anew")
{
    RouteConfig route;
    route.shares = { { { "a" }, 1 }, { { "b" }, 1 } };
    ServiceSplit split;
    split.next(route);
    route.shares = { { { "c" }, 1 }, { { "d" }, 3 } };
    CHECK(split.next(route).text == "d");
}

TEST_CASE("repeats of all levels of a tree stay within the operator's ratio and extra")
{
    const RetryLimits bounds { 0.2, 10s, 50 };
    constexpr int nodes = 18;
    constexpr int levels = 4;
    double retries = 0;
    double requests = 0;
    for (int node = 0; node < nodes; ++node) {
        RetryBudget budget(bounds);
        budget.setNodeCount(nodes);
        for (int i = 0; i < 1000; ++i) {
            budget.recordFirstAttempt({ "s" }, start + i * 10ms);
            ++requests;
            retries += budget.spend({ "s" }, start + i * 10ms) ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    CHECK(retries * levels <= bounds.ratio * requests + bounds.extraRetries);
}

TEST_CASE("a node without traffic may repeat now and then")
{
    RetryBudget budget({ 0.2, 10s, 50 });
    budget.setNodeCount(10);
    CHECK(budget.spend({ "s" }, start));
    CHECK_FALSE(budget.spend({ "s" }, start));
    budget.recordFirstAttempt({ "s" }, start + 10s);
    CHECK(budget.spend({ "s" }, start + 10s));
}

TEST_CASE("in the mirror the highest revision of an item holds, whoever brings it")
{
    std::vector<StoreItem> heard;
    StoreMirror mirror([&](const StoreItem& item) { heard.push_back(item); });
    mirror.apply({ "k", 5, "new" });
    mirror.apply({ "k", 3, "old" });
    CHECK(heard == std::vector<StoreItem> { { "k", 5, "new" } });
    mirror.completeUpTo(5);
    mirror.completeUpTo(4);
    CHECK(mirror.revision() == 5);
}

TEST_CASE("a listing removes what it lacks, but not what came after it")
{
    std::vector<std::string> removed;
    StoreMirror mirror([&](const StoreItem& item) {
        if (!item.value)
            removed.push_back(item.key);
    });
    mirror.apply({ "a", 1, "1" });
    mirror.apply({ "b", 2, "2" });
    mirror.apply({ "c", 9, "3" });
    mirror.applyListing("", { { "a", 1, "1" } }, 7);
    CHECK(removed == std::vector<std::string> { "b" });
}

TEST_CASE("a peer gets every change since its revision, removals among them")
{
    StoreMirror mirror([](const StoreItem&) {});
    mirror.apply({ "a", 1, "1" });
    mirror.apply({ "b", 2, "2" });
    mirror.apply({ "a", 3, std::nullopt });
    const std::vector<StoreItem> expected { { "a", 3, std::nullopt }, { "b", 2, "2" } };
    CHECK(mirror.changesSince(1) == expected);
    CHECK(mirror.changesSince(3).empty());
}
