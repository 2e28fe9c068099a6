// Weights of the candidates and the random pick.
#include "coordination/UpstreamSelector.h"

#include <algorithm>
#include <cmath>

namespace Ebonystack {
namespace {

using namespace std::chrono_literals;

/// Preference for an upstream of the own data centre: traffic between data centres costs time and money.
constexpr double localDataCentreFactor = 4;
/// An upstream that has just started takes about twice as long.
constexpr double coldFactor = 0.4;
/// News older than this say nothing of the load.
constexpr Duration loadReportLifetime = 3s;
constexpr double failureSmoothing = 0.15; // weight of a new outcome in the moving average
/// A VM's failures are forgotten after this time without another, so that it is tried again.
constexpr Duration failureLifetime = 2s;
constexpr double minWeight = 1e-6;
constexpr Duration defaultServiceTime = 50ms;
/// How strongly faster upstreams are preferred: squared, so that the slow ones serve when the others are
/// busy.
constexpr double speedExponent = 2;
/// How strongly waiting requests count against a VM.
constexpr double queueExponent = 2;

} // namespace

UpstreamSelector::UpstreamSelector(DataCentre localDataCentre, std::uint64_t seed)
    : m_localDataCentre(std::move(localDataCentre))
    , m_random(seed)
{
}

const KnownUpstream* UpstreamSelector::select(
    const std::vector<const KnownUpstream*>& candidates, const std::vector<VmId>& tried, Instant now)
{
    std::vector<std::pair<const KnownUpstream*, double>> weights;
    double total = 0;
    for (const KnownUpstream* candidate : candidates) {
        if (std::ranges::find(tried, candidate->record.vm) != tried.end())
            continue;
        const double each = weight(*candidate, now);
        weights.emplace_back(candidate, each);
        total += each;
    }
    if (weights.empty())
        return nullptr;
    double pick = m_random.unit() * total;
    for (const auto& [candidate, each] : weights) {
        pick -= each;
        if (pick < 0)
            return candidate;
    }
    return weights.back().first;
}

void UpstreamSelector::requestStarted(const VmId& vm) { ++m_vmStates[vm].startedSinceReport; }

void UpstreamSelector::requestEnded(const VmId& vm, bool failed, Instant now)
{
    VmState& vmState = m_vmStates[vm];
    vmState.failures += failureSmoothing * ((failed ? 1.0 : 0.0) - vmState.failures);
    if (failed)
        vmState.failedAt = now;
}

void UpstreamSelector::observe(const VmId& vm, const UpstreamLoad& load, Instant now)
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
        const auto found = m_vmStates.find(upstream->record.vm);
        const bool isKnown = found != m_vmStates.end() && found->second.observedAt
            && now - *found->second.observedAt < loadReportLifetime;
        if (!isKnown)
            continue;
        shed += found->second.load.shedShare * upstream->record.slots;
        slots += upstream->record.slots;
    }
    return slots > 0 ? shed / slots : 0;
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
    if (now - vmState.failedAt < failureLifetime)
        weight *= std::pow(1 - vmState.failures, 3);
    const bool isKnown = vmState.observedAt && now - *vmState.observedAt < loadReportLifetime;
    if (!isKnown || vmState.load.gate.limit == 0)
        return std::max(weight, minWeight);
    if (!vmState.load.accepts)
        return minWeight;
    const GateState& gate = vmState.load.gate;
    const double busy
        = (gate.running + gate.queued + vmState.startedSinceReport) / static_cast<double>(gate.limit);
    const double room = busy < 1 ? 1 - busy + 0.05 : 0.05 / std::pow(busy, queueExponent);
    const Duration meanServiceTime = std::max<Duration>(vmState.load.meanServiceTime, 1ms);
    weight *= room * std::pow(toSeconds(defaultServiceTime) / toSeconds(meanServiceTime), speedExponent);
    return std::max(weight, minWeight);
}

} // namespace Ebonystack
