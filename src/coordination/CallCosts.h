// Learns what a request of each route costs at every service of its call tree, in seconds of a slot. Calls of
// the upstream don't name their parent, so each is attributed to the routes that run at that moment, in
// proportion to the calls that the route is known to make (expectation maximization). Answers carry the
// costs on, so that entries know them for whole trees without knowing the graph.
#pragma once

#include "state/CostVector.h"
#include "state/Time.h"

#include <map>
#include <vector>

namespace Ebonystack {

/// Not thread-safe.
class CallCosts {
public:
    explicit CallCosts(ServiceName localService);

    /// A request of `route` begins to run at the upstream beside this node.
    void begin(const RouteId&);
    /// It has ended after holding a slot for `serviceTime`; `ran` unless the upstream turned it away.
    void end(const RouteId&, Duration serviceTime, bool ran);
    /// The upstream beside this node calls `callee`.
    void recordCall(const RouteId& callee);

    /// Takes the costs of a route as an answer reported them.
    void updateReportedCost(const RouteId&, const CostVector& reported);

    /// The costs of a route that runs at this node's upstream.
    CostVector localCost(const RouteId&) const;
    /// The costs of a route as other nodes reported them; empty when unknown.
    const CostVector& reportedCost(const RouteId&) const;
    /// The mean time for which a request of the route holds a slot here.
    Duration meanServiceTime(const RouteId&, Duration fallback) const;
    /// Lets old observations fade. Call it once a second.
    void decay();

private:
    struct LocalRoute {
        std::uint32_t running { 0 };
        double completed { 0 }; // requests, faded
        double serviceSeconds { 0 }; // seconds, faded
        std::map<RouteId, double> calls; // attributed calls, faded
    };

    ServiceName m_localService;
    std::map<RouteId, LocalRoute> m_localRoutes;
    std::map<RouteId, CostVector> m_reported;
};

} // namespace Ebonystack
