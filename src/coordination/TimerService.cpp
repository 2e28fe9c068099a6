// Keeps the timers in a map ordered by due time.
#include "coordination/TimerService.h"

namespace Ebonystack {

TimerId TimerService::add(Instant due, Timer timer)
{
    const TimerId id = m_nextId++;
    m_timers.emplace(id, std::move(timer));
    m_schedule.emplace(ScheduledTimer { due, id }, true);
    return id;
}

TimerId TimerService::at(Instant due, Callback callback)
{
    return add(due, { std::move(callback), Duration::zero() });
}

TimerId TimerService::every(Instant start, Duration period, Callback callback)
{
    return add(start + period, { std::move(callback), period });
}

void TimerService::cancel(TimerId id) { m_timers.erase(id); }

void TimerService::advance(Instant now)
{
    while (!m_schedule.empty() && m_schedule.begin()->first.due <= now) {
        const ScheduledTimer scheduled = m_schedule.begin()->first;
        m_schedule.erase(m_schedule.begin());
        const auto found = m_timers.find(scheduled.id);
        if (found == m_timers.end())
            continue;
        const Timer timer = found->second;
        if (timer.period == Duration::zero())
            m_timers.erase(found);
        else
            m_schedule.emplace(ScheduledTimer { now + timer.period, scheduled.id }, true);
        timer.callback(now);
    }
}

std::optional<Instant> TimerService::nextDue() const
{
    if (m_schedule.empty())
        return std::nullopt;
    return m_schedule.begin()->first.due;
}

} // namespace Ebonystack
