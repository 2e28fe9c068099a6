// Distributes the requests of a route over its services in the proportion of their weights, as evenly as
// possible at any moment (smooth weighted round robin).
#pragma once

#include "state/ServingConfig.h"

#include <map>

namespace Ebonystack {

/// Not thread-safe.
class ServiceSplit {
public:
    /// The service for the next request of the route. A route whose shares have changed starts anew.
    const ServiceName& next(const RouteConfig&);

private:
    struct RoundRobin {
        std::vector<ServiceShare> shares;
        std::vector<double> credits; // one a share
    };

    std::map<RouteId, RoundRobin> m_roundRobins;
};

} // namespace Ebonystack
