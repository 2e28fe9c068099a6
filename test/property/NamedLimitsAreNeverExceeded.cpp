// Starts at the rate that an upstream names stay below what is tolerated in any 4 s, also while it changes.
#include "coordination/SlotGate.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace std::chrono_literals;

namespace {

constexpr Duration window = 4s;

} // namespace

TEST_CASE("property: a gate starts no more requests in 4 s than 1.5 times the highest limit, plus 5")
{
    const bool holds = rc::check([] {
        SlotGate gate;
        Instant now { 100s };
        GateTicket ticket = 0;
        gate.setSlots(*rc::gen::inRange<std::uint32_t>(1, 100), now);
        std::deque<Instant> starts;
        std::deque<std::pair<Instant, double>> limits;
        const int steps = *rc::gen::inRange(50, 400);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 200));
            if (step == 0 || *rc::gen::inRange(0, 20) == 0) {
                limits.emplace_back(now, 0.1 * *rc::gen::inRange(0, 600));
                for (const GateTicket started : gate.setRequestLimit(limits.back().second, now)) {
                    static_cast<void>(started);
                    starts.push_back(now);
                }
            }
            const int arrivals = *rc::gen::inRange(0, 30);
            for (int i = 0; i < arrivals; ++i) {
                if (gate.arrive({ ++ticket, 0, now + 1s }, now) == GateDecision::Run)
                    starts.push_back(now);
            }
            for (int i = *rc::gen::inRange(0, 30); i > 0 && gate.state().running > 0; --i)
                starts.insert(starts.end(), gate.depart(50ms, now).size(), now);
            starts.insert(starts.end(), gate.startDue(now).size(), now);
            gate.expire(now);
            while (!starts.empty() && starts.front() <= now - window)
                starts.pop_front();
            double highest = limits.back().second;
            for (const auto& [since, limit] : limits) {
                if (since > now - window)
                    highest = std::max(highest, limit);
            }
            while (limits.size() > 1 && limits[1].first <= now - window)
                limits.pop_front();
            highest = std::max(highest, limits.front().second);
            RC_ASSERT(static_cast<double>(starts.size()) <= 1.5 * highest * toSeconds(window) + 5);
        }
    });
    CHECK(holds);
}
