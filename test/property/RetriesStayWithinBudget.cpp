// All nodes together send no more repeats than the operator's ratio and extra allow, in any window, also when
// each level of a call tree repeats on its own.
#include "coordination/RetryBudget.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "deep" };
constexpr RetryLimits bounds { 0.2, 10s, 50 };
constexpr std::size_t nodes = 5;

struct Step {
    int node;
    int milliseconds; // until the step
    int firsts;
    int repeatsWanted;
};

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::node, rc::gen::inRange(0, static_cast<int>(nodes))),
        rc::gen::set(&Step::milliseconds, rc::gen::inRange(1, 200)),
        rc::gen::set(&Step::firsts, rc::gen::inRange(0, 60)),
        rc::gen::set(&Step::repeatsWanted, rc::gen::inRange(0, 60)));
}

} // namespace

TEST_CASE("property: repeats stay within their bound over all nodes")
{
    const bool holds = rc::check([] {
        const auto steps = *rc::gen::container<std::vector<Step>>(300, genStep());
        std::vector<RetryBudget> budgets(nodes, RetryBudget(bounds));
        for (RetryBudget& budget : budgets)
            budget.setNodeCount(nodes);
        Instant now { 100s };
        std::deque<std::pair<Instant, int>> firsts;
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
            for (int i = 0; i < step.firsts; ++i)
                budget.recordFirstAttempt(service, now);
            int spent = 0;
            for (int i = 0; i < step.repeatsWanted; ++i)
                spent += budget.spend(service, now) ? 1 : 0;
            firsts.emplace_back(now, step.firsts);
            retries.emplace_back(now, spent);
            // Requests of this window or of the one before count, as they pay for repeats later.
            const int paid = sumSince(firsts, now - 2 * bounds.window);
            RC_ASSERT(sumSince(retries, now - bounds.window) <= bounds.ratio * paid + bounds.extraRetries);
        }
    });
    CHECK(holds);
}
