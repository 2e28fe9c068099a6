// A timer service that parts subscribe to. It has no clock: the driver advances it, on the event loop or in
// virtual time.
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

    TimerId at(Instant due, Callback);
    /// First due at `start + period`. After a pause the callback runs once, not once per missed period.
    TimerId every(Instant start, Duration period, Callback);
    void cancel(TimerId);

    /// Runs what is due at `now`, in order of due time and then of subscription.
    void advance(Instant now);
    /// When the next callback is due; nothing when none is subscribed.
    std::optional<Instant> nextDue() const;

private:
    struct Timer {
        Callback callback;
        Duration period { 0 }; // zero: runs once
    };
    struct ScheduledTimer {
        Instant due;
        TimerId id;
        auto operator<=>(const ScheduledTimer&) const = default;
    };

    TimerId add(Instant due, Timer);

    // Every slot's id is a key of m_timers, unless the timer was cancelled.
    std::map<ScheduledTimer, bool> m_schedule;
    std::unordered_map<TimerId, Timer> m_timers;
    TimerId m_nextId { 1 };
};

} // namespace Ebonystack
