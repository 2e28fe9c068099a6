// The simplex method on a dense table, and the coefficients of the linear program.
#include "lab/WorthBound.h"

#include "coordination/RetryBudget.h"

#include <algorithm>
#include <limits>

namespace Ebonystack {
namespace {

constexpr double epsilon = 1e-9;

/// Adds the slot seconds of `times` requests and their nested calls at each service; returns the service time
/// of one request in seconds.
double addSlotSeconds(const LoadScenario& scenario, const RequestKind& kind, double times,
    std::map<ServiceName, double>& slotSeconds)
{
    const ScenarioService& service = *scenario.findService(kind.service);
    double nested = 0;
    for (const ScenarioCall& call : kind.calls)
        nested += call.times
            * addSlotSeconds(scenario, *scenario.findKind(call.callee), times * call.times, slotSeconds);
    // A VM of speed v takes work / v + nested per request. The rates of the VMs add up, so the mean service
    // time is the harmonic mean over the VMs.
    double rate = 0;
    for (int i = 0; i < service.vms; ++i) {
        const double speed = service.speeds[static_cast<std::size_t>(i) % service.speeds.size()];
        rate += 1 / (toSeconds(kind.work) / speed + nested);
    }
    const double serviceTime = service.vms / rate;
    slotSeconds[kind.service] += times * serviceTime;
    return serviceTime;
}

/// Adds the nested calls of `times` requests at each service.
void addCalls(
    const LoadScenario& scenario, const RequestKind& kind, double times, std::map<ServiceName, double>& calls)
{
    for (const ScenarioCall& call : kind.calls) {
        const RequestKind& callee = *scenario.findKind(call.callee);
        calls[callee.service] += times * call.times;
        addCalls(scenario, callee, times * call.times, calls);
    }
}

/// The highest rate of requests for a service, nested calls included, if all were admitted.
double maxRequestsPerSecond(const LoadScenario& scenario, const ServiceName& service)
{
    double requests = 0;
    for (const RequestKind& kind : scenario.kinds) {
        std::map<ServiceName, double> calls;
        addCalls(scenario, kind, kind.requestsPerSecond, calls);
        requests += calls[service] + (kind.service == service ? kind.requestsPerSecond : 0);
    }
    const auto peak = std::ranges::max_element(scenario.phases, {}, &LoadPhase::factor);
    return requests * peak->factor;
}

} // namespace

RejectionBounds rejectionBoundsAt(const LoadScenario& scenario, Duration time)
{
    const RetryLimits limits;
    RejectionBounds bounds;
    for (const ScenarioFault& fault : scenario.faults) {
        const Duration until = fault.until.value_or(scenario.length());
        const bool applies = fault.kind == ScenarioFaultKind::Reject && fault.share >= 1 && time >= fault.from
            && time < until;
        if (!applies)
            continue;
        const double allowedInWindow
            = limits.ratio * maxRequestsPerSecond(scenario, fault.service) * toSeconds(limits.window)
            + limits.extraRetries;
        bounds[fault.service]
            = { fault.factor, allowedInWindow / toSeconds(std::min(limits.window, until - fault.from)) };
    }
    return bounds;
}

std::vector<double> solveLinearProgram(
    const std::vector<double>& gains, std::vector<std::vector<double>> rows, std::vector<double> bounds)
{
    const std::size_t variableCount = gains.size();
    const std::size_t rowCount = rows.size();
    std::vector<double> objective = gains;
    objective.resize(variableCount + rowCount, 0);
    std::vector<std::size_t> basis(rowCount);
    for (std::size_t i = 0; i < rowCount; ++i) {
        rows[i].resize(variableCount + rowCount, 0);
        rows[i][variableCount + i] = 1; // slack variable
        basis[i] = variableCount + i;
    }
    while (true) {
        const auto entering = std::ranges::find_if(objective, [](double gain) { return gain > epsilon; });
        if (entering == objective.end())
            break;
        const auto column = static_cast<std::size_t>(entering - objective.begin());
        std::size_t pivot = rowCount;
        double minRatio = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < rowCount; ++i) {
            if (rows[i][column] > epsilon && bounds[i] / rows[i][column] < minRatio) {
                minRatio = bounds[i] / rows[i][column];
                pivot = i;
            }
        }
        if (pivot == rowCount)
            break; // unbounded; impossible when every variable has a bound
        const double scale = rows[pivot][column];
        std::ranges::for_each(rows[pivot], [&](double& value) { value /= scale; });
        bounds[pivot] /= scale;
        for (std::size_t i = 0; i < rowCount; ++i) {
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
    std::vector<double> solution(variableCount, 0);
    for (std::size_t i = 0; i < rowCount; ++i) {
        if (basis[i] < variableCount)
            solution[basis[i]] = bounds[i];
    }
    return solution;
}

double worthBound(const LoadScenario& scenario, double load, const RejectionBounds& rejections)
{
    std::vector<const RequestKind*> kinds;
    std::vector<double> gains;
    for (const RequestKind& kind : scenario.kinds) {
        if (kind.requestsPerSecond > 0) {
            kinds.push_back(&kind);
            gains.push_back(kind.worth);
        }
    }
    std::vector<std::vector<double>> rows;
    std::vector<double> bounds;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        rows.emplace_back(kinds.size(), 0).at(i) = 1;
        bounds.push_back(kinds[i]->requestsPerSecond * load);
    }
    for (const ScenarioService& service : scenario.services) {
        std::vector<double> row;
        for (const RequestKind* kind : kinds) {
            std::map<ServiceName, double> slotSeconds;
            addSlotSeconds(scenario, *kind, 1, slotSeconds);
            row.push_back(slotSeconds[service.name]);
        }
        rows.push_back(std::move(row));
        bounds.push_back(static_cast<double>(service.vms) * service.slots);
    }
    for (const auto& [service, rejection] : rejections) {
        std::vector<double> row;
        for (const RequestKind* kind : kinds) {
            std::map<ServiceName, double> calls;
            addCalls(scenario, *kind, 1, calls);
            row.push_back(calls[service] * rejection.rejectedShare / (1 - rejection.rejectedShare));
        }
        rows.push_back(std::move(row));
        bounds.push_back(rejection.repeatsPerSecond);
    }
    const std::vector<double> rates = solveLinearProgram(gains, rows, bounds);
    double delivered = 0;
    double requested = 0;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        delivered += rates[i] * gains[i];
        requested += kinds[i]->requestsPerSecond * load * gains[i];
    }
    return requested > 0 ? delivered / requested : 1;
}

} // namespace Ebonystack
