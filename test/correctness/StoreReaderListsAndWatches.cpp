// The store's reader against a scripted store: listing, watching, lost history, error statuses, and bodies
// that can't be decoded.
#include "Adapter.h"
#include "support/RunLoop.h"
#include "support/ScriptedUpstream.h"
#include "transport/StoreReader.h"
#include "transport/SystemClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

ScriptedResponse respond(const std::string& body, int status = 200)
{
    return { "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body };
}

constexpr auto emptyPage = R"({"items":[],"has_more":false,"current_rev":7})";

struct StoreReaderFixture {
    explicit StoreReaderFixture(ScriptedUpstream::Script script)
        : store(io, std::move(script))
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
    std::vector<StoreItem> items;
    StoreMirror mirror { [this](const StoreItem& item) { items.push_back(item); } };
    ScriptedUpstream store;
    StoreReader reader { io, timers, adapter, mirror, log, store.address(), 1 };
};

bool isWatch(const HttpRequest& request) { return request.head.target.find("watch") != std::string::npos; }

} // namespace

TEST_CASE("all pages are read, and then the prefix is watched from the first page's revision")
{
    std::vector<std::string> targets;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        targets.push_back(request.head.target);
        if (isWatch(request))
            return ScriptedResponse { "", false, true };
        if (targets.size() == 1)
            return respond(
                R"({"items":[{"key":"a","value":"MQ==","revision":3}],"has_more":true,"current_rev":5})");
        return respond(
            R"({"items":[{"key":"b","value":"Mg==","revision":6}],"has_more":false,"current_rev":6})");
    });
    REQUIRE(fixture.runUntil([&] { return targets.size() == 3; }));
    CHECK(targets[1].find("after=a") != std::string::npos);
    CHECK(targets[2].find("after=5") != std::string::npos);
    CHECK(fixture.items == std::vector<StoreItem> { { "a", 3, "1" }, { "b", 6, "2" } });
    CHECK(fixture.mirror.revision() == 5);
}

TEST_CASE("changes are applied, and the next watch starts at the store's revision")
{
    std::vector<std::string> watches;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (!isWatch(request))
            return respond(emptyPage);
        watches.push_back(request.head.target);
        if (watches.size() > 1)
            return ScriptedResponse { "", false, true };
        return respond(R"({"events":[{"key":"a","revision":9,"tombstone":true}],"current_rev":11})");
    });
    REQUIRE(fixture.runUntil([&] { return watches.size() == 2; }));
    CHECK(watches[1].find("after=11") != std::string::npos);
    CHECK(fixture.items == std::vector<StoreItem> { { "a", 9, std::nullopt } });
}

TEST_CASE("lost history leads to a new listing, which removes items that no longer exist")
{
    int listings = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (isWatch(request))
            return listings == 1 ? respond("{}", 410) : ScriptedResponse { "", false, true };
        ++listings;
        return listings == 1 ? respond(
                   R"({"items":[{"key":"a","value":"MQ==","revision":3}],"has_more":false,"current_rev":5})")
                             : respond(emptyPage);
    });
    REQUIRE(fixture.runUntil([&] { return fixture.items.size() == 2; }));
    CHECK(fixture.items[1] == StoreItem { "a", 6, std::nullopt });
}

TEST_CASE("a store that returns errors counts as unreachable and is called again after a pause")
{
    int calls = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        ++calls;
        if (calls <= 4)
            return respond("", 503);
        return isWatch(request) ? ScriptedResponse { "", false, true } : respond(emptyPage);
    });
    CHECK(fixture.runUntil([&] { return fixture.reader.isUnreachable(monotonicNow()); }));
    REQUIRE(fixture.runUntil([&] { return fixture.mirror.revision() == 7; }));
    CHECK_FALSE(fixture.reader.isUnreachable(monotonicNow()));
    const auto outage = fixture.reader.contact().lastOutage;
    REQUIRE(outage);
    CHECK(outage->endedBy - outage->beganAfter < 2s); // too short for records to lapse
}

TEST_CASE("a response that can't be decoded counts as a failure, and none of it is applied")
{
    int calls = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (++calls == 1)
            return respond(R"({"items":"none"})");
        return isWatch(request) ? ScriptedResponse { "", false, true } : respond(emptyPage);
    });
    REQUIRE(fixture.runUntil([&] { return fixture.mirror.revision() == 7; }));
    CHECK(fixture.items.empty());
}

TEST_CASE("after failures the store counts as reachable again, even if nothing in it changes")
{
    int failuresLeft = 4;
    bool listed = false;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (!isWatch(request)) {
            listed = true;
            return respond(emptyPage);
        }
        if (failuresLeft-- > 0)
            return respond("", 503);
        const bool waitsForChange = request.head.target.find("wait_ms=1&") == std::string::npos
            && !request.head.target.ends_with("wait_ms=1");
        return waitsForChange ? ScriptedResponse { "", false, true }
                              : respond(R"({"events":[],"current_rev":7})");
    });
    REQUIRE(fixture.runUntil([&] { return listed && fixture.reader.isUnreachable(monotonicNow()); }));
    CHECK(fixture.runUntil([&] { return !fixture.reader.isUnreachable(monotonicNow()); }));
}

TEST_CASE("a reader that probes makes no watches, and takes a missing item as a sign of life")
{
    std::vector<std::string> calls;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        calls.push_back(request.head.target);
        return calls.size() == 1 ? respond(emptyPage) : respond("{}", 404);
    });
    fixture.reader.setPlan({ StoreMode::Probe, 20ms });
    REQUIRE(fixture.runUntil([&] { return calls.size() == 4; }));
    for (std::size_t i = 1; i < calls.size(); ++i)
        CHECK(calls[i] == fixture.adapter.probeTarget());
    CHECK_FALSE(fixture.reader.isUnreachable(monotonicNow() + 2s));
    CHECK(fixture.mirror.revision() == 7);
}

TEST_CASE("a reader whose probes are rejected counts as unreachable")
{
    int calls = 0;
    StoreReaderFixture fixture(
        [&](const HttpRequest&) { return ++calls == 1 ? respond(emptyPage) : respond("", 503); });
    fixture.reader.setPlan({ StoreMode::Probe, 20ms });
    CHECK(fixture.runUntil([&] { return fixture.reader.isUnreachable(monotonicNow()); }));
}

TEST_CASE("a reader that begins to watch does so at once, from the revision up to which all is known")
{
    std::vector<std::string> watches;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (isWatch(request)) {
            watches.push_back(request.head.target);
            return ScriptedResponse { "", false, true };
        }
        return respond(emptyPage);
    });
    fixture.reader.setPlan({ StoreMode::Probe, 60s });
    REQUIRE(fixture.runUntil([&] { return fixture.mirror.revision() == 7; }));
    fixture.mirror.setCompleteRevision(8); // a peer has passed changes on
    fixture.reader.setPlan({ StoreMode::Watch, 10ms });
    REQUIRE(fixture.runUntil([&] { return !watches.empty(); }));
    CHECK(watches[0].find("after=8") != std::string::npos);
}

TEST_CASE("a change is read within 2 s although the connection of the pending watch has gone silent")
{
    int watches = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (!isWatch(request))
            return respond(emptyPage);
        const bool isFirst = ++watches == 1;
        return isFirst ? ScriptedResponse { "", false, true }
                       : respond(R"({"events":[{"key":"a","revision":9,"tombstone":true}],"current_rev":9})");
    });
    REQUIRE(fixture.runUntil([&] { return watches == 1; }));
    const Instant silentSince = monotonicNow();
    REQUIRE(fixture.runUntil([&] { return fixture.mirror.revision() == 9; }));
    CHECK(monotonicNow() - silentSince < 2s);
}

TEST_CASE("a standby that becomes reader doesn't wait for the silent watch of its standby time")
{
    int watches = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (!isWatch(request))
            return respond(emptyPage);
        ++watches;
        return ScriptedResponse { "", false, true };
    });
    fixture.reader.setPlan({ StoreMode::Watch, 20ms, 60s });
    REQUIRE(fixture.runUntil([&] { return watches == 1; }));
    fixture.reader.setPlan({ StoreMode::Watch, 20ms, 100ms });
    CHECK(fixture.runUntil([&] { return watches == 2; }));
}

TEST_CASE("a watch that ends without changes is renewed without a pause, in which changes would not be read")
{
    int watches = 0;
    StoreReaderFixture fixture([&](const HttpRequest& request) {
        if (!isWatch(request))
            return respond(emptyPage);
        fixture.reader.setPlan({ StoreMode::Watch, 60s, 0ms });
        return ++watches < 3 ? respond(R"({"events":[],"current_rev":7})")
                             : ScriptedResponse { "", false, true };
    });
    CHECK(fixture.runUntil([&] { return watches == 3; }));
}

// Guards against taking the lapse of records after a reset for a leave, or a leave for a lapse.
TEST_CASE("a store that resets the connection of a pending watch was in contact until then")
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    boost::asio::io_context storeIo;
    Tcp::acceptor store(storeIo, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    TimerService timers;
    Platform::Adapter adapter;
    DecisionLog log;
    StoreMirror mirror([](const StoreItem&) {});
    StoreReader reader(
        io, timers, adapter, mirror, log, "127.0.0.1:" + std::to_string(store.local_endpoint().port()), 1);
    const auto runUntil = [&](const auto& condition) {
        return Testing::runUntil(io, condition, 3s, [&] { timers.advance(monotonicNow()); });
    };
    reader.setPlan({ StoreMode::Watch, 10ms, 2s });
    reader.start(monotonicNow());
    REQUIRE(runUntil([&] { return reader.callCount() == 1; }));
    Tcp::socket connection = store.accept();
    boost::asio::write(connection, boost::asio::buffer(respond(emptyPage).bytes));
    REQUIRE(runUntil([&] { return reader.callCount() == 2; }));
    const Instant pendingSince = monotonicNow();
    runUntil([&] { return monotonicNow() - pendingSince > 200ms; });
    const Instant resetAt = monotonicNow();
    connection.set_option(boost::asio::socket_base::linger(true, 0));
    connection.close();
    REQUIRE(runUntil([&] { return reader.contact().lostAfter.has_value(); }));
    CHECK(*reader.contact().lostAfter >= resetAt);
}
