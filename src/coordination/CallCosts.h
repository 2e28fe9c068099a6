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
    explicit CallCosts(ServiceName own);

    /// A request of `route` begins to run at the upstream beside this node.
    void begin(const RouteId&);
    /// It has ended after holding a slot for `held`; `ran` unless the upstream turned it away.
    void end(const RouteId&, Duration held, bool ran);
    /// The upstream beside this node calls `callee`.
    void called(const RouteId& callee);

    /// Takes the costs of a route as an answer reported them.
    void learn(const RouteId&, const CostVector& reported);

    /// The costs of a route that runs at this node's upstream.
    CostVector costHere(const RouteId&) const;
    /// The costs of a route as other nodes reported them; empty when unknown.
    const CostVector& costOf(const RouteId&) const;
    /// The mean time for which a request of the route holds a slot here.
    Duration holdOf(const RouteId&, Duration otherwise) const;
    /// Lets old observations fade. Call it once a second.
    void fade();

private:
    struct Here {
        std::uint32_t running { 0 };
        double ended { 0 }; // requests, faded
        double held { 0 }; // seconds, faded
        std::map<RouteId, double> calls; // attributed calls, faded
    };

    ServiceName m_own;
    std::map<RouteId, Here> m_here;
    std::map<RouteId, CostVector> m_reported;
};

} // namespace Ebonystack
