// Random arrivals, departures, withdrawals, expiries and changes of the limit: the gate lets no arrival run
// above its limit, and no waiting request is lost.
#include "coordination/SlotGate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

enum class Operation {
    Arrive,
    Depart,
    Withdraw,
    Expire,
    Resize,
};

struct Step {
    Operation operation;
    int number; // Arrive: rank + 1; Depart, Withdraw: index of a ticket; Resize: slots - 1
    int milliseconds; // since the previous step
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::operation,
            rc::gen::weightedElement<Operation>({ { 8, Operation::Arrive }, { 6, Operation::Depart },
                { 1, Operation::Withdraw }, { 2, Operation::Expire }, { 1, Operation::Resize } })),
        rc::gen::set(&Step::number, rc::gen::inRange(0, 40)),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(0, 30)));
}

/// The tickets that run and wait by the calls to the gate and their results.
struct Model {
    std::set<GateTicket> running;
    std::set<GateTicket> waiting;

    void start(const std::vector<GateTicket>& tickets)
    {
        for (const GateTicket ticket : tickets) {
            RC_ASSERT(waiting.erase(ticket) == 1U);
            running.insert(ticket);
        }
    }
};

GateTicket pick(const std::set<GateTicket>& tickets, int number)
{
    return *std::next(tickets.begin(), number % static_cast<int>(tickets.size()));
}

} // namespace

TEST_CASE("property: the gate runs no arrival above its limit and loses no waiting request")
{
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<Step>>(300, genStep());
        Instant now { 100s };
        SlotGate gate;
        gate.setSlots(10, now);
        Model model;
        GateTicket next = 1;
        for (const Step& step : steps) {
            now += std::chrono::milliseconds(step.milliseconds);
            switch (step.operation) {
            case Operation::Arrive: {
                const GateTicket ticket = next++;
                const GateDecision decision = gate.arrive({ ticket, step.number - 1, now + 100ms }, now);
                if (decision == GateDecision::Run) {
                    RC_ASSERT(gate.state().running <= gate.state().limit);
                    model.running.insert(ticket);
                } else if (decision == GateDecision::Queued)
                    model.waiting.insert(ticket);
                break;
            }
            case Operation::Depart:
                if (!model.running.empty()) {
                    model.running.erase(pick(model.running, step.number));
                    model.start(gate.depart(20ms, now));
                }
                break;
            case Operation::Withdraw:
                if (!model.waiting.empty()) {
                    const GateTicket ticket = pick(model.waiting, step.number);
                    RC_ASSERT(gate.withdraw(ticket));
                    model.waiting.erase(ticket);
                }
                break;
            case Operation::Expire:
                for (const GateTicket ticket : gate.expire(now))
                    RC_ASSERT(model.waiting.erase(ticket) == 1U);
                break;
            case Operation::Resize:
                model.start(gate.setSlots(static_cast<std::uint32_t>(1 + step.number), now));
                break;
            }
            RC_ASSERT(gate.state().running == model.running.size());
            RC_ASSERT(gate.state().queued == model.waiting.size());
        }
        // Every request waits 100 ms at most: those left have expired by now.
        now += 1s;
        for (const GateTicket ticket : gate.expire(now))
            model.waiting.erase(ticket);
        RC_ASSERT(model.waiting.empty());
    });
    CHECK(holds);
}
