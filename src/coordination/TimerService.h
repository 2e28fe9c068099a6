// Runs callbacks at given times or periodically. The service reads no clock: its owner advances it, on the
// event loop or in virtual time.
#pragma once

#include "state/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Ebonystack {

using TimerId = std::uint64_t;

/// Not thread-safe.
///
///     timers.every(now, 100ms, [this](Instant at) { probe(at); });
///     timers.advance(now);
class TimerService {
public:
    using Callback = std::function<void(Instant)>;

    /// Runs the callback once, at `due`.
    TimerId at(Instant due, Callback);
    /// Runs the callback periodically, first at `start + period`. When `advance` was not called for several
    /// periods, the callback runs once, not once per missed period.
    TimerId every(Instant start, Duration period, Callback);
    void cancel(TimerId);

    /// Runs the callbacks that are due at `now`, in the order of their due times and then of their ids.
    void advance(Instant now);
    /// When the next timer is due, which may have been cancelled; nothing when there is none.
    std::optional<Instant> nextDue() const;

private:
    struct Timer {
        Callback callback;
        Duration period { 0 }; // zero: the callback runs once
    };
    struct ScheduledTimer {
        Instant due;
        TimerId id;
        auto operator<=>(const ScheduledTimer&) const = default;
    };

    TimerId add(Instant due, Timer);

    // The id of each scheduled timer is a key of m_timers, unless the timer was cancelled.
    std::map<ScheduledTimer, bool> m_schedule;
    std::unordered_map<TimerId, Timer> m_timers;
    TimerId m_nextId { 1 };
};

} // namespace Ebonystack
