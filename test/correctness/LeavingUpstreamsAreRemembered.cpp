// An upstream that says in a response that it is leaving gets no later requests, also when its node restarts.
#include "support/HopServiceFixture.h"

#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

const VmId leavingVm { "10.0.0.2" };

ScriptedResponse respondLeaving(const HttpRequest& request)
{
    std::string bytes = sealedResponse(request);
    bytes.insert(bytes.find("X-Seal"), "X-Leaving: 1\r\n");
    return { bytes };
}

UpstreamLoad makeLeavingLoad()
{
    return { { 0, 0, 10 }, 0, 50ms, false, UpstreamNotice { { "i-2" }, std::nullopt, true } };
}

/// Sends requests and returns how many go to the leaving VM.
int requestsToLeavingVm(EntryServiceFixture& fixture)
{
    int count = 0;
    for (int i = 0; i < 50; ++i) {
        const std::size_t before = fixture.transport.sent.size();
        fixture.begin("/read/1", std::to_string(i));
        for (std::size_t sent = before; sent < fixture.transport.sent.size(); ++sent)
            count += fixture.transport.sent[sent].vm == leavingVm ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a node whose upstream is leaving says so and rejects requests after a part of the drain time")
{
    HopServiceFixture fixture(respondLeaving);
    Duration passed { 0 };
    fixture.state.clock = [&] { return monotonicNow() + passed; };
    fixture.requestAndWait(1, true);
    CHECK_FALSE(fixture.hop.load().acceptsRequests);
    REQUIRE(fixture.hop.load().notice);
    CHECK(fixture.hop.load().notice->leaving);
    passed = fixture.state.drainAcceptTime() + 100ms;
    fixture.requestAndWait(2, true);
    CHECK(fixture.responses.back().reason == HopReason::UpstreamDraining);
    CHECK(fixture.upstream.requests().size() == 1);

    UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
    record.startedAt = 1; // another run with the same id
    fixture.state.directory.put(record, { 0, 2 }, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now());
    CHECK(fixture.hop.load().acceptsRequests);
    fixture.requestAndWait(3, true);
    CHECK(fixture.upstream.requests().size() == 2);
}

TEST_CASE("an entry node sends nothing to a leaving upstream, also after its node has restarted")
{
    EntryServiceFixture fixture;
    CHECK(requestsToLeavingVm(fixture) > 0);
    UpstreamLoad load = makeLeavingLoad();
    fixture.state.recordLoadReport(leavingVm, load, fixture.now);
    load = { { 0, 0, 10 }, 0, 50ms, true, std::nullopt };
    fixture.state.recordLoadReport(leavingVm, load, fixture.now);
    CHECK(requestsToLeavingVm(fixture) == 0);
}

TEST_CASE("without another upstream a leaving one is used for a part of the drain time, and not later")
{
    EntryServiceFixture fixture;
    fixture.transport.unreachable = { { "10.0.0.3" } };
    fixture.state.recordLoadReport(leavingVm, makeLeavingLoad(), fixture.now);
    CHECK(requestsToLeavingVm(fixture) == 50);
    fixture.now += fixture.state.drainAcceptTime() + 1ms;
    fixture.state.recordLoadReport(leavingVm, makeLeavingLoad(), fixture.now);
    CHECK(requestsToLeavingVm(fixture) == 0);
}

TEST_CASE("another run with the same id is not leaving")
{
    EntryServiceFixture fixture;
    fixture.state.recordLoadReport(leavingVm, makeLeavingLoad(), fixture.now);
    UpstreamRecord record = makeUpstreamRecord("i-2", leavingVm.text);
    record.startedAt = 1;
    fixture.state.directory.put(record, { 0, 3 }, fixture.now);
    fixture.state.recordLoadReport(leavingVm, { { 0, 0, 10 }, 0, 50ms, true, std::nullopt }, fixture.now);
    CHECK(requestsToLeavingVm(fixture) > 0);
}

TEST_CASE("a request that waited at the gate is not sent after the drain time")
{
    HopServiceFixture fixture([](const HttpRequest&) { return ScriptedResponse { "", false, true }; });
    Duration passed { 0 };
    fixture.state.clock = [&] { return monotonicNow() + passed; };
    UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
    record.slots = 1;
    fixture.state.directory.put(record, { 0, 2 }, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now());
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(1, true));
    fixture.hop.request(fixture.origin, HopServiceFixture::makeRequest(2, true));
    REQUIRE(fixture.hop.load().gate.queued == 1);
    record.draining = true;
    fixture.state.directory.put(record, { 0, 3 }, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now());
    passed = fixture.state.drainAcceptTime() + 10ms;
    fixture.hop.cancel(fixture.origin, 1); // its slot is free
    REQUIRE(fixture.responses.size() == 1);
    CHECK(fixture.responses.back().reason == HopReason::UpstreamDraining);
}

TEST_CASE("the node of an upstream whose record was removed rejects requests after a part of the drain time")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
    Duration passed { 0 };
    fixture.state.clock = [&] { return monotonicNow() + passed; };
    const UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
    fixture.state.directory.remove(record.instance, std::nullopt, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now());
    CHECK_FALSE(fixture.hop.load().acceptsRequests);
    fixture.requestAndWait(1, true); // from an entry node that doesn't know of the removal yet
    CHECK(fixture.responses.back().outcome == HopOutcome::Responded);
    passed = fixture.state.drainAcceptTime() + 100ms;
    fixture.requestAndWait(2, true);
    CHECK(fixture.responses.back().reason == HopReason::UpstreamDraining);
    fixture.state.directory.put(record, { 0, 2 }, fixture.state.now());
    fixture.hop.refreshUpstream(fixture.state.now());
    fixture.requestAndWait(3, true); // the record had only lapsed
    CHECK(fixture.responses.back().outcome == HopOutcome::Responded);
}

TEST_CASE("a request is not sent when the news that the upstream is draining came late")
{
    const auto reasonAfterNews = [](std::optional<Duration> age) {
        HopServiceFixture fixture(
            [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
        const Instant now = fixture.state.now();
        UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
        record.draining = true;
        fixture.state.directory.put(
            record, { 0, 2 }, { now, age ? std::optional(now - *age) : std::nullopt });
        fixture.hop.refreshUpstream(now);
        fixture.requestAndWait(1, true);
        return fixture.responses.at(0).reason;
    };
    CHECK(reasonAfterNews(100ms) == HopReason::None);
    CHECK(reasonAfterNews(1900ms) == HopReason::UpstreamDraining);
    CHECK(reasonAfterNews(std::nullopt) == HopReason::UpstreamDraining);
}

TEST_CASE("a request is not sent when the record was removed long before the upstream fell out of use")
{
    HopServiceFixture fixture(
        [](const HttpRequest& request) { return ScriptedResponse { sealedResponse(request) }; });
    const Instant now = fixture.state.now();
    const UpstreamRecord record = fixture.state.directory.newestAtAddress(fixture.upstream.address())->record;
    fixture.state.directory.remove(record.instance, now, now - 3s);
    fixture.state.directory.expire({}, now);
    fixture.hop.refreshUpstream(now);
    fixture.requestAndWait(1, true);
    CHECK(fixture.responses.at(0).reason == HopReason::UpstreamDraining);
}
