// Random orders of events around requests that must run at most once: rejections that come late, lost links,
// connections and processes, lapsed records, deadlines, callers that leave and nodes that stop.
#include "support/ModelledFleet.h"
#include "transport/Log.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;
using namespace std::chrono_literals;

namespace {

enum class Operation {
    Send,
    DisconnectCaller,
    SetFaults,
    LoseLink,
    ReplaceProcess,
    Pause,
    Stop,
    LapseRecord,
    RestartUpstream,
    LoseVm,
};

struct Step {
    Operation operation;
    std::size_t vm;
    int number; // meaning depends on the operation
    int milliseconds; // since the previous step
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::operation,
            rc::gen::weightedElement<Operation>(
                { { 100, Operation::Send }, { 3, Operation::DisconnectCaller }, { 4, Operation::SetFaults },
                    { 4, Operation::LoseLink }, { 1, Operation::ReplaceProcess }, { 2, Operation::Pause },
                    { 1, Operation::Stop }, { 1, Operation::LapseRecord }, { 1, Operation::RestartUpstream },
                    { 4, Operation::LoseVm } })),
        rc::gen::set(&Step::vm, rc::gen::inRange<std::size_t>(0, ModelledFleet::vmCount)),
        rc::gen::set(&Step::number, rc::gen::inRange(0, 60)),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(0, 60)));
}

void play(ModelledFleet& fleet, const Step& step)
{
    const auto number = static_cast<std::uint64_t>(step.number);
    const Duration time = number * 60ms;
    switch (step.operation) {
    case Operation::Send:
        return fleet.sendRequest(step.vm,
            number % 4 == 0       ? "read"
                : number % 4 == 1 ? "call"
                                  : "order",
            number % 5 == 0 ? 500ms : 500ms + 2 * time);
    case Operation::DisconnectCaller:
        if (!fleet.requests.empty())
            fleet.disconnectCaller(std::to_string(
                fleet.requests.size() - number % std::min<std::size_t>(fleet.requests.size(), 15)));
        return;
    case Operation::SetFaults:
        return fleet.upstreams[step.vm].setFaults({ number, 50, number / 5, number / 10, number / 5 });
    case Operation::LoseLink:
        return fleet.loseLink((step.vm + 1 + number % 2) % ModelledFleet::vmCount, step.vm,
            static_cast<ModelledFleet::LinkLoss>(number / 2 % 3));
    case Operation::ReplaceProcess:
        return fleet.replaceProcess(step.vm, time);
    case Operation::Pause:
        return fleet.pause(step.vm, time);
    case Operation::Stop:
        return fleet.stop(step.vm, time);
    case Operation::LapseRecord:
        return fleet.lapseRecord(step.vm, time);
    case Operation::RestartUpstream:
        return fleet.restartUpstream(step.vm, time / 4);
    case Operation::LoseVm:
        fleet.restartUpstream(step.vm, time);
        fleet.replaceProcess(step.vm, time);
        return fleet.lapseRecord(step.vm, time);
    }
}

bool promisesNotRun(std::uint16_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

TEST_CASE(
    "property: a request that must not run twice doesn't, nor one whose response says that it has not run")
{
    Log::setLevel(Log::Level::Error);
    const bool holds = rc::check([] {
        ModelledFleet fleet(*rc::gen::arbitrary<std::uint64_t>());
        const auto steps = *rc::gen::scale(80, rc::gen::container<std::vector<Step>>(genStep()));
        fleet.advance(500ms);
        for (const Step& step : steps) {
            fleet.advance(std::chrono::milliseconds(step.milliseconds));
            play(fleet, step);
        }
        fleet.advance(15s); // longer than any request has left
        for (const auto& [id, request] : fleet.requests) {
            if (!request.isIdempotent) {
                RC_ASSERT(fleet.runsOf(id) <= 1);
                RC_ASSERT(!promisesNotRun(request.status) || fleet.runsOf(id) == 0);
            }
            const bool isOwed = !request.isGone && fleet.isAlive(request.vm, request.process);
            RC_ASSERT(request.responses <= 1);
            RC_ASSERT(!isOwed || request.responses == 1);
        }
        RC_ASSERT(fleet.openCount() == 0U);
    });
    CHECK(holds);
}
