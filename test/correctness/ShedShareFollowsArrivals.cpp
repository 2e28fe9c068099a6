// The share that an upstream asks the entries to refuse, played against entries that follow it late.
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
/// From the entry's decision until the calls that it leads to arrive.
constexpr int delaySteps = 20;

/// A gate with a constant demand, in slots, whose entries follow the control after a delay.
class Loop {
public:
    double run(double demand, int steps)
    {
        double served = 0;
        for (int i = 0; i < steps; ++i) {
            admitted.push_back(1 - control.shedShare());
            const double share = admitted.size() > delaySteps ? admitted.front() : 1;
            if (admitted.size() > delaySteps)
                admitted.pop_front();
            const double offered = demand * share * toSeconds(step) / toSeconds(meanServiceTime) + rest;
            const auto arrivals = static_cast<std::uint32_t>(offered);
            rest = offered - arrivals;
            const double capacity = limit * toSeconds(step) / toSeconds(meanServiceTime);
            const double work = queue + arrivals;
            const double done = std::min(work, capacity);
            served += done / capacity;
            queue = std::min(work - done, 400.0);
            now += step;
            const auto running = static_cast<std::uint32_t>(std::min<double>(limit, work));
            control.observe(
                { running, static_cast<std::uint32_t>(queue), limit }, arrivals, meanServiceTime, now);
        }
        return served / steps;
    }

    OverloadController control;
    std::deque<double> admitted;
    double queue { 0 };
    double rest { 0 };
    Instant now { 100s };
};

} // namespace

TEST_CASE("a load below the capacity is not shed")
{
    Loop loop;
    loop.run(0.8 * limit, 500);
    CHECK(loop.control.shedShare() < 0.01);
}

TEST_CASE("twice the capacity is shed by half: slots stay in use and the queue short")
{
    Loop loop;
    loop.run(2.0 * limit, 250);
    const double use = loop.run(2.0 * limit, 500);
    CHECK(use > 0.85);
    CHECK(loop.control.shedShare() > 0.4);
    CHECK(loop.control.shedShare() < 0.65);
    CHECK(loop.queue < limit);
}

TEST_CASE("the shedding ends within two seconds of the overload")
{
    Loop loop;
    loop.run(2.0 * limit, 500);
    loop.run(0.5 * limit, 100);
    CHECK(loop.control.shedShare() < 0.05);
}

TEST_CASE("a queue that empties does not raise the share further")
{
    // Callers that were admitted before fill the gate for a while: calls come as fast as slots free up,
    // whatever is refused now.
    OverloadController control;
    Instant now { 100s };
    double queue = 300;
    double highest = 0;
    for (; queue > 0; queue -= 2) {
        now += step;
        control.observe({ limit, static_cast<std::uint32_t>(queue), limit }, 16, meanServiceTime, now);
        highest = std::max(highest, control.shedShare());
    }
    CHECK(highest < 0.5);
}

TEST_CASE("a process that stood still draws no conclusion from the pause")
{
    OverloadController control;
    control.observe({ limit, 0, limit }, 16, meanServiceTime, Instant(100s));
    control.observe({ limit, 200, limit }, 5000, meanServiceTime, Instant(110s));
    CHECK(control.shedShare() < 0.01);
}
