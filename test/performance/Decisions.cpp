// Benchmarks of single decisions and codecs on the path of a request. Run by `make bench`.
#include "coordination/EntryAdmission.h"
#include "coordination/SlotGate.h"
#include "coordination/TokenBuckets.h"
#include "coordination/UpstreamSelector.h"
#include "protocol/PeerFrame.h"
#include "transport/HttpCodec.h"

#include <benchmark/benchmark.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

void admitRequest(benchmark::State& state)
{
    EntryAdmission admission(1);
    const DemandClass demand { { "read" }, 2, 1, false };
    for (auto _ : state)
        benchmark::DoNotOptimize(admission.admit(demand));
}
BENCHMARK(admitRequest);

void selectUpstream(benchmark::State& state)
{
    UpstreamSelector selector({ "a" }, 1);
    std::vector<KnownUpstream> upstreams;
    for (int i = 0; i < state.range(0); ++i) {
        UpstreamRecord record;
        record.vm = { "10.0.0." + std::to_string(i) };
        record.dataCentre = { i % 3 == 0 ? "a" : "b" };
        record.slots = 100;
        upstreams.push_back({ record, { 0, 1 }, start, std::nullopt, false });
        selector.recordLoadReport(record.vm, { { 50, 0, 94 }, 0, 40ms, true }, start);
    }
    std::vector<const KnownUpstream*> candidates;
    candidates.reserve(upstreams.size());
    for (const KnownUpstream& upstream : upstreams)
        candidates.push_back(&upstream);
    for (auto _ : state)
        benchmark::DoNotOptimize(selector.select(candidates, {}, start));
}
BENCHMARK(selectUpstream)->Arg(6)->Arg(42);

void passThroughGate(benchmark::State& state)
{
    SlotGate gate;
    gate.setSlots(100, start);
    GateTicket ticket = 0;
    for (auto _ : state) {
        gate.arrive({ ++ticket, 0, start + 1s }, start);
        benchmark::DoNotOptimize(gate.depart(20ms, start));
    }
}
BENCHMARK(passThroughGate);

void useToken(benchmark::State& state)
{
    TokenBuckets buckets(1);
    TokenCache cache;
    const TeamId team { "team" };
    const TeamPlan plan { 1e9, 1e9 };
    for (auto _ : state) {
        if (!cache.use(team, start))
            cache.add(team, buckets.take(team, plan, cache.tokensToRequest(team), start).tokens, start);
    }
}
BENCHMARK(useToken);

void encodeAndDecodeRequest(benchmark::State& state)
{
    HopRequest request;
    request.route = { "read" };
    request.target = "/records/12345";
    request.method = "GET";
    for (const char* name : { "Host", "Accept", "X-Request", "X-Caller", "X-Team" })
        request.fields.add(name, "a value of some length");
    for (auto _ : state) {
        std::size_t consumed = 0;
        benchmark::DoNotOptimize(decodeFrame(encodeFrame(request), consumed));
    }
}
BENCHMARK(encodeAndDecodeRequest);

void parseRequest(benchmark::State& state)
{
    const std::string bytes = "GET /records/12345 HTTP/1.1\r\nHost: example\r\nAccept: */*\r\n"
                              "Authorization: Bearer key\r\nX-Request: 0123456789abcdef\r\n\r\n";
    for (auto _ : state) {
        RequestParser parser(16384, 1 << 20);
        parser.feed(bytes);
        benchmark::DoNotOptimize(parser.take());
    }
}
BENCHMARK(parseRequest);

} // namespace

BENCHMARK_MAIN();
