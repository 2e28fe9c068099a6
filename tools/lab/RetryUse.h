// Counts the retries of a simulation run as the operator's limit does: all arrivals of a service's requests
// beyond the first, over all nodes, in any window. The calls of a run that was itself a repeat count as
// repeats.
#pragma once

#include "coordination/RetryBudget.h"

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace Ebonystack {

class RetryUse {
public:
    /// Called when a caller, or a run that is no repeat, sends a request for the service.
    void recordRequest(const ServiceName&, Instant);
    /// Called when a run that is a repeat sends a request with this id.
    void recordCallOfRepeat(const std::string& requestId) { m_callsOfRepeats.insert(requestId); }
    /// Called when a request arrives at an upstream of the service. Returns whether its run is a repeat.
    bool recordArrival(const ServiceName&, const std::string& requestId, Instant);

    /// The highest number of repeats in a window, relative to what the limits allow; over all services.
    double maxUse(const RetryLimits&) const;

private:
    struct ServiceUse {
        // Both in the order of time.
        std::vector<Instant> requests;
        std::vector<Instant> repeats;
        std::unordered_set<std::string> arrived; // request ids
    };

    std::map<ServiceName, ServiceUse> m_services;
    std::unordered_set<std::string> m_callsOfRepeats;
};

} // namespace Ebonystack
