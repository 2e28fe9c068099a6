// Computes the weights of the candidates and makes the weighted random selection.
#include "coordination/UpstreamSelector.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Weight factor of upstreams in the local data centre: traffic between data centres costs time and money.
constexpr double localDataCentreFactor = 4;
/// Weight factor of an upstream that has just started: its requests take about twice as long.
constexpr double coldFactor = 0.4;
/// Older load reports no longer show the load.
constexpr Duration loadReportLifetime = 3s;
constexpr double failureSmoothing = 0.15; // weight of a new outcome in the moving average
/// The failure rate of a VM is ignored when this time has passed since its last failure, so that the VM is
/// tried again.
constexpr Duration failureLifetime = 2s;
constexpr double minWeight = 1e-6;
/// Mean service time at which the speed factor of a weight is 1, as for a VM without a current load report.
constexpr Duration referenceServiceTime = 50ms;
/// Preference for faster upstreams: squared, so that slow ones get requests when the others are busy.
constexpr double speedExponent = 2;
/// How much queued requests reduce the weight of a VM.
constexpr double queueExponent = 2;

} // namespace

UpstreamSelector::UpstreamSelector(DataCentre localDataCentre, std::uint64_t seed)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(seed)
{
}

const KnownUpstream* UpstreamSelector::select(
    const std::vector<const KnownUpstream*>& candidates, const std::vector<VmId>& triedVms, Instant now)
{
    std::vector<std::pair<const KnownUpstream*, double>> weights;
    double total = 0;
    for (const KnownUpstream* candidate : candidates) {
        if (std::ranges::find(triedVms, candidate->record.vm) != triedVms.end())
            continue;
        const double candidateWeight = weight(*candidate, now);
        weights.emplace_back(candidate, candidateWeight);
        total += candidateWeight;
    }
    if (weights.empty())
        return nullptr;
    double pick = m_random.uniform() * total;
    for (const auto& [candidate, candidateWeight] : weights) {
        pick -= candidateWeight;
        if (pick < 0)
            return candidate;
    }
    return weights.back().first;
}

bool UpstreamSelector::lacksRepeats(const VmId& vm, Instant now) const
{
    const UpstreamLoad* load = currentLoad(vm, now);
    return load && load->retryLoad.rejections > 0 && load->retryLoad.repeatsLeft < 1;
}

void UpstreamSelector::requestStarted(const VmId& vm) { ++m_vmStates[vm].startedSinceReport; }

void UpstreamSelector::requestEnded(const VmId& vm, bool failed, Instant now)
{
    VmState& vmState = m_vmStates[vm];
    vmState.failureRate += failureSmoothing * ((failed ? 1.0 : 0.0) - vmState.failureRate);
    if (failed)
        vmState.lastFailureAt = now;
}

void UpstreamSelector::recordLoadReport(const VmId& vm, const UpstreamLoad& load, Instant now)
{
    VmState& vmState = m_vmStates[vm];
    vmState.load = load;
    vmState.observedAt = now;
    vmState.startedSinceReport = 0;
}

double UpstreamSelector::shedShare(const std::vector<const KnownUpstream*>& upstreams, Instant now) const
{
    double shed = 0;
    double slots = 0;
    for (const KnownUpstream* upstream : upstreams) {
        const UpstreamLoad* load = currentLoad(upstream->record.vm, now);
        if (!load)
            continue;
        const double upstreamCapacity = capacity(*upstream, *load);
        shed += load->shedShare * upstreamCapacity;
        slots += upstreamCapacity;
    }
    return slots > 0 ? shed / slots : 0;
}

double UpstreamSelector::requestsPerSecond(
    const std::vector<const KnownUpstream*>& upstreams, Instant now) const
{
    double requests = 0;
    for (const KnownUpstream* upstream : upstreams) {
        const UpstreamLoad* load = currentLoad(upstream->record.vm, now);
        requests += load ? load->retryLoad.requests : 0;
    }
    return requests;
}

const UpstreamLoad* UpstreamSelector::currentLoad(const VmId& vm, Instant now) const
{
    const auto found = m_vmStates.find(vm);
    const bool isCurrent = found != m_vmStates.end() && found->second.observedAt
        && now - *found->second.observedAt < loadReportLifetime;
    return isCurrent ? &found->second.load : nullptr;
}

double UpstreamSelector::capacity(const KnownUpstream& upstream, const UpstreamLoad& load)
{
    const bool isLimited = load.notice && load.notice->requestsPerSecond;
    return isLimited ? std::min(upstream.record.slots, load.gate.limit) : upstream.record.slots;
}

double UpstreamSelector::weight(const KnownUpstream& upstream, Instant now) const
{
    double weight = upstream.record.slots;
    if (upstream.record.dataCentre == m_localDataCentre)
        weight *= localDataCentreFactor;
    if (now < upstream.coldUntil)
        weight *= coldFactor;
    const auto found = m_vmStates.find(upstream.record.vm);
    if (found == m_vmStates.end())
        return weight;
    const VmState& vmState = found->second;
    if (now - vmState.lastFailureAt < failureLifetime)
        weight *= std::pow(1 - vmState.failureRate, 3);
    const bool hasCurrentLoad = vmState.observedAt && now - *vmState.observedAt < loadReportLifetime;
    if (!hasCurrentLoad || vmState.load.gate.limit == 0)
        return std::max(weight, minWeight);
    if (!vmState.load.acceptsRequests)
        return minWeight;
    weight *= capacity(upstream, vmState.load) / upstream.record.slots;
    const GateState& gate = vmState.load.gate;
    const double utilization
        = (gate.running + gate.queued + vmState.startedSinceReport) / static_cast<double>(gate.limit);
    const double availability
        = utilization < 1 ? 1 - utilization + 0.05 : 0.05 / std::pow(utilization, queueExponent);
    const Duration meanServiceTime = std::max<Duration>(vmState.load.meanServiceTime, 1ms);
    weight *= availability
        * std::pow(toSeconds(referenceServiceTime) / toSeconds(meanServiceTime), speedExponent);
    return std::max(weight, minWeight);
}

} // namespace Ebonystack
