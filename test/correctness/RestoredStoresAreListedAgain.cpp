// A store that comes back from a copy, with a higher era, lower revisions and old or missing items.
#include "Adapter.h"
#include "coordination/StoreMirror.h"
#include "protocol/StoreEraDecoder.h"
#include "support/RunLoop.h"
#include "support/ScriptedUpstream.h"
#include "transport/StoreReader.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

struct MirrorFixture {
    std::vector<StoreItem> changes;
    std::vector<std::string> losses;
    StoreMirror mirror { [this](const StoreItem& item) { changes.push_back(item); },
        [this](const std::string& key) { losses.push_back(key); } };
};

ScriptedResponse respond(const std::string& era, const std::string& body, int status = 200)
{
    return { "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + era
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

constexpr auto originalPage
    = R"({"items":[{"key":"a","value":"MQ==","revision":8}],"has_more":false,"current_rev":9})";
constexpr auto restoredPage
    = R"({"items":[{"key":"a","value":"Mg==","revision":7}],"has_more":false,"current_rev":9})";

bool isWatch(const HttpRequest& request) { return request.head.target.find("watch") != std::string::npos; }

/// A reader whose store is listed once in era 1; then `respondLater` says what it responds.
struct RestoredStoreFixture {
    explicit RestoredStoreFixture(const ScriptedUpstream::Script& respondLater)
        : store(io, [this, respondLater](const HttpRequest& request) {
            calls.push_back(request.head.target);
            return calls.size() == 1 ? respond("1", originalPage) : respondLater(request);
        })
    {
        reader.start(monotonicNow());
    }

    template <typename Condition> bool runUntil(Condition&& condition)
    {
        return Testing::runUntil(io, condition, 3s, [this] { timers.advance(monotonicNow()); });
    }

    boost::asio::io_context io;
    TimerService timers;
    Platform::Adapter adapter;
    DecisionLog log;
    std::vector<std::string> calls;
    std::vector<StoreItem> items;
    StoreMirror mirror { [this](const StoreItem& item) { items.push_back(item); } };
    ScriptedUpstream store;
    StoreReader reader { io, timers, adapter, mirror, log, store.address(), 1 };
};

} // namespace

TEST_CASE("a change whose revision was given out before the restore is applied")
{
    MirrorFixture fixture;
    fixture.mirror.applyListing("", { { "a", 8, "lost" } }, { 1, 9 });
    fixture.mirror.applyListing("", { { "a", 4, "old" } }, { 2, 6 });
    fixture.mirror.apply({ "a", 7, "new" });
    CHECK(fixture.changes.back() == StoreItem { "a", 7, "new" });
    CHECK(fixture.mirror.position() == StorePosition { 2, 6 });
}

TEST_CASE("keys that a restored store lacks are reported as lost, not as removed")
{
    MirrorFixture fixture;
    fixture.mirror.applyListing("", { { "a", 8, "1" }, { "b", 3, "1" } }, { 1, 9 });
    fixture.changes.clear();
    fixture.mirror.applyListing("", { { "b", 3, "1" } }, { 2, 6 });
    CHECK(fixture.losses == std::vector<std::string> { "a" });
    CHECK(fixture.changes == std::vector<StoreItem> { { "b", 3, "1" } });
}

TEST_CASE("a peer that is late doesn't take a mirror back to an era that is over")
{
    MirrorFixture fixture;
    fixture.mirror.applyListing("", { { "a", 4, "old" } }, { 2, 6 });
    MirrorFixture late;
    late.mirror.applyListing("", { { "a", 8, "lost" } }, { 1, 9 });
    CHECK(fixture.mirror.applyUpdate(late.mirror.changesSince({ 0, 0 })));
    CHECK(fixture.changes.size() == 1);
    CHECK(fixture.mirror.position() == StorePosition { 2, 6 });
    CHECK(late.mirror.applyUpdate(fixture.mirror.changesSince(late.mirror.position())));
    CHECK(late.mirror.position() == StorePosition { 2, 6 });
    CHECK(late.changes.back() == StoreItem { "a", 4, "old" });
}

TEST_CASE("during an update nodes of the version before, which name no era, still pass changes on")
{
    MirrorFixture fixture;
    fixture.mirror.applyListing("", { { "a", 8, "1" } }, { 1, 9 });
    CHECK(fixture.mirror.applyUpdate({ 9, 10, { { "a", 10, "2" } }, std::nullopt, std::nullopt }));
    CHECK(fixture.changes.back() == StoreItem { "a", 10, "2" });
    CHECK(fixture.mirror.position() == StorePosition { 1, 10 });
}

TEST_CASE("a part of a new era is not taken for all of it")
{
    MirrorFixture fixture;
    fixture.mirror.applyListing("", { { "a", 8, "lost" } }, { 1, 9 });
    CHECK_FALSE(fixture.mirror.applyUpdate({ 6, 7, { { "a", 7, "new" } }, std::nullopt, 2 }));
    CHECK(fixture.mirror.position() == StorePosition { 1, 9 });
    CHECK(fixture.changes.size() == 1);
}

TEST_CASE("a watch that a restored store answers as if nothing had happened leads to a new listing")
{
    RestoredStoreFixture fixture([](const HttpRequest& request) {
        return isWatch(request) ? respond("2", R"({"events":[],"current_rev":12})")
                                : respond("2", restoredPage);
    });
    REQUIRE(fixture.runUntil([&] { return fixture.items.size() == 2; }));
    CHECK(fixture.items[1] == StoreItem { "a", 7, "2" });
    CHECK(fixture.mirror.position() == StorePosition { 2, 9 });
}

TEST_CASE("lost history and errors of a restored store name its era too")
{
    for (const int status : { 410, 503 }) {
        RestoredStoreFixture fixture([&](const HttpRequest& request) {
            return isWatch(request) ? respond("2", "{}", status) : respond("2", restoredPage);
        });
        REQUIRE(fixture.runUntil([&] { return fixture.mirror.era() == 2; }));
        CHECK(fixture.items.back() == StoreItem { "a", 7, "2" });
    }
}

TEST_CASE("a node that only probes lists a new era itself if no reader has passed it on")
{
    RestoredStoreFixture fixture([](const HttpRequest& request) {
        const bool isProbe = request.head.target.find("kv-key") != std::string::npos;
        return isProbe ? respond("2", "{}", 404) : respond("2", restoredPage);
    });
    fixture.reader.setPlan({ StoreMode::Probe, 20ms });
    CHECK(fixture.runUntil([&] { return fixture.mirror.era() == 2; }));
}

TEST_CASE("a store that is restored during the listing is listed from the beginning")
{
    int pages = 0;
    RestoredStoreFixture fixture([&](const HttpRequest& request) {
        if (isWatch(request))
            return respond("2", "{}", 410);
        if (++pages == 1)
            return respond("2",
                R"({"items":[{"key":"a","value":"MQ==","revision":3}],"has_more":true,"current_rev":9})");
        return respond("3", restoredPage);
    });
    REQUIRE(fixture.runUntil([&] { return fixture.mirror.era() == 3; }));
    CHECK(fixture.items.back() == StoreItem { "a", 7, "2" });
}

TEST_CASE("responses of an era that is over have no effect")
{
    RestoredStoreFixture fixture([](const HttpRequest& request) {
        return isWatch(request)
            ? respond("0", R"({"events":[{"key":"a","revision":12,"tombstone":true}],"current_rev":12})")
            : respond("0", restoredPage);
    });
    CHECK(fixture.runUntil([&] { return fixture.calls.size() > 3; }));
    CHECK(fixture.items.size() == 1);
    CHECK(fixture.mirror.position() == StorePosition { 1, 9 });
}

TEST_CASE("eras that are missing, malformed or far off are told apart from usable ones")
{
    const Platform::Adapter adapter;
    const auto decode = [&](const std::string& value, std::optional<std::uint64_t> known) {
        HttpFields fields;
        fields.add("Store-Era", value);
        return decodeStoreEra(fields, adapter.fieldNames(), known);
    };
    CHECK_FALSE(decodeStoreEra({}, adapter.fieldNames(), 3).value());
    CHECK(decode("4", 3).value() == 4);
    CHECK(decode("2", 3).value() == 2);
    CHECK(decode("90000", std::nullopt).value() == 90000);
    for (const char* value :
        { "", "-1", "+4", " 4", "4 ", "0x4", "4.0", "era", "99999999999999999999", "1004" })
        CHECK_FALSE(decode(value, 3));
}
