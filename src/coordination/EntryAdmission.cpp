// A greedy knapsack per service over the classes of demand.
#include "coordination/EntryAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Ebonystack {
namespace {

/// Time over which arrivals are averaged, in seconds.
constexpr double demandSmoothing = 2;
/// How much more a request of one priority is worth than one of the next.
constexpr double worthPerPriority = 2.5;
/// A request that came back as advised goes before a new one of its kind.
constexpr double worthOfReturning = 1.5;
/// The most of a class that is refused for the sake of others: no kind of request is starved.
constexpr double leastShare = 0.1;
/// Shares below this are noise of the control.
constexpr double leastShedShare = 0.01;

double worthOf(const DemandClass& demand)
{
    const double worth = std::pow(worthPerPriority, -demand.priority);
    return demand.returning ? worth * worthOfReturning : worth;
}

struct Candidate {
    double density; // worth per second of a slot
    double work; // seconds of a slot that the class asks for in a second
    double* share;
};

/// Lowers shares, least density first, until `excess` work is refused.
void refuse(std::vector<Candidate>& candidates, double excess, double least)
{
    for (Candidate& candidate : candidates) {
        const double refusable = candidate.work * std::max(0.0, *candidate.share - least);
        const double refused = std::min(excess, refusable);
        if (candidate.work > 0)
            *candidate.share -= refused / candidate.work;
        excess -= refused;
    }
}

} // namespace

EntryAdmission::EntryAdmission(std::uint64_t seed)
    : m_random(seed)
{
}

bool EntryAdmission::admit(const DemandClass& demandClass, Instant)
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

void EntryAdmission::plan(const ShedShares& shedShares, const CallCosts& costs, Instant now)
{
    const double step = m_planned ? std::max(toSeconds(now - m_plannedAt), 1e-3) : demandSmoothing;
    m_plannedAt = now;
    m_planned = true;
    for (auto& [demandClass, demand] : m_demands) {
        const double sample = demand.arrived / step;
        demand.perSecond += (sample - demand.perSecond) * std::min(1.0, step / demandSmoothing);
        demand.arrived = 0;
        demand.share = 1;
    }
    for (const auto& [service, shedShare] : shedShares) {
        if (shedShare < leastShedShare)
            continue;
        std::vector<Candidate> candidates;
        double asked = 0;
        double admitted = 0;
        for (auto& [demandClass, demand] : m_demands) {
            const CostVector& costVector = costs.costOf(demandClass.route);
            const auto cost = costVector.find(service);
            if (cost == costVector.end() || cost->second <= 0)
                continue;
            const double work = demand.perSecond * cost->second;
            candidates.push_back({ worthOf(demandClass) / cost->second, work, &demand.share });
            asked += work;
            admitted += work * demand.share;
        }
        std::ranges::sort(candidates, {}, &Candidate::density);
        const double excess = admitted - asked * (1 - shedShare);
        if (excess > 0)
            refuse(candidates, excess, leastShare);
    }
}

double EntryAdmission::admittedShare(const DemandClass& demandClass) const
{
    const auto found = m_demands.find(demandClass);
    return found == m_demands.end() ? 1 : found->second.share;
}

} // namespace Ebonystack
