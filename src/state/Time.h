// The monotonic time of one process. Code outside the transport layer reads no clock: its callers pass the
// current Instant, so that tests and simulations run in virtual time.
#pragma once

#include <chrono>

namespace Ebonystack {

/// A clock type without `now()`: only the transport layer may read the machine's clock.
struct MonotonicClock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

using Duration = MonotonicClock::duration;
using Instant = MonotonicClock::time_point;

/// Milliseconds since the Unix epoch; used only for log lines.
using WallMilliseconds = std::int64_t;

/// The length of a duration in seconds, for rate arithmetic.
constexpr double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// The duration of a number of seconds, rounded towards zero to a whole nanosecond.
constexpr Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Ebonystack
