// Limits the repeats at the upstream beside this node: arrivals of requests that have reached an upstream
// before, and calls made by runs that were themselves repeats. The node beside an upstream sees all of its
// arrivals. The nodes of a service thus stay within the operator's limit together, each by its own count.
//
// A run that is a repeat makes all its nested calls again. They count at the services that are called but
// can't be rejected there without failing the run. Routes with nested calls are therefore limited to a
// smaller share of their own runs: since repeated runs make the same calls as others, no service below gets a
// larger share of repeats from them, however many levels the call tree has and however many calls a run
// makes.
#pragma once

#include "coordination/RetryWindow.h"
#include "state/Names.h"

#include <compare>
#include <map>
#include <optional>

namespace Ebonystack {

/// The operator's limits on the repeats of one service, summed over all nodes.
struct RetryLimits {
    double ratio { 0.2 }; ///< repeats per request within the window
    Duration window { std::chrono::seconds(10) };
    double extraRetries { 50 }; ///< repeats within the window in addition to those of the ratio

    auto operator<=>(const RetryLimits&) const = default;
};

/// Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(const RetryLimits&);

    /// Sets the number of upstreams of the service that share the extra retries.
    void setUpstreamCount(std::size_t count);

    /// Called at short, regular intervals with the first attempts at all upstreams of the service.
    void recordServiceRequests(double requestsPerSecond, Instant now);

    /// Called when a request that has not reached an upstream before is sent to the upstream. `repeatShare`
    /// is the probability that a repeated run has made it.
    void recordFirstAttempt(const RouteId&, double repeatShare, Instant now);
    /// Takes a repeat of a request before it is sent to the upstream; false when the budget is spent.
    /// `callsPerRun` is the number of arrivals that a run causes at the service that it calls most; 0 for
    /// routes without nested calls.
    bool takeRepeat(const RouteId&, double callsPerRun, Instant now);
    /// Returns a repeat that was taken at `takenAt` and has not been sent to the upstream.
    void returnRepeat(const RouteId&, Instant takenAt);
    /// Called when the upstream has rejected a request without running it, so that it makes no nested calls.
    /// `repeatShare` is 1 for a repeat, `sentAt` the time for which the attempt was recorded.
    void recordNotRun(const RouteId&, double repeatShare, Instant sentAt);
    /// How many repeats of routes without nested calls the budget allows now.
    double repeatsLeft(Instant now) const;
    /// Frees the counts of routes without requests. Call it at regular intervals.
    void removeIdleRoutes(Instant now);

private:
    RetryWindow& runsOf(const RouteId&);
    /// The extra retries of this node.
    double extraRetries(Instant now) const;
    WindowLimit arrivalLimit(Instant now) const;

    RetryLimits m_limits;
    double m_upstreamCount { 1 };
    std::optional<Instant> m_firstUseAt;
    std::optional<Instant> m_serviceRecordedAt;
    RetryWindow m_service; // first attempts at all upstreams of the service
    RetryWindow m_arrivals; // at the upstream
    std::map<RouteId, RetryWindow> m_runs; // at the upstream, without rejected requests
};

} // namespace Ebonystack
