// How long the soak's own loop stood still, and why.
#pragma once

#include "Disturbances.h"

#include <fstream>
#include <string>

namespace Ebonystack::Soak {

class LoopLag {
public:
    /// Called with each turn; `due`: when it was to come.
    void onTurn(Clock::time_point due)
    {
        const Times times = readTimes();
        if (const std::chrono::duration<double> lag = Clock::now() - due; lag > m_longest) {
            m_longest = lag;
            m_ran = times.ran - m_lastTimes.ran;
            m_waited = times.waited - m_lastTimes.waited;
        }
        m_lastTimes = times;
    }

    /// The longest, and how much of it the process ran or waited for a processor; in the rest it was blocked.
    std::string description() const
    {
        char text[96];
        std::snprintf(text, sizeof text, "longest lag %.3f s (ran %.3f s, waited for a processor %.3f s)",
            m_longest.count(), m_ran, m_waited);
        return text;
    }

private:
    struct Times {
        double ran { 0 }; // seconds
        double waited { 0 };
    };

    static Times readTimes()
    {
        constexpr double nanoseconds = 1e-9;
        std::ifstream file("/proc/self/schedstat");
        Times times;
        file >> times.ran >> times.waited;
        return { times.ran * nanoseconds, times.waited * nanoseconds };
    }

    Times m_lastTimes;
    std::chrono::duration<double> m_longest { 0 };
    double m_ran { 0 };
    double m_waited { 0 };
};

} // namespace Ebonystack::Soak
