// Learns what a request of each route costs at every service of its call tree: slot seconds, and the number
// of requests that arrive there. A nested call does not name the request that it belongs to. Unless its
// deadline tells (see UpstreamRuns), it is attributed to all routes with requests running at that moment, in
// proportion to the rates at which they are known to make such calls (expectation maximization). Responses
// carry the costs, so that entry nodes know the costs of whole call trees without knowing the call graph.
#pragma once

#include "state/CostVector.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Ebonystack {

/// Not thread-safe.
class CallCosts {
public:
    explicit CallCosts(ServiceName localService);

    /// Called when a request of the route starts to run at the upstream beside this node. `repeatShare` is
    /// the probability that its run is a repeat, see HopRequest.
    void requestStarted(const RouteId&, double repeatShare = 0);
    /// Called when a running request is run again at the same upstream: from now on its run is a repeat.
    void requestRepeated(const RouteId&, double repeatShare);
    /// Called when the request has ended after `serviceTime`. `executed` is false when the upstream did not
    /// run it; its service time then does not count. `repeatShare` is that of its last run.
    void requestEnded(const RouteId&, Duration serviceTime, bool executed, double repeatShare = 0);
    /// Called when the upstream beside this node makes a nested call of the route `callee`, and the run that
    /// makes it is not known. Returns the probability that a repeated run makes the call.
    double recordCall(const RouteId& callee);
    /// Called with the nested calls of a known run of the route, by callee, when it has ended. Calls of a run
    /// that was broken off don't show what a run costs, and are left out.
    void recordCalls(const RouteId&, const std::map<RouteId, std::uint32_t>& calls);

    /// Updates the costs of a route from the costs that a response reported.
    void updateReportedCost(const RouteId&, const CostVector& reported);
    /// The same for the number of arrivals at each service.
    void updateReportedArrivals(const RouteId&, const CostVector& reported);

    /// The costs of a route that runs at this node's upstream; empty when unknown.
    CostVector localCost(const RouteId&) const;
    /// The arrivals at each service that a run of the route causes, itself included; empty when unknown.
    CostVector localArrivals(const RouteId&) const;
    /// The arrivals that a run of the route causes at the service that it calls most; 0 when the route makes
    /// no calls, `fallback` when that is unknown.
    double maxCallsPerRun(const RouteId&, double fallback) const;
    /// The costs of a route as responses reported them; empty when unknown.
    const CostVector& reportedCost(const RouteId&) const;
    /// The arrivals at the service that a request of the route causes most at, as responses reported them; 1
    /// when unknown.
    double maxReportedArrivals(const RouteId&) const;
    /// The mean service time of the route's requests at this node's upstream; `fallback` when unknown.
    Duration meanServiceTime(const RouteId&, Duration fallback) const;
    /// Reduces the weight of old observations. Call it once a second.
    void decay();

private:
    struct LocalRoute {
        std::uint32_t running { 0 };
        double runningRepeats { 0 }; // sum of the repeat shares of the running requests
        // Sums that `decay` reduces:
        double completed { 0 }; // requests
        double serviceSeconds { 0 }; // service time of the completed requests
        std::map<RouteId, double> calls; // nested calls attributed to the route, by callee
    };

    ServiceName m_localService;
    std::map<RouteId, LocalRoute> m_localRoutes;
    using Reports = std::map<RouteId, CostVector>; // moving averages of what responses reported

    static void updateReport(Reports&, const RouteId&, const CostVector& reported);
    static const CostVector& findReport(const Reports&, const RouteId&);
    /// The costs of the route's calls per run, without the run itself.
    CostVector sumOverCalls(const LocalRoute&, const Reports&) const;

    Reports m_reported;
    Reports m_reportedArrivals;
};

} // namespace Ebonystack
