// In any window all nodes together send no more retries than the operator's ratio and extra retries allow.
#include "coordination/RetryBudget.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "deep" };
constexpr RetryLimits limits { 0.2, 10s, 50 };
constexpr std::size_t nodeCount = 5;

struct Step {
    int node;
    int milliseconds; // since the previous step
    int firstAttempts;
    int requestedRetries;
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::node, rc::gen::inRange(0, static_cast<int>(nodeCount))),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(1, 200)),
        rc::gen::set(&Step::firstAttempts, rc::gen::inRange(0, 60)),
        rc::gen::set(&Step::requestedRetries, rc::gen::inRange(0, 60)));
}

} // namespace

TEST_CASE("property: retries of all nodes stay within the operator's limits in any window")
{
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<Step>>(300, genStep());
        std::vector<RetryBudget> budgets(nodeCount, RetryBudget(limits));
        for (RetryBudget& budget : budgets)
            budget.setNodeCount(nodeCount);
        Instant now { 100s };
        std::deque<std::pair<Instant, int>> firstAttempts;
        std::deque<std::pair<Instant, int>> retries;
        const auto sumSince = [](const auto& counts, Instant since) {
            int sum = 0;
            for (const auto& [at, count] : counts)
                sum += at > since ? count : 0;
            return sum;
        };
        for (const Step& step : steps) {
            now += std::chrono::milliseconds(step.milliseconds);
            RetryBudget& budget = budgets[static_cast<std::size_t>(step.node)];
            for (int i = 0; i < step.firstAttempts; ++i)
                budget.recordFirstAttempt(service, now);
            int spent = 0;
            for (int i = 0; i < step.requestedRetries; ++i)
                spent += budget.spend(service, now) ? 1 : 0;
            firstAttempts.emplace_back(now, step.firstAttempts);
            retries.emplace_back(now, spent);
            // First attempts of the previous window count too, as retries that they earned may come later.
            const int earningAttempts = sumSince(firstAttempts, now - 2 * limits.window);
            RC_ASSERT(sumSince(retries, now - limits.window)
                <= limits.ratio * earningAttempts + limits.extraRetries);
        }
    });
    CHECK(holds);
}
