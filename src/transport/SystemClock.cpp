// Reads the system's clocks.
#include "transport/SystemClock.h"

#include <ctime>

namespace Ebonystack {
namespace {

Duration readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Instant monotonicNow() { return Instant(readClock(CLOCK_BOOTTIME)); }

WallMilliseconds wallNow() { return toMilliseconds(readClock(CLOCK_REALTIME)); }

} // namespace Ebonystack
