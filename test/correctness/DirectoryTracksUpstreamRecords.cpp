// Which upstreams may get requests while their records are added, drain, lapse and are written again.
#include "coordination/UpstreamDirectory.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
const StoreReachability noReports;
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

/// An upstream whose record lapsed while its VM could not reach the store.
struct LapsedUpstream {
    LapsedUpstream()
    {
        directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start - 60s);
        reachability.report({ "10.0.0.1" }, false, start);
        directory.removeUnlessLapsed({ "i-1" }, start);
    }

    StoreReachability reachability;
    UpstreamDirectory directory;
};

} // namespace

TEST_CASE("a draining upstream gets no requests")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80", true), { 0, 6 }, start);
    CHECK(usable(directory).empty());
}

TEST_CASE("of two records with one address only the one written last is valid")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-9", "10.0.0.1:80"), { 0, 5 }, start);
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 9 }, start);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    CHECK(directory.newestAtAddress("10.0.0.1:80")->record.instance.text == "i-1");
    directory.remove({ "i-9" }, std::nullopt, start);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
}

TEST_CASE("a record that lapses stays usable until its grace period ends")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    directory.remove({ "i-1" }, start + 1s, start);
    directory.expire(noReports, start + 999ms);
    CHECK(usable(directory).size() == 1);
    directory.expire(noReports, start + 1s);
    CHECK(usable(directory).empty());
}

TEST_CASE("a record that is written again within its grace period stays usable")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    directory.remove({ "i-1" }, start + 2s, start);
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 8 }, start + 1s);
    directory.expire(noReports, start + 3s);
    CHECK(usable(directory).size() == 1);
}

TEST_CASE("a draining record that lapses is removed at once")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80", true), { 0, 5 }, start);
    directory.remove({ "i-1" }, start + 2s, start);
    CHECK(directory.size() == 0);
}

TEST_CASE("a record that is removed while the store is reachable gets no grace period")
{
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    directory.remove({ "i-1" }, std::nullopt, start);
    CHECK(directory.size() == 0);
}

TEST_CASE("while its VM can't reach the store a lapsed record is usable, and for the grace period afterwards")
{
    LapsedUpstream lapsed;
    auto& [reachability, directory] = lapsed;
    directory.expire(reachability, start + 2s);
    CHECK(usable(directory).size() == 1);
    reachability.report({ "10.0.0.1" }, false, start + 4s);
    reachability.report({ "10.0.0.1" }, true, start + 4500ms);
    directory.expire(reachability, start + 4500ms);
    CHECK(usable(directory).size() == 1);
    directory.expire(reachability, start + 4s + lapsedRecordGrace);
    CHECK(usable(directory).empty());
}

TEST_CASE("a lapsed record of a VM without recent reports is not usable")
{
    LapsedUpstream lapsed;
    auto& [reachability, directory] = lapsed;
    directory.expire(reachability, start + 5s);
    CHECK(usable(directory).empty());
}

TEST_CASE("a VM whose record has lapsed is not a published VM")
{
    // Only published VMs own plans: a node that has just started knows no others.
    UpstreamDirectory directory;
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    directory.put(makeUpstreamRecord("i-2", "10.0.0.2:80"), { 0, 6 }, start);
    directory.removeUnlessLapsed({ "i-1" }, start);
    CHECK(directory.vms().size() == 2);
    CHECK(directory.publishedVms() == std::vector<VmId> { { "10.0.0.2" } });
}

TEST_CASE("the list of usable upstreams follows each change of the directory")
{
    StoreReachability reachability;
    UpstreamDirectory directory;
    CHECK(usable(directory).empty());
    directory.put(makeUpstreamRecord("i-1", "10.0.0.1:80"), { 0, 5 }, start);
    CHECK(usable(directory).size() == 1);
    directory.put(makeUpstreamRecord("i-2", "10.0.0.1:80"), { 0, 6 }, start); // the same address, newer
    CHECK(usable(directory) == std::vector<std::string> { "i-2" });
    directory.remove({ "i-2" }, start + 1s, start);
    directory.expire(reachability, start + 2s);
    CHECK(usable(directory) == std::vector<std::string> { "i-1" });
    directory.remove({ "i-1" }, std::nullopt, start);
    CHECK(usable(directory).empty());
}
