// Faded sums per route, and the attribution of calls.
#include "coordination/CallCosts.h"

#include <algorithm>

namespace Ebonystack {
namespace {

constexpr double fadePerSecond = 0.85; // what remains of an observation after a second: a mean age of 6 s
constexpr double reportSmoothing = 0.3; // weight of a new report in the moving average
/// Calls per request that a route without observations is taken to make, so that it can gain some.
constexpr double assumedCalls = 1;
constexpr double leastCallShare = 1e-3;
constexpr double leastHold = 1e-3; // seconds
constexpr double leastEnded = 0.5; // requests; below it a mean says nothing
const CostVector noCosts;

} // namespace

CallCosts::CallCosts(ServiceName own)
    : m_own(std::move(own))
{
}

void CallCosts::begin(const RouteId& route) { ++m_here[route].running; }

void CallCosts::end(const RouteId& route, Duration held, bool ran)
{
    Here& here = m_here[route];
    if (here.running > 0)
        --here.running;
    if (!ran)
        return;
    here.ended += 1;
    here.held += toSeconds(held);
}

void CallCosts::called(const RouteId& callee)
{
    double total = 0;
    std::vector<std::pair<Here*, double>> weights;
    for (auto& [route, here] : m_here) {
        if (here.running == 0)
            continue;
        double perSecond = assumedCalls;
        if (here.ended >= leastEnded) {
            const auto known = here.calls.find(callee);
            const double calls = known == here.calls.end() ? 0 : known->second / here.ended;
            perSecond = std::max(calls, leastCallShare) / std::max(here.held / here.ended, leastHold);
        }
        const double weight = here.running * perSecond;
        weights.emplace_back(&here, weight);
        total += weight;
    }
    for (const auto& [here, weight] : weights)
        here->calls[callee] += weight / total;
}

void CallCosts::learn(const RouteId& route, const CostVector& reported)
{
    if (reported.empty())
        return;
    CostVector& known = m_reported[route];
    if (known.empty()) {
        known = reported;
        return;
    }
    for (auto& [service, cost] : known) {
        if (!reported.contains(service))
            cost *= 1 - reportSmoothing;
    }
    for (const auto& [service, cost] : reported) {
        const auto [entry, isNew] = known.try_emplace(service, cost);
        if (!isNew)
            entry->second += reportSmoothing * (cost - entry->second);
    }
}

CostVector CallCosts::costHere(const RouteId& route) const
{
    CostVector costs;
    const auto found = m_here.find(route);
    if (found == m_here.end() || found->second.ended < leastEnded)
        return costs;
    const Here& here = found->second;
    costs[m_own] = here.held / here.ended;
    for (const auto& [callee, calls] : here.calls) {
        for (const auto& [service, cost] : costOf(callee))
            costs[service] += calls / here.ended * cost;
    }
    return costs;
}

const CostVector& CallCosts::costOf(const RouteId& route) const
{
    const auto found = m_reported.find(route);
    return found == m_reported.end() ? noCosts : found->second;
}

Duration CallCosts::holdOf(const RouteId& route, Duration otherwise) const
{
    const auto found = m_here.find(route);
    if (found == m_here.end() || found->second.ended < leastEnded)
        return otherwise;
    return fromSeconds(found->second.held / found->second.ended);
}

void CallCosts::fade()
{
    for (auto& [route, here] : m_here) {
        here.ended *= fadePerSecond;
        here.held *= fadePerSecond;
        for (auto& [callee, calls] : here.calls)
            calls *= fadePerSecond;
    }
}

} // namespace Ebonystack
