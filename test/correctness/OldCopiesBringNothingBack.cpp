// Records from the copy of a restored store, next to what the upstreams have said since it was made.
#include "coordination/UpstreamDirectory.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const StoreReachability noReports;
const ServiceName registry { "registry" };
const InstanceId instance { "i-1" };

UpstreamRecord makeRecord(std::uint64_t startedAt, std::uint64_t sequence, bool draining = false)
{
    return { instance, registry, { "a" }, "10.0.0.1:80", { "10.0.0.1" }, 8, draining, Duration::zero(),
        startedAt, sequence };
}

bool isUsable(const UpstreamDirectory& directory) { return !directory.usable(registry).empty(); }

} // namespace

TEST_CASE("a draining upstream stays so when the copy has it as ready")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9, true), { 1, 20 }, start);
    directory.put(makeRecord(1, 4), { 2, 8 }, start + 1s);
    CHECK_FALSE(isUsable(directory));
    directory.expire(noReports, start + 1s + restoredRecordLapse - 1ms);
    CHECK_FALSE(isUsable(directory));
}

TEST_CASE("an upstream that has left doesn't come back with the copy")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9), { 1, 20 }, start);
    directory.remove(instance, std::nullopt, start);
    directory.put(makeRecord(1, 9), { 2, 8 }, start + 1s);
    CHECK(directory.size() == 0);
    directory.remove(instance, std::nullopt, start + 5s); // the restored store removes it again
    directory.expire(noReports, start + 10s);
    CHECK(directory.size() == 0);
}

TEST_CASE("an upstream that reports again after the restore is used at once, also after it had lapsed")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9), { 1, 20 }, start);
    directory.remove(instance, std::nullopt, start);
    directory.put(makeRecord(1, 10), { 2, 8 }, start + 1s);
    CHECK(isUsable(directory));
}

TEST_CASE("another run under the same id counts, and a copy of the run before it doesn't")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9, true), { 1, 20 }, start);
    directory.put(makeRecord(2, 1), { 2, 8 }, start + 1s);
    CHECK(isUsable(directory));
    directory.put(makeRecord(1, 9, true), { 3, 4 }, start + 2s);
    CHECK(isUsable(directory));
}

TEST_CASE("an old record that the restored store keeps is used in the end")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9), { 1, 20 }, start);
    directory.remove(instance, std::nullopt, start);
    directory.put(makeRecord(1, 9), { 2, 8 }, start + 1s);
    directory.expire(noReports, start + 1s + restoredRecordLapse);
    CHECK(isUsable(directory));
}

TEST_CASE("a record that is missing from the copy doesn't flap while it is written again")
{
    UpstreamDirectory directory;
    directory.put(makeRecord(1, 9), { 1, 20 }, start);
    directory.remove(instance, start + restoredRecordGrace, start);
    directory.expire(noReports, start + 2s);
    CHECK(isUsable(directory));
    directory.put(makeRecord(1, 11), { 2, 8 }, start + 2s);
    directory.expire(noReports, start + 10s);
    CHECK(isUsable(directory));
}

// Guards against requests to an upstream that left while this node heard nothing of the restored store.
TEST_CASE("the grace period of a record that the copy lacks runs from when the store was back, not from when "
          "that is heard")
{
    const Instant back = start + 2s;
    const Instant until = back + restoredRecordGrace;
    for (const Instant heardAt : { back + 1s, until, until + 5s }) {
        StoreReachability reachability; // this node's own outage ends as it hears of the restore
        const Instant ownBack = heardAt - 1ms;
        reachability.setLocal({ ownBack, {}, StoreOutage { start - 1s, ownBack, ownBack } });
        reachability.report({ "10.0.0.2" }, true, heardAt,
            StoreContact { heardAt, {}, StoreOutage { start, back - 100ms, back } });
        UpstreamDirectory directory;
        directory.put(makeRecord(1, 9), { 1, 20 }, start - 60s);
        directory.remove(instance, heardAt + restoredRecordGrace, { heardAt, start - 500ms });
        directory.expire(reachability, heardAt);
        CHECK(isUsable(directory) == (heardAt < until));
        directory.expire(reachability, std::max(heardAt, until - 1ms));
        CHECK(isUsable(directory) == (heardAt < until));
        directory.expire(reachability, std::max(heardAt, until));
        CHECK_FALSE(isUsable(directory));
    }
}

TEST_CASE("an address stays with the upstream that took it over, until the copy's upstream is removed")
{
    UpstreamDirectory directory;
    UpstreamRecord successor = makeRecord(5, 1);
    successor.instance = { "i-2" };
    directory.put(makeRecord(1, 9), { 1, 4 }, start);
    directory.put(successor, { 1, 20 }, start);
    directory.put(makeRecord(1, 9), { 2, 4 }, start + 1s); // the copy has only the predecessor
    directory.remove(successor.instance, start + 1s + restoredRecordGrace, start + 1s);
    REQUIRE(isUsable(directory));
    CHECK(directory.usable(registry).front()->record.instance == successor.instance);
}
