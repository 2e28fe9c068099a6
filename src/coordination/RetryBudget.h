// Limits the retries of this node per service. Each first attempt adds a small fraction of a retry to the
// service's budget. All nodes together stay within the operator's ratio, also when requests are retried at
// several levels of a call tree.
#pragma once

#include "state/Names.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>

namespace Ebonystack {

/// The operator's limits on retries, summed over all nodes.
struct RetryLimits {
    double ratio { 0.2 }; ///< retries per request within the window
    Duration window { std::chrono::seconds(10) };
    double extraRetries { 50 }; ///< retries within the window in addition to those of the ratio

    auto operator<=>(const RetryLimits&) const = default;
};

/// Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(const RetryLimits&);

    /// Sets the number of nodes that share the extra retries.
    void setNodeCount(std::size_t count);
    /// Called when a request is first sent to an upstream of the service.
    void recordFirstAttempt(const ServiceName&, Instant now);
    /// Takes one retry from the service's budget. Returns false when the budget has less than one.
    bool spend(const ServiceName&, Instant now);

private:
    struct ServiceBudget {
        double retries { 0 };
        Instant refilledAt;
    };

    ServiceBudget& refill(const ServiceName&, Instant now);

    RetryLimits m_limits;
    double m_extraRetriesPerNode { 0 }; // extra retries of this node within one window
    std::map<ServiceName, ServiceBudget> m_serviceBudgets;
};

} // namespace Ebonystack
