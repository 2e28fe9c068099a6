// The platform's adapter decodes published items and responses of the store, rejects invalid ones, and builds
// the targets of store calls.
#include "Adapter.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const Platform::Adapter adapter;

constexpr std::string_view recordText = R"({"address":"10.1.0.9:8080","born":1771183592380,
    "info":{"service":"huvo11a","version":"v1","zone":"ie-east-a","slots":94},
    "status":{"state":"ready","sequence":4,"cold_left":"1500ms"}})";

std::string replaced(std::string text, std::string_view old, std::string_view replacement)
{
    return text.replace(text.find(old), old.size(), replacement);
}

} // namespace

TEST_CASE("an upstream record is decoded")
{
    const auto item = adapter.readItem("servers/i-1", recordText);
    REQUIRE(item);
    const auto& record = std::get<UpstreamRecord>(*item);
    CHECK(record.instance.text == "i-1");
    CHECK(record.service.text == "huvo11a");
    CHECK(record.vm.text == "10.1.0.9");
    CHECK(record.slots == 94);
    CHECK(record.remainingColdTime == 1500ms);
    CHECK(record.startedAt == 1771183592380);
    CHECK_FALSE(record.draining);
}

TEST_CASE("a value of another format under the key of an upstream is rejected")
{
    const std::string text(recordText);
    const std::vector<std::string> invalidValues { "", "not json", "[]",
        replaced(text, "\"ready\"", "\"resting\""), replaced(text, "94", "\"94\""), replaced(text, "94", "0"),
        replaced(text, "10.1.0.9:8080", "localhost"), replaced(text, "\"1500ms\"", "1500"),
        replaced(text, "\"service\"", "\"servant\"") };
    for (const std::string& value : invalidValues)
        CHECK_FALSE(adapter.readItem("servers/i-1", value));
}

TEST_CASE("the routes, teams and limits of a configuration are decoded")
{
    const auto item = adapter.readItem("op/config", R"({"version":"0000001a","routes":{
        "r-1":{"host":"h.example","path_prefix":"/a/","route_kind":"idempotent","timeout":"800ms",
            "target_latency":"1.5s","priority":2,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],
            "max_attempts":2,"public":false},
        "r-2":{"host":"h.example","path_prefix":"/b/","route_kind":"non_idempotent","timeout":"1s",
            "target_latency":"1s","priority":0,"service":"x","max_attempts":1,"public":true}},
        "services":{"x":{},"y":{}},
        "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout":"3s","idle_timeout":"15s"},
        "tenants":{"t":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":135,"burst":140}}})");
    REQUIRE(item);
    const auto& config = std::get<ServingConfig>(*item);
    CHECK(config.version == 26);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].idempotent);
    CHECK(config.routes[0].timeout == 800ms);
    CHECK(config.routes[0].targetLatency == 1500ms);
    CHECK(config.routes[0].shares.size() == 2);
    CHECK_FALSE(config.routes[1].idempotent);
    CHECK(config.routes[1].isPublic);
    REQUIRE(config.teams.size() == 1);
    CHECK(config.teams[0].plan == TeamPlan { 135, 140 });
    CHECK(config.limits.bodyBytes == 2000);
    CHECK(config.hasTeams);
}

TEST_CASE("an invalid configuration is rejected")
{
    CHECK_FALSE(adapter.readItem("op/config", R"({"version":"xyz","routes":{}})"));
    CHECK_FALSE(adapter.readItem("op/config", R"({"version":"01"})"));
    CHECK_FALSE(adapter.readItem("op/config", R"({"version":"01","routes":{"r":{"host":"h"}}})"));
}

TEST_CASE("items under other keys are ignored")
{
    const auto item = adapter.readItem("my/leader", "anything");
    REQUIRE(item);
    CHECK(std::holds_alternative<std::monostate>(*item));
}

TEST_CASE("pages and changes of the store are decoded, removals included, and invalid ones rejected")
{
    const auto page = adapter.readPage(
        R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4,"created":4,"lease":0}],"has_more":true,"current_rev":9})");
    REQUIRE(page);
    CHECK(page->items == std::vector<StoreItem> { { "a", 4, "node-1" } });
    CHECK(page->hasMore);
    CHECK(page->revision == 9);
    const auto changes
        = adapter.readChanges(R"({"events":[{"key":"a","revision":11,"tombstone":true}],"current_rev":12})");
    REQUIRE(changes);
    CHECK(changes->items == std::vector<StoreItem> { { "a", 11, std::nullopt } });
    CHECK_FALSE(adapter.readChanges("{}"));
    CHECK_FALSE(adapter.readPage(R"({"items":[{"key":"a","value":"?","revision":4}],"current_rev":9})"));
}

TEST_CASE("the targets of store calls have escaped parameters")
{
    CHECK(adapter.pageTarget("servers/", "servers/a b")
        == "/kv-range?path_prefix=servers/&after=servers/a%20b");
    CHECK(adapter.watchTarget("", 41, 20s) == "/kv-watch?path_prefix=&after=41&wait_ms=20000");
}
