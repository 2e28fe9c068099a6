// What disturbs a VM or the store of a soak, and when it last did.
#pragma once

#include <chrono>
#include <optional>
#include <set>

namespace Ebonystack::Soak {

using Clock = std::chrono::steady_clock;

enum class Disturbance { Down, Paused, LacksStore };

/// The disturbances of one VM, or of the store.
class Disturbances {
public:
    void begin(Disturbance cause) { m_open.insert(cause); }
    void end(Disturbance cause, Clock::time_point now)
    {
        if (m_open.erase(cause) > 0)
            happened(now);
    }
    bool has(Disturbance cause) const { return m_open.contains(cause); }
    /// One that takes no time.
    void happened(Clock::time_point now) { m_lastAt = now; }
    /// Whether there was one from `since` until now.
    bool anySince(Clock::time_point since) const
    {
        return !m_open.empty() || (m_lastAt && *m_lastAt >= since);
    }

private:
    std::set<Disturbance> m_open;
    std::optional<Clock::time_point> m_lastAt; // the end of the last one that is over
};

} // namespace Ebonystack::Soak
