// Which upstreams may get work, while entries come, drain, lapse and return.
#include "coordination/UpstreamDirectory.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const StoreReachability noContacts;
const ServiceName registry { "registry" };

UpstreamRecord makeUpstreamRecord(std::string instance, const std::string& address, bool draining = false)
{
    const std::string vm = address.substr(0, address.rfind(':'));
    return { { std::move(instance) }, registry, { "a" }, address, { vm }, 8, draining, Duration::zero() };
}

std::vector<std::string> usable(const UpstreamDirectory& directory)
{
    std::vector<std::string> instances;
    for (const KnownUpstream* upstream : directory.usable(registry))
        instances.push_back(upstream->record.instance.text);
    return instances;
}

/// An upstream whose entry has ended while its VM could not reach the store.
struct LapsedUpstream {
    LapsedUpstream()
    {
        directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
        contacts.report({ "10.0.0.1" }, false, start);
        directory.removeWhileStoreUnreachable({ "i-1" });
    }

    StoreReachability contacts;
    UpstreamDirectory directory;
};

} // namespace

TEST_CASE("an upstream that drains gets no work")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80", true), 6, start);
    CHECK(usable(directory).empty());
}

TEST_CASE("of two entries at one address only the one written last holds")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-9", "10.0.0.1:80"), 5, start);
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 9, start);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    CHECK(directory.atAddress("10.0.0.1:80")->record.instance.text == "i-1");
    directory.remove({ "i-9" }, std::nullopt);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
}

TEST_CASE("an entry that lapses stays in use until its return is overdue")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    directory.remove({ "i-1" }, start + 1s);
    directory.expire(noContacts, start + 999ms);
    CHECK(usable(directory).size() == 1);
    directory.expire(noContacts, start + 1s);
    CHECK(usable(directory).empty());
}

TEST_CASE("an entry that returns in time stays in use")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    directory.remove({ "i-1" }, start + 2s);
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 8, start + 1s);
    directory.expire(noContacts, start + 3s);
    CHECK(usable(directory).size() == 1);
}

TEST_CASE("a draining entry that disappears is gone at once")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80", true), 5, start);
    directory.remove({ "i-1" }, start + 2s);
    CHECK(directory.size() == 0);
}

TEST_CASE("an entry that is removed while the store is well is gone at once")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    directory.remove({ "i-1" }, std::nullopt);
    CHECK(directory.size() == 0);
}

TEST_CASE(
    "an upstream whose VM has lost the store stays in use until its entry is overdue after the VM's return")
{
    LapsedUpstream lapsed;
    auto& [contacts, directory] = lapsed;
    directory.expire(contacts, start + 2s);
    CHECK(usable(directory).size() == 1);
    contacts.report({ "10.0.0.1" }, true, start + 4s);
    directory.expire(contacts, start + 4s);
    CHECK(usable(directory).size() == 1);
    directory.expire(contacts, start + 4s + lapsedRecordGrace);
    CHECK(usable(directory).empty());
}

TEST_CASE("a lapsed upstream whose VM is not heard of any more is gone")
{
    LapsedUpstream lapsed;
    auto& [contacts, directory] = lapsed;
    directory.expire(contacts, start + 5s);
    CHECK(usable(directory).empty());
}

TEST_CASE("only VMs with a published entry are homes of plans: a node that has just started knows no others")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    directory.put(makeUpstreamRecord("i-2", "10.0.0.2:80"), 6, start);
    directory.removeWhileStoreUnreachable({ "i-1" });
    CHECK(directory.vms().size() == 2);
    CHECK(directory.publishedVms() == std::vector<VmId> { { "10.0.0.2" } });
}

TEST_CASE("the list of usable upstreams follows each change of the directory")
{
    StoreReachability contacts;
    UpstreamDirectory directory;
    CHECK(usable(directory).empty());
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), 5, start);
    CHECK(usable(directory).size() == 1);
    directory.put(makeUpstreamRecord("i-2", "10.0.0.1:80"), 6, start); // the same address, newer
    CHECK(usable(directory) == std::vector<std::string> { "i-2" });
    directory.remove({ "i-2" }, start + 1s);
    directory.expire(contacts, start + 2s);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    directory.remove({ "i-1" }, std::nullopt);
    CHECK(usable(directory).empty());
}
