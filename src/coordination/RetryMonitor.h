// Observes the arrivals at an upstream and how many of them it rejects. Gates don't show such a loss of
// capacity: the call trees break off early, and their slots are free.
#pragma once

#include "state/RetryLoad.h"
#include "state/Time.h"

#include <cstdint>
#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class RetryMonitor {
public:
    /// Called when a request that has not reached an upstream before is sent to this one.
    void recordRequest() { ++m_requestsSinceUpdate; }
    /// Called with the outcome of each arrival at the upstream. `rejected`: the upstream did not run it.
    void recordArrival(bool rejected);
    /// Updates the averages. `repeatsLeft` is what the retry budget has left. Call it a few times a second.
    void update(double repeatsLeft, Instant now);
    const RetryLoad& load() const { return m_load; }

private:
    RetryLoad m_load;
    std::uint32_t m_requestsSinceUpdate { 0 };
    std::uint32_t m_arrivalsSinceUpdate { 0 };
    std::uint32_t m_rejectionsSinceUpdate { 0 };
    std::optional<Instant> m_updatedAt;
};

} // namespace Ebonystack
