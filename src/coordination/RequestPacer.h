// Spaces the requests to an upstream that names how many it takes in a second. A token bucket: short bursts
// pass, and over a few seconds no more requests start than the upstream takes.
#pragma once

#include "state/Time.h"

#include <optional>

namespace Ebonystack {

/// Not thread-safe.
class RequestPacer {
public:
    /// Sets the requests per second; nothing ends the limit.
    void setRate(std::optional<double> requestsPerSecond, Instant now);
    /// The rate at which requests may start.
    std::optional<double> rate() const { return m_rate; }

    /// Whether a request may start now.
    bool mayStart(Instant now) const { return !m_rate || tokensAt(now) >= 1; }
    /// Called when a request starts.
    void recordStart(Instant now);
    /// The time from now until `count` more requests may have started.
    Duration timeUntilStart(std::int64_t count, Instant now) const;

private:
    double tokensAt(Instant now) const;
    double burst() const;

    std::optional<double> m_rate;
    double m_tokens { 0 }; // at m_refilledAt
    Instant m_refilledAt;
};

} // namespace Ebonystack
