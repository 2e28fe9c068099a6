// In any window all nodes of a service together send no more repeats than the operator's limits allow.
#include "coordination/RetryBudget.h"
#include "lab/RetryUse.h"
#include "lab/SimulationRun.h"
#include "transport/Log.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "deep" };
const RouteId route { "call" };
constexpr RetryLimits limits { 0.2, 10s, 50 };
constexpr std::size_t nodeCount = 5;

struct Step {
    int node;
    int milliseconds; // since the previous step
    int firstAttempts;
    int requestedRetries;
    bool restarts; // the node loses its counts
};

/// What the nodes report to each other of the requests that they get.
class ServiceRequests {
public:
    void add(int requests) { m_requests += requests; }
    /// Passes the rate of the last period on to all nodes.
    void report(std::vector<RetryBudget>& budgets, Instant now)
    {
        if (now < m_reportedAt + period)
            return;
        const double rate = m_requests / toSeconds(now - m_reportedAt);
        for (RetryBudget& budget : budgets)
            budget.recordServiceRequests(rate, now);
        m_reportedAt = now;
        m_requests = 0;
    }

private:
    static constexpr Duration period = 250ms;
    double m_requests { 0 };
    Instant m_reportedAt { 100s };
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::node, rc::gen::inRange(0, static_cast<int>(nodeCount))),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(1, 200)),
        rc::gen::set(&Step::firstAttempts, rc::gen::inRange(0, 60)),
        rc::gen::set(&Step::requestedRetries, rc::gen::inRange(0, 60)),
        rc::gen::set(&Step::restarts, rc::gen::map(rc::gen::inRange(0, 100), [](int n) { return n == 0; })));
}

ServiceName serviceAt(int level) { return { "s" + std::to_string(level) }; }
RouteId kindAt(int level) { return { "k" + std::to_string(level) }; }

/// A tree of up to five levels with up to four calls per run at each, in which answers are lost and requests
/// rejected at random levels and times, the load changes and VMs end without notice.
LoadScenario makeScenario()
{
    LoadScenario scenario;
    const int levels = *rc::gen::inRange(1, 6);
    double runsPerRequest = 1;
    for (int level = 0; level < levels; ++level) {
        RequestKind kind;
        kind.name = kindAt(level);
        kind.service = serviceAt(level);
        kind.work = std::chrono::milliseconds(*rc::gen::inRange(5, 60));
        kind.targetLatency = 2s;
        kind.deadline = 4s;
        kind.requestsPerSecond = level == 0 ? *rc::gen::inRange(5, 30) : 0;
        if (level + 1 < levels) {
            kind.calls = { { kindAt(level + 1), *rc::gen::inRange(1, 5) } };
            runsPerRequest *= kind.calls[0].times;
        }
        const int vms = *rc::gen::inRange(1, 5);
        scenario.services.push_back({ kind.service, vms, 40, { 1 } });
        scenario.kinds.push_back(kind);
    }
    scenario.kinds[0].requestsPerSecond
        = std::max(1.0, std::min(scenario.kinds[0].requestsPerSecond, 600 / runsPerRequest));
    scenario.phases = { { 1, 6s }, { 0.1 * *rc::gen::inRange(1, 30), 14s }, { 0.6, 20s } };
    const int faults = *rc::gen::inRange(1, 5);
    for (int i = 0; i < faults; ++i) {
        ScenarioFault fault;
        fault.kind = *rc::gen::element(
            ScenarioFaultKind::LoseAnswers, ScenarioFaultKind::Reject, ScenarioFaultKind::Lose);
        fault.service = serviceAt(*rc::gen::inRange(0, levels));
        fault.share = 0.1 * *rc::gen::inRange(1, 11);
        fault.factor = 0.1 * *rc::gen::inRange(1, 9);
        fault.from = std::chrono::milliseconds(*rc::gen::inRange(0, 14000));
        fault.until = fault.from + std::chrono::milliseconds(*rc::gen::inRange(500, 12000));
        scenario.faults.push_back(fault);
    }
    return scenario;
}

} // namespace

TEST_CASE(
    "property: repeats of all nodes stay within the limits in any window, also over restarts and surges")
{
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<Step>>(300, genStep());
        const auto makeBudget = [] {
            RetryBudget budget(limits);
            budget.setUpstreamCount(nodeCount);
            return budget;
        };
        std::vector<RetryBudget> budgets(nodeCount, makeBudget());
        const bool reportsRequests = *rc::gen::arbitrary<bool>();
        const bool shiftsLoad = *rc::gen::arbitrary<bool>(); // from the first nodes to the others
        ServiceRequests serviceRequests;
        std::size_t stepsDone = 0;
        RetryUse use;
        Instant now { 100s };
        std::uint64_t sent = 0;
        for (const Step& step : steps) {
            now += std::chrono::milliseconds(step.milliseconds);
            const bool isShifted = shiftsLoad && ++stepsDone > steps.size() / 2;
            const auto node = static_cast<std::size_t>(step.node);
            RetryBudget& budget = budgets[!shiftsLoad ? node : isShifted ? 2 + node % 3 : node % 2];
            if (reportsRequests)
                serviceRequests.report(budgets, now);
            if (step.restarts)
                budget = makeBudget();
            serviceRequests.add(step.firstAttempts);
            for (int i = 0; i < step.firstAttempts; ++i) {
                use.recordRequest(service, now);
                use.recordArrival(service, std::to_string(++sent), now);
                budget.recordFirstAttempt(route, 0, now);
            }
            for (int i = 0; i < step.requestedRetries; ++i) {
                if (budget.takeRepeat(route, 0, now))
                    use.recordArrival(service, "1", now);
            }
        }
        RC_ASSERT(use.maxUse(limits) <= 1);
    });
    CHECK(holds);
}

TEST_CASE("property: repeats of random call trees stay within the limits of each of their services")
{
    Log::setLevel(Log::Level::Error);
    const bool holds = rc::check([] {
        const LoadScenario scenario = makeScenario();
        const SimulationResult result = runScenario(scenario, {}, *rc::gen::inRange(1, 1000));
        RC_ASSERT(result.measures.at("retry-use") <= 1);
    });
    CHECK(holds);
}
