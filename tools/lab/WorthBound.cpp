// The simplex method on a dense table, and the programme's coefficients.
#include "lab/WorthBound.h"

#include <algorithm>
#include <limits>
#include <map>

namespace Ebonystack {
namespace {

constexpr double epsilon = 1e-9;

/// Slot seconds of one request at each service, its calls included; returns how long it takes.
double addSlotSeconds(
    const LoadScenario& scenario, const RequestKind& kind, double times, std::map<ServiceName, double>& costs)
{
    const ScenarioService& service = *scenario.findService(kind.service);
    double nested = 0;
    for (const ScenarioCall& call : kind.calls)
        nested += call.times
            * addSlotSeconds(scenario, *scenario.findKind(call.callee), times * call.times, costs);
    // A VM of speed v is through with a request in work / v + nested: the mean over VMs is that of the rates.
    double rate = 0;
    for (int i = 0; i < service.vms; ++i) {
        const double speed = service.speeds[static_cast<std::size_t>(i) % service.speeds.size()];
        rate += 1 / (toSeconds(kind.work) / speed + nested);
    }
    const double serviceTime = service.vms / rate;
    costs[kind.service] += times * serviceTime;
    return serviceTime;
}

} // namespace

std::vector<double> solveLinearProgram(
    const std::vector<double>& gains, std::vector<std::vector<double>> rows, std::vector<double> bounds)
{
    const std::size_t variables = gains.size();
    const std::size_t count = rows.size();
    std::vector<double> objective = gains;
    objective.resize(variables + count, 0);
    std::vector<std::size_t> basis(count);
    for (std::size_t i = 0; i < count; ++i) {
        rows[i].resize(variables + count, 0);
        rows[i][variables + i] = 1; // the slack
        basis[i] = variables + i;
    }
    while (true) {
        const auto entering = std::ranges::find_if(objective, [](double gain) { return gain > epsilon; });
        if (entering == objective.end())
            break;
        const auto column = static_cast<std::size_t>(entering - objective.begin());
        std::size_t pivot = count;
        double minRatio = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < count; ++i) {
            if (rows[i][column] > epsilon && bounds[i] / rows[i][column] < minRatio) {
                minRatio = bounds[i] / rows[i][column];
                pivot = i;
            }
        }
        if (pivot == count)
            break; // without a bound; does not happen when every variable has one
        const double scale = rows[pivot][column];
        std::ranges::for_each(rows[pivot], [&](double& value) { value /= scale; });
        bounds[pivot] /= scale;
        for (std::size_t i = 0; i < count; ++i) {
            const double factor = rows[i][column];
            if (i == pivot || factor == 0)
                continue;
            for (std::size_t j = 0; j < rows[i].size(); ++j)
                rows[i][j] -= factor * rows[pivot][j];
            bounds[i] -= factor * bounds[pivot];
        }
        const double factor = objective[column];
        for (std::size_t j = 0; j < objective.size(); ++j)
            objective[j] -= factor * rows[pivot][j];
        basis[pivot] = column;
    }
    std::vector<double> solution(variables, 0);
    for (std::size_t i = 0; i < count; ++i) {
        if (basis[i] < variables)
            solution[basis[i]] = bounds[i];
    }
    return solution;
}

double worthBound(const LoadScenario& scenario, double load)
{
    std::vector<const RequestKind*> kinds;
    std::vector<double> gains;
    for (const RequestKind& kind : scenario.kinds) {
        if (kind.perSecond > 0) {
            kinds.push_back(&kind);
            gains.push_back(kind.worth);
        }
    }
    std::vector<std::vector<double>> rows;
    std::vector<double> bounds;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        rows.emplace_back(kinds.size(), 0).at(i) = 1;
        bounds.push_back(kinds[i]->perSecond * load);
    }
    for (const ScenarioService& service : scenario.services) {
        std::vector<double> row;
        for (const RequestKind* kind : kinds) {
            std::map<ServiceName, double> costs;
            addSlotSeconds(scenario, *kind, 1, costs);
            row.push_back(costs[service.name]);
        }
        rows.push_back(std::move(row));
        bounds.push_back(static_cast<double>(service.vms) * service.slots);
    }
    const std::vector<double> rates = solveLinearProgram(gains, rows, bounds);
    double delivered = 0;
    double requested = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        delivered += rates[i] * gains[i];
        requested += kinds[i]->perSecond * load * gains[i];
    }
    return requested > 0 ? delivered / requested : 1;
}

} // namespace Ebonystack
