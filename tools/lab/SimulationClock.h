// The virtual clock of a simulation run.
#pragma once

#include "coordination/TimerService.h"

#include <functional>

namespace Ebonystack {

/// Jumps from one due timer to the next. Not thread-safe.
class SimulationClock {
public:
    Instant now() const { return m_now; }
    TimerId after(Duration delay, std::function<void()> callback)
    {
        return m_timers.at(m_now + delay, [callback = std::move(callback)](Instant) { callback(); });
    }
    void every(Duration period, std::function<void()> callback)
    {
        m_timers.every(m_now, period, [callback = std::move(callback)](Instant) { callback(); });
    }
    void cancel(TimerId timer) { m_timers.cancel(timer); }

    /// Runs all timers due until `end` in order of their time, then sets the clock to `end`.
    void runUntil(Instant end)
    {
        while (m_timers.nextDue() && *m_timers.nextDue() <= end) {
            m_now = *m_timers.nextDue();
            m_timers.advance(m_now);
        }
        m_now = end;
    }

private:
    Instant m_now { std::chrono::seconds(1000) }; // not zero, since many classes use zero as "never"
    TimerService m_timers;
};

} // namespace Ebonystack
