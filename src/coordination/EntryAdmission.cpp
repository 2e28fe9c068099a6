// Chooses the requests to shed by a greedy knapsack per service over the classes of demand.
#include "coordination/EntryAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Ebonystack {
namespace {

/// Time constant of the moving average of arrivals.
constexpr double demandSmoothingSeconds = 2;
/// Minimum admitted share of a class, relative to the mean admitted share, so that no class is starved.
/// Operators consider a class starved below a quarter of the mean; the minimum is higher because some
/// admitted requests fail later.
constexpr double minShareOfMean = 0.28;
/// Slot seconds assumed for a request of a route without known costs.
constexpr double assumedCostSeconds = 0.2;
/// Shares below this are noise of the overload controller.
constexpr double minShedShare = 0.01;

/// The slot seconds that a request costs at a service. A route without known costs may call any service.
double costAt(const CostVector& costs, const ServiceName& service)
{
    if (costs.empty())
        return assumedCostSeconds;
    const auto found = costs.find(service);
    return found == costs.end() ? 0 : found->second;
}

struct Candidate {
    double density; // worth per slot second
    double requestsPerSecond;
    double work; // slot seconds per second that the requests of the class need
    double share; // of the requests, admitted
    double* classShare; // the demand's share, set to `share` in the end

    auto operator<=>(const Candidate&) const = default;
};

/// Lowers the shares in the order of the candidates, none below `minShare`, until `excess` work is shed.
void reduceShares(std::vector<Candidate>& candidates, double excess, double minShare)
{
    for (Candidate& candidate : candidates) {
        const double refusable = candidate.work * std::max(0.0, candidate.share - minShare);
        const double refused = std::min(excess, refusable);
        if (candidate.work > 0)
            candidate.share -= refused / candidate.work;
        excess -= refused;
    }
}

/// The admitted share of all requests of the candidates.
double meanAdmittedShare(const std::vector<Candidate>& candidates)
{
    double requests = 0;
    double admitted = 0;
    for (const Candidate& candidate : candidates) {
        requests += candidate.requestsPerSecond;
        admitted += candidate.requestsPerSecond * candidate.share;
    }
    return requests > 0 ? admitted / requests : 1;
}

/// Sheds `shedShare` of the candidates' work, lowest density first, and returns the candidates in that order.
std::vector<Candidate> shedLowestWorth(std::vector<Candidate> candidates, double shedShare)
{
    std::ranges::sort(candidates, {}, &Candidate::density);
    double excess = 0;
    for (const Candidate& candidate : candidates)
        excess += candidate.work * (candidate.share - (1 - shedShare));
    if (excess <= 0)
        return candidates;
    std::vector<Candidate> withoutMinimum = candidates;
    reduceShares(withoutMinimum, excess, 0);
    reduceShares(candidates, excess, minShareOfMean * meanAdmittedShare(withoutMinimum));
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
        demand.credit = m_random.uniform();
    ++demand.arrivedSinceUpdate;
    demand.credit += demand.share;
    if (demand.credit < 1)
        return false;
    demand.credit -= 1;
    return true;
}

void EntryAdmission::updateAdmittedShares(const ShedShares& shedShares, const CallCosts& costs, Instant now)
{
    const double step = m_updatedAt ? std::max(toSeconds(now - *m_updatedAt), 1e-3) : demandSmoothingSeconds;
    m_updatedAt = now;
    for (auto& [demandClass, demand] : m_demands) {
        const double sample = demand.arrivedSinceUpdate / step;
        demand.requestsPerSecond
            += (sample - demand.requestsPerSecond) * std::min(1.0, step / demandSmoothingSeconds);
        demand.arrivedSinceUpdate = 0;
        demand.share = 1;
    }
    for (const auto& [service, shedShare] : shedShares) {
        if (shedShare < minShedShare)
            continue;
        std::vector<Candidate> candidates;
        for (auto& [demandClass, demand] : m_demands) {
            const double cost = costAt(costs.reportedCost(demandClass.route), service);
            if (cost > 0)
                candidates.push_back({ worthOf(demandClass) / cost, demand.requestsPerSecond,
                    demand.requestsPerSecond * cost, demand.share, &demand.share });
        }
        for (const Candidate& candidate : shedLowestWorth(std::move(candidates), shedShare))
            *candidate.classShare = candidate.share;
    }
}

double EntryAdmission::admittedShare(const DemandClass& demandClass) const
{
    const auto found = m_demands.find(demandClass);
    return found == m_demands.end() ? 1 : found->second.share;
}

} // namespace Ebonystack
