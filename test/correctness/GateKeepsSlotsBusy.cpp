// The gate in front of an upstream: how many requests run, which starts next, and which are refused at once.
#include "coordination/SlotGate.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

/// A gate for an upstream of 5 slots, of which one stays free.
SlotGate makeGate()
{
    SlotGate gate;
    gate.setSlots(5, start);
    return gate;
}

GateRequest makeRequest(GateTicket ticket, int rank = 0, Duration maxWait = 10s)
{
    return { ticket, rank, start + maxWait };
}

void fill(SlotGate& gate)
{
    for (GateTicket ticket = 1; ticket <= 4; ++ticket)
        CHECK(gate.arrive(makeRequest(ticket), start) == GateDecision::Run);
}

} // namespace

TEST_CASE("requests run while slots are free, and are queued after that")
{
    SlotGate gate = makeGate();
    fill(gate);
    CHECK(gate.arrive(makeRequest(5), start) == GateDecision::Queued);
    CHECK(gate.state() == GateState { 4, 1, 4 });
    CHECK(gate.depart(10ms, start) == std::vector<GateTicket> { 5 });
    CHECK(gate.state() == GateState { 4, 0, 4 });
}

TEST_CASE("requests of lower rank start first, and earlier ones first among equal ranks")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5, 2), start);
    gate.arrive(makeRequest(6, 1), start);
    gate.arrive(makeRequest(7, -1), start);
    gate.arrive(makeRequest(8, 1), start);
    std::vector<GateTicket> started;
    started.reserve(4);
    for (int i = 0; i < 4; ++i)
        started.push_back(gate.depart(10ms, start).at(0));
    CHECK(started == std::vector<GateTicket> { 7, 6, 8, 5 });
}

TEST_CASE("a stream of requests of lower rank that fills the slots does not starve one of higher rank")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5, 32), start);
    GateTicket next = 6;
    Instant now = start;
    std::vector<GateTicket> started;
    while (now < start + 200ms && std::ranges::find(started, 5) == started.end()) {
        now += 5ms;
        gate.arrive(makeRequest(next++, -1), now);
        for (const GateTicket ticket : gate.depart(20ms, now))
            started.push_back(ticket);
    }
    CHECK(now <= start + 50ms);
    CHECK(started.size() > 1); // requests of lower rank that came a little later started first
}

TEST_CASE("a request that would start too late is refused at once")
{
    SlotGate gate = makeGate();
    fill(gate);
    CHECK(gate.arrive(makeRequest(5, 0, 1ms), start) == GateDecision::Refused);
    CHECK(gate.state().queued == 0);
}

TEST_CASE("a request whose latest start has passed expires and does not start")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5, 0, 100ms), start);
    CHECK(gate.depart(10ms, start + 200ms).empty());
    CHECK(gate.expire(start + 200ms) == std::vector<GateTicket> { 5 });
    CHECK(gate.expire(start + 200ms).empty());
}

TEST_CASE("a withdrawn request leaves the queue")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5), start);
    CHECK(gate.withdraw(5));
    CHECK_FALSE(gate.withdraw(5));
    CHECK(gate.depart(10ms, start).empty());
}

TEST_CASE("additional slots start queued requests")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5), start);
    gate.arrive(makeRequest(6), start);
    CHECK(gate.setSlots(7, start) == std::vector<GateTicket> { 5, 6 });
}

TEST_CASE("the expected wait grows only with the requests ahead in the queue")
{
    SlotGate gate = makeGate();
    fill(gate);
    gate.arrive(makeRequest(5, 5), start);
    CHECK(gate.expectedWait(0, start) < gate.expectedWait(5, start));
}
