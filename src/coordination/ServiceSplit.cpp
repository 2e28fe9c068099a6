// Keeps the credits of the round robin per route.
#include "coordination/ServiceSplit.h"

#include <algorithm>

namespace Ebonystack {

const ServiceName& ServiceSplit::next(const RouteConfig& route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    RoundRobin& roundRobin = m_roundRobins[route.id];
    if (roundRobin.shares != route.shares)
        roundRobin = { route.shares, std::vector<double>(route.shares.size(), 0.0) };
    double total = 0;
    for (std::size_t i = 0; i < roundRobin.shares.size(); ++i) {
        roundRobin.credits[i] += roundRobin.shares[i].weight;
        total += roundRobin.shares[i].weight;
    }
    const auto nextShare = std::ranges::max_element(roundRobin.credits);
    *nextShare -= total;
    return route.shares[static_cast<std::size_t>(nextShare - roundRobin.credits.begin())].service;
}

} // namespace Ebonystack
