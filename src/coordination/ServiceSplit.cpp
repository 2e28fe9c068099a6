// One turn table a route.
#include "coordination/ServiceSplit.h"

#include <algorithm>

namespace Ebonystack {

const ServiceName& ServiceSplit::next(const ServingRoute& route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;
    Turn& turn = m_turns[route.id];
    if (turn.shares != route.shares)
        turn = { route.shares, std::vector<double>(route.shares.size(), 0.0) };
    double total = 0;
    for (std::size_t i = 0; i < turn.shares.size(); ++i) {
        turn.credits[i] += turn.shares[i].weight;
        total += turn.shares[i].weight;
    }
    const auto highest = std::ranges::max_element(turn.credits);
    *highest -= total;
    return route.shares[static_cast<std::size_t>(highest - turn.credits.begin())].service;
}

} // namespace Ebonystack
