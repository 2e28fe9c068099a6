// Whatever comes and goes, no more requests run than the limit allows, and none that waits is forgotten.
#include "coordination/SlotGate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

enum class Move {
    Arrive,
    Depart,
    Withdraw,
    Expire,
    Resize,
};

struct Step {
    Move move;
    int number; // a rank, an index or a count of slots
    int milliseconds;
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::move,
                                    rc::gen::weightedElement<Move>({ { 8, Move::Arrive }, { 6, Move::Depart },
                                        { 1, Move::Withdraw }, { 2, Move::Expire }, { 1, Move::Resize } })),
        rc::gen::set(&Step::number, rc::gen::inRange(0, 40)),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(0, 30)));
}

/// What the gate has been told and has said.
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

TEST_CASE("property: the gate never overruns and forgets nothing")
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
            switch (step.move) {
            case Move::Arrive: {
                const GateTicket ticket = next++;
                const GateDecision decision = gate.arrive({ ticket, step.number - 1, now + 100ms }, now);
                if (decision == GateDecision::Run) {
                    RC_ASSERT(gate.state().running <= gate.state().limit);
                    model.running.insert(ticket);
                } else if (decision == GateDecision::Queued)
                    model.waiting.insert(ticket);
                break;
            }
            case Move::Depart:
                if (!model.running.empty()) {
                    model.running.erase(pick(model.running, step.number));
                    model.start(gate.depart(20ms, now));
                }
                break;
            case Move::Withdraw:
                if (!model.waiting.empty()) {
                    const GateTicket ticket = pick(model.waiting, step.number);
                    RC_ASSERT(gate.withdraw(ticket));
                    model.waiting.erase(ticket);
                }
                break;
            case Move::Expire:
                for (const GateTicket ticket : gate.expire(now))
                    RC_ASSERT(model.waiting.erase(ticket) == 1U);
                break;
            case Move::Resize:
                model.start(gate.setSlots(static_cast<std::uint32_t>(1 + step.number), now));
                break;
            }
            RC_ASSERT(gate.state().running == model.running.size());
            RC_ASSERT(gate.state().queued == model.waiting.size());
        }
        // All that wait start or are given up in the end.
        now += 1s;
        for (const GateTicket ticket : gate.expire(now))
            model.waiting.erase(ticket);
        RC_ASSERT(model.waiting.empty());
    });
    CHECK(holds);
}
