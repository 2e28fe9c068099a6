// An upstream whose record was removed gets no more requests, unless the record can have lapsed for want of
// contact.
#include "coordination/StoreContactTracker.h"
#include "coordination/UpstreamDirectory.h"
#include "support/SidecarFixtures.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const InstanceId instance { "i-1" };
const VmId vm { "10.0.0.1" };

/// An upstream that was in contact with the store until `start`, and its directory on another node.
struct PublishedUpstream {
    PublishedUpstream()
    {
        directory.put(Testing::makeUpstreamRecord(instance.text, vm.text), { 0, 5 }, start - 60s);
        reachability.setLocal(inContact);
        reachability.report(vm, true, start, inContact);
    }

    void reportAt(Instant now, const StoreContact& contact)
    {
        reachability.report(vm, !contact.lostAfter, now, contact);
    }

    /// Whether the upstream is in use at `now`, when the news of its removal has come at `heardAt`.
    bool isInUse(Instant heardAt, Instant now)
    {
        directory.removeUnlessLapsed(instance, heardAt);
        directory.expire(reachability, now);
        return directory.find(instance) != nullptr;
    }

    StoreContact inContact { start, {}, {} };
    StoreContact lost { start, start, {} };
    StoreReachability reachability;
    UpstreamDirectory directory;
};

} // namespace

TEST_CASE("a record that was written less than three heartbeats before its removal has not lapsed")
{
    PublishedUpstream upstream;
    upstream.reachability.setLocal(upstream.lost);
    upstream.directory.put(Testing::makeUpstreamRecord(instance.text, vm.text), { 0, 6 }, start + 9s);
    upstream.reportAt(start + 10s, upstream.lost);
    CHECK_FALSE(upstream.isInUse(start + 10s, start + 10s));
}

TEST_CASE("a record that is removed twice was written in between")
{
    PublishedUpstream upstream;
    upstream.reportAt(start + 5s, upstream.lost);
    CHECK(upstream.isInUse(start + 5s, start + 5s));
    upstream.reportAt(start + 10s, upstream.lost);
    CHECK_FALSE(upstream.isInUse(start + 10s, start + 10s));
}

TEST_CASE("a record that is removed when its VM has lost the store for a second has not lapsed")
{
    PublishedUpstream upstream;
    upstream.reportAt(start + 1s, upstream.lost);
    CHECK_FALSE(upstream.isInUse(start + 1s, start + 1s));
}

TEST_CASE("a record that is removed while the store is away for a second has not lapsed")
{
    StoreContactTracker tracker;
    tracker.onResponse(start - 1s);
    tracker.onFailure(StoreCallFailure::ConnectionEnded, start, start);
    tracker.onFailure(StoreCallFailure::NoResponse, start + 100ms, start + 300ms);
    tracker.onResponse(start + 1s);
    PublishedUpstream upstream;
    upstream.reachability.setLocal(tracker.contact());
    upstream.reportAt(start + 1100ms, tracker.contact());
    CHECK_FALSE(upstream.isInUse(start + 1100ms, start + 1100ms));
}

TEST_CASE("an outage of this node alone keeps no upstream in use that was in contact all the time")
{
    PublishedUpstream upstream;
    upstream.reachability.setLocal({ start + 10s, {}, StoreOutage { start, start + 10s, start + 10s } });
    upstream.reportAt(start + 10100ms, { start + 10050ms, {}, {} });
    CHECK_FALSE(upstream.isInUse(start + 10100ms, start + 10100ms));
}

TEST_CASE("records that lapse in an outage of the store stay in use, also before their VMs have noticed it")
{
    PublishedUpstream upstream;
    const Instant back = start + 4s;
    upstream.reachability.setLocal({ back, {}, StoreOutage { start, back, back } });
    upstream.reportAt(back, { start - 100ms, {}, {} });
    CHECK(upstream.isInUse(back, back));
    upstream.reportAt(back + 1s, { back + 900ms, {}, StoreOutage { start - 100ms, back, back + 900ms } });
    upstream.directory.expire(upstream.reachability, back + 1s);
    CHECK(upstream.directory.find(instance));
    upstream.reportAt(back + 4s, { back + 900ms, {}, StoreOutage { start - 100ms, back, back + 900ms } });
    upstream.directory.expire(upstream.reachability, back + 4s);
    CHECK(upstream.directory.find(instance) == nullptr);
}

TEST_CASE("a silent store may have been away since its last response, one that ends connections was not")
{
    StoreContactTracker tracker;
    tracker.onResponse(start);
    tracker.onFailure(StoreCallFailure::NoResponse, start + 1500ms, start + 3s);
    CHECK(tracker.contact().lostAfter == start);
    tracker.onResponse(start + 4s);
    CHECK(tracker.contact().lastOutage == StoreOutage { start, start + 1500ms, start + 4s });
    tracker.onFailure(StoreCallFailure::ConnectionEnded, start + 4s, start + 6s);
    CHECK(tracker.contact().lostAfter == start + 6s);
}

TEST_CASE("the grace period of a lapsed record counts from when its VM can have been back, not from when it "
          "notices")
{
    StoreContactTracker tracker;
    tracker.onResponse(start);
    tracker.onFailure(StoreCallFailure::NoResponse, start + 1s, start + 3s);
    tracker.onFailure(StoreCallFailure::NoResponse, start + 9s, start + 9700ms);
    tracker.onResponse(start + 10s);
    PublishedUpstream upstream;
    upstream.reportAt(start + 5s, upstream.lost);
    CHECK(upstream.isInUse(start + 5s, start + 5s));
    upstream.reportAt(start + 10s, tracker.contact());
    upstream.directory.expire(upstream.reachability, start + 9s + lapsedRecordGrace - 1ms);
    CHECK(upstream.directory.find(instance));
    upstream.directory.expire(upstream.reachability, start + 9s + lapsedRecordGrace);
    CHECK(upstream.directory.find(instance) == nullptr);
}

// The rules excuse its node until it has reached the store for 3 s.
TEST_CASE("an upstream that leaves while the store rejects its VM is dropped within 3 s of the VM's return")
{
    StoreContactTracker tracker;
    tracker.onResponse(start);
    for (Instant now = start + 100ms; now < start + 10s; now += 400ms)
        tracker.onFailure(StoreCallFailure::Rejected, now - 5ms, now);
    PublishedUpstream upstream;
    upstream.reportAt(start + 5s, upstream.lost);
    CHECK(upstream.isInUse(start + 5s, start + 5s));
    tracker.onResponse(start + 10s);
    upstream.reportAt(start + 10s, tracker.contact());
    upstream.directory.expire(upstream.reachability, start + 12s);
    CHECK(upstream.directory.find(instance));
    upstream.reportAt(start + 12900ms, tracker.contact());
    upstream.directory.expire(upstream.reachability, start + 12900ms);
    CHECK(upstream.directory.find(instance) == nullptr);
}

TEST_CASE(
    "a silent store that was away for the whole fleet leaves no service without upstreams when it is back")
{
    StoreContactTracker tracker;
    tracker.onResponse(start);
    tracker.onFailure(StoreCallFailure::NoResponse, start + 4s, start + 5500ms);
    tracker.onResponse(start + 8s); // the call was pending when the store came back
    PublishedUpstream upstream;
    upstream.reachability.setLocal(tracker.contact());
    upstream.reportAt(start + 8s, tracker.contact());
    upstream.reachability.report({ "10.0.0.2" }, true, start + 8s, tracker.contact());
    CHECK(upstream.isInUse(start + 8s, start + 8s));
    upstream.directory.expire(upstream.reachability, start + 10s);
    CHECK(upstream.directory.find(instance));
    upstream.directory.expire(upstream.reachability, start + 8s + lapsedRecordGrace);
    CHECK(upstream.directory.find(instance) == nullptr);
}

TEST_CASE("a removal that is heard twice, before the copy was confirmed, says nothing of a write in between")
{
    PublishedUpstream upstream;
    upstream.reportAt(start + 5s, upstream.lost);
    CHECK(upstream.isInUse(start + 5s, start + 5s));
    upstream.reportAt(start + 6s, upstream.lost);
    upstream.directory.removeUnlessLapsed(instance, { start + 6s, start + 4s });
    upstream.directory.expire(upstream.reachability, start + 6s);
    CHECK(upstream.directory.find(instance));
}
