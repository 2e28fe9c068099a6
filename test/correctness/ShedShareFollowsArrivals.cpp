// The share of the demand that an upstream asks entry nodes to shed, simulated with entry nodes that apply it
// after a delay.
#include "coordination/OverloadController.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 20ms;
constexpr Duration meanServiceTime = 30ms;
constexpr std::uint32_t limit = 24;
/// From the entry node's decision until the calls that follow from it arrive.
constexpr int delaySteps = 20;

/// A gate whose entry nodes apply the controller's shed share after a delay.
class ControlLoop {
public:
    /// Runs with a constant demand, in slots, and returns the share of the capacity that was used.
    double run(double demand, int steps)
    {
        double served = 0;
        for (int i = 0; i < steps; ++i) {
            admittedShares.push_back(1 - controller.shedShare());
            const double share = admittedShares.size() > delaySteps ? admittedShares.front() : 1;
            if (admittedShares.size() > delaySteps)
                admittedShares.pop_front();
            const double offered
                = demand * share * toSeconds(step) / toSeconds(meanServiceTime) + fractionalArrivals;
            const auto arrivals = static_cast<std::uint32_t>(offered);
            fractionalArrivals = offered - arrivals;
            const double capacity = limit * toSeconds(step) / toSeconds(meanServiceTime);
            const double work = queue + arrivals;
            const double done = std::min(work, capacity);
            served += done / capacity;
            queue = std::min(work - done, 400.0);
            now += step;
            const auto running = static_cast<std::uint32_t>(std::min<double>(limit, work));
            controller.observe(
                { running, static_cast<std::uint32_t>(queue), limit }, arrivals, meanServiceTime, now);
        }
        return served / steps;
    }

    OverloadController controller;
    std::deque<double> admittedShares;
    double queue { 0 };
    double fractionalArrivals { 0 };
    Instant now { 100s };
};

} // namespace

TEST_CASE("a demand below the capacity is not shed")
{
    ControlLoop loop;
    loop.run(0.8 * limit, 500);
    CHECK(loop.controller.shedShare() < 0.01);
}

TEST_CASE("a demand of twice the capacity is shed by half: slots stay in use and the queue stays short")
{
    ControlLoop loop;
    loop.run(2.0 * limit, 250);
    const double utilization = loop.run(2.0 * limit, 500);
    CHECK(utilization > 0.85);
    CHECK(loop.controller.shedShare() > 0.4);
    CHECK(loop.controller.shedShare() < 0.65);
    CHECK(loop.queue < limit);
}

TEST_CASE("shedding ends within 2 s of the end of the overload")
{
    ControlLoop loop;
    loop.run(2.0 * limit, 500);
    loop.run(0.5 * limit, 100);
    CHECK(loop.controller.shedShare() < 0.05);
}

TEST_CASE("the shed share stays below a half while a long queue empties")
{
    // The calls of requests admitted earlier fill the gate for a while: they arrive as fast as slots free up,
    // whatever share is refused now.
    OverloadController controller;
    Instant now { 100s };
    double queue = 300;
    double maxShedShare = 0;
    for (; queue > 0; queue -= 2) {
        now += step;
        controller.observe({ limit, static_cast<std::uint32_t>(queue), limit }, 16, meanServiceTime, now);
        maxShedShare = std::max(maxShedShare, controller.shedShare());
    }
    CHECK(maxShedShare < 0.5);
}

TEST_CASE("a pause of the process does not raise the shed share")
{
    OverloadController controller;
    controller.observe({ limit, 0, limit }, 16, meanServiceTime, Instant(100s));
    controller.observe({ limit, 200, limit }, 5000, meanServiceTime, Instant(110s));
    CHECK(controller.shedShare() < 0.01);
}
