// A node knows how old its news of the store can be: by its own calls, and by what its peers say of theirs.
#include "Adapter.h"
#include "coordination/ArrivalTimes.h"
#include "coordination/StoreMirror.h"
#include "protocol/PeerFrame.h"
#include "support/RunLoop.h"
#include "support/ScriptedUpstream.h"
#include "transport/StoreReader.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>
#include <thread>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

ScriptedResponse respond(const std::string& body)
{
    return { "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

template <typename Frame> Frame decoded(const Frame& frame)
{
    std::size_t consumed = 0;
    return std::get<Frame>(**decodeFrame(encodeFrame(frame), consumed));
}

} // namespace

TEST_CASE("what a peer knows of later changes says nothing of the age of a copy that lacks them")
{
    StoreMirror mirror([](const StoreItem&) {});
    mirror.applyListing("", {}, { 1, 10 });
    mirror.confirm({ 1, 10 }, start);
    mirror.confirm({ 1, 11 }, start + 2s);
    CHECK(mirror.confirmedAt() == start);
    mirror.confirm({ 1, 9 }, start + 1s);
    CHECK(mirror.confirmedAt() == start + 1s);
    mirror.confirm({ 1, 10 }, start);
    CHECK(mirror.confirmedAt() == start + 1s);
}

TEST_CASE("a change is not older than the last response of the store that lacked it")
{
    int watches = 0;
    boost::asio::io_context io;
    ScriptedUpstream store(io, [&](const HttpRequest& request) {
        if (request.head.target.find("watch") == std::string::npos)
            return respond(R"({"items":[],"has_more":false,"current_rev":7})");
        if (++watches > 1)
            return ScriptedResponse { "", false, true };
        return respond(R"({"events":[{"key":"a","revision":9,"tombstone":true}],"current_rev":9})");
    });
    TimerService timers;
    Platform::Adapter adapter;
    DecisionLog log;
    std::optional<Instant> changeMadeAfter;
    StoreMirror* copy = nullptr;
    StoreMirror mirror([&](const StoreItem&) { changeMadeAfter = copy->confirmedAt(); });
    copy = &mirror;
    StoreReader reader(io, timers, adapter, mirror, log, store.address(), 1);
    const Instant startedAt = monotonicNow();
    reader.start(startedAt);
    REQUIRE(Testing::runUntil(
        io, [&] { return watches == 2; }, 3s, [&] { timers.advance(monotonicNow()); }));
    REQUIRE(changeMadeAfter);
    CHECK(*changeMadeAfter >= startedAt);
    CHECK(*mirror.confirmedAt() > *changeMadeAfter);
}

TEST_CASE("a watch that responds with a change at once and arrives late, after a peer's push, has not waited")
{
    std::optional<Instant> respondedAt;
    boost::asio::io_context io;
    StoreMirror mirror([](const StoreItem&) {});
    ScriptedUpstream store(io, [&](const HttpRequest& request) {
        if (request.head.target.find("watch") == std::string::npos)
            return respond(R"({"items":[],"has_more":false,"current_rev":7})");
        if (respondedAt)
            return ScriptedResponse { "", false, true };
        respondedAt = monotonicNow();
        mirror.applyUpdate({ 7, 9, { { "a", 9, std::nullopt } }, std::nullopt, std::nullopt });
        std::this_thread::sleep_for(150ms);
        return respond(R"({"events":[{"key":"a","revision":9,"tombstone":true}],"current_rev":9})");
    });
    TimerService timers;
    Platform::Adapter adapter;
    DecisionLog log;
    StoreReader reader(io, timers, adapter, mirror, log, store.address(), 1);
    reader.setPlan({ StoreMode::Watch, 10ms, 100ms });
    reader.start(monotonicNow());
    REQUIRE(Testing::runUntil(
        io, [&] { return store.requests().size() == 3; }, 3s, [&] { timers.advance(monotonicNow()); }));
    CHECK(*mirror.confirmedAt() <= *respondedAt);
}

TEST_CASE("ages reach the peers, and are left out where they are not known")
{
    LinkHeartbeat heartbeat;
    CHECK(decoded(heartbeat) == heartbeat);
    heartbeat.copyAge = 250ms;
    CHECK(decoded(heartbeat) == heartbeat);
    StoreChangesPush push { { 4, 5, {}, std::nullopt, 1 }, 1400ms };
    CHECK(decoded(push) == push);
    push.sinceAge.reset();
    CHECK(decoded(push) == push);
}

TEST_CASE("a VM that lost the store hours ago does not look like one that is in contact")
{
    LinkHeartbeat heartbeat;
    heartbeat.reachesStore = false;
    heartbeat.storeContact = StoreContactAges { 5h, 5h, {}, {}, {} };
    CHECK(decoded(heartbeat) == heartbeat);
}

TEST_CASE("a frame that waited while the process stood still does not look fresh")
{
    ArrivalTimes times(start);
    CHECK_FALSE(times.tick(start + 10ms));
    CHECK_FALSE(times.tick(start + 20ms));
    CHECK(times.earliestArrival(start + 25ms) == start + 10ms);
    const Instant resumed = start + 2s;
    CHECK(times.tick(resumed) == resumed - (start + 20ms));
    CHECK(times.isCatchingUp(resumed));
    CHECK(times.earliestArrival(resumed) == start + 20ms);
    CHECK_FALSE(times.tick(resumed + 10ms));
    CHECK(times.earliestArrival(resumed + 15ms) == start + 20ms);
    for (Instant now = resumed + 20ms; now < resumed + 1s; now += 10ms)
        times.tick(now);
    CHECK_FALSE(times.isCatchingUp(resumed + 1s));
    CHECK(times.earliestArrival(resumed + 1s) == resumed + 980ms);
}
