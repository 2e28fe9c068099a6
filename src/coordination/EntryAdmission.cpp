// A greedy knapsack per service over the classes of demand.
#include "coordination/EntryAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Ebonystack {
namespace {

/// Time over which arrivals are averaged, in seconds.
constexpr double demandSmoothing = 2;
/// How much more a request of one priority is worth than one of the next. Routes count more than teams: an
/// order of any team is shed after the reads of all.
constexpr double worthPerRoutePriority = 2.5;
constexpr double worthPerTeamPriority = 1.5;
/// A request that came back as advised goes before a new one of its kind.
constexpr double callerRetryWorthFactor = 1.5;
/// What a class keeps, as a part of the share that is admitted of all: no kind of request is starved. The
/// operators call a kind starved below a quarter of the mean; some that are admitted fail later.
constexpr double minShareOfMean = 0.28;
/// Seconds of a slot that a request of a route without known costs is taken to need.
constexpr double assumedCost = 0.2;
/// Shares below this are noise of the control.
constexpr double minShedShare = 0.01;

double worthOf(const DemandClass& demand)
{
    const double worth = std::pow(worthPerRoutePriority, -demand.routePriority)
        * std::pow(worthPerTeamPriority, -demand.teamPriority);
    return demand.isCallerRetry ? worth * callerRetryWorthFactor : worth;
}

/// What a request costs at a service. A route without known costs may lead to any service.
double costAt(const CostVector& costs, const ServiceName& service)
{
    if (costs.empty())
        return assumedCost;
    const auto found = costs.find(service);
    return found == costs.end() ? 0 : found->second;
}

struct Candidate {
    double density; // worth per second of a slot
    double perSecond; // requests
    double work; // seconds of a slot that the class asks for in a second
    double share; // of it that is admitted
    double* result; // where the share goes

    auto operator<=>(const Candidate&) const = default;
};

/// Lowers shares, in the order of the candidates, until `excess` work is refused.
void refuse(std::vector<Candidate>& candidates, double excess, double minShare)
{
    for (Candidate& candidate : candidates) {
        const double refusable = candidate.work * std::max(0.0, candidate.share - minShare);
        const double refused = std::min(excess, refusable);
        if (candidate.work > 0)
            candidate.share -= refused / candidate.work;
        excess -= refused;
    }
}

/// The share that is admitted of all requests.
double meanShare(const std::vector<Candidate>& candidates)
{
    double requests = 0;
    double admitted = 0;
    for (const Candidate& candidate : candidates) {
        requests += candidate.perSecond;
        admitted += candidate.perSecond * candidate.share;
    }
    return requests > 0 ? admitted / requests : 1;
}

/// The candidates, least density first, after `shedShare` of their work was refused.
std::vector<Candidate> shed(std::vector<Candidate> candidates, double shedShare)
{
    std::ranges::sort(candidates, {}, &Candidate::density);
    double excess = 0;
    for (const Candidate& candidate : candidates)
        excess += candidate.work * (candidate.share - (1 - shedShare));
    if (excess <= 0)
        return candidates;
    std::vector<Candidate> strict = candidates;
    refuse(strict, excess, 0);
    refuse(candidates, excess, minShareOfMean * meanShare(strict));
    return candidates;
}

} // namespace

EntryAdmission::EntryAdmission(std::uint64_t seed)
    : m_random(seed)
{
}

bool EntryAdmission::admit(const DemandClass& demandClass)
{
    const auto [found, isNew] = m_demands.try_emplace(demandClass);
    Demand& demand = found->second;
    if (isNew)
        demand.credit = m_random.unit();
    ++demand.arrived;
    demand.credit += demand.share;
    if (demand.credit < 1)
        return false;
    demand.credit -= 1;
    return true;
}

void EntryAdmission::updateAdmittedShares(const ShedShares& shedShares, const CallCosts& costs, Instant now)
{
    const double step = m_updatedAt ? std::max(toSeconds(now - *m_updatedAt), 1e-3) : demandSmoothing;
    m_updatedAt = now;
    for (auto& [demandClass, demand] : m_demands) {
        const double sample = demand.arrived / step;
        demand.perSecond += (sample - demand.perSecond) * std::min(1.0, step / demandSmoothing);
        demand.arrived = 0;
        demand.share = 1;
    }
    for (const auto& [service, shedShare] : shedShares) {
        if (shedShare < minShedShare)
            continue;
        std::vector<Candidate> candidates;
        for (auto& [demandClass, demand] : m_demands) {
            const double cost = costAt(costs.reportedCost(demandClass.route), service);
            if (cost > 0)
                candidates.push_back({ worthOf(demandClass) / cost, demand.perSecond, demand.perSecond * cost,
                    demand.share, &demand.share });
        }
        for (const Candidate& candidate : shed(std::move(candidates), shedShare))
            *candidate.result = candidate.share;
    }
}

double EntryAdmission::admittedShare(const DemandClass& demandClass) const
{
    const auto found = m_demands.find(demandClass);
    return found == m_demands.end() ? 1 : found->second.share;
}

} // namespace Ebonystack
