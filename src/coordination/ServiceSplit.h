// Distributes the requests of a route over its services in proportion to their weights, as evenly as possible
// at any time (smooth weighted round robin).
#pragma once

#include "state/ServingConfig.h"

#include <map>

namespace Ebonystack {

/// Not thread-safe.
class ServiceSplit {
public:
    /// The service for the next request of the route. When the route's shares have changed, the round robin
    /// starts again from zero credits. The result refers into the argument.
    const ServiceName& next(const RouteConfig&);

private:
    struct RoundRobin {
        std::vector<ServiceShare> shares;
        std::vector<double> credits; // one per share
    };

    std::map<RouteId, RoundRobin> m_roundRobins;
};

} // namespace Ebonystack
