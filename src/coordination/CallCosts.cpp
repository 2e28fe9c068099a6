// Keeps decaying sums per route and attributes nested calls to routes.
#include "coordination/CallCosts.h"

#include <algorithm>

namespace Ebonystack {
namespace {

constexpr double decayPerSecond = 0.85; // weight left of an observation after a second: a mean age of 6 s
constexpr double reportSmoothing = 0.3; // weight of a new report in the moving average
/// Rate of calls assumed for a route without completed requests, so that calls can be attributed to it.
constexpr double assumedCallsPerSecond = 1;
constexpr double minCallsPerRequest = 1e-3;
constexpr double minServiceSeconds = 1e-3;
constexpr double minCompletedRequests = 0.5; // below this, means are not meaningful
const CostVector noCosts;

} // namespace

CallCosts::CallCosts(ServiceName localService)
    : m_localService(std::move(localService))
{
}

void CallCosts::requestStarted(const RouteId& route, double repeatShare)
{
    LocalRoute& local = m_localRoutes[route];
    ++local.running;
    local.runningRepeats += repeatShare;
}

void CallCosts::requestRepeated(const RouteId& route, double repeatShare)
{
    m_localRoutes[route].runningRepeats += 1 - repeatShare;
}

void CallCosts::requestEnded(const RouteId& route, Duration serviceTime, bool executed, double repeatShare)
{
    LocalRoute& local = m_localRoutes[route];
    if (local.running > 0)
        --local.running;
    local.runningRepeats = local.running > 0 ? std::max(0.0, local.runningRepeats - repeatShare) : 0;
    if (!executed)
        return;
    local.completed += 1;
    local.serviceSeconds += toSeconds(serviceTime);
}

double CallCosts::recordCall(const RouteId& callee)
{
    double total = 0;
    std::vector<std::pair<LocalRoute*, double>> weights;
    for (auto& [route, local] : m_localRoutes) {
        if (local.running == 0)
            continue;
        double callsPerSecond = assumedCallsPerSecond;
        if (local.completed >= minCompletedRequests) {
            const auto known = local.calls.find(callee);
            const double calls = known == local.calls.end() ? 0 : known->second / local.completed;
            callsPerSecond = std::max(calls, minCallsPerRequest)
                / std::max(local.serviceSeconds / local.completed, minServiceSeconds);
        }
        const double weight = local.running * callsPerSecond;
        weights.emplace_back(&local, weight);
        total += weight;
    }
    double repeatShare = 0;
    for (const auto& [local, weight] : weights) {
        local->calls[callee] += weight / total;
        repeatShare += weight / total * local->runningRepeats / local->running;
    }
    return repeatShare;
}

void CallCosts::recordCalls(const RouteId& route, const std::map<RouteId, std::uint32_t>& calls)
{
    LocalRoute& local = m_localRoutes[route];
    for (const auto& [callee, count] : calls)
        local.calls[callee] += count;
}

void CallCosts::updateReportedCost(const RouteId& route, const CostVector& reported)
{
    updateReport(m_reported, route, reported);
}

void CallCosts::updateReportedArrivals(const RouteId& route, const CostVector& reported)
{
    updateReport(m_reportedArrivals, route, reported);
}

void CallCosts::updateReport(Reports& reports, const RouteId& route, const CostVector& reported)
{
    if (reported.empty())
        return;
    CostVector& known = reports[route];
    if (known.empty()) {
        known = reported;
        return;
    }
    for (auto& [service, cost] : known) {
        if (!reported.contains(service))
            cost *= 1 - reportSmoothing;
    }
    for (const auto& [service, cost] : reported) {
        const auto [knownCost, isNew] = known.try_emplace(service, cost);
        if (!isNew)
            knownCost->second += reportSmoothing * (cost - knownCost->second);
    }
}

CostVector CallCosts::localCost(const RouteId& route) const
{
    CostVector costs;
    const auto found = m_localRoutes.find(route);
    if (found == m_localRoutes.end() || found->second.completed < minCompletedRequests)
        return costs;
    costs = sumOverCalls(found->second, m_reported);
    costs[m_localService] += found->second.serviceSeconds / found->second.completed;
    return costs;
}

CostVector CallCosts::localArrivals(const RouteId& route) const
{
    CostVector arrivals;
    const auto found = m_localRoutes.find(route);
    if (found == m_localRoutes.end() || found->second.completed < minCompletedRequests)
        return arrivals;
    arrivals = sumOverCalls(found->second, m_reportedArrivals);
    arrivals[m_localService] += 1;
    return arrivals;
}

double CallCosts::maxCallsPerRun(const RouteId& route, double fallback) const
{
    const auto found = m_localRoutes.find(route);
    if (found == m_localRoutes.end() || found->second.completed < minCompletedRequests)
        return fallback;
    double maxCalls = 0;
    for (const auto& [callee, calls] : found->second.calls) {
        const double callsPerRun = calls / found->second.completed;
        if (callsPerRun > minCallsPerRequest)
            maxCalls = std::max(maxCalls, callsPerRun);
    }
    for (const auto& [service, arrivals] : sumOverCalls(found->second, m_reportedArrivals)) {
        if (arrivals > minCallsPerRequest)
            maxCalls = std::max(maxCalls, arrivals);
    }
    return maxCalls;
}

CostVector CallCosts::sumOverCalls(const LocalRoute& local, const Reports& reports) const
{
    CostVector costs;
    for (const auto& [callee, calls] : local.calls) {
        for (const auto& [service, cost] : findReport(reports, callee))
            costs[service] += calls / local.completed * cost;
    }
    return costs;
}

const CostVector& CallCosts::reportedCost(const RouteId& route) const
{
    return findReport(m_reported, route);
}

double CallCosts::maxReportedArrivals(const RouteId& route) const
{
    double maxArrivals = 1;
    for (const auto& [service, arrivals] : findReport(m_reportedArrivals, route))
        maxArrivals = std::max(maxArrivals, arrivals);
    return maxArrivals;
}

const CostVector& CallCosts::findReport(const Reports& reports, const RouteId& route)
{
    const auto found = reports.find(route);
    return found == reports.end() ? noCosts : found->second;
}

Duration CallCosts::meanServiceTime(const RouteId& route, Duration fallback) const
{
    const auto found = m_localRoutes.find(route);
    if (found == m_localRoutes.end() || found->second.completed < minCompletedRequests)
        return fallback;
    return fromSeconds(found->second.serviceSeconds / found->second.completed);
}

void CallCosts::decay()
{
    for (auto& [route, local] : m_localRoutes) {
        local.completed *= decayPerSecond;
        local.serviceSeconds *= decayPerSecond;
        for (auto& [callee, calls] : local.calls)
            calls *= decayPerSecond;
    }
}

} // namespace Ebonystack
