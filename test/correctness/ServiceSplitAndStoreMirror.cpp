// Small classes of the sidecar's coordination: route splits and the copy of the store.
#include "coordination/ServiceSplit.h"
#include "coordination/StoreMirror.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

TEST_CASE("after each request a split is within one request of its weights")
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

TEST_CASE("a split starts afresh when the shares of its route change")
{
    RouteConfig route;
    route.shares = { { { "a" }, 1 }, { { "b" }, 1 } };
    ServiceSplit split;
    split.next(route);
    route.shares = { { { "c" }, 1 }, { { "d" }, 3 } };
    CHECK(split.next(route).text == "d");
}

TEST_CASE("the mirror keeps the highest revision of an item, and its own revision never falls")
{
    std::vector<StoreItem> changes;
    StoreMirror mirror([&](const StoreItem& item) { changes.push_back(item); });
    mirror.apply({ "k", 5, "new" });
    mirror.apply({ "k", 3, "old" });
    CHECK(changes == std::vector<StoreItem> { { "k", 5, "new" } });
    mirror.setCompleteRevision(5);
    mirror.setCompleteRevision(4);
    CHECK(mirror.revision() == 5);
}

TEST_CASE("a listing removes the items that it lacks, except those with a newer revision")
{
    std::vector<std::string> removed;
    StoreMirror mirror([&](const StoreItem& item) {
        if (!item.value)
            removed.push_back(item.key);
    });
    mirror.apply({ "a", 1, "1" });
    mirror.apply({ "b", 2, "2" });
    mirror.apply({ "c", 9, "3" });
    mirror.applyListing("", { { "a", 1, "1" } }, { 0, 7 });
    CHECK(removed == std::vector<std::string> { "b" });
}

TEST_CASE("a peer gets every change after its revision, removals included")
{
    StoreMirror mirror([](const StoreItem&) {});
    mirror.apply({ "a", 1, "1" });
    mirror.apply({ "b", 2, "2" });
    mirror.apply({ "a", 3, std::nullopt });
    const std::vector<StoreItem> expected { { "a", 3, std::nullopt }, { "b", 2, "2" } };
    CHECK(mirror.changesSince({ 0, 1 }).items == expected);
    CHECK(mirror.changesSince({ 0, 3 }).items.empty());
}

TEST_CASE("a peer that is behind a mirror's listing learns of the removals before it")
{
    StoreMirror started([](const StoreItem&) {});
    started.applyListing("", { { "kept", 3, "1" } }, { 0, 9 });
    started.setCompleteRevision(9);
    std::vector<StoreItem> changes;
    StoreMirror behind([&](const StoreItem& item) { changes.push_back(item); });
    behind.applyListing("", { { "kept", 3, "1" }, { "gone", 4, "2" } }, { 0, 5 });
    behind.setCompleteRevision(5);
    changes.clear();
    CHECK(behind.applyUpdate(started.changesSince({ 0, 5 })));
    CHECK(changes == std::vector<StoreItem> { { "gone", 6, std::nullopt } });
    CHECK(behind.revision() == 9);
}

TEST_CASE("a late push doesn't bring back an item that was removed before the node's listing")
{
    std::vector<StoreItem> changes;
    StoreMirror mirror([&](const StoreItem& item) { changes.push_back(item); });
    mirror.applyListing("", {}, { 0, 9 });
    mirror.setCompleteRevision(9);
    mirror.applyUpdate({ 3, 4, { { "gone", 4, "2" } }, std::nullopt });
    CHECK(changes.empty());
}

TEST_CASE("a mirror that was filled across a gap of removals passes the gap on as unknown")
{
    StoreMirror started([](const StoreItem&) {});
    started.applyListing("", { { "kept", 3, "1" } }, { 0, 9 });
    started.setCompleteRevision(9);
    StoreMirror filled([](const StoreItem&) {});
    filled.applyListing("", { { "kept", 3, "1" } }, { 0, 7 });
    filled.setCompleteRevision(7);
    REQUIRE(filled.applyUpdate(started.changesSince({ 0, 7 })));
    CHECK(filled.changesSince({ 0, 4 }).otherKeys == std::vector<std::string> { "kept" });
    CHECK_FALSE(filled.changesSince({ 0, 9 }).otherKeys);
}
