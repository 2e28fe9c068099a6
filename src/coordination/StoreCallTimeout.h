// When a call to the store that got no response counts as silent, so that it is made again on a new
// connection. The bound is short, because a pending watch that hears nothing looks like a store without
// changes, and follows the store's response times, because a slow store is not a silent one.
#pragma once

#include "state/Time.h"

namespace Ebonystack {

/// Not thread-safe.
class StoreCallTimeout {
public:
    /// Called with the time from a call to its response, without the time that the store was asked to wait.
    void recordResponseTime(Duration);
    /// How long after the call, or after the time that the store was asked to wait, it counts as silent.
    /// `failures`: how many calls in a row have failed before it. Most retries are short, so that the end of
    /// an outage is known closely; some are long, so that a store that has become slow is not taken for a
    /// silent one.
    Duration silentAfter(int failures) const;

private:
    Duration m_slowestResponse { 0 }; // of the last calls; decays
};

} // namespace Ebonystack
